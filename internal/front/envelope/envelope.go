// Package envelope has the kinds of messages that the packages of oxbowslip-front send to their own kind at other hosts, and
// what identifies the sender.
//
// It owns the numbers of the kinds and nothing else, so that a package that package gossip relies on can send messages too.
// Package gossip carries them.
package envelope

// Kind is what a message is. The numbers stay as they were first given. A host drops kinds that it does not know, so that
// new ones can be added without harm to older hosts.
type Kind uint8

// The kinds.
const (
	KindLeader Kind = 1
	KindUsage  Kind = 2
	KindPoison Kind = 3
	// KindLeaving is the endpoints that say that they leave.
	KindLeaving Kind = 4
	// KindRejections is what endpoints reject.
	KindRejections Kind = 5
	// KindLimits is the limits that endpoints name, KindPermitRequest and KindPermitReply a question for a permit to send a
	// request to one of them, and the reply.
	KindLimits        Kind = 6
	KindPermitRequest Kind = 7
	KindPermitReply   Kind = 8
	// KindFailures is what endpoints fail.
	KindFailures Kind = 9
	// KindConfirmation is up to when the sender knows everything, in an era of the store after the first.
	KindConfirmation Kind = 10
	// KindFixedReports is reports of usage that must not change, KindFixedReportsRequest asks a host for those that it knows.
	KindFixedReports        Kind = 11
	KindFixedReportsRequest Kind = 12
)

// Sender is the host that a message came from.
type Sender struct {
	Host string
	// Incarnation differs from one start of the host to the next.
	Incarnation uint32
}

// Handler handles a message, in CBOR.
type Handler func(from Sender, body []byte)

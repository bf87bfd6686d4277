// Package envelope defines the kinds of messages that packages of oxbowslip-front send to the same package at other
// hosts, and the identity of their sender.
//
// It owns the numbers of the kinds; package gossip transports the messages. The two packages are separate because
// package gossip imports some of the packages that send messages, so these can't import it.
package envelope

import (
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Kind is the kind of a message. Numbers must not change. A host drops messages of unknown kinds, so new kinds are
// compatible with older hosts.
type Kind uint8

// KindLeader and the other constants are the numbers on the wire.
const (
	KindLeader Kind = 1
	KindUsage  Kind = 2
	KindPoison Kind = 3
	// KindLeaving lists endpoints that report that they are leaving.
	KindLeaving Kind = 4
	// KindRejections reports the rejections of requests by endpoints.
	KindRejections Kind = 5
	// KindLimits lists the limits that endpoints name. KindPermitRequest asks for a permit to send a request to an
	// endpoint with a limit, KindPermitReply answers.
	KindLimits        Kind = 6
	KindPermitRequest Kind = 7
	KindPermitReply   Kind = 8
	// KindFailures reports failures of endpoints.
	KindFailures Kind = 9
	// KindConfirmation is a confirmation in an era of the store after the first.
	KindConfirmation Kind = 10
	// KindFixedReports carries usage reports that must no longer change, KindFixedReportsRequest asks a host for those
	// that it has.
	KindFixedReports        Kind = 11
	KindFixedReportsRequest Kind = 12
	// KindSlotRequest asks for a slot of a busy plain service, KindSlotReply answers, and KindSlotRelease ends the lease
	// of the slot.
	KindSlotRequest Kind = 13
	KindSlotReply   Kind = 14
	KindSlotRelease Kind = 15
	// KindPace carries samples of the speed of endpoints.
	KindPace Kind = 16
	// KindShares reports the work that workspaces ask for at services with engines, and their use of their limits.
	KindShares Kind = 17
	// KindStreamOrigins carries the software versions that began streams, KindStreamOriginQuestion asks for that of one, and
	// KindStreamOriginReply answers.
	KindStreamOrigins        Kind = 18
	KindStreamOriginQuestion Kind = 19
	KindStreamOriginReply    Kind = 20
	// KindMembers carries Records of hosts and reports of losses, KindMembersDigest a digest of the sender's members, and
	// KindRelay a message that its receiver passes on.
	KindMembers       Kind = 21
	KindMembersDigest Kind = 22
	KindRelay         Kind = 23
	// KindChanges carries changes of the directory that are too many for a heartbeat.
	KindChanges Kind = 24
	// KindPoisonTrials lists trials of verdicts on parts of prompts, and parts that have been answered.
	KindPoisonTrials Kind = 25
	// KindFleetSize informs a host that has joined of the number of live and missing hosts.
	KindFleetSize Kind = 26
	// KindClassCounts reports the requests of classes that hosts refuse for lack of capacity.
	KindClassCounts Kind = 27
	// KindCopyAsk asks for the right to send a copy of a request that has crashed endpoints, KindCopyReply answers, and
	// KindCopyReturn returns the right.
	KindCopyAsk    Kind = 28
	KindCopyReply  Kind = 29
	KindCopyReturn Kind = 30
	// KindPoisonEnds lists ends of endpoints under requests that are no evidence for a verdict.
	KindPoisonEnds Kind = 31
)

// Sender identifies the host that sent a message.
type Sender struct {
	Host string
	// Incarnation identifies one start of the host.
	Incarnation uint32
}

// Handler handles a message, whose body is encoded as CBOR.
type Handler func(from Sender, body []byte)

// Encoding encodes the messages of calls between hosts as CBOR.
type Encoding struct{}

// Marshal encodes a message.
func (Encoding) Marshal(message drpc.Message) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes a message.
func (Encoding) Unmarshal(data []byte, message drpc.Message) error {
	return cbor.Unmarshal(data, message)
}

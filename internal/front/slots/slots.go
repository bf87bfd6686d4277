// Package slots gives the hosts of oxbowslip-front one queue for the slots of a plain service: a service without
// engines, whose endpoints each run a known number of requests at once.
//
// It addresses more calls than slots for seconds. A host that receives one call a second sees too little of the load to
// keep all hosts together within a few slots: endpoints reject calls while others have room, and the workspaces that
// send as usual pay for those that do not. While a service is busy (Busy), a host therefore asks the service's
// coordinator before it sends a call. Coordinator implements that side: it grants the slots, orders the requests that
// wait and promises times to callers that are refused, without I/O. Client asks, and carries the messages.
//
// The package owns the leases, the waiting requests and the promises of the services that this host coordinates, all in
// memory. It relies on package coordinator for which host that is, on package gossip for messages, which may be lost,
// and on package placement for the endpoints and their loads. Package placement calls it; without a reply from a
// coordinator, placement decides alone.
package slots

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Request is a message to the coordinator of a service: it asks for a slot for one request.
type Request struct {
	_ struct{} `cbor:",toarray"`

	// Number is repeated in the replies and in the release.
	Number    uint64
	Service   string
	Workspace string
	// Weight is the workspace's weight, 0 means 1.
	Weight float32
	// Rank orders requests by urgency and tier: 0 is the most urgent.
	Rank         uint8
	IsRepeatable bool
	// Key identifies the content of the request, by which a caller is recognized that returns.
	Key  keys.Content
	Zone string
	// UntilTarget is the time left until the latency target, negative if it is over. UntilLimit is the time left until
	// the request's time limit.
	UntilTarget time.Duration
	UntilLimit  time.Duration
	// Avoid lists the endpoints that have failed the request, or that the asking host can't use.
	Avoid []keys.Endpoint
}

// Result is the content of a Reply. Its values are sent between hosts.
type Result uint8

// The results.
const (
	// Granted: the request may be sent to the endpoint.
	Granted Result = iota
	// Queued: the request waits, and a further reply follows.
	Queued
	// TooLate: the request is refused because it could not end within its time limit.
	TooLate
	// NoRoom: the request is refused because too many requests wait.
	NoRoom
	// Alone: the asking host has to decide alone.
	Alone
)

// Reply is a reply to a Request.
type Reply struct {
	_ struct{} `cbor:",toarray"`

	Number uint64
	Result Result
	// Endpoint is the granted endpoint.
	Endpoint keys.Endpoint
	// Waited is the time since the request arrived at the coordinator.
	Waited time.Duration
	// After is the time within which the next reply follows if the request is queued, and the time after which its
	// caller should return if it is refused.
	After time.Duration
}

// Outcome is what became of a lease. Its values are sent between hosts.
type Outcome uint8

// The outcomes.
const (
	// Answered: the endpoint has sent a complete answer.
	Answered Outcome = iota
	// Rejected: the endpoint had no room for the request.
	Rejected
	// Failed: the request was sent, and its answer did not arrive completely.
	Failed
	// Unused: nothing was sent, or the request left the queue.
	Unused
)

// Release is a message to the coordinator: it ends the lease of a request, or its wait. It is sent twice, since a lost
// one would keep the slot until the request's time limit, which is several times as long as a call.
type Release struct {
	_ struct{} `cbor:",toarray"`

	Number  uint64
	Outcome Outcome
	// Taken is how long the lease was held.
	Taken time.Duration
}

// Endpoint is an endpoint of a service as the coordinator's host knows it.
type Endpoint struct {
	Key  keys.Endpoint
	Zone string
	// Slots is the number of requests that it runs at once, Open the number of open requests of all hosts.
	Slots, Open int
}

const (
	// busyShare is the share of a service's slots from which on it is busy. Below it, requests rarely meet a full
	// endpoint even though hosts choose by loads that are up to a second old.
	busyShare = 0.5
	// busyHold is how long a rejection counts as a sign of a busy service, and how long hosts still ask after the last
	// sign: loads of other hosts are reported about once a second.
	busyHold = 2 * time.Second
)

// Busy decides when this host asks the coordinators of services. It is not safe for concurrent use.
type Busy struct{ until map[string]time.Time }

// NewBusy returns a record without busy services.
func NewBusy() Busy { return Busy{until: make(map[string]time.Time)} }

// IsBusy reports whether a service is busy or was within busyHold, given its taken slots, all of its slots, and when an
// endpoint last rejected a request.
func (b *Busy) IsBusy(now time.Time, service string, taken, slots int, rejectedAt time.Time) bool {
	if float64(taken) >= busyShare*float64(slots) || now.Sub(rejectedAt) < busyHold {
		b.until[service] = now.Add(busyHold)
	}
	return now.Before(b.until[service])
}

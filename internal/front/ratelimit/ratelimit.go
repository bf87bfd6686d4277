// Package ratelimit keeps the hosts of oxbowslip-front together within the limits that endpoints name: a number of
// requests a second from all hosts.
//
// For each limited endpoint one live host lends permits: the first in an order that every host computes alike
// (rendezvous hashing). Lender implements that side as a token bucket with a queue and does no I/O. Limiter implements
// the borrowing side: a host asks for a permit when it is about to send a request to such an endpoint, and sends
// nothing without one. A permit is valid for permitValidity only, so a host without use for it can't hoard it. The sum
// over all hosts therefore stays within the limit however unevenly traffic is spread, and while hosts join and leave.
//
// The package owns the buckets of this host and the denials it received recently. It relies on package pushback for
// the limits, and on package gossip for the live hosts and for messages to them, which may be lost. Package placement
// calls it.
package ratelimit

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/pushback"
)

// Ask is a message to the host that lends the permits of an endpoint: it requests a permit for one request.
type Ask struct {
	_ struct{} `cbor:",toarray"`

	// Number is repeated in the reply.
	Number uint64
	// Limit is the endpoint's limit as the asking host has received it.
	Limit pushback.LimitNotice
	// Rank orders waiting requests: 0 is the most urgent.
	Rank uint8
	// Wait is how long the request can wait.
	Wait time.Duration
	// IsSuccessor is set if the hosts that precede the recipient in the order do not reply.
	IsSuccessor bool
}

// Reply is the reply to an Ask.
type Reply struct {
	_ struct{} `cbor:",toarray"`

	Number uint64
	// IsGranted is set if one request may be sent.
	IsGranted bool
	// Waited is the time from the arrival of the Ask until the permit was granted.
	Waited time.Duration
	// If no permit was granted, Next is the time until one may be free. Spread is the interval over which hosts
	// spread their next Ask from then on, so that they do not all ask at the same time.
	Next   time.Duration
	Spread time.Duration
}

// permitValidity is about the time that sending a request takes once it has a permit.
const permitValidity = 100 * time.Millisecond

// Permit allows one request to be sent to an endpoint. The zero value allows none.
type Permit struct {
	endpoint pushback.Instance
	until    time.Time
}

// isValidFor reports whether a permit allows a request to an endpoint now.
func (p *Permit) isValidFor(endpoint pushback.Instance, now time.Time) bool {
	return p.endpoint == endpoint && now.Before(p.until)
}

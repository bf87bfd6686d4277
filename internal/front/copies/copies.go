// Package copies keeps copies of a request that has crashed endpoints from being sent in parallel: its callers send it
// again under new IDs and at any host, and copies that wait for an endpoint would leave together, before the first of
// them is seen to crash another one.
//
// For each such request one live host lends the right to send a copy, to one host at a time: the first in an order that
// every host computes alike (package coordinator). A host returns it once it is known how the copy ended. Lender holds
// the rules and does no I/O; Gate asks for the right and adds the messages between hosts, which may be lost.
//
// The package owns the rights that this host has lent and the copies that wait at this host. It relies on package poison
// for the endpoints that have ended under a request. Package relay calls it.
package copies

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Outcome is how a copy ended. Numbers on the wire must not change.
type Outcome uint8

// The outcomes.
const (
	// Unused: the copy was not sent, or not to an endpoint that ran it.
	Unused Outcome = 0
	// Answered: the answer is complete.
	Answered Outcome = 1
	// Unanswered: the copy was sent and has no complete answer.
	Unanswered Outcome = 2
)

// The messages between hosts: CBOR arrays, whose fields must not change, since hosts of different versions run side by
// side. Hosts that don't know the kinds drop them.

// Ask asks for the right to send a copy of a request.
type Ask struct {
	_ struct{} `cbor:",toarray"`

	// Number is repeated in the reply and in the Return.
	Number  uint64
	Content keys.Content
	// Left is the time until the request's limit.
	Left time.Duration
	// IsApart is set for a request by which the content can be told from another part of prompts.
	IsApart bool
}

// Reply answers an Ask.
type Reply struct {
	_ struct{} `cbor:",toarray"`

	Number uint64
	// IsLent is set if a copy may be sent. Otherwise Wait is the time until that may be, or 0 if it is unknown.
	IsLent bool
	Wait   time.Duration
}

// Return returns the right to send a copy.
type Return struct {
	_ struct{} `cbor:",toarray"`

	Number  uint64
	Content keys.Content
	Outcome Outcome
}

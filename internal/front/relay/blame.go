package relay

import (
	"context"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/copies"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// blame is what a request may be refused for: contents that crash the endpoints that run them (package poison).
type blame struct {
	// contents are the key of the request and those of the shared parts of its prompt, from the last one on.
	contents []keys.Content
	// poison is the one for which the request was refused, or 0. Trial are the parts of whose verdicts it is a trial.
	poison keys.Content
	trial  []keys.Content

	mu sync.Mutex
	// lease is the right to send a copy of the request, or nil. IsSent is set once it has been sent.
	lease  *copies.Lease
	isSent bool
}

// endTrial ends a trial: it is one attempt.
func (b *blame) endTrial() { b.trial = nil }

// hasLease reports whether the request has the right to be sent although endpoints have crashed under it.
func (b *blame) hasLease() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lease.IsValid() && !b.isSent
}

// setLease replaces the lease, and returns the one before, or nil.
func (b *blame) setLease(lease *copies.Lease) *copies.Lease {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.lease
	b.lease, b.isSent = lease, false
	return before
}

// setSent records whether the lease was used for an attempt.
func (b *blame) setSent(isSent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isSent = isSent
}

// endLease returns the right to send the request, if it has it. Without an answer, the outcome is that of the attempt for
// which it was used.
func (b *blame) endLease(isAnswered bool) {
	b.mu.Lock()
	outcome := copies.Unused
	switch {
	case isAnswered:
		outcome = copies.Answered
	case b.isSent:
		outcome = copies.Unanswered
	}
	b.mu.Unlock()
	if lease := b.setLease(nil); lease != nil {
		lease.End(outcome)
	}
}

// isHeld reports whether the request must not be sent before hold.
func (x *exchange) isHeld() bool {
	return x.server.parts.Copies.IsLimited(x.key) && !x.blame.hasLease()
}

// hold waits until the request may be sent, at most until a time. Otherwise it returns false and when to retry.
func (x *exchange) hold(ctx context.Context, until time.Time) (retryAfter time.Duration, ok bool) {
	x.blame.endLease(false)
	p := &x.server.parts
	lease, wait, ok := p.Copies.Acquire(ctx, x.key, x.deadline.Sub(p.Clock.Now()), until)
	x.blame.setLease(lease)
	return wait, ok
}

// isPoison reports whether the request must not be sent.
func (x *exchange) isPoison() bool {
	content, isPoison := x.server.parts.Poison.FindPoison(x.blame.contents, &x.blame.trial)
	if isPoison {
		x.blame.poison = content
	}
	return isPoison
}

// maxSharedParts bounds the parts of a prompt that are examined for poison.
const maxSharedParts = 32

// sharedParts returns the keys of the parts of a prompt that other requests may share, from the last one on. The last
// part of a prompt is the request's own.
func sharedParts(workspace string, parts []Part) []keys.Content {
	var shared []keys.Content
	for n := len(parts) - 2; n >= 0 && len(shared) < maxSharedParts; n-- {
		shared = append(shared, keys.OfPart(workspace, parts[n].ID))
	}
	return shared
}

// poisonPart returns the ID of the part of the prompt for which the request was refused, or "" if there is none.
func (x *exchange) poisonPart() string {
	for _, part := range x.call.Parts {
		if x.blame.poison.IsPart() && keys.OfPart(x.workspace, part.ID) == x.blame.poison {
			return part.ID
		}
	}
	return ""
}

package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/copies"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/poison"
)

// blame is what a request may be refused for: contents that crash the endpoints that run them (package poison).
type blame struct {
	// contents are the key of the request and those of the shared parts of its prompt, from the last one on.
	contents []keys.Content

	// mu guards what follows, which a search for a successor uses while an attempt goes on.
	mu sync.Mutex
	// poison is the one for which the request was refused, or 0. Trial are the parts of whose verdicts it is a trial.
	poison keys.Content
	trial  []keys.Content
	// leases are the rights to send the request although endpoints have crashed under some of its contents. IsSent is set
	// once it has been sent with them.
	leases map[keys.Content]*copies.Lease
	isSent bool
}

// endTrial ends a trial: it is one attempt.
func (b *blame) endTrial() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trial = nil
}

// isTrial reports whether the request is a trial of the verdict on a part.
func (b *blame) isTrial() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.trial) > 0
}

// hasLease reports whether the request has the right to be sent although endpoints have crashed under some contents.
func (b *blame) hasLease(limit poison.Limit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leases[limit.Content].IsValid() && !b.isSent
}

// addLease adds a lease, unless it is nil.
func (b *blame) addLease(content keys.Content, lease *copies.Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leases == nil {
		b.leases = make(map[keys.Content]*copies.Lease)
	}
	if lease != nil {
		b.leases[content] = lease
	}
}

// setSent records whether the leases were used for an attempt.
func (b *blame) setSent(isSent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isSent = isSent
}

// takeLeases returns the function that ends the leases, for an attempt without an answer or with a complete one. The request
// no longer has them.
func (b *blame) takeLeases() func(isAnswered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	leases, outcome := b.leases, copies.Unused
	if b.isSent {
		outcome = copies.Unanswered
	}
	b.leases, b.isSent = nil, false
	return func(isAnswered bool) {
		if isAnswered {
			outcome = copies.Answered
		}
		for _, lease := range leases {
			lease.End(outcome)
		}
	}
}

// isHeld reports whether the request must not be sent before hold.
func (x *exchange) isHeld() bool {
	return slices.ContainsFunc(x.limits(), func(l poison.Limit) bool { return !x.blame.hasLease(l) })
}

// limits returns the contents for which the request is sent only with a lease. A trial of the verdict on a part needs none for
// its other parts: trials are sent one at a time, and may be the only requests that can clear these.
func (x *exchange) limits() []poison.Limit {
	limits := x.server.parts.Copies.Limits(x.blame.contents)
	if len(limits) == 0 || !x.blame.isTrial() {
		return limits
	}
	return slices.DeleteFunc(limits, func(l poison.Limit) bool { return l.Content.IsPart() })
}

// hold waits until the request may be sent, at most until a time. Otherwise it returns false and when to retry.
func (x *exchange) hold(ctx context.Context, until time.Time) (retryAfter time.Duration, ok bool) {
	p := &x.server.parts
	x.blame.takeLeases()(false)
	limits := x.limits()
	// All requests acquire leases in the same order, so that no two wait for each other.
	slices.SortFunc(limits, func(a, b poison.Limit) int { return cmp.Compare(a.Content, b.Content) })
	for _, limit := range limits {
		lease, wait, ok := p.Copies.Acquire(ctx, limit, x.deadline.Sub(p.Clock.Now()), until)
		if !ok {
			x.blame.takeLeases()(false)
			return wait, false
		}
		x.blame.addLease(limit.Content, lease)
	}
	return 0, true
}

// isPoison reports whether the request must not be sent.
func (x *exchange) isPoison() bool {
	x.blame.mu.Lock()
	defer x.blame.mu.Unlock()
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

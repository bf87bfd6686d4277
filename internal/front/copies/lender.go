package copies

import (
	"maps"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/poison"
)

const (
	// maxLoan bounds the time for which the right to send a copy is lent.
	maxLoan = 2 * time.Minute
	// evidenceTime is how long after the end of an unanswered copy no other one is sent: by then the reports on the crash of
	// its endpoint have arrived.
	evidenceTime = 200 * time.Millisecond
	// historyTime is how long a request's unanswered copies count.
	historyTime = 10 * time.Minute
	// maxRequests bounds the requests of a lender to about 1 MB.
	maxRequests = 8192
)

// Lender lends the rights to send copies. It takes the time as a parameter and is not safe for concurrent use.
type Lender struct {
	requests map[keys.Content]*loan
}

// loan is the state of the right to send copies of one request.
type loan struct {
	// holder is the host that has the right until a time, number that of its Ask. It is zero if no host has it.
	holder envelope.Sender
	number uint64
	until  time.Time
	// unanswered is the number of copies in a row without an answer. No copy is sent before notBefore.
	unanswered int
	notBefore  time.Time
	usedAt     time.Time
}

// NewLender returns a lender that has lent nothing.
func NewLender() *Lender { return &Lender{requests: make(map[keys.Content]*loan)} }

// Lend lends the right to send a copy to a host, or returns the time until that may be possible, 0 if it is unknown. Wait
// is the time until the evidence allows a copy. IsLive reports whether a host that has the right is still running.
func (l *Lender) Lend(now time.Time, ask *Ask, host envelope.Sender, wait time.Duration, isLive func(envelope.Sender) bool) (time.Duration, bool) {
	r := l.request(ask.Content)
	r.usedAt = now
	isLent := r.holder.Host != "" && now.Before(r.until) && isLive(r.holder)
	switch {
	case isLent && r.holder == host && r.number == ask.Number:
		// The Ask was repeated.
		return 0, true
	case isLent && r.holder != host:
		return 0, false
	case isLent:
		// A host asks again only after its last copy has ended, or if no reply has reached it.
		r.end(now, ask.Content, Unused)
	}
	if !ask.IsApart {
		wait = max(wait, r.notBefore.Sub(now))
	}
	if wait > 0 {
		return wait, false
	}
	r.holder, r.number, r.until = host, ask.Number, now.Add(min(ask.Left, maxLoan))
	return 0, true
}

// Return ends a host's right to send a copy.
func (l *Lender) Return(now time.Time, back *Return, host envelope.Sender) {
	r := l.requests[back.Content]
	if r == nil || r.holder != host || r.number != back.Number {
		return
	}
	r.end(now, back.Content, back.Outcome)
}

// end ends the loan. For parts of prompts, which many requests have, only the evidence lengthens the time to the next one.
func (r *loan) end(now time.Time, content keys.Content, outcome Outcome) {
	r.holder = envelope.Sender{}
	switch outcome {
	case Answered:
		r.unanswered = 0
	case Unanswered:
		r.notBefore = now.Add(evidenceTime)
		if !content.IsPart() {
			r.unanswered++
			r.notBefore = now.Add(max(evidenceTime, poison.CopyDelay(r.unanswered)))
		}
	}
}

func (l *Lender) request(content keys.Content) *loan {
	r := l.requests[content]
	if r == nil {
		if len(l.requests) >= maxRequests {
			l.dropOldest()
		}
		r = new(loan)
		l.requests[content] = r
	}
	return r
}

// dropOldest drops the request that was asked for the longest ago.
func (l *Lender) dropOldest() {
	var oldest keys.Content
	var at time.Time
	for content, r := range l.requests {
		if at.IsZero() || r.usedAt.Before(at) {
			oldest, at = content, r.usedAt
		}
	}
	delete(l.requests, oldest)
}

// Expire removes the requests that were not asked for within historyTime.
func (l *Lender) Expire(now time.Time) {
	maps.DeleteFunc(l.requests, func(_ keys.Content, r *loan) bool { return now.Sub(r.usedAt) > historyTime && !now.Before(r.until) })
}

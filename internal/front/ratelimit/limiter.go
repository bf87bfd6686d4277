package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/coordinator"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

const (
	// replyTimeout is how long a reply may take in addition to the requested wait. Round trips between peers take
	// about a millisecond.
	replyTimeout = 50 * time.Millisecond
	// noReplyPause is how long a host does not ask again for the permits of an endpoint after it got no reply.
	noReplyPause = 200 * time.Millisecond
	// noReplyTimeout is how long a lender may leave Asks unanswered, at least two in a row, before the next host in
	// order is asked. It is well below the time after which gossip drops an unresponsive peer. avoidTime is how long
	// the lender is then passed over.
	noReplyTimeout = 500 * time.Millisecond
	avoidTime      = 3 * time.Second
	// minDenialPause is the shortest time for which a denied host does not ask again: the next permit may already be due
	// to a queued request.
	minDenialPause = 10 * time.Millisecond
	// unsettledPause is how long a host that does not know its peers yet waits for permits that it would lend itself.
	unsettledPause = 200 * time.Millisecond
)

// Parts are the dependencies of a Limiter.
type Parts struct {
	Limits *pushback.Limits
	Lender *Lender
	Peers  coordinator.Peers
	// CountPermit is called with the outcome of each Ask.
	CountPermit func(counters.PermitResult)
	Log         *logrus.Entry
	Clock       func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
}

// Limiter acquires the permits for the requests of this host. It is safe for concurrent use.
type Limiter struct {
	parts Parts
	asker *coordinator.Asker[Reply]

	mu      sync.Mutex
	denials map[pushback.Instance]denial
	// queued wakes Run after a request was queued at the lender of this host.
	queued chan struct{}
}

// denial records that this host got no permit for an endpoint.
type denial struct {
	limit pushback.Limit
	// nextPermitAt is when a permit may be free, askAgainAt when this host may ask again.
	nextPermitAt, askAgainAt time.Time
}

// New returns a limiter without denials.
func New(parts Parts) *Limiter {
	return &Limiter{
		parts: parts, denials: make(map[pushback.Instance]denial), queued: make(chan struct{}, 1),
		asker: coordinator.New[Reply](coordinator.Parts{
			Peers: parts.Peers, Log: parts.Log, Clock: parts.Clock, Random: parts.Random, NoReplyTimeout: noReplyTimeout, AvoidTime: avoidTime,
			NoReplyLine: "no reply from the peer that lends permits; the next host in order is asked",
		}),
	}
}

// Denied is the endpoint among several for which a permit may be free first, if none may be asked for now.
type Denied struct {
	Endpoint *directory.Entry
	// Next is the expected time of that permit.
	Next time.Time
}

// Usable returns the endpoints that have no limit or for which this host may ask for a permit, and among the others
// the one for which a permit is expected first. Without mayAsk it returns only those without a limit. The list is not
// modified.
func (l *Limiter) Usable(endpoints []*directory.Entry, mayAsk bool) (usable []*directory.Entry, denied Denied) {
	if !l.parts.Limits.Any() {
		return endpoints, Denied{}
	}
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range endpoints {
		endpoint := instanceOf(e)
		limit := l.parts.Limits.Get(endpoint)
		d := l.denials[endpoint]
		if !limit.IsSet || (mayAsk && (d.limit != limit || !now.Before(d.askAgainAt))) {
			usable = append(usable, e)
			continue
		}
		if denied.Endpoint == nil || d.nextPermitAt.Before(denied.Next) {
			denied = Denied{Endpoint: e, Next: d.nextPermitAt}
		}
	}
	return usable, denied
}

// instanceOf returns the instance of an endpoint that a directory entry describes.
func instanceOf(e *directory.Entry) pushback.Instance {
	return pushback.Instance{ID: e.ID, Version: e.Endpoint.Version}
}

// IsLimited reports whether requests to an endpoint need a permit.
func (l *Limiter) IsLimited(endpoint pushback.Instance) bool {
	return l.parts.Limits.Get(endpoint).IsSet
}

// MaySend reports whether a request may be sent to an endpoint now: the endpoint has no limit, or the permit is still
// valid.
func (l *Limiter) MaySend(endpoint pushback.Instance, permit Permit) bool {
	return !l.IsLimited(endpoint) || permit.isValidFor(endpoint, l.parts.Clock())
}

// Acquire asks for a permit for a request of a rank (0 is the most urgent) that can wait for a time. It returns false
// if there is none, or if ctx ends first.
func (l *Limiter) Acquire(ctx context.Context, endpoint pushback.Instance, rank uint8, wait time.Duration) (Permit, bool) {
	lender, isSuccessor, ok := l.pickLender(endpoint.ID)
	if !ok {
		l.recordDenial(endpoint, unsettledPause, unsettledPause)
		return Permit{}, false
	}
	asked := l.parts.Clock()
	number, replies := l.register()
	defer l.asker.Unregister(number)
	ask := &Ask{Number: number, Limit: l.parts.Limits.Notice(endpoint), Rank: rank, Wait: wait, IsSuccessor: isSuccessor}
	l.sendAsk(lender, ask)
	reply, ok := l.asker.Await(ctx, lender, replies, wait+replyTimeout)
	switch {
	case ok:
		return l.permitFrom(endpoint, asked, &reply)
	case ctx.Err() == nil:
		l.parts.CountPermit(counters.PermitUnanswered)
		l.recordDenial(endpoint, noReplyPause, noReplyPause)
	}
	return Permit{}, false
}

// permitFrom returns the permit that a reply grants, or records its denial.
func (l *Limiter) permitFrom(endpoint pushback.Instance, asked time.Time, reply *Reply) (Permit, bool) {
	if reply.IsGranted {
		l.parts.CountPermit(counters.PermitGranted)
		// Validity counts from before the Ask was sent, so that a late reply does not extend it.
		return Permit{endpoint: endpoint, until: asked.Add(reply.Waited + permitValidity)}, true
	}
	l.parts.CountPermit(counters.PermitDenied)
	next := max(reply.Next, minDenialPause)
	l.recordDenial(endpoint, next, next+time.Duration(l.parts.Random()*float64(reply.Spread)))
	return Permit{}, false
}

// sendAsk sends an Ask to a lender, which may be this host.
func (l *Limiter) sendAsk(lender envelope.Sender, ask *Ask) {
	self := l.parts.Peers.Senders()[0]
	if lender != self {
		l.parts.Peers.SendTo(lender.Host, envelope.KindPermitRequest, ask)
		return
	}
	if reply, isReplied := l.parts.Lender.Ask(self.Host, ask, l.passedOver(ask)); isReplied {
		l.deliverReply(&reply)
		return
	}
	lifetime.Wake(l.queued)
}

// pickLender returns the host that lends the permits of an endpoint, and whether it replaces an unresponsive one. OK
// is false if that is this host and it does not know its peers yet.
func (l *Limiter) pickLender(endpoint string) (lender envelope.Sender, isSuccessor, ok bool) {
	return l.asker.Pick(endpoint)
}

// isLender reports whether this host lends the permits of an endpoint.
func (l *Limiter) isLender(endpoint string) bool {
	lender, _, ok := l.pickLender(endpoint)
	return ok && lender == l.parts.Peers.Senders()[0]
}

// passedOver returns the number of hosts that precede this one in the order of lenders. It does not depend on which
// of them the asking host has passed over, so two hosts that lend at the same time get different numbers.
func (l *Limiter) passedOver(ask *Ask) int {
	before := l.asker.Preceding(ask.Limit.Endpoint.ID)
	if ask.IsSuccessor {
		// The asking host sees a preceding host that this one does not.
		return max(before, 1)
	}
	return before
}

// register returns the number for a new Ask, and the channel that receives its reply.
func (l *Limiter) register() (uint64, <-chan Reply) { return l.asker.Register() }

// recordDenial records that this host got no permit for an endpoint.
func (l *Limiter) recordDenial(endpoint pushback.Instance, next, until time.Duration) {
	now := l.parts.Clock()
	limit := l.parts.Limits.Get(endpoint)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.denials[endpoint] = denial{limit: limit, nextPermitAt: now.Add(next), askAgainAt: now.Add(until)}
}

// HandleAsk handles a peer's Ask, encoded as CBOR.
func (l *Limiter) HandleAsk(from envelope.Sender, body []byte) {
	var ask Ask
	if !l.decode(from, body, &ask) {
		return
	}
	if !ask.IsSuccessor && !l.isLender(ask.Limit.Endpoint.ID) {
		// Hosts may disagree on who lends, and must not lend at the same time.
		l.sendReply(from.Host, &Reply{Number: ask.Number, Next: unsettledPause})
		return
	}
	if reply, isReplied := l.parts.Lender.Ask(from.Host, &ask, l.passedOver(&ask)); isReplied {
		l.sendReply(from.Host, &reply)
		return
	}
	lifetime.Wake(l.queued)
}

func (l *Limiter) sendReply(host string, reply *Reply) {
	l.parts.Peers.SendTo(host, envelope.KindPermitReply, reply)
}

// HandleReply handles a peer's Reply, encoded as CBOR.
func (l *Limiter) HandleReply(from envelope.Sender, body []byte) {
	var reply Reply
	if l.decode(from, body, &reply) {
		l.deliverReply(&reply)
	}
}

// deliverReply passes a reply to the Acquire call that awaits it. A late reply is dropped and its permit is lost.
func (l *Limiter) deliverReply(reply *Reply) { l.asker.Deliver(reply.Number, *reply) }

// decode decodes a peer's message, and returns false if it can't.
func (l *Limiter) decode(from envelope.Sender, body []byte, message any) bool {
	err := cbor.Unmarshal(body, message)
	if err != nil {
		l.parts.Log.WithError(err).WithField("from", from.Host).Warn("peer's message can't be decoded; dropped")
	}
	return err == nil
}

// Run replies to the requests queued at the lender of this host, until done is closed.
func (l *Limiter) Run(done <-chan struct{}) {
	var due <-chan time.Time
	for {
		select {
		case <-l.queued:
		case <-due:
		case <-done:
			return
		}
		due = l.replyToWaiting()
	}
}

// replyToWaiting sends the replies that are due, and returns a channel that fires when the next may be due, or nil if
// no request waits.
func (l *Limiter) replyToWaiting() <-chan time.Time {
	replies, next, isWaiting := l.parts.Lender.Due()
	self := l.parts.Peers.Senders()[0]
	for _, r := range replies {
		if r.Host == self.Host {
			l.deliverReply(&r.Reply)
			continue
		}
		l.sendReply(r.Host, &r.Reply)
	}
	if !isWaiting {
		return nil
	}
	return time.After(max(next.Sub(l.parts.Clock()), time.Millisecond))
}

// Expire removes expired denials. It also calls Expire of the Lender and of the Asker. It is called about once a second.
func (l *Limiter) Expire() {
	l.parts.Lender.Expire()
	l.asker.Expire()
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for endpoint, d := range l.denials {
		if !now.Before(d.askAgainAt) {
			delete(l.denials, endpoint)
		}
	}
}

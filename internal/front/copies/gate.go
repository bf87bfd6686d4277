package copies

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/coordinator"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/poison"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

const (
	// replyTimeout bounds the wait for a reply: a round trip takes a millisecond.
	replyTimeout = 150 * time.Millisecond
	// noReplyTimeout and avoidTime are those of the coordinator.
	noReplyTimeout = 500 * time.Millisecond
	avoidTime      = 3 * time.Second
	// askIntervalPerHost times the number of hosts is the least time between two Asks of a host while a copy is out, and
	// minAskShare the part of the time that is always waited.
	askIntervalPerHost = 2 * time.Millisecond
	minAskShare        = 0.5
	// maxWaiting bounds the copies of a request that wait at this host.
	maxWaiting = 16
	// returnDelay is the time after which a Return is sent again, since datagrams may be lost.
	returnDelay = 50 * time.Millisecond
)

// askBackoff is the time between two Asks while a copy is out.
var askBackoff = backoff.Doubling{First: 20 * time.Millisecond, Longest: 200 * time.Millisecond}

// Evidence knows which requests have crashed endpoints. Its methods must not block.
type Evidence interface {
	// CopyWait reports whether requests with some contents are sent one at a time, and the time until the next one may be.
	// IsApart is set for one by which two parts of prompts can be distinguished.
	CopyWait(content keys.Content, isApart bool) (wait time.Duration, isLimited bool)
	// Limits returns those of the contents of a request that are sent one at a time.
	Limits(contents []keys.Content) []poison.Limit
	// MayLend reports whether a copy may be sent as far as other sides of a partition go. IsSuccessor is set if hosts that
	// precede this one do not reply.
	MayLend(content keys.Content, isSuccessor bool) bool
}

// Parts are the dependencies of a Gate.
type Parts struct {
	Evidence Evidence
	Peers    coordinator.Peers
	// CountRefused counts messages of peers that are refused.
	CountRefused func(reason counters.RefusedPeerMessage)
	Log          *logrus.Entry
	Clock        func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
}

// Gate acquires the rights to send copies for the requests of this host. It is safe for concurrent use.
type Gate struct {
	parts Parts
	asker *coordinator.Asker[Reply]

	mu     sync.Mutex
	lender *Lender
	queues map[keys.Content]*queue
}

// queue holds the copies of a request at this host. One of them may ask, or be sent, at a time: the one that has put a
// value into turn.
type queue struct {
	turn  chan struct{}
	users int
}

// New returns a gate that holds nothing back.
func New(parts Parts) *Gate {
	return &Gate{
		parts: parts, lender: NewLender(), queues: make(map[keys.Content]*queue),
		asker: coordinator.New[Reply](coordinator.Parts{
			Peers: parts.Peers, Log: parts.Log, Clock: parts.Clock, Random: parts.Random, NoReplyTimeout: noReplyTimeout, AvoidTime: avoidTime,
			NoReplyLine: "no reply from the peer that lends the right to send copies; the next host in order is asked",
		}),
	}
}

// Lease is the right to send a copy of a request. End must be called.
type Lease struct {
	gate    *Gate
	content keys.Content
	number  uint64
	lender  envelope.Sender
	until   time.Time
	ended   sync.Once
}

// Limits returns those of a request's contents for which it is sent only with a lease.
func (g *Gate) Limits(contents []keys.Content) []poison.Limit {
	return g.parts.Evidence.Limits(contents)
}

func (g *Gate) isLimited(content keys.Content) bool {
	_, isLimited := g.parts.Evidence.CopyWait(content, false)
	return isLimited
}

// Acquire waits until a request with a limit on its contents and some time left may be sent, at most until a time. The lease
// is nil if the contents need none. It returns false, and the time until the request may be sent, 0 if it is unknown, if that
// takes longer, if too many requests wait, or if ctx ends. Leases on several contents are acquired in their order.
func (g *Gate) Acquire(ctx context.Context, limit poison.Limit, left time.Duration, until time.Time) (*Lease, time.Duration, bool) {
	content := limit.Content
	q := g.enter(content)
	if q == nil {
		return nil, 0, false
	}
	timer := time.NewTimer(until.Sub(g.parts.Clock()))
	defer timer.Stop()
	select {
	case q.turn <- struct{}{}:
	case <-timer.C:
		g.leave(content, q)
		return nil, 0, false
	case <-ctx.Done():
		g.leave(content, q)
		return nil, 0, false
	}
	lease, wait, ok := g.acquire(ctx, limit, left, until)
	if lease == nil {
		g.endTurn(content)
	}
	return lease, wait, ok
}

// acquire is Acquire for the copy whose turn it is at this host.
func (g *Gate) acquire(ctx context.Context, limit poison.Limit, left time.Duration, until time.Time) (*Lease, time.Duration, bool) {
	for asks := 0; g.isLimited(limit.Content); asks++ {
		lease, wait := g.ask(ctx, limit, left)
		if lease != nil {
			return lease, 0, true
		}
		interval := max(askBackoff.Span(asks), time.Duration(len(g.parts.Peers.Senders()))*askIntervalPerHost)
		pause := max(wait, backoff.Jitter(interval, minAskShare, g.parts.Random()))
		if g.parts.Clock().Add(pause).After(until) || !lifetime.Sleep(ctx, pause) {
			return nil, wait, false
		}
	}
	return nil, 0, true
}

// ask asks for the right to send a copy once.
func (g *Gate) ask(ctx context.Context, limit poison.Limit, left time.Duration) (*Lease, time.Duration) {
	content := limit.Content
	lender, _, ok := g.asker.Pick(content.String())
	if !ok {
		return nil, 0
	}
	number, replies := g.asker.Register()
	defer g.asker.Unregister(number)
	ask := &Ask{Number: number, Content: content, Left: left, IsApart: limit.IsApart}
	lease := &Lease{gate: g, content: content, number: number, lender: lender, until: g.parts.Clock().Add(min(left, maxLoan))}
	if self := g.parts.Peers.Senders()[0]; lender == self {
		wait, isLent := g.lend(ask, self)
		if !isLent {
			return nil, wait
		}
		return lease, 0
	}
	g.parts.Peers.SendTo(lender.Host, envelope.KindCopyAsk, ask)
	reply, isAnswered := g.asker.Await(ctx, lender, replies, replyTimeout)
	if !isAnswered || !reply.IsLent {
		return nil, reply.Wait
	}
	return lease, 0
}

// lend lends the right to send a copy, as the host that decides.
func (g *Gate) lend(ask *Ask, host envelope.Sender) (time.Duration, bool) {
	if !g.parts.Evidence.MayLend(ask.Content, g.asker.Preceding(ask.Content.String()) > 0) {
		return 0, false
	}
	wait, _ := g.parts.Evidence.CopyWait(ask.Content, ask.IsApart)
	live := g.parts.Peers.Senders()
	isLive := func(holder envelope.Sender) bool { return slices.Contains(live, holder) }
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lender.Lend(g.parts.Clock(), ask, host, wait, isLive)
}

// IsValid reports whether a copy may still be sent with the lease.
func (l *Lease) IsValid() bool { return l != nil && l.gate.parts.Clock().Before(l.until) }

// End returns the right to send a copy. Later calls have no effect.
func (l *Lease) End(outcome Outcome) {
	l.ended.Do(func() {
		g := l.gate
		g.endTurn(l.content)
		back := &Return{Number: l.number, Content: l.content, Outcome: outcome}
		if self := g.parts.Peers.Senders()[0]; l.lender == self {
			g.handleReturn(self, back)
			return
		}
		send := func() { g.parts.Peers.SendTo(l.lender.Host, envelope.KindCopyReturn, back) }
		send()
		time.AfterFunc(returnDelay, send)
	})
}

// enter returns the queue of a request at this host, or nil if too many copies wait.
func (g *Gate) enter(content keys.Content) *queue {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queues[content]
	if q == nil {
		q = &queue{turn: make(chan struct{}, 1)}
		g.queues[content] = q
	}
	if q.users > maxWaiting {
		return nil
	}
	q.users++
	return q
}

func (g *Gate) leave(content keys.Content, q *queue) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if q.users--; q.users == 0 {
		delete(g.queues, content)
	}
}

// endTurn lets the next copy at this host ask.
func (g *Gate) endTurn(content keys.Content) {
	g.mu.Lock()
	q := g.queues[content]
	g.mu.Unlock()
	<-q.turn
	g.leave(content, q)
}

// HandleAsk handles a peer's Ask, encoded as CBOR.
func (g *Gate) HandleAsk(from envelope.Sender, body []byte) {
	var ask Ask
	if !g.decode(from, body, &ask) {
		return
	}
	reply := &Reply{Number: ask.Number}
	reply.Wait, reply.IsLent = g.lend(&ask, from)
	g.parts.Peers.SendTo(from.Host, envelope.KindCopyReply, reply)
}

// HandleReply handles a peer's Reply, encoded as CBOR.
func (g *Gate) HandleReply(from envelope.Sender, body []byte) {
	var reply Reply
	if g.decode(from, body, &reply) {
		g.asker.Deliver(reply.Number, reply)
	}
}

// HandleReturn handles a peer's Return, encoded as CBOR.
func (g *Gate) HandleReturn(from envelope.Sender, body []byte) {
	var back Return
	if g.decode(from, body, &back) {
		g.handleReturn(from, &back)
	}
}

func (g *Gate) handleReturn(from envelope.Sender, back *Return) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lender.Return(g.parts.Clock(), back, from)
}

func (g *Gate) decode(from envelope.Sender, body []byte, message any) bool {
	if err := cbor.Unmarshal(body, message); err != nil {
		g.parts.Log.WithError(err).WithField("peer", from.Host).Warn("peer's message about copies can't be decoded; dropped")
		g.parts.CountRefused(counters.RefusedMalformed)
		return false
	}
	return true
}

// Expire removes what has expired. It is called about once a second.
func (g *Gate) Expire() {
	g.asker.Expire()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lender.Expire(g.parts.Clock())
}

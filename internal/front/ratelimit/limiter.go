package ratelimit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

const (
	// replyTimeout is how long a reply may take beside the wait that was asked for. Peers are a millisecond apart.
	replyTimeout = 50 * time.Millisecond
	// unansweredPause is how long a host does not ask for an endpoint again after it got no reply.
	unansweredPause = 200 * time.Millisecond
	// silenceTime is how long a peer that lends may reply to nothing before the next in order is asked: twice in a row at
	// least, and well within the time in which peers are dropped for their silence. avoidTime is for how long it is passed
	// over then.
	silenceTime = 500 * time.Millisecond
	avoidTime   = 3 * time.Second
	// leastPause is how long a host that was denied a permit does not ask again at the least: one may be about to be lent
	// to a request that waits.
	leastPause = 10 * time.Millisecond
	// unsettledPause is how long a host that does not know its peers yet waits for permits that it would lend itself.
	unsettledPause = 200 * time.Millisecond
)

// Peers are the other hosts. A message to them may be lost.
type Peers interface {
	// Senders returns the live hosts, this one first.
	Senders() []envelope.Sender
	// IsSettled reports whether this host knows its peers.
	IsSettled() bool
	// SendTo sends a message to a host.
	SendTo(host string, kind envelope.Kind, message any)
}

// Parts are what a limiter works with.
type Parts struct {
	Limits *pushback.Limits
	Lender *Lender
	Peers  Peers
	// CountPermit counts how questions for permits end.
	CountPermit func(counters.PermitResult)
	Log         *logrus.Entry
	Clock       func() time.Time
	// Random returns numbers from 0 up to 1.
	Random func() float64
}

// Limiter gets the permits that this host's requests need. It is safe for concurrent use.
type Limiter struct {
	parts Parts

	mu     sync.Mutex
	number uint64
	// replies are awaited, by the number of the question.
	replies map[uint64]chan Reply
	denials map[pushback.Instance]denial
	// silent are the peers that did not reply to the last question.
	silent map[envelope.Sender]silence
	// queued wakes Run: a request waits at the lender of this host.
	queued chan struct{}
}

// denial is an endpoint for which this host got no permit.
type denial struct {
	limit pushback.Limit
	// next is when a permit may be free, until when this host asks again.
	next, until time.Time
}

// silence is that of a peer which lends.
type silence struct {
	since time.Time
	// asks counts the questions without a reply.
	asks int
	// avoidUntil is until when the peer is passed over.
	avoidUntil time.Time
}

// New returns a limiter that has asked for nothing. It numbers its questions from any number on, so that a reply to an
// earlier start of this host is not taken for one of its own.
func New(parts Parts) *Limiter {
	return &Limiter{
		parts: parts, number: uint64(parts.Random() * math.MaxUint32), replies: make(map[uint64]chan Reply), denials: make(map[pushback.Instance]denial),
		silent: make(map[envelope.Sender]silence), queued: make(chan struct{}, 1),
	}
}

// Denied is the endpoint of several from which a permit may come first, if none may be asked for now.
type Denied struct {
	Endpoint *directory.Entry
	// Next is when that is, as far as is known.
	Next time.Time
}

// Usable returns those of the endpoints that have no limit or for which a permit may be asked, and what is known of the
// others; if mayAsk is not set, only those without a limit. The list is not modified.
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
		if !limit.IsSet || (mayAsk && (d.limit != limit || !now.Before(d.until))) {
			usable = append(usable, e)
			continue
		}
		if denied.Endpoint == nil || d.next.Before(denied.Next) {
			denied = Denied{Endpoint: e, Next: d.next}
		}
	}
	return usable, denied
}

// instanceOf returns the start of an endpoint that its entry shows.
func instanceOf(e *directory.Entry) pushback.Instance {
	return pushback.Instance{ID: e.ID, Version: e.Endpoint.Version}
}

// IsLimited reports whether requests to an endpoint need a permit.
func (l *Limiter) IsLimited(endpoint pushback.Instance) bool {
	return l.parts.Limits.Get(endpoint).IsSet
}

// MaySend reports whether a request may be sent to an endpoint now: it has no limit, or the permit is still good.
func (l *Limiter) MaySend(endpoint pushback.Instance, permit Permit) bool {
	return !l.IsLimited(endpoint) || permit.isGood(endpoint, l.parts.Clock())
}

// Acquire asks for a permit, for a request of a rank (0 is the most urgent) that can wait for a while. It reports false if
// there is none, or ctx ended.
func (l *Limiter) Acquire(ctx context.Context, endpoint pushback.Instance, rank uint8, wait time.Duration) (Permit, bool) {
	lender, isSuccessor, ok := l.lender(endpoint.ID)
	if !ok {
		l.deny(endpoint, unsettledPause, unsettledPause)
		return Permit{}, false
	}
	asked := l.parts.Clock()
	number, replies := l.await()
	defer l.forget(number)
	ask := &Ask{Number: number, Limit: l.parts.Limits.Notice(endpoint), Rank: rank, Wait: wait, IsSuccessor: isSuccessor}
	l.ask(lender, ask)
	timeout := time.NewTimer(wait + replyTimeout)
	defer timeout.Stop()
	select {
	case reply := <-replies:
		l.replied(lender)
		return l.permit(endpoint, asked, &reply)
	case <-timeout.C:
		l.unanswered(lender)
		l.parts.CountPermit(counters.PermitUnanswered)
		l.deny(endpoint, unansweredPause, unansweredPause)
	case <-ctx.Done():
	}
	return Permit{}, false
}

// permit returns what a reply allows.
func (l *Limiter) permit(endpoint pushback.Instance, asked time.Time, reply *Reply) (Permit, bool) {
	if reply.IsGranted {
		l.parts.CountPermit(counters.PermitGranted)
		// Counted from before the question was sent, so that a late reply does not make the permit last longer.
		return Permit{endpoint: endpoint, until: asked.Add(reply.Waited + permitValidity)}, true
	}
	l.parts.CountPermit(counters.PermitDenied)
	next := max(reply.Next, leastPause)
	l.deny(endpoint, next, next+time.Duration(l.parts.Random()*float64(reply.Spread)))
	return Permit{}, false
}

// ask asks a host, which may be this one.
func (l *Limiter) ask(lender envelope.Sender, ask *Ask) {
	self := l.parts.Peers.Senders()[0]
	if lender != self {
		l.parts.Peers.SendTo(lender.Host, envelope.KindPermitRequest, ask)
		return
	}
	if reply, isReplied := l.parts.Lender.Ask(self.Host, ask, l.passedOver(ask)); isReplied {
		l.receivedReply(&reply)
		return
	}
	lifetime.Wake(l.queued)
}

// lender returns the host that lends the permits of an endpoint, and whether it does so in place of a silent one. It
// reports false if that would be this host, which does not know its peers yet.
func (l *Limiter) lender(endpoint string) (lender envelope.Sender, isSuccessor, ok bool) {
	hosts := l.parts.Peers.Senders()
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	var highest, highestSilent uint64
	for _, host := range hosts {
		w := weight(host, endpoint)
		if now.Before(l.silent[host].avoidUntil) {
			highestSilent = max(highestSilent, w)
			continue
		}
		if lender.Host == "" || w > highest {
			lender, highest = host, w
		}
	}
	return lender, highestSilent > highest, lender != hosts[0] || l.parts.Peers.IsSettled()
}

// isFirst reports whether this host is the one that lends the permits of an endpoint.
func (l *Limiter) isFirst(endpoint string) bool {
	lender, _, ok := l.lender(endpoint)
	return ok && lender == l.parts.Peers.Senders()[0]
}

// passedOver returns how many hosts before this one do not lend if this one does. It is the same whichever of them the asking
// host has passed over, so that two hosts that lend have different places.
func (l *Limiter) passedOver(ask *Ask) int {
	senders := l.parts.Peers.Senders()
	own, before := weight(senders[0], ask.Limit.Endpoint.ID), 0
	for _, host := range senders[1:] {
		if weight(host, ask.Limit.Endpoint.ID) > own {
			before++
		}
	}
	if ask.IsSuccessor {
		// The asking host knows of one before this one that this one does not.
		return max(before, 1)
	}
	return before
}

// weight orders the hosts that may lend the permits of an endpoint: the one with the highest does.
func weight(host envelope.Sender, endpoint string) uint64 {
	return xxhash.Sum64String(host.Host + "\x00" + endpoint)
}

// await returns the number for a question, and what receives its reply.
func (l *Limiter) await() (uint64, <-chan Reply) {
	replies := make(chan Reply, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	l.replies[l.number] = replies
	return l.number, replies
}

func (l *Limiter) forget(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.replies, number)
}

// deny notes that this host got no permit for an endpoint.
func (l *Limiter) deny(endpoint pushback.Instance, next, until time.Duration) {
	now := l.parts.Clock()
	limit := l.parts.Limits.Get(endpoint)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.denials[endpoint] = denial{limit: limit, next: now.Add(next), until: now.Add(until)}
}

// replied notes that a peer replies.
func (l *Limiter) replied(lender envelope.Sender) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.silent, lender)
}

// unanswered notes that a peer did not reply.
func (l *Limiter) unanswered(lender envelope.Sender) {
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.silent[lender]
	if s.asks == 0 {
		s.since = now
	}
	s.asks++
	if s.asks > 1 && now.Sub(s.since) >= silenceTime {
		l.parts.Log.WithFields(logrus.Fields{"peer": lender.Host, "asks": s.asks}).Warn("a peer that lends permits does not reply")
		s = silence{avoidUntil: now.Add(avoidTime)}
	}
	l.silent[lender] = s
}

// HandleAsk handles a peer's Ask, in CBOR.
func (l *Limiter) HandleAsk(from envelope.Sender, body []byte) {
	var ask Ask
	if !l.decode(from, body, &ask) {
		return
	}
	if !ask.IsSuccessor && !l.isFirst(ask.Limit.Endpoint.ID) {
		// Hosts that differ on who lends must not both lend.
		l.reply(from.Host, &Reply{Number: ask.Number, Next: unsettledPause})
		return
	}
	if reply, isReplied := l.parts.Lender.Ask(from.Host, &ask, l.passedOver(&ask)); isReplied {
		l.reply(from.Host, &reply)
		return
	}
	lifetime.Wake(l.queued)
}

// reply sends a reply to a peer.
func (l *Limiter) reply(host string, reply *Reply) {
	l.parts.Peers.SendTo(host, envelope.KindPermitReply, reply)
}

// HandleReply handles a peer's Reply, in CBOR.
func (l *Limiter) HandleReply(from envelope.Sender, body []byte) {
	var reply Reply
	if l.decode(from, body, &reply) {
		l.receivedReply(&reply)
	}
}

// receivedReply passes a reply on to whoever awaits it. One that comes too late is dropped: its permit is lost.
func (l *Limiter) receivedReply(reply *Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if replies, ok := l.replies[reply.Number]; ok {
		replies <- *reply
		delete(l.replies, reply.Number)
	}
}

// decode decodes a peer's message, and reports whether it can be.
func (l *Limiter) decode(from envelope.Sender, body []byte, message any) bool {
	err := cbor.Unmarshal(body, message)
	if err != nil {
		l.parts.Log.WithError(err).WithField("from", from.Host).Warn("a peer's message can't be decoded")
	}
	return err == nil
}

// Run replies to requests that wait at the lender of this host, until done is closed.
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

// replyToWaiting replies to requests that wait, and returns what receives when the next reply may be due, or nil.
func (l *Limiter) replyToWaiting() <-chan time.Time {
	replies, next, isWaiting := l.parts.Lender.Due()
	self := l.parts.Peers.Senders()[0]
	for _, r := range replies {
		if r.Host == self.Host {
			l.receivedReply(&r.Reply)
			continue
		}
		l.reply(r.Host, &r.Reply)
	}
	if !isWaiting {
		return nil
	}
	return time.After(max(next.Sub(l.parts.Clock()), time.Millisecond))
}

// Expire forgets what is over. It is called about once a second.
func (l *Limiter) Expire() {
	l.parts.Lender.Expire()
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for endpoint, d := range l.denials {
		if !now.Before(d.until) {
			delete(l.denials, endpoint)
		}
	}
	for host, s := range l.silent {
		if now.Sub(s.since) > avoidTime && !now.Before(s.avoidUntil) {
			delete(l.silent, host)
		}
	}
}

package slots

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/coordinator"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

const (
	// replyTimeout is how long a reply may take beyond the time that the coordinator has announced. Round trips between
	// peers take about a millisecond.
	replyTimeout = 25 * time.Millisecond
	// noReplyTimeout is how long a coordinator may leave requests unanswered, at least two in a row, before the next
	// host in order is asked. It is well below the time after which gossip drops an unresponsive peer. avoidTime is how
	// long the coordinator is then passed over.
	noReplyTimeout = 500 * time.Millisecond
	avoidTime      = 3 * time.Second
	// releaseRepeatDelay is the time after which a release is repeated, since datagrams may be lost.
	releaseRepeatDelay = 20 * time.Millisecond
)

// Parts are the dependencies of a Client.
type Parts struct {
	Coordinator *Coordinator
	Peers       coordinator.Peers
	// Count is called with the result of each request.
	Count func(counters.SlotResult)
	Log   *logrus.Entry
	Clock func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
}

// Client asks the coordinators of services for slots, and connects the Coordinator of this host with its peers. It is
// safe for concurrent use.
type Client struct {
	parts Parts
	asker *coordinator.Asker[Reply]
	// decided wakes Run after a decision, since requests may wait then.
	decided chan struct{}
}

// New returns a client.
func New(parts Parts) *Client {
	return &Client{
		parts: parts, decided: make(chan struct{}, 1),
		asker: coordinator.New[Reply](coordinator.Parts{
			Peers: parts.Peers, Log: parts.Log, Clock: parts.Clock, Random: parts.Random, NoReplyTimeout: noReplyTimeout, AvoidTime: avoidTime,
			NoReplyLine: "no reply from the peer that queues the calls of a service; the next host in order is asked",
		}),
	}
}

// Answer is the result of asking for a slot.
type Answer struct {
	// Result is Granted, TooLate, NoRoom or Alone.
	Result Result
	// Endpoint and Lease are set if the slot was granted. The lease must be released.
	Endpoint keys.Endpoint
	Lease    *Lease
	// RetryAfter is the time after which the caller should return, if the request was refused.
	RetryAfter time.Duration
}

// Lease is a granted slot. It is not safe for concurrent use.
type Lease struct {
	client     *Client
	host       envelope.Sender
	number     uint64
	grantedAt  time.Time
	isReleased bool
}

// Release ends the lease; only the first call has an effect.
func (l *Lease) Release(outcome Outcome) {
	if l.isReleased {
		return
	}
	l.isReleased = true
	l.client.release(l.host, &Release{Number: l.number, Outcome: outcome, Taken: l.client.parts.Clock().Sub(l.grantedAt)})
}

// Acquire asks the coordinator of a service for a slot and waits for its decision. The request's Number is set by
// Acquire. If the coordinator does not reply, the result is Alone. The error is that of ctx.
func (c *Client) Acquire(ctx context.Context, q *Request) (Answer, error) {
	host, _, ok := c.asker.Pick(q.Service)
	if !ok {
		c.parts.Count(counters.SlotAlone)
		return Answer{Result: Alone}, nil
	}
	number, replies := c.asker.Register()
	defer c.asker.Unregister(number)
	q.Number = number
	c.ask(host, q)
	isQueued := false
	for timeout := replyTimeout; ; {
		reply, ok := c.asker.Await(ctx, host, replies, timeout)
		switch {
		case ctx.Err() != nil:
			c.release(host, &Release{Number: number, Outcome: Unused})
			return Answer{}, ctx.Err()
		case !ok:
			c.release(host, &Release{Number: number, Outcome: Unused})
			c.parts.Count(counters.SlotUnanswered)
			return Answer{Result: Alone}, nil
		case reply.Result == Queued:
			isQueued, timeout = true, reply.After+replyTimeout
			continue
		}
		return c.answer(host, &reply, isQueued), nil
	}
}

// answer counts the last reply to a request and converts it.
func (c *Client) answer(host envelope.Sender, reply *Reply, isQueued bool) Answer {
	answer := Answer{Result: reply.Result}
	switch reply.Result {
	case Granted:
		answer.Endpoint = reply.Endpoint
		answer.Lease = &Lease{client: c, host: host, number: reply.Number, grantedAt: c.parts.Clock()}
		if isQueued {
			c.parts.Count(counters.SlotQueued)
		} else {
			c.parts.Count(counters.SlotGranted)
		}
	case TooLate, NoRoom:
		answer.RetryAfter = reply.After
		c.parts.Count(counters.SlotRefused)
	default:
		// A newer version may have further results.
		answer.Result = Alone
		c.parts.Count(counters.SlotAlone)
	}
	return answer
}

// ask sends a request to the coordinator, which may be this host.
func (c *Client) ask(host envelope.Sender, q *Request) {
	self := c.parts.Peers.Senders()[0]
	if host == self {
		c.deliver(c.parts.Coordinator.Ask(c.parts.Clock(), self, q))
		return
	}
	c.parts.Peers.SendTo(host.Host, envelope.KindSlotRequest, q)
}

// release sends a release to the coordinator, which may be this host.
func (c *Client) release(host envelope.Sender, release *Release) {
	self := c.parts.Peers.Senders()[0]
	if host == self {
		c.deliver(c.parts.Coordinator.Release(c.parts.Clock(), self, release))
		return
	}
	send := func() { c.parts.Peers.SendTo(host.Host, envelope.KindSlotRelease, release) }
	send()
	time.AfterFunc(releaseRepeatDelay, send)
}

// deliver sends what the Coordinator of this host has decided.
func (c *Client) deliver(out Outgoing) {
	self := c.parts.Peers.Senders()[0]
	for _, r := range out.Replies {
		if r.Host == self {
			c.handleReply(self, &r.Reply)
			continue
		}
		c.parts.Peers.SendTo(r.Host.Host, envelope.KindSlotReply, &r.Reply)
	}
	for _, s := range out.Shortages {
		c.logShortage(&s)
	}
	if len(out.Replies) > 0 {
		lifetime.Wake(c.decided)
	}
}

func (c *Client) logShortage(s *Shortage) {
	log := c.parts.Log.WithField("service", s.Service)
	if !s.IsOver {
		log.Info("service is short of slots; its calls wait in one queue for all hosts")
		return
	}
	log.WithFields(logrus.Fields{"longest_ms": s.Longest.Milliseconds(), "waited": s.Waited, "workspaces": s.Workspaces}).Info("service is no longer short of slots")
}

// HandleRequest handles a peer's Request, encoded as CBOR.
func (c *Client) HandleRequest(from envelope.Sender, body []byte) {
	var q Request
	if !c.decode(from, body, &q) {
		return
	}
	if !c.parts.Peers.IsSettled() {
		// This host may know too few peers, and their loads, to grant slots.
		c.parts.Peers.SendTo(from.Host, envelope.KindSlotReply, &Reply{Number: q.Number, Result: Alone})
		return
	}
	c.deliver(c.parts.Coordinator.Ask(c.parts.Clock(), from, &q))
}

// HandleReply handles a peer's Reply, encoded as CBOR.
func (c *Client) HandleReply(from envelope.Sender, body []byte) {
	var reply Reply
	if c.decode(from, body, &reply) {
		c.handleReply(from, &reply)
	}
}

// handleReply passes a reply to the Acquire call that awaits it. A grant that nobody awaits any more is released.
func (c *Client) handleReply(from envelope.Sender, reply *Reply) {
	if !c.asker.Deliver(reply.Number, *reply) && reply.Result == Granted {
		c.release(from, &Release{Number: reply.Number, Outcome: Unused})
	}
}

// HandleRelease handles a peer's Release, encoded as CBOR.
func (c *Client) HandleRelease(from envelope.Sender, body []byte) {
	var release Release
	if c.decode(from, body, &release) {
		c.deliver(c.parts.Coordinator.Release(c.parts.Clock(), from, &release))
	}
}

// decode decodes a peer's message, and returns false if it can't.
func (c *Client) decode(from envelope.Sender, body []byte, message any) bool {
	err := cbor.Unmarshal(body, message)
	if err != nil {
		c.parts.Log.WithError(err).WithField("from", from.Host).Warn("peer's message can't be decoded; dropped")
	}
	return err == nil
}

// Run sends the decisions of this host's Coordinator that depend on the time, until done is closed.
func (c *Client) Run(done <-chan struct{}) {
	var due <-chan time.Time
	for {
		select {
		case <-c.decided:
			if due != nil {
				continue
			}
		case <-due:
			c.deliver(c.parts.Coordinator.Due(c.parts.Clock()))
		case <-done:
			return
		}
		due = nil
		if c.parts.Coordinator.IsActive() {
			due = time.After(tickInterval)
		}
	}
}

// Waiting returns the number of requests that wait at this host's Coordinator.
func (c *Client) Waiting() int { return c.parts.Coordinator.Waiting() }

// Expire ends the leases and waits of hosts that are no longer live. It is called about once a second.
func (c *Client) Expire() {
	c.asker.Expire()
	c.deliver(c.parts.Coordinator.Expire(c.parts.Clock(), c.parts.Peers.Senders()))
}

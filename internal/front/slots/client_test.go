package slots

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
)

// oneWay is the latency of a message.
const oneWay = time.Millisecond

// network carries messages between hosts, in virtual time (testing/synctest).
type network struct {
	c     *qt.C
	hosts []*host

	mu        sync.Mutex
	endpoints []Endpoint
	// drops reports whether a message is lost.
	drops func(from, to string, kind envelope.Kind) bool
}

// host is a host of a network. It implements coordinator.Peers.
type host struct {
	network *network
	sender  envelope.Sender
	settled bool
	// hidden is a host that this one does not know.
	hidden  string
	client  *Client
	results map[counters.SlotResult]int
}

// newNetwork returns hosts in front of an endpoint with one slot, the coordinator first.
func newNetwork(c *qt.C) *network {
	n := &network{c: c, endpoints: []Endpoint{{Key: 1, Slots: 1}}, drops: func(string, string, envelope.Kind) bool { return false }}
	log := logrus.New()
	log.SetOutput(io.Discard)
	done := make(chan struct{})
	c.Cleanup(func() { close(done) })
	for i := range 3 {
		h := &host{network: n, sender: envelope.Sender{Host: fmt.Sprint("host-", i), Incarnation: uint32(i)}, settled: true, results: make(map[counters.SlotResult]int)}
		h.client = New(Parts{
			Coordinator: NewCoordinator(n.serving), Peers: h,
			Count: func(result counters.SlotResult) { h.results[result]++ }, Log: logrus.NewEntry(log), Clock: time.Now, Random: func() float64 { return 0 },
		})
		n.hosts = append(n.hosts, h)
		go h.client.Run(done)
	}
	for first, _, _ := n.hosts[0].client.asker.Pick("plain"); n.hosts[0].sender != first; {
		n.hosts = append(n.hosts[1:], n.hosts[0])
	}
	return n
}

// update changes the network's state under its lock.
func (n *network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *network) serving(string) []Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endpoints
}

func (n *network) isLost(from, to string, kind envelope.Kind) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drops(from, to, kind)
}

func (h *host) Senders() []envelope.Sender {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	senders := []envelope.Sender{h.sender}
	for _, other := range h.network.hosts {
		if other != h && other.sender.Host != h.hidden {
			senders = append(senders, other.sender)
		}
	}
	return senders
}

func (h *host) IsSettled() bool { return h.settled }

func (h *host) SendTo(name string, kind envelope.Kind, message any) {
	body, err := cbor.Marshal(message)
	h.network.c.Check(err, qt.IsNil)
	for _, other := range h.network.hosts {
		if other.sender.Host != name || h.network.isLost(h.sender.Host, name, kind) {
			continue
		}
		handle := map[envelope.Kind]envelope.Handler{
			envelope.KindSlotRequest: other.client.HandleRequest, envelope.KindSlotReply: other.client.HandleReply, envelope.KindSlotRelease: other.client.HandleRelease,
		}[kind]
		time.AfterFunc(oneWay, func() { handle(h.sender, body) })
	}
}

// acquire asks for a slot and returns the answer and the time that it took.
func (h *host) acquire(ctx context.Context) (Answer, time.Duration, error) {
	began := time.Now()
	answer, err := h.client.Acquire(ctx, &Request{Service: "plain", Workspace: "w", UntilTarget: time.Second, UntilLimit: 2 * time.Second})
	return answer, time.Since(began), err
}

// requests returns the number of requests that wait or hold a lease at the host's coordinator.
func (h *host) requests() int {
	c := h.client.parts.Coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// fill takes all slots and returns their leases.
func (n *network) fill() []*Lease {
	var leases []*Lease
	for range 1 + spareLeases {
		answer, _, err := n.hosts[1].acquire(context.Background())
		n.c.Assert(err, qt.IsNil)
		n.c.Assert(answer.Result, qt.Equals, Granted)
		leases = append(leases, answer.Lease)
	}
	return leases
}

// run runs a test in virtual time.
func run(t *testing.T, test func(c *qt.C, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		test(c, newNetwork(c))
	})
}

// TestHostsShareSlots has two hosts ask: the second waits until a slot of the first is released, which takes effect
// once although it is sent twice.
func TestHostsShareSlots(t *testing.T) {
	run(t, func(c *qt.C, n *network) {
		leases := n.fill()
		time.AfterFunc(100*time.Millisecond, func() {
			leases[0].Release(Answered)
			leases[0].Release(Failed)
		})
		for _, h := range []*host{n.hosts[2], n.hosts[0]} {
			answer, took, err := h.acquire(context.Background())
			c.Assert(err, qt.IsNil)
			c.Check(answer.Result, qt.Equals, Granted)
			if h == n.hosts[2] {
				c.Check(took, qt.Equals, 100*time.Millisecond+2*oneWay)
				time.AfterFunc(50*time.Millisecond, func() { leases[1].Release(Answered) })
			}
		}
		c.Check(n.hosts[2].results, qt.DeepEquals, map[counters.SlotResult]int{counters.SlotQueued: 1})
	})
}

// TestSilentCoordinator cuts the coordinator off: a host decides alone after replyTimeout, also while it waits, and the
// next host in order coordinates after noReplyTimeout.
func TestSilentCoordinator(t *testing.T) {
	run(t, func(c *qt.C, n *network) {
		n.fill()
		cutOff := func(from, to string, _ envelope.Kind) bool {
			return from == n.hosts[0].sender.Host || to == n.hosts[0].sender.Host
		}
		time.AfterFunc(10*time.Millisecond, func() { n.update(func() { n.drops = cutOff }) })
		answer, took, _ := n.hosts[1].acquire(context.Background())
		c.Check(answer.Result, qt.Equals, Alone)
		c.Check(took <= replyMargin+replyTimeout+2*oneWay, qt.IsTrue, qt.Commentf("%s", took))
		began := time.Now()
		for {
			answer, took, _ := n.hosts[1].acquire(context.Background())
			if answer.Result == Granted {
				break
			}
			c.Assert(took, qt.Equals, replyTimeout)
			c.Assert(time.Since(began) < noReplyTimeout+200*time.Millisecond, qt.IsTrue)
			time.Sleep(100 * time.Millisecond)
		}
		c.Check(n.hosts[1].results[counters.SlotUnanswered] >= 2, qt.IsTrue)
	})
}

// TestSilenceInLongQueue guards against a request that is held to its time limit: its wait is predicted to be long, and
// then the replies are lost, as with a coordinator that has died. The host has to decide alone while most of the time is
// left.
func TestSilenceInLongQueue(t *testing.T) {
	run(t, func(c *qt.C, n *network) {
		leases := n.fill()
		time.Sleep(400 * time.Millisecond)
		for _, lease := range leases {
			lease.Release(Answered)
		}
		time.Sleep(2 * oneWay)
		n.fill()
		for number := range uint64(4) {
			body, err := cbor.Marshal(&Request{Number: 1000 + number, Service: "plain", Workspace: "w", UntilLimit: time.Minute})
			c.Assert(err, qt.IsNil)
			n.hosts[0].client.HandleRequest(n.hosts[2].sender, body)
		}
		time.AfterFunc(10*time.Millisecond, func() {
			c.Check(n.hosts[0].client.Waiting(), qt.Equals, 5)
			n.update(func() { n.drops = func(_, _ string, kind envelope.Kind) bool { return kind == envelope.KindSlotReply } })
		})
		answer, took, err := n.hosts[1].acquire(context.Background())
		c.Assert(err, qt.IsNil)
		c.Check(answer.Result, qt.Equals, Alone)
		const timeLeft = 2 * time.Second
		c.Check(took <= timeLeft/3+replyMargin+replyTimeout+2*oneWay, qt.IsTrue, qt.Commentf("%s", took))
	})
}

// TestLostMessages loses one message of a kind: a slot must not stay taken, except by a lost lease until its end.
func TestLostMessages(t *testing.T) {
	tests := map[string]struct {
		kind envelope.Kind
		want Result
	}{
		"request":          {envelope.KindSlotRequest, Alone},
		"reply":            {envelope.KindSlotReply, Alone},
		"first of release": {envelope.KindSlotRelease, Granted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, func(c *qt.C, n *network) {
				lost := 0
				n.update(func() {
					n.drops = func(_, _ string, kind envelope.Kind) bool {
						if kind != test.kind || lost > 0 {
							return false
						}
						lost++
						return true
					}
				})
				answer, _, err := n.hosts[1].acquire(context.Background())
				c.Assert(err, qt.IsNil)
				c.Check(answer.Result, qt.Equals, test.want)
				if answer.Lease != nil {
					answer.Lease.Release(Answered)
				}
				time.Sleep(releaseRepeatDelay + 2*oneWay)
				n.update(func() { c.Check(lost, qt.Equals, 1) })
				c.Check(n.hosts[0].requests(), qt.Equals, 0)
			})
		})
	}
}

// TestLateGrantIsReleased delays the reply of the coordinator beyond replyTimeout, and the request beyond the release.
func TestLateGrantIsReleased(t *testing.T) {
	run(t, func(c *qt.C, n *network) {
		body, err := cbor.Marshal(&Request{Number: 7, Service: "plain", UntilLimit: time.Second})
		c.Assert(err, qt.IsNil)
		n.hosts[0].client.HandleRequest(n.hosts[1].sender, body)
		c.Check(n.hosts[0].requests(), qt.Equals, 1)
		time.Sleep(3 * oneWay)
		c.Check(n.hosts[0].requests(), qt.Equals, 0)
	})
}

// TestCallerLeavesWhileWaiting ends the context of a waiting request: the wait ends at once, and the request no longer
// takes a place in the queue.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	run(t, func(c *qt.C, n *network) {
		n.fill()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		_, took, err := n.hosts[2].acquire(ctx)
		c.Check(err, qt.Equals, context.Canceled)
		c.Check(took, qt.Equals, 30*time.Millisecond)
		c.Check(n.hosts[0].client.Waiting(), qt.Equals, 1)
		time.Sleep(2 * oneWay)
		c.Check(n.hosts[0].client.Waiting(), qt.Equals, 0)
	})
}

// TestUnsettledHostDoesNotCoordinate starts the coordinator anew: the hosts decide alone at once.
func TestUnsettledHostDoesNotCoordinate(t *testing.T) {
	run(t, func(c *qt.C, n *network) {
		n.hosts[0].settled = false
		for _, h := range n.hosts {
			answer, took, err := h.acquire(context.Background())
			c.Assert(err, qt.IsNil)
			c.Check(answer.Result, qt.Equals, Alone)
			c.Check(took <= 2*oneWay, qt.IsTrue)
			c.Check(h.results, qt.DeepEquals, map[counters.SlotResult]int{counters.SlotAlone: 1})
		}
	})
}

// TestTwoCoordinators has a host not know the coordinator: both grant slots, but the second one stops once the loads
// show that the endpoint is full, and the host asks the first one again when it knows it.
func TestTwoCoordinators(t *testing.T) {
	run(t, func(c *qt.C, n *network) {
		n.fill()
		outsider := n.hosts[2]
		n.update(func() { outsider.hidden = n.hosts[0].sender.Host })
		answer, _, _ := outsider.acquire(context.Background())
		c.Check(answer.Result, qt.Equals, Granted, qt.Commentf("of the second coordinator"))
		n.update(func() { n.endpoints = []Endpoint{{Key: 1, Slots: 1, Open: 12}} })
		time.Sleep(refreshInterval)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, _, err := outsider.acquire(ctx)
		c.Check(err, qt.Equals, context.DeadlineExceeded)
		n.update(func() { outsider.hidden = "" })
		ctx, cancel = context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		time.AfterFunc(50*time.Millisecond, func() { c.Check(n.hosts[0].client.Waiting(), qt.Equals, 1) })
		_, _, err = outsider.acquire(ctx)
		c.Check(err, qt.Equals, context.DeadlineExceeded)
	})
}

func FuzzReceived(f *testing.F) {
	for _, message := range []any{&Request{Number: 1, Service: "plain", UntilLimit: time.Second}, &Reply{Number: 1}, &Release{Number: 1}} {
		body, err := cbor.Marshal(message)
		qt.Assert(f, err, qt.IsNil)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		run(t, func(_ *qt.C, n *network) {
			n.hosts[0].client.HandleRequest(n.hosts[1].sender, body)
			n.hosts[0].client.HandleReply(n.hosts[1].sender, body)
			n.hosts[0].client.HandleRelease(n.hosts[1].sender, body)
		})
	})
}

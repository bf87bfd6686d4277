package coordinator

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
)

// hosts are the live hosts of a test, the asking one first. It implements Peers.
type hosts struct {
	senders   []envelope.Sender
	isSettled bool
}

func (h *hosts) Senders() []envelope.Sender        { return h.senders }
func (h *hosts) IsSettled() bool                   { return h.isSettled }
func (h *hosts) SendTo(string, envelope.Kind, any) {}

const (
	noReplyTimeout = 500 * time.Millisecond
	avoidTime      = 3 * time.Second
	replyTimeout   = 25 * time.Millisecond
)

func newAsker(self string, others ...string) (*Asker[int], *hosts) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &hosts{isSettled: true}
	for i, name := range append([]string{self}, others...) {
		h.senders = append(h.senders, envelope.Sender{Host: name, Incarnation: uint32(i)})
	}
	return New[int](Parts{
		Peers: h, Log: logrus.NewEntry(log), Clock: time.Now, Random: func() float64 { return 0.5 },
		NoReplyTimeout: noReplyTimeout, AvoidTime: avoidTime, NoReplyLine: "no reply; the next host in order is asked",
	}), h
}

// TestHostsAgreeOnCoordinator checks that every host picks the same one for a matter, that it has no host before it,
// and that different matters are spread over the hosts. A host that is not settled must not pick itself.
func TestHostsAgreeOnCoordinator(t *testing.T) {
	c := qt.New(t)
	names := []string{"a", "b", "c"}
	picked := make(map[string]bool)
	for _, matter := range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
		first, _, _ := must(newAsker("a", "b", "c")).Pick(matter)
		picked[first.Host] = true
		for i, self := range names {
			a, h := newAsker(self, names[(i+1)%3], names[(i+2)%3])
			host, isSuccessor, ok := a.Pick(matter)
			c.Check(host.Host, qt.Equals, first.Host)
			c.Check(isSuccessor, qt.IsFalse)
			c.Check(ok, qt.IsTrue)
			c.Check(a.Preceding(matter) == 0, qt.Equals, self == first.Host)
			h.isSettled = false
			_, _, ok = a.Pick(matter)
			c.Check(ok, qt.Equals, self != first.Host)
		}
	}
	c.Check(picked, qt.HasLen, len(names))
}

func must(a *Asker[int], _ *hosts) *Asker[int] { return a }

// TestUnresponsiveHostIsPassedOver guards against a host that freezes and is asked on and on: after NoReplyTimeout and
// two questions the next in order is asked, and after AvoidTime the first one again.
func TestUnresponsiveHostIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a, _ := newAsker("a", "b", "c")
		first, _, _ := a.Pick("s")
		await := func() {
			number, replies := a.Register()
			defer a.Unregister(number)
			_, ok := a.Await(context.Background(), first, replies, replyTimeout)
			c.Check(ok, qt.IsFalse)
		}
		await()
		time.Sleep(noReplyTimeout)
		host, _, _ := a.Pick("s")
		c.Check(host, qt.Equals, first, qt.Commentf("one lost datagram changes nothing"))
		await()
		host, isSuccessor, _ := a.Pick("s")
		c.Check(host, qt.Not(qt.Equals), first)
		c.Check(isSuccessor, qt.IsTrue)
		time.Sleep(avoidTime)
		a.Expire()
		host, _, _ = a.Pick("s")
		c.Check(host, qt.Equals, first)
	})
}

// TestRepliesAreMatchedToQuestions checks that a reply reaches the question with its number only while that is open,
// and that an ended wait leaves nothing behind.
func TestRepliesAreMatchedToQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a, h := newAsker("a")
		number, replies := a.Register()
		c.Check(a.Deliver(number+1, 1), qt.IsFalse)
		for reply := range maxReplies {
			c.Check(a.Deliver(number, reply), qt.IsTrue)
		}
		c.Check(a.Deliver(number, 9), qt.IsFalse, qt.Commentf("a peer that repeats its replies must not block this host"))
		reply, ok := a.Await(context.Background(), h.senders[0], replies, replyTimeout)
		c.Check(ok, qt.IsTrue)
		c.Check(reply, qt.Equals, 0)
		a.Unregister(number)

		number, replies = a.Register()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, ok = a.Await(ctx, h.senders[0], replies, time.Hour)
		c.Check(ok, qt.IsFalse)
		a.Unregister(number)
		c.Check(a.Deliver(number, 1), qt.IsFalse)
		c.Check(a.replies, qt.HasLen, 0)
		c.Check(a.unresponsive, qt.HasLen, 0, qt.Commentf("a caller that leaves says nothing about the host"))
	})
}

// TestReplyAtTimeoutCounts guards against a reply that is lost at random because it is ready at the same time as the
// timeout: a grant would be given back, and its host counted as unresponsive.
func TestReplyAtTimeoutCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a, h := newAsker("a")
		for range 100 {
			number, replies := a.Register()
			c.Assert(a.Deliver(number, 1), qt.IsTrue)
			reply, ok := a.Await(context.Background(), h.senders[0], replies, 0)
			a.Unregister(number)
			c.Assert(ok, qt.IsTrue)
			c.Assert(reply, qt.Equals, 1)
		}
		c.Check(a.unresponsive, qt.HasLen, 0)
	})
}

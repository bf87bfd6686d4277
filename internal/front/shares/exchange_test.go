package shares

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
)

// fleet is a number of hosts that receive each other's messages.
type fleet struct {
	c     *qt.C
	hosts []*Exchange
	// logged holds the log lines of the first host.
	logged *test.Hook
	mu     sync.Mutex
	// sent holds the times of each host's messages.
	sent map[int][]time.Time
}

// member is a host of a fleet. It implements Peers.
type member struct {
	fleet *fleet
	index int
}

func (m member) Hosts() int { return len(m.fleet.hosts) }

func (m member) Broadcast(kind envelope.Kind, message any) {
	f := m.fleet
	f.c.Check(kind, qt.Equals, envelope.KindShares)
	body, err := cbor.Marshal(message)
	f.c.Check(err, qt.IsNil)
	f.mu.Lock()
	f.sent[m.index] = append(f.sent[m.index], time.Now())
	f.mu.Unlock()
	for i, host := range f.hosts {
		if i != m.index {
			host.HandleCounts(fmt.Sprint(m.index), body)
		}
	}
}

// startFleet starts hosts in a bubble of testing/synctest, which run until done is closed.
func startFleet(c *qt.C, hosts int, done chan struct{}) *fleet {
	f := &fleet{c: c, sent: make(map[int][]time.Time)}
	for i := range hosts {
		log, hook := test.NewNullLogger()
		if i == 0 {
			f.logged = hook
		}
		e := New(Parts{Peers: member{f, i}, Log: logrus.NewEntry(log), Clock: time.Now, Random: func() float64 { return 0.25 }})
		e.SetSettings(tree())
		f.hosts = append(f.hosts, e)
	}
	for _, e := range f.hosts {
		go e.Run(done)
	}
	return f
}

// ask has a host handle a request of 1,000 tokens, and reports whether it was refused for its workspace's share.
func (f *fleet) ask(host int, workspace string, hasRoom bool) (isOverShare bool) {
	e, ask := f.hosts[host], newAsk(workspace, 1000)
	ask.HasRoom = func() bool { return hasRoom }
	if e.Admit(ask).IsRefused {
		return true
	}
	if !hasRoom && workspace == "big" {
		e.Refused(ask, admission.ReasonNoRoom)
		return false
	}
	e.Granted(ask)
	e.Ended(ask)
	return false
}

// TestHostsExchangeCounts checks that hosts send nothing while a service refuses nothing, that all learn of a
// bursting workspace at one of them with its second message, and that the log names it while it does.
func TestHostsExchangeCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		done := make(chan struct{})
		defer close(done)
		f := startFleet(c, 3, done)
		load := func(seconds int, burst bool) {
			for range 10 * seconds {
				for host := range f.hosts {
					f.ask(host, "a", true)
					f.ask(host, "b", true)
				}
				for n := range 20 {
					f.ask(0, "big", !burst || n%2 == 0)
				}
				time.Sleep(100 * time.Millisecond)
			}
			f.hosts[0].Expire()
			f.hosts[0].Expire()
		}
		load(3, false)
		c.Check(f.sent, qt.HasLen, 0)
		load(2, true)
		c.Check(f.hosts[2].Over(), qt.HasLen, 1)
		c.Check(f.ask(2, "big", false), qt.IsTrue)
		c.Check(f.ask(2, "a", false), qt.IsFalse)
		load(5, true)
		for host := range f.hosts {
			sent := f.sent[host]
			c.Check(len(sent) >= 5, qt.IsTrue)
			for i := range sent[1:] {
				c.Check(sent[i+1].Sub(sent[i]) >= minInterval, qt.IsTrue)
			}
		}
		time.Sleep(time.Minute)
		f.hosts[0].Expire()
		synctest.Wait()
		before := len(f.sent[0])
		load(3, false)
		c.Check(f.sent[0], qt.HasLen, before)
		var lines []string
		for _, entry := range f.logged.AllEntries() {
			lines = append(lines, fmt.Sprintf("%s: %v %v", entry.Message, entry.Data["service"], entry.Data["workspace"]))
		}
		c.Check(lines, qt.DeepEquals, []string{
			"workspace is over its share of a service that is short of capacity; its least urgent requests beyond the share are refused: llm big",
			"workspace is within its share again; its requests are no longer refused for it: llm big",
		})
	})
}

// TestUseOfLimitIsSentAtOnce checks that peers learn of a use of a limit, and of its end an interval later, and that a
// message that can't be decoded changes nothing.
func TestUseOfLimitIsSentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		done := make(chan struct{})
		defer close(done)
		f := startFleet(c, 2, done)
		request := &admission.Request{Workspace: "a", Class: "urgent", MaxInFlight: 1}
		first, second := &Ask{Service: "llm", Request: request}, &Ask{Service: "llm", Request: request}
		c.Check(f.hosts[0].Admit(first).IsRefused, qt.IsFalse)
		f.hosts[0].Granted(first)
		time.Sleep(minInterval + time.Millisecond)
		f.hosts[1].HandleCounts("0", []byte("no message"))
		c.Check(f.hosts[1].Admit(second).IsRefused, qt.IsTrue)
		f.hosts[0].Ended(first)
		time.Sleep(minInterval + time.Millisecond)
		c.Check(f.hosts[1].Admit(second).IsRefused, qt.IsFalse)
		f.hosts[1].Cancelled(second)
		f.hosts[1].DropPeer("0")
	})
}

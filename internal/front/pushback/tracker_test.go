package pushback

import (
	"io"
	"math"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// peers keep what is broadcast, and what is sent to one of them.
type peers struct {
	leaving  chan *Leaving
	rejected chan *Rejected
	limited  chan *Limited
	failed   chan *Failed
	greeted  chan any
}

func newPeers() peers {
	return peers{leaving: make(chan *Leaving), rejected: make(chan *Rejected), limited: make(chan *Limited), failed: make(chan *Failed), greeted: make(chan any)}
}

func (p peers) Broadcast(_ envelope.Kind, message any) {
	switch message := message.(type) {
	case *Leaving:
		p.leaving <- message
	case *Rejected:
		p.rejected <- message
	case *Limited:
		p.limited <- message
	case *Failed:
		p.failed <- message
	}
}

func (p peers) SendTo(_ string, _ envelope.Kind, message any) { p.greeted <- message }
func (p peers) Hosts() int                                    { return 2 }
func (p peers) Senders() []envelope.Sender                    { return []envelope.Sender{{Host: "self"}, {Host: "other"}} }

// newTracker returns a tracker over a directory with two endpoints.
func newTracker(c *qt.C, p Peers) (*Tracker, *directory.Directory) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := directory.New()
	var changes []directory.Change
	for _, id := range []string{"a", "b"} {
		changes = append(changes, directory.Change{Entry: directory.Entry{ID: id, Endpoint: settings.Endpoint{
			Service: "llm", Version: "v1", State: settings.StateIn,
		}}})
	}
	c.Assert(d.Apply(1, changes), qt.IsTrue)
	random := func() float64 { return 0 }
	return New(Parts{
		Directory: d, Rests: NewRests(time.Now, random), Rejections: NewRejections(func() time.Time { return time.Unix(1000, 0) }), Failures: NewFailures(time.Now), Limits: NewLimits(time.Now),
		Peers: p, Log: log.WithFields(nil), Clock: time.Now, Random: random,
	}), d
}

// run runs a tracker until the test ends.
func run(c *qt.C, t *Tracker) {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { t.Run(done) })
	c.Cleanup(func() {
		close(done)
		running.Wait()
	})
}

func encode(c *qt.C, message any) []byte {
	body, err := cbor.Marshal(message)
	c.Assert(err, qt.IsNil)
	return body
}

var instance = Instance{ID: "a", Version: "v1"}

// TestPeersLearnThatAnEndpointLeaves has two hosts: the one that an endpoint answers lets the other know, often enough for
// a datagram to be lost, and that one passes nothing on.
func TestPeersLearnThatAnEndpointLeaves(t *testing.T) {
	c := qt.New(t)
	p := newPeers()
	first, known := newTracker(c, p)
	second, knownToo := newTracker(c, newPeers())
	run(c, first)
	first.HandleAnswer(&Answer{Endpoint: instance, Signal: Signal{Leaving: true}, SentAt: time.Time{}})
	c.Check(known.Serving("llm"), qt.HasLen, 1)
	for range 1 + announceRepeats {
		message := <-p.leaving
		c.Check(message.Endpoints, qt.DeepEquals, []Instance{instance})
		second.HandleLeaving("first", encode(c, message))
	}
	first.HandleAnswer(&Answer{Endpoint: instance, Signal: Signal{Leaving: true}, SentAt: time.Time{}})
	c.Check(knownToo.Leaving("llm"), qt.HasLen, 1)
	c.Check(first.outbox.leaving.IsEmpty(), qt.IsTrue)
	c.Check(second.outbox.leaving.IsEmpty(), qt.IsTrue)
	second.HandleLeaving("first", []byte("no message"))
	c.Check(knownToo.Serving("llm"), qt.HasLen, 1)
}

// TestPeersLearnWhatAnEndpointRejects has hosts count what an endpoint rejects and takes at the other, once.
func TestPeersLearnWhatAnEndpointRejects(t *testing.T) {
	c := qt.New(t)
	p := newPeers()
	first, _ := newTracker(c, p)
	second, _ := newTracker(c, newPeers())
	first.HandleAnswer(&Answer{Endpoint: instance, Signal: Signal{}, SentAt: time.Time{}})
	c.Check(first.outbox.rejected, qt.HasLen, 0, qt.Commentf("what takes all is no news"))
	for range 3 {
		first.HandleAnswer(&Answer{Endpoint: instance, Signal: Signal{Rejected: true}, SentAt: time.Time{}})
	}
	first.HandleAnswer(&Answer{Endpoint: instance, Signal: Signal{}, SentAt: time.Time{}})
	run(c, first)
	message := <-p.rejected
	c.Check(message.Endpoints, qt.DeepEquals, []RejectedCount{{Endpoint: keys.OfEndpoint("a"), Rejected: 3, Taken: 1}})
	second.HandleRejections("first", encode(c, message))
	c.Check(second.parts.Rejections.Shares(), qt.DeepEquals, first.parts.Rejections.Shares())
	c.Check(second.outbox.rejected, qt.HasLen, 0)
	first.HandleAnswer(&Answer{Endpoint: instance, Signal: Signal{}, SentAt: time.Time{}})
	c.Check((<-p.rejected).Endpoints, qt.DeepEquals, []RejectedCount{{Endpoint: keys.OfEndpoint("a"), Taken: 1}})
	// A message that is faulty weighs no more than many requests.
	second.HandleRejections("first", encode(c, &Rejected{Endpoints: []RejectedCount{{Endpoint: 7, Rejected: math.MaxUint}}}))
	second.HandleRejections("first", encode(c, &Rejected{Endpoints: []RejectedCount{{Endpoint: 7, Taken: mostCounted}}}))
	c.Check(second.parts.Rejections.Shares()[7] < 0.51, qt.IsTrue)
	second.HandleRejections("first", []byte("no message"))
}

// TestPeersLearnWhatAnEndpointFails has hosts count what an endpoint fails and answers of a class at the other, once.
func TestPeersLearnWhatAnEndpointFails(t *testing.T) {
	c := qt.New(t)
	p := newPeers()
	first, _ := newTracker(c, p)
	second, _ := newTracker(c, newPeers())
	work := EndpointClass{Endpoint: keys.OfEndpoint("a"), Class: 7}
	for range 3 {
		first.HandleAnswer(&Answer{Endpoint: instance, Class: 7, Signal: Signal{Failed: true}})
	}
	first.HandleAnswer(&Answer{Endpoint: instance, Class: 7})
	first.HandleAnswer(&Answer{Endpoint: instance, Class: 7, Signal: Signal{Rejected: true}})
	first.HandleAnswer(&Answer{Endpoint: instance, Class: 8})
	run(c, first)
	<-p.rejected
	message := <-p.failed
	c.Check(message.Counts, qt.DeepEquals, []FailedCount{{Work: work, Failed: 3, Answered: 1}})
	second.HandleFailures("first", encode(c, message))
	c.Check(second.parts.Failures.WorstExcess(work.Endpoint, 9) > 0.2, qt.IsTrue)
	c.Check(second.outbox.failed, qt.HasLen, 0)
	second.HandleFailures("first", []byte("no message"))
}

// TestGoldenFailed holds the encoded form of failures.
func TestGoldenFailed(t *testing.T) {
	golden.Message(t, "failed", &Failed{Counts: []FailedCount{{Work: EndpointClass{Endpoint: 1, Class: 2}, Failed: 3, Answered: 4}}})
}

// TestGoldenLeaving holds the encoded form of the message: hosts of other versions read it.
func TestGoldenLeaving(t *testing.T) {
	golden.Message(t, "leaving", &Leaving{Endpoints: []Instance{{ID: "a", Version: "v1"}, {ID: "b", Version: "v1 of 2"}}})
}

// TestPeersLearnALimit has a host let the other know of a limit, often enough for a datagram to be lost, and of its end; the
// other passes nothing on.
func TestPeersLearnALimit(t *testing.T) {
	c := qt.New(t)
	p := newPeers()
	first, _ := newTracker(c, p)
	second, _ := newTracker(c, newPeers())
	run(c, first)
	for _, limit := range []Limit{perSecond(2), {}} {
		first.HandleAnswer(&Answer{Endpoint: instance, Signal: Signal{Limit: limit}, SentAt: time.Now()})
		for range 1 + announceRepeats {
			second.HandleLimits("first", encode(c, <-p.limited))
			c.Check(second.parts.Limits.Get(instance), qt.Equals, limit)
		}
	}
	c.Check(second.outbox.isEmpty(), qt.IsTrue)
	first.HandleAnswer(&Answer{Endpoint: instance, Signal: Signal{MalformedLimit: "few"}, SentAt: time.Now()})
	c.Check(first.parts.Limits.Any(), qt.IsTrue, qt.Commentf("the end of the limit is kept"))
	second.HandleLimits("first", []byte("no message"))
}

// TestANewcomerLearnsWhatEndpointsHaveSaid has a host join after endpoints have said that they leave, or named a limit.
func TestANewcomerLearnsWhatEndpointsHaveSaid(t *testing.T) {
	c := qt.New(t)
	p := newPeers()
	first, known := newTracker(c, p)
	known.SetLeaving("b", "v1")
	first.parts.Limits.Record(instance, perSecond(2), time.Now())
	run(c, first)
	first.HandleJoin(envelope.Sender{Host: "newcomer"})
	for range 1 + announceRepeats {
		c.Check((<-p.greeted).(*Leaving).Endpoints, qt.DeepEquals, []Instance{{ID: "b", Version: "v1"}})
		c.Check((<-p.greeted).(*Limited).Notices[0].Limit, qt.Equals, perSecond(2))
	}
}

// TestFewHostsGreetANewcomer has as many hosts greet each newcomer as there are to be, and not always the same.
func TestFewHostsGreetANewcomer(t *testing.T) {
	c := qt.New(t)
	greeted := make(map[string]int)
	for newcomer := range 50 {
		count := 0
		for self := range 20 {
			hosts := senders{{Host: "host-" + strconv.Itoa(self)}}
			for other := range 20 {
				if other != self {
					hosts = append(hosts, envelope.Sender{Host: "host-" + strconv.Itoa(other)})
				}
			}
			tracker := New(Parts{Peers: hosts})
			if tracker.greets(envelope.Sender{Host: "newcomer-" + strconv.Itoa(newcomer)}) {
				count++
				greeted[hosts[0].Host]++
			}
		}
		c.Check(count, qt.Equals, greeters)
	}
	c.Check(len(greeted) > 15, qt.IsTrue)
}

// senders are hosts that are sent nothing.
type senders []envelope.Sender

func (s senders) Broadcast(envelope.Kind, any)      {}
func (s senders) SendTo(string, envelope.Kind, any) {}
func (s senders) Hosts() int                        { return len(s) }
func (s senders) Senders() []envelope.Sender        { return s }

// TestGoldenLimited holds the encoded form of limits.
func TestGoldenLimited(t *testing.T) {
	golden.Message(t, "limited", &Limited{Notices: []LimitNotice{
		{Endpoint: instance, Limit: perSecond(1.5), Age: time.Second}, {Endpoint: Instance{ID: "b", Version: "v1"}},
	}})
}

// TestGoldenRejected does so for the other.
func TestGoldenRejected(t *testing.T) {
	golden.Message(t, "rejected", &Rejected{Endpoints: []RejectedCount{{Endpoint: 1, Rejected: 2, Taken: 3}, {Endpoint: 4, Rejected: 5}}})
}

// TestMessageBytes holds the largest messages to well below the datagram that every host reads (16 KB).
func TestMessageBytes(t *testing.T) {
	var leaving Leaving
	for range mostLeaving {
		leaving.Endpoints = append(leaving.Endpoints, Instance{ID: strings.Repeat("i", 32), Version: strings.Repeat("v", 24)})
	}
	var rejected Rejected
	for range mostCounts {
		rejected.Endpoints = append(rejected.Endpoints, RejectedCount{Endpoint: math.MaxUint32, Rejected: mostCounted, Taken: mostCounted})
	}
	var limited Limited
	for _, endpoint := range leaving.Endpoints[:mostLimits] {
		limited.Notices = append(limited.Notices, LimitNotice{Endpoint: endpoint, Limit: perSecond(1e6 / 3), Age: time.Hour})
	}
	var failed Failed
	for range mostFailures {
		failed.Counts = append(failed.Counts, FailedCount{Work: EndpointClass{Endpoint: math.MaxUint32, Class: math.MaxUint32}, Failed: mostCounted, Answered: mostCounted})
	}
	for name, message := range map[string]any{"failed": &failed, "leaving": &leaving, "rejected": &rejected, "limited": &limited} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			data := encode(c, message)
			c.Logf("%d bytes", len(data))
			c.Check(len(data) <= 9<<10, qt.IsTrue)
		})
	}
}

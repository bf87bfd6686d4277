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

// peers records the messages that are broadcast, and those that are sent to one peer.
type peers struct {
	leaving  chan *Leaving
	rejected chan *Rejected
	limited  chan *Limited
	failed   chan *Failed
	sentTo   chan any
}

func newPeers() peers {
	return peers{leaving: make(chan *Leaving), rejected: make(chan *Rejected), limited: make(chan *Limited), failed: make(chan *Failed), sentTo: make(chan any)}
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

func (p peers) SendTo(_ string, _ envelope.Kind, message any) { p.sentTo <- message }
func (p peers) BroadcastNear(kind envelope.Kind, message any) { p.Broadcast(kind, message) }
func (p peers) Neighbors() []envelope.Sender                  { return []envelope.Sender{{Host: "other"}} }

func (p peers) Senders() []envelope.Sender { return []envelope.Sender{{Host: "self"}, {Host: "other"}} }

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
		Directory: d, Rests: NewRests(time.Now, random), Rejections: NewRejections(func() time.Time { return time.Unix(1000, 0) }), Failures: NewFailures(time.Now), Limits: NewLimits(time.Now), Brittle: NewBrittle(time.Now),
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

// TestLeavingIsAnnouncedToPeers checks that the host that an endpoint answers announces that the endpoint is leaving,
// often enough for a datagram to be lost, and that the host that receives the announcement does not forward it.
func TestLeavingIsAnnouncedToPeers(t *testing.T) {
	c := qt.New(t)
	p := newPeers()
	first, firstDirectory := newTracker(c, p)
	second, secondDirectory := newTracker(c, newPeers())
	run(c, first)
	first.HandleAnswer(&Answer{Endpoint: instance, Signal: Signal{Leaving: true}, SentAt: time.Time{}})
	c.Check(firstDirectory.Serving("llm"), qt.HasLen, 1)
	for range 1 + announceRepeats {
		message := <-p.leaving
		c.Check(message.Endpoints, qt.DeepEquals, []Instance{instance})
		second.HandleLeaving("first", encode(c, message))
	}
	first.HandleAnswer(&Answer{Endpoint: instance, Signal: Signal{Leaving: true}, SentAt: time.Time{}})
	c.Check(secondDirectory.Leaving("llm"), qt.HasLen, 1)
	c.Check(first.outbox.leaving.IsEmpty(), qt.IsTrue)
	c.Check(second.outbox.leaving.IsEmpty(), qt.IsTrue)
	second.HandleLeaving("first", []byte("no message"))
	c.Check(secondDirectory.Serving("llm"), qt.HasLen, 1)
}

// TestRejectionsAreSentToPeers checks that requests that an endpoint rejects and takes at one host are counted once
// at the other.
func TestRejectionsAreSentToPeers(t *testing.T) {
	c := qt.New(t)
	p := newPeers()
	first, _ := newTracker(c, p)
	second, _ := newTracker(c, newPeers())
	first.HandleAnswer(&Answer{Endpoint: instance, Signal: Signal{}, SentAt: time.Time{}})
	c.Check(first.outbox.rejected, qt.HasLen, 0, qt.Commentf("an endpoint that rejects nothing is not reported"))
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
	// A faulty message has no more weight than maxReportedCount requests.
	second.HandleRejections("first", encode(c, &Rejected{Endpoints: []RejectedCount{{Endpoint: 7, Rejected: math.MaxUint}}}))
	second.HandleRejections("first", encode(c, &Rejected{Endpoints: []RejectedCount{{Endpoint: 7, Taken: maxReportedCount}}}))
	c.Check(second.parts.Rejections.Shares()[7] < 0.51, qt.IsTrue)
	second.HandleRejections("first", []byte("no message"))
}

// TestFailuresAreSentToPeers checks that requests of a class that an endpoint fails and answers at one host are
// counted once at the other.
func TestFailuresAreSentToPeers(t *testing.T) {
	c := qt.New(t)
	p := newPeers()
	first, _ := newTracker(c, p)
	second, _ := newTracker(c, newPeers())
	endpointClass := EndpointClass{Endpoint: keys.OfEndpoint("a"), Class: 7}
	for range 3 {
		first.HandleAnswer(&Answer{Endpoint: instance, Class: 7, Signal: Signal{Failed: true}})
	}
	first.HandleAnswer(&Answer{Endpoint: instance, Class: 7})
	first.HandleAnswer(&Answer{Endpoint: instance, Class: 7, Signal: Signal{Rejected: true}})
	first.HandleAnswer(&Answer{Endpoint: instance, Class: 8})
	run(c, first)
	<-p.rejected
	message := <-p.failed
	c.Check(message.Counts, qt.DeepEquals, []FailedCount{{Work: endpointClass, Failed: 3, Answered: 1}})
	second.HandleFailures("first", encode(c, message))
	c.Check(second.parts.Failures.WorstExcess(endpointClass.Endpoint, 9) > 0.2, qt.IsTrue)
	c.Check(second.outbox.failed, qt.HasLen, 0)
	second.HandleFailures("first", []byte("no message"))
}

// TestGoldenFailed pins the encoded form, which hosts of other versions read.
func TestGoldenFailed(t *testing.T) {
	golden.Message(t, "failed", &Failed{Counts: []FailedCount{{Work: EndpointClass{Endpoint: 1, Class: 2}, Failed: 3, Answered: 4}}})
}

// TestGoldenLeaving pins the encoded form, which hosts of other versions read.
func TestGoldenLeaving(t *testing.T) {
	golden.Message(t, "leaving", &Leaving{Endpoints: []Instance{{ID: "a", Version: "v1"}, {ID: "b", Version: "v1 of 2"}}})
}

// TestLimitsAreAnnouncedToPeers checks that a host announces a limit and its end, often enough for a datagram to be
// lost, and that the host that receives the announcement does not forward it.
func TestLimitsAreAnnouncedToPeers(t *testing.T) {
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
	c.Check(first.parts.Limits.Any(), qt.IsTrue, qt.Commentf("the end of the limit should still be recorded"))
	second.HandleLimits("first", []byte("no message"))
}

// TestJoinedHostReceivesLeavingAndLimits has a host join after endpoints have reported that they are leaving, or
// named a limit: it must be sent both.
func TestJoinedHostReceivesLeavingAndLimits(t *testing.T) {
	c := qt.New(t)
	p := newPeers()
	first, firstDirectory := newTracker(c, p)
	firstDirectory.SetLeaving("b", "v1")
	first.parts.Limits.Record(instance, perSecond(2), time.Now())
	run(c, first)
	first.HandleJoin(envelope.Sender{Host: "newcomer"})
	for range 1 + announceRepeats {
		c.Check((<-p.sentTo).(*Leaving).Endpoints, qt.DeepEquals, []Instance{{ID: "b", Version: "v1"}})
		c.Check((<-p.sentTo).(*Limited).Notices[0].Limit, qt.Equals, perSecond(2))
	}
}

// TestFewHostsSendStateToJoinedHost checks that exactly stateSenders hosts send the state to each joined host, and
// that the work is spread over the hosts.
func TestFewHostsSendStateToJoinedHost(t *testing.T) {
	c := qt.New(t)
	sentBy := make(map[string]int)
	for joined := range 50 {
		count := 0
		for self := range 20 {
			hosts := senders{{Host: "host-" + strconv.Itoa(self)}}
			for other := range 20 {
				if other != self {
					hosts = append(hosts, envelope.Sender{Host: "host-" + strconv.Itoa(other)})
				}
			}
			tracker := New(Parts{Peers: hosts})
			if tracker.isStateSender(envelope.Sender{Host: "newcomer-" + strconv.Itoa(joined)}) {
				count++
				sentBy[hosts[0].Host]++
			}
		}
		c.Check(count, qt.Equals, stateSenders)
	}
	c.Check(len(sentBy) > 15, qt.IsTrue)
}

// senders are live hosts that receive no messages.
type senders []envelope.Sender

func (s senders) Broadcast(envelope.Kind, any)      {}
func (s senders) BroadcastNear(envelope.Kind, any)  {}
func (s senders) SendTo(string, envelope.Kind, any) {}
func (s senders) Neighbors() []envelope.Sender      { return s[1:] }
func (s senders) Senders() []envelope.Sender        { return s }

// TestGoldenLimited pins the encoded form, which hosts of other versions read.
func TestGoldenLimited(t *testing.T) {
	golden.Message(t, "limited", &Limited{Notices: []LimitNotice{
		{Endpoint: instance, Limit: perSecond(1.5), Age: time.Second}, {Endpoint: Instance{ID: "b", Version: "v1"}},
	}})
}

// TestGoldenRejected pins the encoded form, which hosts of other versions read.
func TestGoldenRejected(t *testing.T) {
	golden.Message(t, "rejected", &Rejected{Endpoints: []RejectedCount{{Endpoint: 1, Rejected: 2, Taken: 3}, {Endpoint: 4, Rejected: 5}}})
}

// TestMessageBytes keeps the largest messages well below the size of a datagram that every host can read (16 KB).
func TestMessageBytes(t *testing.T) {
	var leaving Leaving
	for range maxLeavingPerMessage {
		leaving.Endpoints = append(leaving.Endpoints, Instance{ID: strings.Repeat("i", 32), Version: strings.Repeat("v", 24)})
	}
	var rejected Rejected
	for range maxRejectionsPerMessage {
		rejected.Endpoints = append(rejected.Endpoints, RejectedCount{Endpoint: math.MaxUint32, Rejected: maxReportedCount, Taken: maxReportedCount})
	}
	var limited Limited
	for _, endpoint := range leaving.Endpoints[:maxLimitsPerMessage] {
		limited.Notices = append(limited.Notices, LimitNotice{Endpoint: endpoint, Limit: perSecond(1e6 / 3), Age: time.Hour})
	}
	var failed Failed
	for range maxFailuresPerMessage {
		failed.Counts = append(failed.Counts, FailedCount{Work: EndpointClass{Endpoint: math.MaxUint32, Class: math.MaxUint32}, Failed: maxReportedCount, Answered: maxReportedCount})
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

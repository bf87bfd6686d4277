package pace

import (
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

// datagram has the form of gossip.Envelope, which this package can't import.
type datagram struct {
	_ struct{} `cbor:",toarray"`

	Incarnation uint32
	Sequence    uint64
	Fleet       uint64
	Kind        envelope.Kind
	Body        cbor.RawMessage
}

// fakePeers are the hosts of a fleet. Messages are counted, with their envelopes, and go to to if it is set.
type fakePeers struct {
	hosts    int
	messages int
	bytes    int
	largest  int
	to       *Exchanger
}

func (p *fakePeers) Neighbors() []envelope.Sender {
	senders := make([]envelope.Sender, p.hosts-1)
	for i := range senders {
		senders[i].Host = fmt.Sprint(i)
	}
	return senders
}

func (p *fakePeers) SendTo(_ string, kind envelope.Kind, message any) {
	body, _ := cbor.Marshal(message)
	data, _ := cbor.Marshal(datagram{Incarnation: math.MaxUint32, Sequence: 1 << 20, Fleet: math.MaxUint64, Kind: kind, Body: body})
	p.messages++
	p.bytes += len(data)
	p.largest = max(p.largest, len(data))
	if p.to != nil {
		p.to.HandleMessage(envelope.Sender{Host: "peer"}, body)
	}
}

// fakeDirectory has a number of endpoints of one service.
type fakeDirectory int

func (fakeDirectory) Services() []string { return []string{"llm"} }
func (d fakeDirectory) Serving(string) []*directory.Entry {
	return slices.Repeat([]*directory.Entry{{}}, int(d))
}

func newExchanger(peers Peers, endpoints int) *Exchanger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Parts{
		Peers: peers, Directory: fakeDirectory(endpoints), Log: logrus.NewEntry(log), Clock: time.Now, Random: func() float64 { return 0.5 },
	})
}

// run runs an exchanger in virtual time, and calls do ten times a second.
func run(x *Exchanger, span time.Duration, do func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { x.Run(done) })
	for range span / (100 * time.Millisecond) {
		do()
		time.Sleep(100 * time.Millisecond)
	}
	close(done)
	running.Wait()
}

// recordSlow records samples of endpoints of which the first quarter is slow.
func recordSlow(x *Exchanger, endpoints int) {
	for endpoint := range endpoints {
		ms := 100.0
		if endpoint < endpoints/4 {
			ms = 217
		}
		x.Record(gap(endpoint, 0, ms))
	}
}

// TestSamplesReachPeers checks that a host learns from its peers which endpoints are slow, and forgets it within
// seconds once they are silent.
func TestSamplesReachPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		receiver := newExchanger(&fakePeers{hosts: 1}, 12)
		sender := newExchanger(&fakePeers{hosts: 2, to: receiver}, 12)
		run(sender, 5*time.Second, func() { recordSlow(sender, 12) })
		receiver.refresh()
		for endpoint := range keys.Endpoint(12) {
			c.Check(receiver.Slowness(endpoint) > 1.7, qt.Equals, endpoint < 3, qt.Commentf("%.2f", receiver.Slowness(endpoint)))
		}
		c.Check(receiver.Slow(), qt.HasLen, 3)
		revision := receiver.SpeedRevision()
		// Own samples are not shared by the receiver, which reaches no peer, and outweigh those received before.
		run(receiver, 15*time.Second, func() {
			for endpoint := range 12 {
				receiver.Record(gap(endpoint, 0, 100))
			}
		})
		for endpoint := range keys.Endpoint(12) {
			c.Check(receiver.Slowness(endpoint), qt.Equals, 1.0)
		}
		c.Check(receiver.SpeedRevision() > revision, qt.IsTrue)
	})
}

// TestHostsThatStartHaveNoEffect starts all hosts at once: without samples, all endpoints count as equally fast and no
// message is sent, and neither is one about endpoints that are alike.
func TestHostsThatStartHaveNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		peers := &fakePeers{hosts: 70}
		x := newExchanger(peers, 12)
		run(x, 5*time.Second, func() { c.Check(x.Slowness(1), qt.Equals, 1.0) })
		run(x, 5*time.Second, func() { recordSlow(x, 3) })
		c.Check(peers.messages, qt.Equals, 0)
	})
}

// TestRestartedEndpointHasNoSamples restarts a slow endpoint.
func TestRestartedEndpointHasNoSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		x := newExchanger(&fakePeers{hosts: 1}, 12)
		run(x, 5*time.Second, func() { recordSlow(x, 8) })
		c.Check(x.Slow(), qt.HasLen, 2)
		revision := x.SpeedRevision()
		recordSlow(x, 8)
		x.Forget(0)
		c.Check(x.Slowness(0), qt.Equals, 1.0)
		c.Check(x.Slow(), qt.HasLen, 1)
		c.Check(x.SpeedRevision() > revision, qt.IsTrue)
		c.Check(x.unsent[testService], qt.HasLen, 7)
	})
}

// TestFaultyMessages checks that no message of a peer makes an endpoint slower or faster than the bounds, or outweighs
// later samples for long.
func TestFaultyMessages(t *testing.T) {
	for name, faulty := range map[string]EndpointSamples{
		"slow": {Endpoint: 0, Sum: math.MaxInt, Weight: math.MaxUint}, "fast": {Endpoint: 0, Sum: math.MinInt, Weight: 1}, "no weight": {Endpoint: 0, Sum: 100},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				x := newExchanger(&fakePeers{hosts: 1}, 12)
				body, err := cbor.Marshal(&Samples{Services: []ServiceSamples{{Service: testService, Endpoints: []EndpointSamples{faulty}}}})
				c.Assert(err, qt.IsNil)
				x.HandleMessage(envelope.Sender{}, body)
				x.HandleMessage(envelope.Sender{}, []byte("no message"))
				x.refresh()
				c.Check(x.Slowness(0) >= minSlowness && x.Slowness(0) <= maxSlowness, qt.IsTrue)
				run(x, 30*time.Second, func() {
					for endpoint := range 4 {
						x.Record(gap(endpoint, 0, 100))
					}
				})
				c.Check(x.Slowness(0), qt.Equals, 1.0)
			})
		})
	}
}

// TestSentBytes keeps the bytes that a host sends below 1 KB/s at any number of hosts, while it has samples of many
// endpoints, a quarter of which are slow.
func TestSentBytes(t *testing.T) {
	for hosts, endpoints := range map[int]int{8: 90, 78: 90, 300: 320, 380: 3500} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				peers := &fakePeers{hosts: hosts}
				x := newExchanger(peers, endpoints)
				const seconds = 30
				run(x, seconds*time.Second, func() { recordSlow(x, endpoints) })
				c.Logf("%d hosts: %d bytes/s, %.1f messages/s, %d bytes the largest", hosts, peers.bytes/seconds, float64(peers.messages)/seconds, peers.largest)
				c.Check(peers.bytes/seconds <= 1000, qt.IsTrue)
				c.Check(peers.largest <= 9<<10, qt.IsTrue)
				c.Check(peers.messages >= seconds/10, qt.IsTrue)
			})
		})
	}
}

// TestMessageBytes keeps the largest message within a datagram, and the estimate of the envelope's size above the size.
func TestMessageBytes(t *testing.T) {
	c := qt.New(t)
	var message Samples
	for range maxEntries {
		message.Services = append(message.Services, ServiceSamples{Service: math.MaxUint32, Endpoints: []EndpointSamples{{Endpoint: math.MaxUint32, Sum: -(1 << 12), Weight: 1 << 10}}})
	}
	body, err := cbor.Marshal(&message)
	c.Assert(err, qt.IsNil)
	data, err := cbor.Marshal(datagram{Incarnation: math.MaxUint32, Sequence: math.MaxUint64, Fleet: math.MaxUint64, Kind: envelope.KindPace, Body: body})
	c.Assert(err, qt.IsNil)
	c.Logf("%d bytes", len(data))
	c.Check(len(data) <= 9<<10, qt.IsTrue)
	c.Check(len(data)-len(body) <= envelopeBytes, qt.IsTrue)
	c.Check(len(body) <= maxEntries*entryBytes, qt.IsTrue)
}

// TestGoldenSamples pins the encoded form, which hosts of other versions read.
func TestGoldenSamples(t *testing.T) {
	golden.Message(t, "samples", &Samples{Services: []ServiceSamples{
		{Service: 1, Endpoints: []EndpointSamples{{Endpoint: 2, Sum: -3, Weight: 4}, {Endpoint: 5, Sum: 600, Weight: 7}}},
	}})
}

package pushback

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// newTracker returns a tracker over a directory with two endpoints.
func newTracker(c *qt.C, broadcast func(message any)) (*Tracker, *directory.Directory) {
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
	return New(Parts{Directory: d, Rests: NewRests(time.Now, func() float64 { return 0 }), Broadcast: broadcast, Log: log.WithFields(nil), Random: func() float64 { return 0 }}), d
}

// TestPeersLearnThatAnEndpointLeaves has two hosts: the one that an endpoint answers lets the other know, often enough for
// a datagram to be lost, and that one passes nothing on.
func TestPeersLearnThatAnEndpointLeaves(t *testing.T) {
	c := qt.New(t)
	sent := make(chan *Leaving)
	first, known := newTracker(c, func(message any) { sent <- message.(*Leaving) })
	second, knownToo := newTracker(c, func(any) { c.Error("it passes on what another host has sent") })
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { first.Run(done) })
	first.Received(Instance{ID: "a", Version: "v1"}, Signal{Leaving: true})
	c.Check(known.Serving("llm"), qt.HasLen, 1)
	for range 1 + announceRepeats {
		message := <-sent
		c.Check(message.Endpoints, qt.DeepEquals, []Instance{{ID: "a", Version: "v1"}})
		body, err := cbor.Marshal(message)
		c.Assert(err, qt.IsNil)
		second.ReceivedFromPeer("first", body)
	}
	first.Received(Instance{ID: "a", Version: "v1"}, Signal{Leaving: true})
	c.Check(knownToo.Leaving("llm"), qt.HasLen, 1)
	c.Check(second.waiting, qt.HasLen, 0)
	close(done)
	running.Wait()
	c.Check(first.waiting, qt.HasLen, 0)
	second.ReceivedFromPeer("first", []byte("no message"))
	c.Check(knownToo.Serving("llm"), qt.HasLen, 1)
}

// TestGoldenLeaving holds the encoded form of the message: hosts of other versions read it.
func TestGoldenLeaving(t *testing.T) {
	golden.Message(t, "leaving", &Leaving{Endpoints: []Instance{{ID: "a", Version: "v1"}, {ID: "b", Version: "v1 of 2"}}})
}

// TestLeavingBytes holds the largest message to half of what a datagram takes.
func TestLeavingBytes(t *testing.T) {
	c := qt.New(t)
	var message Leaving
	for range mostLeaving {
		message.Endpoints = append(message.Endpoints, Instance{ID: strings.Repeat("i", 32), Version: strings.Repeat("v", 24)})
	}
	data, err := cbor.Marshal(&message)
	c.Assert(err, qt.IsNil)
	c.Logf("%d endpoints take %d bytes", mostLeaving, len(data))
	c.Check(len(data) <= 8<<10, qt.IsTrue)
}

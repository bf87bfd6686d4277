package pushback

import (
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/backoff"
)

const (
	// announceInterval is the mean time between two announcements of endpoints that leave, announceRepeats how often
	// each is announced after the first time: datagrams may be lost, 1 in 40 on a bad day of mfs-kochi. All are sent well
	// within the two seconds in which the users expect that an endpoint that leaves gets no more work.
	announceInterval = 400 * time.Millisecond
	announceRepeats  = 2
	// mostLeaving bounds the endpoints of one message: 128 take 8 KB (TestLeavingBytes).
	mostLeaving = 128
)

// Instance is one start of an endpoint.
type Instance struct {
	_ struct{} `cbor:",toarray"`

	ID string
	// Version is that of the endpoint's entry.
	Version string
}

// Leaving is a message to peers: endpoints that have said that they leave.
type Leaving struct {
	_ struct{} `cbor:",toarray"`

	Endpoints []Instance
}

// Directory is where the endpoints are known.
type Directory interface {
	// SetLeaving notes that an endpoint has said that it leaves, and reports whether that was not known.
	SetLeaving(id, version string) bool
}

// Parts are what a tracker works with.
type Parts struct {
	Directory Directory
	Rests     *Rests
	// Broadcast sends a message to all peers. A datagram may be lost.
	Broadcast func(message any)
	Log       *logrus.Entry
	// Random returns numbers from 0 up to 1.
	Random func() float64
}

// announcement is an endpoint that is still to be announced a number of times.
type announcement struct {
	endpoint Instance
	left     int
}

// isNew reports whether it was not sent yet.
func (a announcement) isNew() bool { return a.left > announceRepeats }

// Tracker takes what endpoints say of themselves, and lets peers know of those that leave. It is safe for concurrent use.
type Tracker struct {
	parts Parts

	mu      sync.Mutex
	waiting []announcement
	// changed wakes Run.
	changed chan struct{}
}

// New returns a tracker that knows nothing.
func New(parts Parts) *Tracker { return &Tracker{parts: parts, changed: make(chan struct{}, 1)} }

// Received takes what the head of an answer says of its endpoint. It does not block.
func (t *Tracker) Received(endpoint Instance, signal Signal) {
	if signal.Leaving && t.setLeaving(endpoint, "the endpoint") {
		t.announce(endpoint)
	}
	switch {
	case signal.Rest > 0:
		// The endpoint asks this host alone: others have their own answers.
		if t.parts.Rests.Begin(endpoint, signal.Rest) {
			t.parts.Log.WithFields(logrus.Fields{"endpoint": endpoint.ID, "rest_ms": signal.Rest.Milliseconds()}).Info("endpoint wants rest")
		}
	case !signal.Rejected:
		t.parts.Rests.Answered(endpoint)
	}
}

// ReceivedFromPeer handles a peer's message, in CBOR.
func (t *Tracker) ReceivedFromPeer(peer string, body []byte) {
	var message Leaving
	if err := cbor.Unmarshal(body, &message); err != nil {
		t.parts.Log.WithError(err).WithField("from", peer).Warn("a peer's message can't be decoded")
		return
	}
	for _, endpoint := range message.Endpoints {
		t.setLeaving(endpoint, peer)
	}
}

// setLeaving notes that an endpoint leaves, and reports whether that was not known.
func (t *Tracker) setLeaving(endpoint Instance, from string) bool {
	if !t.parts.Directory.SetLeaving(endpoint.ID, endpoint.Version) {
		return false
	}
	t.parts.Log.WithFields(logrus.Fields{"endpoint": endpoint.ID, "version": endpoint.Version, "from": from}).Info("endpoint says that it leaves")
	return true
}

// announce has Run let peers know of an endpoint that leaves.
func (t *Tracker) announce(endpoint Instance) {
	t.mu.Lock()
	t.waiting = append(t.waiting, announcement{endpoint: endpoint, left: 1 + announceRepeats})
	t.mu.Unlock()
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Run announces endpoints that leave until done is closed: each at once, and again after a while.
func (t *Tracker) Run(done <-chan struct{}) {
	// again is nil while nothing has to be sent again.
	var again <-chan time.Time
	for {
		select {
		case <-t.changed:
			t.broadcast(announcement.isNew)
			if again == nil {
				again = t.pause()
			}
		case <-again:
			again = nil
			if t.broadcast(func(announcement) bool { return true }) {
				again = t.pause()
			}
		case <-done:
			return
		}
	}
}

// pause returns what receives after the time between two announcements.
func (t *Tracker) pause() <-chan time.Time {
	return time.After(backoff.Spread(announceInterval, 1, t.parts.Random()))
}

// broadcast sends those of the waiting announcements that are due to all peers, and reports whether any is left.
func (t *Tracker) broadcast(isDue func(announcement) bool) bool {
	t.mu.Lock()
	var endpoints []Instance
	left := t.waiting[:0]
	for _, a := range t.waiting {
		if isDue(a) {
			endpoints = append(endpoints, a.endpoint)
			a.left--
		}
		if a.left > 0 {
			left = append(left, a)
		}
	}
	t.waiting = left
	waiting := len(left) > 0
	t.mu.Unlock()
	for batch := range slices.Chunk(endpoints, mostLeaving) {
		t.parts.Broadcast(&Leaving{Endpoints: batch})
	}
	return waiting
}

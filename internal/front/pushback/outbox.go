package pushback

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// announceInterval is the mean time between two announcements of endpoints that leave, announceRepeats how often
	// each is announced after the first time: datagrams may be lost, 1 in 40 on a bad day of mfs-kochi. All are sent well
	// within the two seconds in which the users expect that an endpoint that leaves gets no more work.
	announceInterval = 400 * time.Millisecond
	announceRepeats  = 2
	// leastCountPace and countPacePerHost are the time between two messages with counts of one host: short against the
	// time for which they count in a small fleet, and so long in a large one that a host sends the same to all together.
	leastCountPace   = 200 * time.Millisecond
	countPacePerHost = 25 * time.Millisecond
	// mostLeaving and mostCounts bound the endpoints of one message: 128 take 8 KB, 512 take 6 KB (TestMessageBytes).
	mostLeaving = 128
	mostCounts  = 512
	// mostCounted bounds what one message can say of an endpoint, so that a faulty one has no more weight than a burst.
	mostCounted = 1000
)

// outbox is what is still to be sent to peers.
type outbox struct {
	leaving []announcement
	counts  map[keys.Endpoint]count
}

// announcement is an endpoint that is still to be announced a number of times.
type announcement struct {
	endpoint Instance
	left     int
}

// isNew reports whether it was not sent yet.
func (a announcement) isNew() bool { return a.left > announceRepeats }

// count is what an endpoint has rejected and taken, in requests.
type count struct{ rejected, taken uint }

func (o *outbox) leave(endpoint Instance) {
	o.leaving = append(o.leaving, announcement{endpoint: endpoint, left: 1 + announceRepeats})
}

func (o *outbox) count(endpoint keys.Endpoint, c count) {
	sum := o.counts[endpoint]
	sum.rejected += c.rejected
	sum.taken += c.taken
	o.counts[endpoint] = sum
}

// nextLeaving returns the endpoints of those announcements that are due, and whether any has to be sent again.
func (o *outbox) nextLeaving(isDue func(announcement) bool) (endpoints []Instance, again bool) {
	left := o.leaving[:0]
	for _, a := range o.leaving {
		if isDue(a) {
			endpoints = append(endpoints, a.endpoint)
			a.left--
		}
		if a.left > 0 {
			left = append(left, a)
		}
	}
	o.leaving = left
	return endpoints, len(left) > 0
}

// nextCounts returns the counts that were not sent yet.
func (o *outbox) nextCounts() []RejectedCount {
	counts := make([]RejectedCount, 0, len(o.counts))
	for endpoint, c := range o.counts {
		counts = append(counts, RejectedCount{Endpoint: endpoint, Rejected: c.rejected, Taken: c.taken})
	}
	clear(o.counts)
	return counts
}

// Run sends what peers have to know until done is closed: endpoints that leave at once, and again after a while; counts
// at once, but for a pause after the last.
func (t *Tracker) Run(done <-chan struct{}) {
	// again is nil while no endpoint has to be announced again, paused while counts may be sent.
	var again, paused <-chan time.Time
	for {
		rejected := t.rejected
		if paused != nil {
			rejected = nil
		}
		select {
		case <-t.leaving:
			t.sendLeaving(announcement.isNew)
			if again == nil {
				again = t.after(announceInterval)
			}
		case <-again:
			again = nil
			if t.sendLeaving(func(announcement) bool { return true }) {
				again = t.after(announceInterval)
			}
		case <-rejected:
			t.sendCounts()
			paused = t.after(max(leastCountPace, time.Duration(t.parts.Peers.Hosts())*countPacePerHost))
		case <-paused:
			paused = nil
		case <-done:
			return
		}
	}
}

// after returns what receives after a time, spread around its mean.
func (t *Tracker) after(mean time.Duration) <-chan time.Time {
	return time.After(backoff.Spread(mean, 1, t.parts.Random()))
}

// sendLeaving sends those announcements that are due, and reports whether any has to be sent again.
func (t *Tracker) sendLeaving(isDue func(announcement) bool) (again bool) {
	t.mu.Lock()
	endpoints, again := t.outbox.nextLeaving(isDue)
	t.mu.Unlock()
	for batch := range slices.Chunk(endpoints, mostLeaving) {
		t.parts.Peers.BroadcastLeaving(&Leaving{Endpoints: batch})
	}
	return again
}

// sendCounts sends what endpoints have rejected and taken.
func (t *Tracker) sendCounts() {
	t.mu.Lock()
	counts := t.outbox.nextCounts()
	t.mu.Unlock()
	for batch := range slices.Chunk(counts, mostCounts) {
		t.parts.Peers.BroadcastRejections(&Rejected{Endpoints: batch})
	}
}

package pushback

import (
	"maps"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/front/announce"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
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
	// mostLeaving, mostLimits, mostCounts and mostFailures bound the endpoints of one message, so that it fits into a
	// datagram: each takes 9 KB at most (TestMessageBytes).
	mostLeaving  = 128
	mostLimits   = 96
	mostCounts   = 512
	mostFailures = 384
	// greeters is how many hosts let a newcomer know what endpoints have said: some may have just joined themselves.
	greeters = 3
	// mostCounted bounds what one message can say of an endpoint, so that a faulty one has no more weight than a burst.
	mostCounted = 1000
)

// outbox is what is still to be sent to peers.
type outbox struct {
	leaving *announce.List[Instance]
	limits  *announce.List[limitNews]
	// newcomers are hosts that have joined, and learn all of it.
	newcomers *announce.List[envelope.Sender]
	rejected  counts[keys.Endpoint]
	failed    counts[EndpointClass]
}

// limitNews is a limit that has changed.
type limitNews struct {
	endpoint Instance
	limit    Limit
	sentAt   time.Time
}

func newOutbox() outbox {
	return outbox{
		leaving: announce.New[Instance](announceRepeats), limits: announce.New[limitNews](announceRepeats),
		newcomers: announce.New[envelope.Sender](announceRepeats), rejected: make(counts[keys.Endpoint]), failed: make(counts[EndpointClass]),
	}
}

// isEmpty reports whether nothing is to be announced again.
func (o *outbox) isEmpty() bool {
	return o.leaving.IsEmpty() && o.limits.IsEmpty() && o.newcomers.IsEmpty()
}

// counts are requests that went badly and well and were not sent to peers yet.
type counts[K comparable] map[K]count

// count is how many requests went badly and well.
type count struct{ bad, good uint }

func (c counts[K]) add(key K, bad, good uint) {
	sum := c[key]
	sum.bad += bad
	sum.good += good
	c[key] = sum
}

// take returns what was not sent yet.
func (c counts[K]) take() counts[K] {
	taken := maps.Clone(c)
	clear(c)
	return taken
}

// Run sends what peers have to know until done is closed: what is announced at once, and again after a while; counts at
// once, but for a pause after the last.
func (t *Tracker) Run(done <-chan struct{}) {
	// again is nil while nothing has to be announced again, paused while counts may be sent.
	var again, paused <-chan time.Time
	for {
		counted := t.counted
		if paused != nil {
			counted = nil
		}
		select {
		case <-t.news:
			t.announceFresh()
			if again == nil {
				again = t.after(announceInterval)
			}
		case <-again:
			again = nil
			if t.announceAll() {
				again = t.after(announceInterval)
			}
		case <-counted:
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

// announceFresh announces what was not announced yet. Newcomers don't know this host yet, and wait.
func (t *Tracker) announceFresh() {
	t.mu.Lock()
	leaving, limits := t.outbox.leaving.Unsent(), t.outbox.limits.Unsent()
	t.mu.Unlock()
	t.send(leaving, t.notices(limits), t.parts.Peers.Broadcast)
}

// announceAll announces all once more, and reports whether something has to be announced again.
func (t *Tracker) announceAll() (again bool) {
	t.mu.Lock()
	leaving, limits, newcomers := t.outbox.leaving.All(), t.outbox.limits.All(), t.outbox.newcomers.All()
	again = !t.outbox.isEmpty()
	t.mu.Unlock()
	t.send(leaving, t.notices(limits), t.parts.Peers.Broadcast)
	for _, newcomer := range newcomers {
		t.greet(newcomer)
	}
	return again
}

// greet sends a host that has joined what endpoints have said.
func (t *Tracker) greet(newcomer envelope.Sender) {
	var leaving []Instance
	for id, version := range t.parts.Directory.ReportedLeaving() {
		leaving = append(leaving, Instance{ID: id, Version: version})
	}
	var limits []LimitNotice
	for endpoint := range t.parts.Limits.All() {
		limits = append(limits, t.parts.Limits.Notice(endpoint))
	}
	t.send(leaving, limits, func(kind envelope.Kind, message any) { t.parts.Peers.SendTo(newcomer.Host, kind, message) })
}

// notices returns limits that have changed as peers are sent them.
func (t *Tracker) notices(limits []limitNews) []LimitNotice {
	now := t.parts.Clock()
	notices := make([]LimitNotice, 0, len(limits))
	for _, n := range limits {
		notices = append(notices, LimitNotice{Endpoint: n.endpoint, Limit: n.limit, Age: now.Sub(n.sentAt)})
	}
	return notices
}

// send sends what endpoints say in messages that fit into a datagram.
func (t *Tracker) send(leaving []Instance, limits []LimitNotice, send func(kind envelope.Kind, message any)) {
	for batch := range slices.Chunk(leaving, mostLeaving) {
		send(envelope.KindLeaving, &Leaving{Endpoints: batch})
	}
	for batch := range slices.Chunk(limits, mostLimits) {
		send(envelope.KindLimits, &Limited{Notices: batch})
	}
}

// sendCounts sends what endpoints have rejected, failed and taken.
func (t *Tracker) sendCounts() {
	t.mu.Lock()
	rejected, failed := t.outbox.rejected.take(), t.outbox.failed.take()
	t.mu.Unlock()
	var rejections []RejectedCount
	for endpoint, c := range rejected {
		rejections = append(rejections, RejectedCount{Endpoint: endpoint, Rejected: c.bad, Taken: c.good})
	}
	for batch := range slices.Chunk(rejections, mostCounts) {
		t.parts.Peers.Broadcast(envelope.KindRejections, &Rejected{Endpoints: batch})
	}
	var failures []FailedCount
	for work, c := range failed {
		failures = append(failures, FailedCount{Work: work, Failed: c.bad, Answered: c.good})
	}
	for batch := range slices.Chunk(failures, mostFailures) {
		t.parts.Peers.Broadcast(envelope.KindFailures, &Failed{Counts: batch})
	}
}

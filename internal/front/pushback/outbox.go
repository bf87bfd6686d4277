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
	// announceInterval is the mean time between two announcements of the same update, announceRepeats the number of
	// repetitions after the first one. Datagrams may be lost, up to 1 in 40 in production. All announcements are sent
	// well within the 2 s in which a leaving endpoint must stop getting new work.
	announceInterval = 400 * time.Millisecond
	announceRepeats  = 2
	// minCountInterval and countIntervalPerHost determine the time between two messages with counts of one host. With few
	// neighbors it is short against the half-life of the counts. It grows with their number, so that the bytes that a
	// host sends to all of them together stay the same.
	minCountInterval     = 200 * time.Millisecond
	countIntervalPerHost = 25 * time.Millisecond
	// These limits keep a message within a datagram: a full one takes 9 KB at most (TestMessageBytes).
	maxLeavingPerMessage    = 128
	maxLimitsPerMessage     = 96
	maxRejectionsPerMessage = 512
	maxFailuresPerMessage   = 384
	// stateSenders is the number of hosts that send the current state to a host that joins, since some of them may
	// have just joined themselves.
	stateSenders = 3
	// maxReportedCount bounds the counts that are accepted from one message, so that a faulty one has no more weight
	// than a burst of requests.
	maxReportedCount = 1000
)

// outbox holds the updates that are still to be sent to peers.
type outbox struct {
	leaving *announce.List[Instance]
	limits  *announce.List[limitUpdate]
	// joined are hosts that have joined and are still to be sent the current state.
	joined   *announce.List[envelope.Sender]
	rejected counts[keys.Endpoint]
	failed   counts[EndpointClass]
}

// limitUpdate is a limit that has changed.
type limitUpdate struct {
	endpoint Instance
	limit    Limit
	sentAt   time.Time
}

func newOutbox() outbox {
	return outbox{
		leaving: announce.New[Instance](announceRepeats), limits: announce.New[limitUpdate](announceRepeats),
		joined: announce.New[envelope.Sender](announceRepeats), rejected: make(counts[keys.Endpoint]), failed: make(counts[EndpointClass]),
	}
}

// isEmpty reports whether no announcement is left to send.
func (o *outbox) isEmpty() bool {
	return o.leaving.IsEmpty() && o.limits.IsEmpty() && o.joined.IsEmpty()
}

// counts are failed or rejected requests, and successful ones, that have not been sent to peers yet.
type counts[K comparable] map[K]count

// count is the number of bad (failed or rejected) and good requests.
type count struct{ bad, good uint }

func (c counts[K]) add(key K, bad, good uint) {
	sum := c[key]
	sum.bad += bad
	sum.good += good
	c[key] = sum
}

// take returns the counts and clears them.
func (c counts[K]) take() counts[K] {
	taken := maps.Clone(c)
	clear(c)
	return taken
}

// Run sends updates to peers until done is closed. Announcements are sent immediately and repeated; counts are sent
// immediately, or after a pause if some were sent just before.
func (t *Tracker) Run(done <-chan struct{}) {
	// again is nil while no announcement is left to repeat, paused is nil while counts may be sent.
	var again, paused <-chan time.Time
	for {
		counted := t.counted
		if paused != nil {
			counted = nil
		}
		select {
		case <-t.updated:
			t.announceUnsent()
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
			paused = t.after(max(minCountInterval, time.Duration(len(t.parts.Peers.Neighbors()))*countIntervalPerHost))
		case <-paused:
			paused = nil
		case <-done:
			return
		}
	}
}

// after returns a channel that fires after a randomized delay with the given mean.
func (t *Tracker) after(mean time.Duration) <-chan time.Time {
	return time.After(backoff.Spread(mean, 1, t.parts.Random()))
}

// announceUnsent announces the updates that have not been announced yet. Hosts that have just joined do not know this
// host yet, and get the state later.
func (t *Tracker) announceUnsent() {
	t.mu.Lock()
	leaving, limits := t.outbox.leaving.Unsent(), t.outbox.limits.Unsent()
	t.mu.Unlock()
	t.send(leaving, t.notices(limits), t.parts.Peers.Broadcast)
}

// announceAll repeats all announcements, and reports whether some are left to be repeated again.
func (t *Tracker) announceAll() (again bool) {
	t.mu.Lock()
	leaving, limits, joined := t.outbox.leaving.All(), t.outbox.limits.All(), t.outbox.joined.All()
	again = !t.outbox.isEmpty()
	t.mu.Unlock()
	t.send(leaving, t.notices(limits), t.parts.Peers.Broadcast)
	for _, host := range joined {
		t.sendState(host)
	}
	return again
}

// sendState sends the leaving endpoints and all limits to a host that has joined.
func (t *Tracker) sendState(joined envelope.Sender) {
	var leaving []Instance
	for id, version := range t.parts.Directory.ReportedLeaving() {
		leaving = append(leaving, Instance{ID: id, Version: version})
	}
	var limits []LimitNotice
	for endpoint := range t.parts.Limits.All() {
		limits = append(limits, t.parts.Limits.Notice(endpoint))
	}
	t.send(leaving, limits, func(kind envelope.Kind, message any) { t.parts.Peers.SendTo(joined.Host, kind, message) })
}

// notices converts limits that have changed to messages.
func (t *Tracker) notices(limits []limitUpdate) []LimitNotice {
	now := t.parts.Clock()
	notices := make([]LimitNotice, 0, len(limits))
	for _, n := range limits {
		notices = append(notices, LimitNotice{Endpoint: n.endpoint, Limit: n.limit, Age: now.Sub(n.sentAt)})
	}
	return notices
}

// send sends leaving endpoints and limits in messages that fit into a datagram.
func (t *Tracker) send(leaving []Instance, limits []LimitNotice, send func(kind envelope.Kind, message any)) {
	for batch := range slices.Chunk(leaving, maxLeavingPerMessage) {
		send(envelope.KindLeaving, &Leaving{Endpoints: batch})
	}
	for batch := range slices.Chunk(limits, maxLimitsPerMessage) {
		send(envelope.KindLimits, &Limited{Notices: batch})
	}
}

// sendCounts sends the requests that endpoints have rejected, failed and taken since the last message.
func (t *Tracker) sendCounts() {
	t.mu.Lock()
	rejected, failed := t.outbox.rejected.take(), t.outbox.failed.take()
	t.mu.Unlock()
	var rejections []RejectedCount
	for endpoint, c := range rejected {
		rejections = append(rejections, RejectedCount{Endpoint: endpoint, Rejected: c.bad, Taken: c.good})
	}
	for batch := range slices.Chunk(rejections, maxRejectionsPerMessage) {
		t.parts.Peers.BroadcastNear(envelope.KindRejections, &Rejected{Endpoints: batch})
	}
	var failures []FailedCount
	for key, c := range failed {
		failures = append(failures, FailedCount{Work: key, Failed: c.bad, Answered: c.good})
	}
	for batch := range slices.Chunk(failures, maxFailuresPerMessage) {
		t.parts.Peers.BroadcastNear(envelope.KindFailures, &Failed{Counts: batch})
	}
}

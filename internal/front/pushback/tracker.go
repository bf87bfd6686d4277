package pushback

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// Directory is the registry of endpoints.
type Directory interface {
	// SetLeaving records that an endpoint has reported that it is leaving. It returns false if the endpoint was
	// already known to be leaving.
	SetLeaving(id, version string) bool
	// ReportedLeaving returns the version of each endpoint that has reported that it is leaving, by ID.
	ReportedLeaving() map[string]string
}

// Peers reaches the other hosts. Messages may be lost.
type Peers interface {
	// Broadcast sends a message to all peers, SendTo to one.
	Broadcast(kind envelope.Kind, message any)
	SendTo(host string, kind envelope.Kind, message any)
	// Senders returns the live hosts, this one first.
	Senders() []envelope.Sender
	// Neighbors returns the peers that share their counts, BroadcastNear sends a message to them.
	Neighbors() []envelope.Sender
	BroadcastNear(kind envelope.Kind, message any)
}

// Parts are the dependencies of a Tracker.
type Parts struct {
	Directory  Directory
	Rests      *Rests
	Rejections *Rejections
	Failures   *Failures
	Limits     *Limits
	Brittle    *Brittle
	Peers      Peers
	Log        *logrus.Entry
	Clock      func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
}

// Tracker records what endpoints report in their answers, and informs peers of endpoints that are leaving, name a
// limit, or reject or fail requests. It is safe for concurrent use.
type Tracker struct {
	parts Parts

	mu     sync.Mutex
	outbox outbox
	// updated wakes Run when there are updates to announce, counted when there are counts to send.
	updated chan struct{}
	counted chan struct{}
	// hasLoggedMalformed is set after the first malformed limit was logged, so that a faulty endpoint does not flood
	// the log.
	hasLoggedMalformed atomic.Bool
}

// New returns a tracker without records.
func New(parts Parts) *Tracker {
	return &Tracker{parts: parts, outbox: newOutbox(), updated: make(chan struct{}, 1), counted: make(chan struct{}, 1)}
}

// Answer is what the head of an answer reports about its endpoint.
type Answer struct {
	Endpoint Instance
	// Class is the class of the request.
	Class  keys.Class
	Signal Signal
	// SentAt is when the request was sent.
	SentAt time.Time
}

// HandleAnswer records what the head of an answer reports about its endpoint. It does not block.
func (t *Tracker) HandleAnswer(answer *Answer) {
	endpoint, signal := answer.Endpoint, &answer.Signal
	if signal.Leaving && t.setLeaving(endpoint, "the endpoint") {
		t.announce(func(o *outbox) { o.leaving.Add(endpoint) })
	}
	t.handleLimit(answer)
	t.count(answer)
	switch {
	case signal.Rest > 0:
		// A rest applies to this host only: other hosts are asked in their own answers.
		if t.parts.Rests.Begin(endpoint, signal.Rest) {
			t.parts.Log.WithFields(logrus.Fields{"endpoint": endpoint.ID, "rest_ms": signal.Rest.Milliseconds()}).Info("endpoint asked for a rest; it gets no requests until the rest ends")
		}
	case !signal.Rejected:
		t.parts.Rests.EndTrial(endpoint)
	}
}

// handleLimit records the limit that an answer names, or that it names none.
func (t *Tracker) handleLimit(answer *Answer) {
	endpoint, signal := answer.Endpoint, &answer.Signal
	if signal.MalformedLimit != "" {
		if !t.hasLoggedMalformed.Swap(true) {
			t.parts.Log.WithFields(logrus.Fields{"endpoint": endpoint.ID, "limit": signal.MalformedLimit}).Warn("endpoint names a malformed limit; ignored")
		}
		return
	}
	limit, sentAt := t.limitOf(answer), answer.SentAt
	if limit != signal.Limit {
		// The limit follows from what has been rejected by now, whenever the request was sent.
		sentAt = t.parts.Clock()
	}
	if !t.parts.Limits.Record(endpoint, limit, sentAt) {
		return
	}
	t.logLimit(endpoint, limit, "the endpoint")
	t.announce(func(o *outbox) { o.limits.Add(limitUpdate{endpoint: endpoint, limit: limit, sentAt: sentAt}) })
}

// limitOf returns the limit of an endpoint after an answer: the one that it names, or the one that keeps a brittle endpoint
// from rejecting too many requests, whichever is stricter.
func (t *Tracker) limitOf(answer *Answer) Limit {
	endpoint, signal := answer.Endpoint, &answer.Signal
	if t.parts.Brittle.Record(endpoint, signal.MaxRejections.IsSet) {
		t.logBrittle(endpoint, signal.MaxRejections)
	}
	if !signal.MaxRejections.IsSet {
		return signal.Limit
	}
	limit := t.parts.Limits.limitAfterAnswer(endpoint, signal.Rejected, signal.MaxRejections.PerSecond)
	if signal.Limit.rate() < limit.rate() {
		return signal.Limit
	}
	return limit
}

// logBrittle logs that an endpoint has begun or ceased to be brittle.
func (t *Tracker) logBrittle(endpoint Instance, maxRejections Limit) {
	fields := logrus.Fields{"endpoint": endpoint.ID, "version": endpoint.Version}
	if !maxRejections.IsSet {
		t.parts.Log.WithFields(fields).Info("endpoint is no longer brittle")
		return
	}
	fields["rejections_per_s"] = maxRejections.PerSecond
	t.parts.Log.WithFields(fields).Info("endpoint is brittle; it gets no requests beyond its slots, and after a rejection only so many a second")
}

// announce adds an update to the outbox and wakes Run.
func (t *Tracker) announce(add func(*outbox)) {
	t.mu.Lock()
	add(&t.outbox)
	t.mu.Unlock()
	lifetime.Wake(t.updated)
}

// logLimit logs a limit that has changed.
func (t *Tracker) logLimit(endpoint Instance, limit Limit, from string) {
	fields := logrus.Fields{"endpoint": endpoint.ID, "version": endpoint.Version, "from": from}
	if !limit.IsSet {
		t.parts.Log.WithFields(fields).Info("endpoint no longer names a limit; requests to it need no permit")
		return
	}
	fields["per_second"] = limit.PerSecond
	t.parts.Log.WithFields(fields).Info("endpoint names a limit")
}

// count counts a request that an endpoint has rejected, failed or answered. A rejected one does not count in
// Failures.
func (t *Tracker) count(answer *Answer) {
	endpoint := keys.OfEndpoint(answer.Endpoint.ID)
	endpointClass := EndpointClass{Endpoint: endpoint, Class: answer.Class}
	rejected, taken := countOf(answer.Signal.Rejected)
	failed, answered := countOf(answer.Signal.Failed)
	isRejectionUpdate := t.parts.Rejections.Count(endpoint, rejected, taken)
	isFailureUpdate := !answer.Signal.Rejected && t.parts.Failures.Count(endpointClass, failed, answered)
	if !isRejectionUpdate && !isFailureUpdate {
		return
	}
	t.mu.Lock()
	if isRejectionUpdate {
		t.outbox.rejected.add(endpoint, rejected, taken)
	}
	if isFailureUpdate {
		t.outbox.failed.add(endpointClass, failed, answered)
	}
	t.mu.Unlock()
	lifetime.Wake(t.counted)
}

// countOf returns the counts of one bad or one good request.
func countOf(isBad bool) (bad, good uint) {
	if isBad {
		return 1, 0
	}
	return 0, 1
}

// HandleLeaving handles a peer's Leaving, encoded as CBOR.
func (t *Tracker) HandleLeaving(peer string, body []byte) {
	var message Leaving
	if !t.decode(peer, body, &message) {
		return
	}
	for _, endpoint := range message.Endpoints {
		t.setLeaving(endpoint, peer)
	}
}

// HandleLimits handles a peer's Limited, encoded as CBOR.
func (t *Tracker) HandleLimits(peer string, body []byte) {
	var message Limited
	if !t.decode(peer, body, &message) {
		return
	}
	now := t.parts.Clock()
	for _, notice := range message.Notices {
		if t.parts.Limits.Record(notice.Endpoint, notice.Limit, now.Add(-notice.Age)) {
			t.logLimit(notice.Endpoint, notice.Limit, peer)
		}
	}
}

// HandleJoin handles a host that has joined: a few hosts send it what endpoints reported before.
func (t *Tracker) HandleJoin(host envelope.Sender) {
	if t.hasState() && t.isStateSender(host) {
		t.announce(func(o *outbox) { o.joined.Add(host) })
	}
}

// hasState reports whether there is anything that a host that has joined has to be told.
func (t *Tracker) hasState() bool {
	return len(t.parts.Directory.ReportedLeaving()) > 0 || len(t.parts.Limits.All()) > 0
}

// isStateSender reports whether this host is among the stateSenders hosts that send the state to a host that has
// joined.
func (t *Tracker) isStateSender(joined envelope.Sender) bool {
	hosts := t.parts.Peers.Senders()
	own := stateSenderWeight(hosts[0], joined)
	before := 0
	for _, host := range hosts[1:] {
		if host != joined && stateSenderWeight(host, joined) > own {
			before++
		}
	}
	return before < stateSenders
}

// stateSenderWeight orders the hosts that may send the state to a host that has joined. The order differs for each
// joined host.
func stateSenderWeight(host, joined envelope.Sender) uint64 {
	return xxhash.Sum64String(host.Host + "\x00" + joined.Host)
}

// setLeaving records that an endpoint is leaving, and returns false if it was already known to be.
func (t *Tracker) setLeaving(endpoint Instance, from string) bool {
	if !t.parts.Directory.SetLeaving(endpoint.ID, endpoint.Version) {
		return false
	}
	t.parts.Log.WithFields(logrus.Fields{"endpoint": endpoint.ID, "version": endpoint.Version, "from": from}).Info("endpoint reports that it is leaving; it gets no new requests")
	return true
}

// HandleRejections handles a peer's Rejected, encoded as CBOR.
func (t *Tracker) HandleRejections(peer string, body []byte) {
	var message Rejected
	if !t.decode(peer, body, &message) {
		return
	}
	for _, r := range message.Endpoints {
		t.parts.Rejections.Count(r.Endpoint, min(r.Rejected, maxReportedCount), min(r.Taken, maxReportedCount))
	}
}

// HandleFailures handles a peer's Failed, encoded as CBOR.
func (t *Tracker) HandleFailures(peer string, body []byte) {
	var message Failed
	if !t.decode(peer, body, &message) {
		return
	}
	for _, c := range message.Counts {
		t.parts.Failures.Count(c.Work, min(c.Failed, maxReportedCount), min(c.Answered, maxReportedCount))
	}
}

// decode decodes a peer's message, and returns false if it can't.
func (t *Tracker) decode(peer string, body []byte, message any) bool {
	err := cbor.Unmarshal(body, message)
	if err != nil {
		t.parts.Log.WithError(err).WithField("from", peer).Warn("peer's message can't be decoded; dropped")
	}
	return err == nil
}

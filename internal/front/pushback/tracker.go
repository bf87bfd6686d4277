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

// Directory is where the endpoints are known.
type Directory interface {
	// SetLeaving notes that an endpoint has said that it leaves, and reports whether that was not known.
	SetLeaving(id, version string) bool
	// ReportedLeaving returns the starts of endpoints that have said that they leave, the version by ID.
	ReportedLeaving() map[string]string
}

// Peers are the other hosts. A message to them may be lost.
type Peers interface {
	// Broadcast sends a message to all peers, SendTo to one.
	Broadcast(kind envelope.Kind, message any)
	SendTo(host string, kind envelope.Kind, message any)
	// Hosts returns the number of live hosts, this one included.
	Hosts() int
	// Senders returns the live hosts, this one first.
	Senders() []envelope.Sender
}

// Parts are what a tracker works with.
type Parts struct {
	Directory  Directory
	Rests      *Rests
	Rejections *Rejections
	Failures   *Failures
	Limits     *Limits
	Peers      Peers
	Log        *logrus.Entry
	Clock      func() time.Time
	// Random returns numbers from 0 up to 1.
	Random func() float64
}

// Tracker takes what endpoints say of themselves, and lets peers know of those that leave, name a limit, or reject or fail
// requests. It is safe for concurrent use.
type Tracker struct {
	parts Parts

	mu     sync.Mutex
	outbox outbox
	// news and counted wake Run: there is something new to announce, or counts to send.
	news    chan struct{}
	counted chan struct{}
	// malformed is set once a malformed limit was logged, so that a faulty endpoint does not fill the log.
	malformed atomic.Bool
}

// New returns a tracker that knows nothing.
func New(parts Parts) *Tracker {
	return &Tracker{parts: parts, outbox: newOutbox(), news: make(chan struct{}, 1), counted: make(chan struct{}, 1)}
}

// Answer is what the head of an answer says of its endpoint.
type Answer struct {
	Endpoint Instance
	// Class is that of the request.
	Class  keys.Class
	Signal Signal
	// SentAt is when the request was sent.
	SentAt time.Time
}

// HandleAnswer takes what the head of an answer says of its endpoint. It does not block.
func (t *Tracker) HandleAnswer(answer *Answer) {
	endpoint, signal := answer.Endpoint, &answer.Signal
	if signal.Leaving && t.setLeaving(endpoint, "the endpoint") {
		t.announce(func(o *outbox) { o.leaving.Add(endpoint) })
	}
	t.receivedLimit(answer)
	t.count(answer)
	switch {
	case signal.Rest > 0:
		// The endpoint asks this host alone: others have their own answers.
		if t.parts.Rests.Begin(endpoint, signal.Rest) {
			t.parts.Log.WithFields(logrus.Fields{"endpoint": endpoint.ID, "rest_ms": signal.Rest.Milliseconds()}).Info("endpoint wants rest")
		}
	case !signal.Rejected:
		t.parts.Rests.EndTrial(endpoint)
	}
}

// receivedLimit takes the limit that an answer names, or that it names none.
func (t *Tracker) receivedLimit(answer *Answer) {
	endpoint, signal := answer.Endpoint, &answer.Signal
	if signal.MalformedLimit != "" {
		if !t.malformed.Swap(true) {
			t.parts.Log.WithFields(logrus.Fields{"endpoint": endpoint.ID, "limit": signal.MalformedLimit}).Warn("endpoint names a limit that is none")
		}
		return
	}
	if !t.parts.Limits.Record(endpoint, signal.Limit, answer.SentAt) {
		return
	}
	t.logLimit(endpoint, signal.Limit, "the endpoint")
	t.announce(func(o *outbox) {
		o.limits.Add(limitNews{endpoint: endpoint, limit: signal.Limit, sentAt: answer.SentAt})
	})
}

// announce adds what is announced to peers from now on.
func (t *Tracker) announce(add func(*outbox)) {
	t.mu.Lock()
	add(&t.outbox)
	t.mu.Unlock()
	lifetime.Wake(t.news)
}

// logLimit logs a limit that has changed.
func (t *Tracker) logLimit(endpoint Instance, limit Limit, from string) {
	fields := logrus.Fields{"endpoint": endpoint.ID, "version": endpoint.Version, "from": from}
	if !limit.IsSet {
		t.parts.Log.WithFields(fields).Info("endpoint names no limit any more")
		return
	}
	fields["per_second"] = limit.PerSecond
	t.parts.Log.WithFields(fields).Info("endpoint names a limit")
}

// count counts a request that an endpoint has rejected, failed or answered. A rejected one says nothing of failures.
func (t *Tracker) count(answer *Answer) {
	key := keys.OfEndpoint(answer.Endpoint.ID)
	work := EndpointClass{Endpoint: key, Class: answer.Class}
	rejected, taken := oneOf(answer.Signal.Rejected)
	failed, answered := oneOf(answer.Signal.Failed)
	isNews := t.parts.Rejections.Count(key, rejected, taken)
	isFailure := !answer.Signal.Rejected && t.parts.Failures.Count(work, failed, answered)
	if !isNews && !isFailure {
		return
	}
	t.mu.Lock()
	if isNews {
		t.outbox.rejected.add(key, rejected, taken)
	}
	if isFailure {
		t.outbox.failed.add(work, failed, answered)
	}
	t.mu.Unlock()
	lifetime.Wake(t.counted)
}

// oneOf returns one request that went badly, or one that went well.
func oneOf(isBad bool) (bad, good uint) {
	if isBad {
		return 1, 0
	}
	return 0, 1
}

// HandleLeaving handles a peer's Leaving, in CBOR.
func (t *Tracker) HandleLeaving(peer string, body []byte) {
	var message Leaving
	if !t.decode(peer, body, &message) {
		return
	}
	for _, endpoint := range message.Endpoints {
		t.setLeaving(endpoint, peer)
	}
}

// HandleLimits handles a peer's Limited, in CBOR.
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

// HandleJoin handles a host that has joined. It learns what endpoints have said before it joined from a few hosts.
func (t *Tracker) HandleJoin(host envelope.Sender) {
	if t.greets(host) {
		t.announce(func(o *outbox) { o.newcomers.Add(host) })
	}
}

// greets reports whether this host is one of the few that a host which has joined learns from.
func (t *Tracker) greets(newcomer envelope.Sender) bool {
	hosts := t.parts.Peers.Senders()
	own := greeterWeight(hosts[0], newcomer)
	before := 0
	for _, host := range hosts[1:] {
		if host != newcomer && greeterWeight(host, newcomer) > own {
			before++
		}
	}
	return before < greeters
}

// greeterWeight orders the hosts that a newcomer may learn from, for each newcomer in another way.
func greeterWeight(host, newcomer envelope.Sender) uint64 {
	return xxhash.Sum64String(host.Host + "\x00" + newcomer.Host)
}

// setLeaving notes that an endpoint leaves, and reports whether that was not known.
func (t *Tracker) setLeaving(endpoint Instance, from string) bool {
	if !t.parts.Directory.SetLeaving(endpoint.ID, endpoint.Version) {
		return false
	}
	t.parts.Log.WithFields(logrus.Fields{"endpoint": endpoint.ID, "version": endpoint.Version, "from": from}).Info("endpoint says that it leaves")
	return true
}

// HandleRejections handles a peer's Rejected, in CBOR.
func (t *Tracker) HandleRejections(peer string, body []byte) {
	var message Rejected
	if !t.decode(peer, body, &message) {
		return
	}
	for _, r := range message.Endpoints {
		t.parts.Rejections.Count(r.Endpoint, min(r.Rejected, mostCounted), min(r.Taken, mostCounted))
	}
}

// HandleFailures handles a peer's Failed, in CBOR.
func (t *Tracker) HandleFailures(peer string, body []byte) {
	var message Failed
	if !t.decode(peer, body, &message) {
		return
	}
	for _, c := range message.Counts {
		t.parts.Failures.Count(c.Work, min(c.Failed, mostCounted), min(c.Answered, mostCounted))
	}
}

// decode decodes a peer's message, and reports whether it can be.
func (t *Tracker) decode(peer string, body []byte, message any) bool {
	err := cbor.Unmarshal(body, message)
	if err != nil {
		t.parts.Log.WithError(err).WithField("from", peer).Warn("a peer's message can't be decoded")
	}
	return err == nil
}

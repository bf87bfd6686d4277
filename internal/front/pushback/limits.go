package pushback

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// maxPerSecond is the highest limit, in requests a second, that is accepted: no endpoint takes more.
	maxPerSecond = 1e6
	// limitTimeout is how long a limit holds after an answer last named it. The slowest limit must not expire before
	// the answer to the one request that it allows names it again.
	limitTimeout = time.Minute
	// maxLimits bounds the number of limits, since a faulty peer may send limits of any endpoints.
	maxLimits = 4096
)

// errNoLimit is the error for a text that is not a limit.
var errNoLimit = merry.Sentinel("limit is not a number of requests a second between 0 and 1e6")

// Limit is the number of requests a second that an endpoint takes from all hosts together. The zero value is no
// limit.
type Limit struct {
	_ struct{} `cbor:",toarray"`

	// IsSet is set if there is a limit. A limit of 0 requests a second allows none.
	IsSet     bool
	PerSecond float64
}

// ParseLimit parses a limit in requests a second. It fails for a text that is empty, negative, not a finite number,
// or above maxPerSecond.
func ParseLimit(text string) (Limit, error) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		return Limit{}, merry.Wrap(errNoLimit, merry.WithCause(err))
	}
	limit := Limit{IsSet: true, PerSecond: rate}
	if !limit.isValid() {
		return Limit{}, errNoLimit
	}
	return limit, nil
}

// isValid reports whether a limit is unset or within the accepted range.
func (l Limit) isValid() bool {
	return !l.IsSet || (!math.IsNaN(l.PerSecond) && l.PerSecond >= 0 && l.PerSecond <= maxPerSecond)
}

// rate returns the limit as a comparable number; no limit is infinite.
func (l Limit) rate() float64 {
	if !l.IsSet {
		return math.Inf(1)
	}
	return l.PerSecond
}

// knownLimit is the limit of one instance of an endpoint.
type knownLimit struct {
	version string
	limit   Limit
	// namedAt is when an answer last named the limit, loosenedAt when the limit was last raised or removed.
	namedAt    time.Time
	loosenedAt time.Time
	// changedAt is when the limit was last changed.
	changedAt time.Time
}

// Limits holds the limits that endpoints have named, each for one instance of its endpoint. Answers may arrive out of
// order: a stricter limit takes effect immediately, while a looser one, or none, takes effect only if the request of
// the answer that names it was sent after the stricter limit was named. Limits is safe for concurrent use.
type Limits struct {
	clock func() time.Time

	mu   sync.Mutex
	byID map[string]*knownLimit
	// size is the number of limits, so that lookups cost nothing while no endpoint has one.
	size atomic.Int64
}

// NewLimits returns a table without limits.
func NewLimits(clock func() time.Time) *Limits {
	return &Limits{clock: clock, byID: make(map[string]*knownLimit)}
}

// Record stores the limit that an answer names, or that it names none. SentAt is when the answered request was sent.
// It reports whether the endpoint's limit changed.
func (l *Limits) Record(endpoint Instance, limit Limit, sentAt time.Time) bool {
	if (!limit.IsSet && !l.Any()) || !limit.isValid() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	known, ok := l.byID[endpoint.ID]
	if !ok || known.version != endpoint.Version {
		return l.add(endpoint, limit, now)
	}
	switch {
	case limit.rate() == known.limit.rate():
		if limit.IsSet {
			known.namedAt = now
		}
		return false
	case limit.rate() < known.limit.rate():
		if sentAt.Before(known.loosenedAt) {
			return false
		}
	default:
		if sentAt.Before(known.namedAt) {
			return false
		}
		known.loosenedAt = now
	}
	known.limit, known.namedAt, known.changedAt = limit, now, now
	return true
}

// add records the first limit of an instance. The caller holds the lock.
func (l *Limits) add(endpoint Instance, limit Limit, now time.Time) bool {
	if !limit.IsSet {
		return false
	}
	if _, ok := l.byID[endpoint.ID]; !ok {
		if len(l.byID) >= maxLimits {
			return false
		}
		l.size.Add(1)
	}
	l.byID[endpoint.ID] = &knownLimit{version: endpoint.Version, limit: limit, namedAt: now, changedAt: now}
	return true
}

// limitAfterAnswer returns the limit that a brittle endpoint has after an answer.
func (l *Limits) limitAfterAnswer(endpoint Instance, isRejected bool, maxRejections float64) Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var limit Limit
	var changedAt time.Time
	if known, ok := l.byID[endpoint.ID]; ok && known.version == endpoint.Version {
		limit, changedAt = known.limit, known.changedAt
	}
	return brittleLimit(limit, changedAt, l.clock(), isRejected, maxRejections)
}

// Get returns the limit of an endpoint; it is unset if there is none.
func (l *Limits) Get(endpoint Instance) Limit {
	if !l.Any() {
		return Limit{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.byID[endpoint.ID]; ok && known.version == endpoint.Version {
		return known.limit
	}
	return Limit{}
}

// Any reports whether any limit is recorded.
func (l *Limits) Any() bool { return l.size.Load() > 0 }

// Notice returns the limit of an endpoint as a message to a peer.
func (l *Limits) Notice(endpoint Instance) LimitNotice {
	l.mu.Lock()
	defer l.mu.Unlock()
	notice := LimitNotice{Endpoint: endpoint}
	if known, ok := l.byID[endpoint.ID]; ok && known.version == endpoint.Version {
		notice.Limit, notice.Age = known.limit, l.clock().Sub(known.namedAt)
	}
	return notice
}

// All returns the limits that are set.
func (l *Limits) All() map[Instance]Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[Instance]Limit, len(l.byID))
	for id, known := range l.byID {
		if known.limit.IsSet {
			all[Instance{ID: id, Version: known.version}] = known.limit
		}
	}
	return all
}

// Expire removes limits that no answer has named within limitTimeout. It is called about once a second.
func (l *Limits) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for id, known := range l.byID {
		if now.Sub(known.namedAt) > limitTimeout {
			delete(l.byID, id)
			l.size.Add(-1)
		}
	}
}

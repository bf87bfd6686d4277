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
	// highestLimit is the highest limit in requests a second that counts as one: no endpoint takes more.
	highestLimit = 1e6
	// limitTimeout is how long a limit holds that no answer has named since: long enough for the slowest limit to be
	// named again by the answer to the request that it allows.
	limitTimeout = time.Minute
	// maxLimits bounds the endpoints whose limits are known: a faulty peer may name any.
	maxLimits = 4096
)

// errNoLimit: a text is not a number of requests a second.
var errNoLimit = merry.Sentinel("no number of requests a second")

// Limit is how many requests a second an endpoint takes from all hosts together. The zero value is none.
type Limit struct {
	_ struct{} `cbor:",toarray"`

	// IsSet is set if there is a limit. One of 0 a second asks for no requests at all.
	IsSet     bool
	PerSecond float64
}

// ParseLimit returns the limit that a text names, in requests a second. It fails for a text that names none: empty,
// negative, not a finite number, or so high that it bounds nothing.
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

// isValid reports whether a limit can be one, or is none.
func (l Limit) isValid() bool {
	return !l.IsSet || (!math.IsNaN(l.PerSecond) && l.PerSecond >= 0 && l.PerSecond <= highestLimit)
}

// rate returns the limit as a number that can be compared: none is above all.
func (l Limit) rate() float64 {
	if !l.IsSet {
		return math.Inf(1)
	}
	return l.PerSecond
}

// knownLimit is the limit of one start of an endpoint.
type knownLimit struct {
	version string
	limit   Limit
	// namedAt is when an answer last named the limit, loosenedAt when it was last raised or ended.
	namedAt    time.Time
	loosenedAt time.Time
}

// Limits holds the limits that endpoints have named, each for one start of its endpoint. A stricter limit holds at once. A
// looser one, or none, holds only if the answer that says so is to a request that was sent after the stricter was named:
// answers overtake each other. It is safe for concurrent use.
type Limits struct {
	clock func() time.Time

	mu   sync.Mutex
	byID map[string]*knownLimit
	// known is their number, so that a question costs nothing while no endpoint has a limit.
	known atomic.Int64
}

// NewLimits returns a table in which no endpoint has a limit.
func NewLimits(clock func() time.Time) *Limits {
	return &Limits{clock: clock, byID: make(map[string]*knownLimit)}
}

// Record takes the limit that an answer names, or that it names none. SentAt is when the request was sent that was answered.
// It reports whether that changes what is known.
func (l *Limits) Record(endpoint Instance, limit Limit, sentAt time.Time) bool {
	if (!limit.IsSet && !l.Any()) || !limit.isValid() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	known, ok := l.byID[endpoint.ID]
	if !ok || known.version != endpoint.Version {
		return l.begin(endpoint, limit, now)
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
	known.limit, known.namedAt = limit, now
	return true
}

// begin notes the first limit of a start of an endpoint. The lock is held.
func (l *Limits) begin(endpoint Instance, limit Limit, now time.Time) bool {
	if !limit.IsSet {
		return false
	}
	if _, ok := l.byID[endpoint.ID]; !ok {
		if len(l.byID) >= maxLimits {
			return false
		}
		l.known.Add(1)
	}
	l.byID[endpoint.ID] = &knownLimit{version: endpoint.Version, limit: limit, namedAt: now}
	return true
}

// Get returns the limit of an endpoint, which may be none.
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

// Any reports whether the limit of any endpoint is known.
func (l *Limits) Any() bool { return l.known.Load() > 0 }

// Notice returns what is known of an endpoint, for a peer.
func (l *Limits) Notice(endpoint Instance) LimitNotice {
	l.mu.Lock()
	defer l.mu.Unlock()
	notice := LimitNotice{Endpoint: endpoint}
	if known, ok := l.byID[endpoint.ID]; ok && known.version == endpoint.Version {
		notice.Limit, notice.Age = known.limit, l.clock().Sub(known.namedAt)
	}
	return notice
}

// All returns the endpoints that have a limit.
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

// Expire forgets limits that no answer has named for long. It is called about once a second.
func (l *Limits) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for id, known := range l.byID {
		if now.Sub(known.namedAt) > limitTimeout {
			delete(l.byID, id)
			l.known.Add(-1)
		}
	}
}

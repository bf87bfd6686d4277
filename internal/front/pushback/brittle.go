package pushback

import (
	"sync"
	"sync/atomic"
	"time"
)

// A brittle endpoint crashes if it has to reject more than a number of requests in a second. After its first rejection
// the hosts together send it fewer requests than that, so that it may reject all of them. The limit then grows by less than
// that until the endpoint rejects again, so that it may reject all that is too much, and ends when it is no longer brittle.
const (
	// brittleShare is the part of the number of rejections that is sent in a second. The rest is for the burst of the
	// permits, and for requests on their way.
	brittleShare = 0.7
	// brittleCut is the factor of the limit after a rejection. brittleGrowth is added to it after a second without one, as a
	// part of the number of rejections.
	brittleCut    = 0.5
	brittleGrowth = 0.25
	// brittleStep is the shortest time between two changes of the limit, so that the rejections of requests that were sent
	// together count once.
	brittleStep = time.Second
	// maxBrittleFactor bounds the limit, as a factor of the number of rejections: the burst of permits grows with the limit,
	// and the endpoint may have to reject all of it.
	maxBrittleFactor = 3
	// brittleTimeout is how long an endpoint counts as brittle after an answer last said so.
	brittleTimeout = 10 * time.Second
)

// Brittle holds the endpoints whose answers to this host say that they are brittle. It is safe for concurrent use.
type Brittle struct {
	clock func() time.Time

	mu   sync.Mutex
	byID map[Instance]time.Time
	// size is the number of endpoints, so that lookups cost nothing while there is none.
	size atomic.Int64
}

// NewBrittle returns a table without endpoints.
func NewBrittle(clock func() time.Time) *Brittle {
	return &Brittle{clock: clock, byID: make(map[Instance]time.Time)}
}

// Record records whether an answer says that its endpoint is brittle. It reports whether that is new.
func (b *Brittle) Record(endpoint Instance, isBrittle bool) bool {
	if !isBrittle && !b.Any() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, was := b.byID[endpoint]
	if isBrittle && (was || len(b.byID) < maxLimits) {
		b.byID[endpoint] = b.clock()
	} else {
		delete(b.byID, endpoint)
	}
	b.size.Store(int64(len(b.byID)))
	return isBrittle != was
}

// Has reports whether an endpoint is brittle.
func (b *Brittle) Has(endpoint Instance) bool {
	if !b.Any() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.byID[endpoint]
	return ok
}

// Any reports whether any endpoint is brittle.
func (b *Brittle) Any() bool { return b.size.Load() > 0 }

// Count returns the number of brittle endpoints.
func (b *Brittle) Count() int { return int(b.size.Load()) }

// Expire removes endpoints that no answer has called brittle within brittleTimeout. It is called about once a second.
func (b *Brittle) Expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	for endpoint, namedAt := range b.byID {
		if now.Sub(namedAt) > brittleTimeout {
			delete(b.byID, endpoint)
		}
	}
	b.size.Store(int64(len(b.byID)))
}

// brittleLimit returns the limit of a brittle endpoint after an answer, given the limit in force, when it was last
// changed, and the number of rejections a second that the endpoint bears.
func brittleLimit(known Limit, changedAt, now time.Time, isRejected bool, maxRejections float64) Limit {
	isDue := now.Sub(changedAt) >= brittleStep
	lowest := maxRejections * brittleShare
	switch {
	case isRejected && !known.IsSet:
		return Limit{IsSet: true, PerSecond: lowest}
	case !known.IsSet || !isDue:
		return known
	case isRejected:
		return Limit{IsSet: true, PerSecond: max(known.PerSecond*brittleCut, lowest)}
	}
	return Limit{IsSet: true, PerSecond: min(max(known.PerSecond+maxRejections*brittleGrowth, lowest), maxRejections*maxBrittleFactor)}
}

package pushback

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minBadWeight is the weight of bad requests below which a tally is removed.
	minBadWeight = 0.05
	// maxTallies bounds the tallies of one kind, of some 50 B each, since a faulty peer may send counts of any
	// endpoints.
	maxTallies = 4096
)

// tally counts recent bad (failed or rejected) and good requests, weighted by age.
type tally struct {
	bad, good float64
	decayedAt time.Time
	// badAt is when the last bad request was counted.
	badAt time.Time
}

// decay reduces the weights to their values at now. HalfLife is the time in which they halve.
func (t *tally) decay(now time.Time, halfLife time.Duration) {
	if elapsed := now.Sub(t.decayedAt); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(halfLife))
		t.bad *= factor
		t.good *= factor
	}
	t.decayedAt = now
}

// tallies holds a tally for each key with a recent bad request. It is safe for concurrent use.
type tallies[K comparable] struct {
	clock    func() time.Time
	halfLife time.Duration

	mu    sync.Mutex
	byKey map[K]*tally
	// size is the number of tallies, so that lookups cost nothing while there is none.
	size atomic.Int64
}

func newTallies[K comparable](clock func() time.Time, halfLife time.Duration) *tallies[K] {
	return &tallies[K]{clock: clock, halfLife: halfLife, byKey: make(map[K]*tally)}
}

// count counts requests. It returns false if there are only good requests and no tally: these are not recorded.
func (t *tallies[K]) count(key K, bad, good uint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	counted, ok := t.byKey[key]
	if !ok {
		if bad == 0 || len(t.byKey) >= maxTallies {
			return false
		}
		counted = &tally{decayedAt: t.clock()}
		t.byKey[key] = counted
		t.size.Add(1)
	}
	counted.decay(t.clock(), t.halfLife)
	if bad > 0 {
		counted.badAt = counted.decayedAt
	}
	counted.bad += float64(bad)
	counted.good += float64(good)
	return true
}

// get returns a copy of a tally with its current weights.
func (t *tallies[K]) get(key K) (tally, bool) {
	if t.size.Load() == 0 {
		return tally{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	counted, ok := t.byKey[key]
	if !ok {
		return tally{}, false
	}
	counted.decay(t.clock(), t.halfLife)
	return *counted, true
}

// all returns copies of all tallies with their current weights.
func (t *tallies[K]) all() map[K]tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	copies := make(map[K]tally, len(t.byKey))
	for key, counted := range t.byKey {
		counted.decay(now, t.halfLife)
		copies[key] = *counted
	}
	return copies
}

// removeMatching removes the tallies whose keys match.
func (t *tallies[K]) removeMatching(match func(K) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.byKey {
		if match(key) {
			t.remove(key)
		}
	}
}

// expire removes tallies whose bad weight has decayed.
func (t *tallies[K]) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for key, counted := range t.byKey {
		if counted.decay(now, t.halfLife); counted.bad < minBadWeight {
			t.remove(key)
		}
	}
}

// remove removes a tally. The caller holds the lock.
func (t *tallies[K]) remove(key K) {
	delete(t.byKey, key)
	t.size.Add(-1)
}

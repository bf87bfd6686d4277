package pushback

import (
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// failureTime is the time in which a failure, or an answer that is none, loses half of its weight.
	failureTime = 6 * time.Second
	// chanceFailures is by how many deviations an endpoint's failures have to be more than usual before it counts as
	// worse than its peers.
	chanceFailures = 2
	// priorFailures is the weight, in requests of a class, of what an endpoint does to the requests of all classes.
	priorFailures = 2
	// usualPart is the part of a service's endpoints, those that fail the least, whose failures are usual.
	usualPart = 1.0 / 3
	// usualInterval is how often what is usual is worked out anew.
	usualInterval = 100 * time.Millisecond
)

// EndpointClass is the requests of a class at an endpoint.
type EndpointClass struct {
	_ struct{} `cbor:",toarray"`

	Endpoint keys.Endpoint
	Class    keys.Class
}

// Failures learns which endpoints fail more of the requests of a class than their peers do, from the answers to all hosts.
// What fails everywhere is the requests' own fault, and makes no endpoint worse. It is safe for concurrent use.
type Failures struct {
	clock   func() time.Time
	tallies *tallies[EndpointClass]

	// failed holds the shares that endpoints fail of each class, the smallest first, as of failedAt. The lock of the
	// tallies guards both.
	failed   map[keys.Class][]float64
	failedAt time.Time
}

// NewFailures returns a table in which nothing has failed.
func NewFailures(clock func() time.Time) *Failures {
	return &Failures{clock: clock, tallies: newTallies[EndpointClass](clock, failureTime)}
}

// Count counts requests that an endpoint has failed and answered. It reports whether that is worth knowing: what it answers
// of which nothing has failed lately is not.
func (f *Failures) Count(work EndpointClass, failed, answered uint) bool {
	return f.tallies.count(work, failed, answered)
}

// Excess returns which share of the requests of a class an endpoint is expected to fail beyond what is usual at a number of
// endpoints. What it does to the requests of other classes counts a little.
func (f *Failures) Excess(work EndpointClass, endpoints int) float64 {
	if f.tallies.known.Load() == 0 {
		return 0
	}
	f.tallies.mu.Lock()
	defer f.tallies.mu.Unlock()
	f.sortFailed(f.clock())
	return f.excess(work, endpoints)
}

// WorstExcess returns the largest share of the requests of any class that an endpoint is expected to fail beyond what is usual.
func (f *Failures) WorstExcess(endpoint keys.Endpoint, endpoints int) float64 {
	f.tallies.mu.Lock()
	defer f.tallies.mu.Unlock()
	f.sortFailed(f.clock())
	worst := 0.0
	for class := range f.failed {
		worst = max(worst, f.excess(EndpointClass{Endpoint: endpoint, Class: class}, endpoints))
	}
	return worst
}

// excess is Excess with the lock held.
func (f *Failures) excess(work EndpointClass, endpoints int) float64 {
	now := f.clock()
	var own, ofOwn, all, ofAll float64
	for class, failed := range f.failed {
		t, ok := f.tallies.byKey[EndpointClass{Endpoint: work.Endpoint, Class: class}]
		if !ok {
			continue
		}
		t.decay(now, failureTime)
		beyond, of := beyondUsual(t, usualShare(failed, endpoints)), t.bad+t.good
		all, ofAll = all+beyond, ofAll+of
		if class == work.Class {
			own, ofOwn = beyond, of
		}
	}
	return (own + priorFailures*all/(ofAll+1)) / (ofOwn + priorFailures)
}

// beyondUsual returns how many failures of a tally are more than usual, and more than chance makes of that.
func beyondUsual(t *tally, usual float64) float64 {
	expected := usual * (t.bad + t.good)
	return max(t.bad-expected-chanceFailures*math.Sqrt(expected+0.25), 0)
}

// sortFailed works out which shares endpoints fail of each class, if that is due. The lock is held.
func (f *Failures) sortFailed(now time.Time) {
	if f.failed != nil && now.Sub(f.failedAt) < usualInterval {
		return
	}
	f.failed, f.failedAt = make(map[keys.Class][]float64), now
	for work, t := range f.tallies.byKey {
		t.decay(now, failureTime)
		f.failed[work.Class] = append(f.failed[work.Class], t.bad/(t.bad+t.good+1))
	}
	for _, failed := range f.failed {
		slices.Sort(failed)
	}
}

// usualShare returns which share fails as a rule, if some of a number of endpoints fail shares, the smallest first, and the
// others none: the mean of those that fail the least.
func usualShare(failed []float64, endpoints int) float64 {
	least := int(math.Ceil(usualPart * float64(endpoints)))
	others := max(endpoints-len(failed), 0)
	sum := 0.0
	for _, share := range failed[:min(max(least-others, 0), len(failed))] {
		sum += share
	}
	return sum / float64(max(least, 1))
}

// Forget forgets an endpoint that has started again.
func (f *Failures) Forget(endpoint keys.Endpoint) {
	f.tallies.forget(func(work EndpointClass) bool { return work.Endpoint == endpoint })
}

// Expire forgets what has lost its weight. It is called about once a second.
func (f *Failures) Expire() { f.tallies.expire() }

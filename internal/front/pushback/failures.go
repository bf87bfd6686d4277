package pushback

import (
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// failureHalfLife is the half-life of the weight of a failed or answered request.
	failureHalfLife = 6 * time.Second
	// toleratedDeviations is the number of standard deviations by which an endpoint's failures must exceed the
	// baseline before it counts as worse than its peers.
	toleratedDeviations = 2
	// priorRequestsOfClass is the weight, in requests of the class, that the endpoint's record with all classes has.
	priorRequestsOfClass = 2
	// baselineFraction is the part of a service's endpoints, those with the fewest failures, that sets the baseline.
	baselineFraction = 1.0 / 3
	// baselineInterval is how often the baseline is recomputed.
	baselineInterval = 100 * time.Millisecond
)

// EndpointClass identifies the requests of a class at an endpoint.
type EndpointClass struct {
	_ struct{} `cbor:",toarray"`

	Endpoint keys.Endpoint
	Class    keys.Class
}

// Failures learns from the answers to all hosts which endpoints fail more requests of a class than their peers do.
// Requests that fail everywhere are at fault themselves and make no endpoint look worse. It is safe for concurrent
// use.
type Failures struct {
	clock   func() time.Time
	tallies *tallies[EndpointClass]

	// shares holds the failed shares of the endpoints for each class in ascending order, as computed at sharesAt. The
	// lock of tallies guards both.
	shares   map[keys.Class][]float64
	sharesAt time.Time
}

// NewFailures returns a table without failures.
func NewFailures(clock func() time.Time) *Failures {
	return &Failures{clock: clock, tallies: newTallies[EndpointClass](clock, failureHalfLife)}
}

// Count counts requests that an endpoint has failed and answered. It returns false if they need not be reported to
// peers: the endpoint only answered, and no recent failure of it is recorded.
func (f *Failures) Count(key EndpointClass, failed, answered uint) bool {
	return f.tallies.count(key, failed, answered)
}

// Excess returns the share of the requests of a class that an endpoint is expected to fail beyond the baseline of a
// number of endpoints. Its record with other classes has a small weight.
func (f *Failures) Excess(key EndpointClass, endpoints int) float64 {
	if f.tallies.size.Load() == 0 {
		return 0
	}
	f.tallies.mu.Lock()
	defer f.tallies.mu.Unlock()
	f.updateShares(f.clock())
	return f.excess(key, endpoints)
}

// WorstExcess returns the largest excess of an endpoint over all classes.
func (f *Failures) WorstExcess(endpoint keys.Endpoint, endpoints int) float64 {
	f.tallies.mu.Lock()
	defer f.tallies.mu.Unlock()
	f.updateShares(f.clock())
	worst := 0.0
	for class := range f.shares {
		worst = max(worst, f.excess(EndpointClass{Endpoint: endpoint, Class: class}, endpoints))
	}
	return worst
}

// excess implements Excess. The caller holds the lock.
func (f *Failures) excess(key EndpointClass, endpoints int) float64 {
	now := f.clock()
	var own, ownRequests, all, allRequests float64
	for class, failed := range f.shares {
		t, ok := f.tallies.byKey[EndpointClass{Endpoint: key.Endpoint, Class: class}]
		if !ok {
			continue
		}
		t.decay(now, failureHalfLife)
		excess, requests := excessFailures(t, baselineShare(failed, endpoints)), t.bad+t.good
		all, allRequests = all+excess, allRequests+requests
		if class == key.Class {
			own, ownRequests = excess, requests
		}
	}
	return (own + priorRequestsOfClass*all/(allRequests+1)) / (ownRequests + priorRequestsOfClass)
}

// excessFailures returns the number of failures of a tally beyond the baseline and the tolerance for chance.
func excessFailures(t *tally, baseline float64) float64 {
	expected := baseline * (t.bad + t.good)
	return max(t.bad-expected-toleratedDeviations*math.Sqrt(expected+0.25), 0)
}

// updateShares recomputes shares once baselineInterval has passed. The caller holds the lock.
func (f *Failures) updateShares(now time.Time) {
	if f.shares != nil && now.Sub(f.sharesAt) < baselineInterval {
		return
	}
	f.shares, f.sharesAt = make(map[keys.Class][]float64), now
	for key, t := range f.tallies.byKey {
		t.decay(now, failureHalfLife)
		f.shares[key.Class] = append(f.shares[key.Class], t.bad/(t.bad+t.good+1))
	}
	for _, failed := range f.shares {
		slices.Sort(failed)
	}
}

// baselineShare returns the mean failed share over the baselineFraction of the endpoints that fail the least. Failed
// holds the shares of some of the endpoints in ascending order; the others fail nothing.
func baselineShare(failed []float64, endpoints int) float64 {
	baselineSize := int(math.Ceil(baselineFraction * float64(endpoints)))
	others := max(endpoints-len(failed), 0)
	sum := 0.0
	for _, share := range failed[:min(max(baselineSize-others, 0), len(failed))] {
		sum += share
	}
	return sum / float64(max(baselineSize, 1))
}

// Forget removes the record of an endpoint that has restarted.
func (f *Failures) Forget(endpoint keys.Endpoint) {
	f.tallies.removeMatching(func(key EndpointClass) bool { return key.Endpoint == endpoint })
}

// Expire removes records whose weight has decayed. It is called about once a second.
func (f *Failures) Expire() { f.tallies.expire() }

package pushback

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// rejectionTime is the time in which what an endpoint has rejected and taken loses half of its weight: longer, and one
	// that takes requests again waits for them; shorter, and one that doesn't is tried too often. Measured with half of
	// the engines of mfs-kochi rejecting nine in ten (two days each, by one host's own answers): 2 s gave .815, 4 s .832.
	rejectionTime = 3 * time.Second
	// priorRequests is how many requests an endpoint counts as having taken before anything is known of it, so that one
	// rejection alone does not shut it out. Not measured.
	priorRequests = 1.0
	// leastRejected is the weight of what an endpoint has rejected below which it counts as any other. Not measured.
	leastRejected = 0.05
	// maxTallies bounds the endpoints that are known to reject requests, some 50 B each: a faulty peer may name any. Not
	// measured; more than the largest fleet has endpoints.
	maxTallies = 4096
)

// tally is what an endpoint has rejected and taken lately, at all hosts.
type tally struct {
	rejected, taken float64
	at              time.Time
}

// decay brings the weights to a time.
func (t *tally) decay(now time.Time) {
	if passed := now.Sub(t.at); passed > 0 {
		factor := math.Exp2(-float64(passed) / float64(rejectionTime))
		t.rejected *= factor
		t.taken *= factor
	}
	t.at = now
}

// share returns the share of requests that the endpoint is expected to reject.
func (t *tally) share() float64 { return t.rejected / (t.rejected + t.taken + priorRequests) }

// Rejections learns which share of the requests each endpoint rejects, from the answers to all hosts. It knows the
// endpoints that have rejected one lately, and nothing of others. It is safe for concurrent use.
type Rejections struct {
	clock func() time.Time

	mu      sync.Mutex
	tallies map[keys.Endpoint]*tally
	// known is their number, so that a question costs nothing while no endpoint rejects requests.
	known atomic.Int64
}

// NewRejections returns a table in which no endpoint has rejected a request.
func NewRejections(clock func() time.Time) *Rejections {
	return &Rejections{clock: clock, tallies: make(map[keys.Endpoint]*tally)}
}

// Count counts requests that an endpoint has rejected and taken. It reports whether that is worth knowing: what an
// endpoint takes of which nothing was rejected lately is not.
func (r *Rejections) Count(endpoint keys.Endpoint, rejected, taken uint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tallies[endpoint]
	if !ok {
		if rejected == 0 || len(r.tallies) >= maxTallies {
			return false
		}
		t = &tally{at: r.clock()}
		r.tallies[endpoint] = t
		r.known.Add(1)
	}
	t.decay(r.clock())
	t.rejected += float64(rejected)
	t.taken += float64(taken)
	return true
}

// Share returns the share of requests that an endpoint is expected to reject.
func (r *Rejections) Share(endpoint keys.Endpoint) float64 {
	if r.known.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tallies[endpoint]
	if !ok {
		return 0
	}
	t.decay(r.clock())
	return t.share()
}

// Shares returns the share of requests that each endpoint is expected to reject which has rejected one lately.
func (r *Rejections) Shares() map[keys.Endpoint]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	shares := make(map[keys.Endpoint]float64, len(r.tallies))
	for endpoint, t := range r.tallies {
		t.decay(now)
		shares[endpoint] = t.share()
	}
	return shares
}

// Forget forgets an endpoint that has started again.
func (r *Rejections) Forget(endpoint keys.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(endpoint)
}

// drop forgets an endpoint, if it is known. The lock is held.
func (r *Rejections) drop(endpoint keys.Endpoint) {
	if _, ok := r.tallies[endpoint]; ok {
		delete(r.tallies, endpoint)
		r.known.Add(-1)
	}
}

// Expire forgets what has lost its weight. It is called about once a second.
func (r *Rejections) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	for endpoint, t := range r.tallies {
		if t.decay(now); t.rejected < leastRejected {
			r.drop(endpoint)
		}
	}
}

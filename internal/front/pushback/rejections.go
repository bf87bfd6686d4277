package pushback

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// rejectionHalfLife is the half-life of the weight of rejected and taken requests. A longer one delays the return
	// of an endpoint that takes requests again; a shorter one tries an endpoint that still rejects too often.
	rejectionHalfLife = 3 * time.Second
	// priorRequests is the number of taken requests that every endpoint is credited with, so that a single rejection
	// does not exclude it.
	priorRequests = 1.0
)

// Rejections learns from the answers to all hosts which share of its requests each endpoint rejects. It keeps records
// only of endpoints with a recent rejection. It is safe for concurrent use.
type Rejections struct{ tallies *tallies[keys.Endpoint] }

// NewRejections returns a table without rejections.
func NewRejections(clock func() time.Time) *Rejections {
	return &Rejections{tallies: newTallies[keys.Endpoint](clock, rejectionHalfLife)}
}

// Count counts requests that an endpoint has rejected and taken. It returns false if they need not be reported to
// peers: the endpoint only took requests, and no recent rejection of it is recorded.
func (r *Rejections) Count(endpoint keys.Endpoint, rejected, taken uint) bool {
	return r.tallies.count(endpoint, rejected, taken)
}

// Share returns the share of requests that an endpoint is expected to reject.
func (r *Rejections) Share(endpoint keys.Endpoint) float64 {
	t, ok := r.tallies.get(endpoint)
	if !ok {
		return 0
	}
	return rejectedShare(t)
}

// LastAt returns when this host learned of the last recent rejection by an endpoint, or the zero time.
func (r *Rejections) LastAt(endpoint keys.Endpoint) time.Time {
	t, _ := r.tallies.get(endpoint)
	return t.badAt
}

// rejectedShare returns the share of requests that an endpoint with a tally is expected to reject.
func rejectedShare(t tally) float64 { return t.bad / (t.bad + t.good + priorRequests) }

// Shares returns the expected share for each endpoint with a recent rejection.
func (r *Rejections) Shares() map[keys.Endpoint]float64 {
	all := r.tallies.all()
	shares := make(map[keys.Endpoint]float64, len(all))
	for endpoint, t := range all {
		shares[endpoint] = rejectedShare(t)
	}
	return shares
}

// Forget removes the record of an endpoint that has restarted.
func (r *Rejections) Forget(endpoint keys.Endpoint) {
	r.tallies.removeMatching(func(key keys.Endpoint) bool { return key == endpoint })
}

// Expire removes records whose weight has decayed. It is called about once a second.
func (r *Rejections) Expire() { r.tallies.expire() }

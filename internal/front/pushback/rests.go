package pushback

import (
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
)

const (
	// restSpread is the part by which rests are lengthened at random, so that hosts that were asked at the same time
	// do not resume at the same time.
	restSpread = 0.1
	// trialTimeout is how long the trial request that follows a rest delays a second one. The first answer other than
	// a rejection ends the trial. It is longer than the latency targets of short requests in production.
	trialTimeout = 500 * time.Millisecond
	// trialExpiry is how long after its rest an endpoint without requests is treated like any other again.
	trialExpiry = 10 * time.Second
)

// rest is the rest of one instance of an endpoint.
type rest struct {
	version string
	until   time.Time
	// triedAt is when a request was last granted after the rest.
	triedAt time.Time
}

// Rests holds the endpoints that want no requests from this host for a time. A rest is kept to its end, by a clock
// that counts suspended time. After the rest, one request at a time tries the endpoint until one is answered, as long
// as other endpoints are available. A rest applies to one instance of the endpoint. Rests is safe for concurrent use.
type Rests struct {
	clock func() time.Time
	// random returns a number in [0, 1).
	random func() float64

	mu   sync.Mutex
	byID map[string]*rest
}

// NewRests returns a table without rests.
func NewRests(clock func() time.Time, random func() float64) *Rests {
	return &Rests{clock: clock, random: random, byID: make(map[string]*rest)}
}

// Begin starts the rest that an endpoint has asked for, or extends a running one. It reports whether it started one.
func (r *Rests) Begin(endpoint Instance, span time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	until := now.Add(time.Duration(float64(span) * (1 + restSpread*r.random())))
	known, ok := r.byID[endpoint.ID]
	if !ok || known.version != endpoint.Version {
		known = &rest{version: endpoint.Version}
		r.byID[endpoint.ID] = known
	}
	begins := !now.Before(known.until)
	if until.After(known.until) {
		known.until = until
	}
	known.triedAt = time.Time{}
	return begins
}

// EndTrial ends the trial of an endpoint that has taken a request. It does not end a running rest, since the request
// may have been sent before the rest.
func (r *Rests) EndTrial(endpoint Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.get(endpoint); ok && !r.clock().Before(known.until) {
		delete(r.byID, endpoint.ID)
	}
}

// IsResting reports whether an endpoint must not be sent a request now.
func (r *Rests) IsResting(endpoint Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.get(endpoint)
	return ok && r.clock().Before(known.until)
}

// Usable returns the endpoints that may be granted now, and the earliest end of a rest among the others. An endpoint
// whose trial request is unanswered is left out while others are usable. The list is not modified.
func (r *Rests) Usable(endpoints []*directory.Entry) (usable []*directory.Entry, next time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byID) == 0 {
		return endpoints, time.Time{}
	}
	now := r.clock()
	var tried []*directory.Entry
	for _, e := range endpoints {
		known, ok := r.get(Instance{ID: e.ID, Version: e.Endpoint.Version})
		switch {
		case !ok:
			usable = append(usable, e)
		case now.Before(known.until):
			if next.IsZero() || known.until.Before(next) {
				next = known.until
			}
		case now.Sub(known.triedAt) < trialTimeout:
			tried = append(tried, e)
		default:
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		usable = tried
	}
	return usable, next
}

// RecordGrant records that a request was granted an endpoint; after a rest, that request is its trial.
func (r *Rests) RecordGrant(id, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.get(Instance{ID: id, Version: version}); ok {
		known.triedAt = r.clock()
	}
}

// Resting returns the end of the rest of each resting endpoint.
func (r *Rests) Resting() map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	resting := make(map[string]time.Time)
	for id, known := range r.byID {
		if now.Before(known.until) {
			resting[id] = known.until
		}
	}
	return resting
}

// Expire removes endpoints whose rest ended more than trialExpiry ago. It is called about once a second.
func (r *Rests) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	for id, known := range r.byID {
		if now.Sub(known.until) > trialExpiry {
			delete(r.byID, id)
		}
	}
}

// get returns the rest of an endpoint. The caller holds the lock.
func (r *Rests) get(endpoint Instance) (*rest, bool) {
	known, ok := r.byID[endpoint.ID]
	return known, ok && known.version == endpoint.Version
}

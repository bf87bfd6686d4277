package pushback

import (
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
)

const (
	// restSpread is the part by which a rest is made longer at random, so that hosts that were asked together don't
	// come back together.
	restSpread = 0.1
	// trialTime is how long one request is out to try an endpoint after its rest, before another may; the first answer
	// that is no rejection ends the trial. Longer than the targets of plain calls on the users' sites.
	trialTime = 500 * time.Millisecond
	// trialLimit is how long after its rest an endpoint that was not asked since counts as any other.
	trialLimit = 10 * time.Second
)

// rest is the rest of one start of an endpoint.
type rest struct {
	version string
	until   time.Time
	// triedAt is when the last request was granted after it.
	triedAt time.Time
}

// Rests holds the endpoints that want no requests from this host for a while. What an endpoint has asked for is kept to the
// end, by a clock that goes on while the machine is suspended; after it one request at a time tries the endpoint, until one
// is answered, as long as there are others. It holds for that start of the endpoint. It is safe for concurrent use.
type Rests struct {
	clock func() time.Time
	// random returns numbers from 0 up to 1.
	random func() float64

	mu   sync.Mutex
	byID map[string]*rest
}

// NewRests returns a table in which no endpoint rests.
func NewRests(clock func() time.Time, random func() float64) *Rests {
	return &Rests{clock: clock, random: random, byID: make(map[string]*rest)}
}

// Begin begins the rest that an endpoint has asked for, or makes it longer. It reports whether the endpoint did not rest.
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

// EndTrial ends the trial of an endpoint that has taken a request. A rest goes on: the request may have been sent before.
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

// Usable returns those of the endpoints that may be granted now, and when the first may be if none may. One that was just
// granted after its rest is left out as long as others are left: its answer is awaited. The list is not modified.
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
		case now.Sub(known.triedAt) < trialTime:
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

// RecordGrant notes that a request was granted an endpoint: it is the trial of one that has rested.
func (r *Rests) RecordGrant(id, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.get(Instance{ID: id, Version: version}); ok {
		known.triedAt = r.clock()
	}
}

// Resting returns the endpoints that rest, with the end of each rest.
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

// Expire forgets the endpoints whose rest has been over for long. It is called about once a second.
func (r *Rests) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	for id, known := range r.byID {
		if now.Sub(known.until) > trialLimit {
			delete(r.byID, id)
		}
	}
}

// get returns the rest of an endpoint. The lock is held.
func (r *Rests) get(endpoint Instance) (*rest, bool) {
	known, ok := r.byID[endpoint.ID]
	return known, ok && known.version == endpoint.Version
}

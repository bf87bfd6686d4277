package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// An ejected endpoint gets no new work for a while, as long as others are left. The rule:
// an endpoint that can't be reached is ejected at once; one that breaks a call is ejected
// when it breaks another soon after, with no success in between.

// ejectionBackoff is how long an endpoint is ejected; each ejection without a success in between lasts twice as long as
// the one before. The first is about the time in which a server that crashed restarts on the users' sites, the longest
// bounds how late a server that came back gets work.
var ejectionBackoff = backoff.Doubling{First: time.Second, Longest: 8 * time.Second}

// failureWindow is how close together two broken calls must be for an ejection. A single one is ignored because healthy
// endpoints lose a call now and then, and moving their prefixes costs more than one retry.
const failureWindow = 2 * time.Second

// sameEjection is how far apart two reports of one ejection may be: each peer reports the time left, and the datagram
// travels for a while. Well above the delay between zones (1 ms on the users' sites) and the pace of heartbeats (80
// ms).
const sameEjection = 100 * time.Millisecond

// suspect is an endpoint that failed since its last success.
type suspect struct {
	until time.Time
	// ejections counts those so far, for the back-off.
	ejections int
	// brokenAt is when the last call broke.
	brokenAt time.Time
}

// ejectionTable holds the endpoints that get no new work, by this host's own calls and by
// what its peers report.
type ejectionTable struct {
	suspects map[string]*suspect
	byPeers  map[keys.Endpoint]time.Time
}

func newEjectionTable() ejectionTable {
	return ejectionTable{suspects: make(map[string]*suspect), byPeers: make(map[keys.Endpoint]time.Time)}
}

// Ejection is the outcome of a failure.
type Ejection struct {
	// Until is when the endpoint may get new work again.
	Until time.Time
	// Consecutive counts the ejections without a success in between, this one included.
	Consecutive int
	// IsNew is set if this failure caused it.
	IsNew bool
}

// Failed counts a call that failed or stayed silent. Reached is set if the endpoint was
// reached and then broke the call.
func (t *ejectionTable) Failed(now time.Time, endpoint string, reached bool) Ejection {
	s, ok := t.suspects[endpoint]
	if !ok {
		s = new(suspect)
		t.suspects[endpoint] = s
	}
	alone := now.Sub(s.brokenAt) > failureWindow
	if reached {
		s.brokenAt = now
	}
	if reached && alone {
		return Ejection{Until: s.until, Consecutive: s.ejections}
	}
	if now.Before(s.until) {
		// Calls that were in flight together fail together; that is one failure.
		return Ejection{Until: s.until, Consecutive: s.ejections}
	}
	s.until = now.Add(ejectionBackoff.Span(s.ejections))
	s.ejections++
	return Ejection{Until: s.until, Consecutive: s.ejections, IsNew: true}
}

// Answered counts a whole answer. It reports whether the endpoint had failed before.
func (t *ejectionTable) Answered(endpoint string) bool {
	_, failed := t.suspects[endpoint]
	delete(t.suspects, endpoint)
	return failed
}

// drop forgets that an endpoint has failed.
func (t *ejectionTable) drop(endpoint string) {
	delete(t.suspects, endpoint)
	delete(t.byPeers, keys.OfEndpoint(endpoint))
}

// RecordPeerEjection records a peer's report that an endpoint is ejected, and reports whether
// this host did not know.
func (t *ejectionTable) RecordPeerEjection(endpoint keys.Endpoint, until time.Time) bool {
	if !until.After(t.byPeers[endpoint].Add(sameEjection)) {
		return false
	}
	t.byPeers[endpoint] = until
	return true
}

// Ejected returns the endpoints that this host has ejected, with the end of each ejection.
// Those of peers are left out, so that reports do not go round.
func (t *ejectionTable) Ejected(now time.Time) map[string]time.Time {
	ejected := make(map[string]time.Time)
	for endpoint, s := range t.suspects {
		if now.Before(s.until) {
			ejected[endpoint] = s.until
		}
	}
	return ejected
}

// isEjected reports whether this host or a peer has ejected an endpoint.
func (t *ejectionTable) isEjected(now time.Time, endpoint string) bool {
	s, ok := t.suspects[endpoint]
	return (ok && now.Before(s.until)) || now.Before(t.byPeers[keys.OfEndpoint(endpoint)])
}

// expire forgets peers' ejections that are over.
func (t *ejectionTable) expire(now time.Time) {
	for endpoint, until := range t.byPeers {
		if !now.Before(until) {
			delete(t.byPeers, endpoint)
		}
	}
}

package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// An ejected endpoint gets no new work for a while, as long as others are left. An unreachable endpoint is ejected
// immediately. An endpoint that breaks a call is ejected if it breaks another one within failureWindow and no call
// succeeds in between.

// ejectionBackoff is the length of an ejection, which doubles with each ejection without a success in between. The
// first is about the time in which a crashed server restarts, and the longest bounds the delay before a recovered
// server gets work.
var ejectionBackoff = backoff.Doubling{First: time.Second, Longest: 8 * time.Second}

// failureWindow is the maximum time between two broken calls that cause an ejection. A single one is ignored because
// healthy endpoints lose a call now and then, and moving their prefixes costs more than one retry.
const failureWindow = 2 * time.Second

// sameEjectionTolerance is the maximum difference between the ends of two reports of one ejection: each peer reports
// the time left, and the datagram is delayed. It is well above the delay between zones (1 ms) and the heartbeat
// interval (80 ms).
const sameEjectionTolerance = 100 * time.Millisecond

// failingEndpoint is an endpoint that has failed since its last success.
type failingEndpoint struct {
	until time.Time
	// ejections counts the ejections since the last success, for the back-off.
	ejections int
	// brokenAt is the time of the last broken call.
	brokenAt time.Time
	// servesOn is set if the endpoint broke its last call and is not known to have ended or to be silent.
	servesOn bool
}

// ejectionTable holds the endpoints that are ejected because of this host's own calls or by its peers.
type ejectionTable struct {
	failing map[string]*failingEndpoint
	byPeers map[keys.Endpoint]time.Time
}

func newEjectionTable() ejectionTable {
	return ejectionTable{failing: make(map[string]*failingEndpoint), byPeers: make(map[keys.Endpoint]time.Time)}
}

// Ejection is the result of a failure.
type Ejection struct {
	// Until is the end of the ejection.
	Until time.Time
	// Consecutive counts the ejections since the last success, this one included.
	Consecutive int
	// IsNew is set if this failure caused the ejection.
	IsNew bool
}

// Failed counts a call that failed or got no response. Reached is set if the endpoint was reached before the
// call broke.
func (t *ejectionTable) Failed(now time.Time, endpoint string, reached bool) Ejection {
	s, ok := t.failing[endpoint]
	if !ok {
		s = new(failingEndpoint)
		t.failing[endpoint] = s
	}
	isIsolated := now.Sub(s.brokenAt) > failureWindow
	if reached {
		s.brokenAt = now
	}
	if reached && isIsolated {
		return Ejection{Until: s.until, Consecutive: s.ejections}
	}
	if now.Before(s.until) {
		// Calls that were in flight together fail together and count as one failure.
		return Ejection{Until: s.until, Consecutive: s.ejections}
	}
	s.until = now.Add(ejectionBackoff.Span(s.ejections))
	s.ejections++
	return Ejection{Until: s.until, Consecutive: s.ejections, IsNew: true}
}

// setServesOn records after a failure whether the endpoint serves on.
func (t *ejectionTable) setServesOn(endpoint string, servesOn bool) {
	t.failing[endpoint].servesOn = servesOn
}

// servesOn reports whether an endpoint has broken its last call to this host and serves on.
func (t *ejectionTable) servesOn(endpoint string) bool {
	s, ok := t.failing[endpoint]
	return ok && s.servesOn
}

// Answered counts a complete response. It reports whether the endpoint had failed before.
func (t *ejectionTable) Answered(endpoint string) bool {
	_, failed := t.failing[endpoint]
	delete(t.failing, endpoint)
	return failed
}

// reset removes the failures and ejections of an endpoint.
func (t *ejectionTable) reset(endpoint string) {
	delete(t.failing, endpoint)
	delete(t.byPeers, keys.OfEndpoint(endpoint))
}

// RecordPeerEjection records a peer's report of an ejected endpoint, and reports whether the ejection was unknown to
// this host.
func (t *ejectionTable) RecordPeerEjection(endpoint keys.Endpoint, until time.Time) bool {
	if !until.After(t.byPeers[endpoint].Add(sameEjectionTolerance)) {
		return false
	}
	t.byPeers[endpoint] = until
	return true
}

// Ejected returns the endpoints ejected by this host, with the end of each ejection. Ejections by peers are excluded,
// so that reports don't circulate.
func (t *ejectionTable) Ejected(now time.Time) map[string]time.Time {
	ejected := make(map[string]time.Time)
	for endpoint, s := range t.failing {
		if now.Before(s.until) {
			ejected[endpoint] = s.until
		}
	}
	return ejected
}

// isEjected reports whether this host or a peer has ejected an endpoint.
func (t *ejectionTable) isEjected(now time.Time, endpoint string) bool {
	s, ok := t.failing[endpoint]
	return (ok && now.Before(s.until)) || now.Before(t.byPeers[keys.OfEndpoint(endpoint)])
}

// expire removes peers' ejections that have expired.
func (t *ejectionTable) expire(now time.Time) {
	for endpoint, until := range t.byPeers {
		if !now.Before(until) {
			delete(t.byPeers, endpoint)
		}
	}
}

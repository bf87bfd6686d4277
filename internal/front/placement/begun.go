package placement

import (
	"maps"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// A stream that has begun waits longer than a new request: its caller holds a part of the answer and rarely returns twice,
// and only the endpoints of the software version that began it can go on. They may all be starting again.

const (
	// maxBegunWait bounds the wait of a stream that has begun. Crashed endpoints are back after about three seconds.
	maxBegunWait = 4 * time.Second
	// begunWaitShare is the share of its time left for which it waits at most; the rest is for the answer.
	begunWaitShare = 0.5
	// begunPollInterval is the time between two checks once it has waited for slotWait. A check of a service with thousands
	// of endpoints takes about a millisecond.
	begunPollInterval = 100 * time.Millisecond
	// claimTime is how long the endpoints of a version are kept for streams that have begun, after one has asked for them.
	claimTime = time.Second
)

// grantWait returns how long a request may wait for an endpoint before it is refused.
func grantWait(now time.Time, request *admission.Request) time.Duration {
	wait := slotWait(request)
	if !request.HasBegun {
		return wait
	}
	longest := maxBegunWait
	if !request.Deadline.IsZero() {
		longest = min(longest, scale(request.Deadline.Sub(now), begunWaitShare))
	}
	if request.MaxWait > 0 {
		longest = min(longest, request.MaxWait)
	}
	return max(wait, longest)
}

// pollInterval returns the time until the next check of a request that has waited for some time.
func pollInterval(request *admission.Request, waited time.Duration) time.Duration {
	if request.HasBegun && waited > slotWait(request) {
		return begunPollInterval
	}
	return slotPollInterval
}

// allowAvoided lets a stream that has begun return to the endpoints that have failed it, once it has waited for slotWait. By
// then those that have crashed are ejected.
func (p *Placer) allowAvoided(request *admission.Request, asked time.Time) {
	if request.HasBegun && len(request.Avoid) > 0 && p.parts.Clock().Sub(asked) > slotWait(request) {
		request.Avoid = nil
	}
}

// begunClaims holds, for each service, the versions at which streams that have begun want to go on, with the time of the
// last request.
type begunClaims map[keys.Service]map[keys.Version]time.Time

// claim records that a request asks for the endpoints of a version.
func (c begunClaims) claim(now time.Time, service string, request *admission.Request) {
	if !request.HasBegun || request.SoftwareVersion == 0 {
		return
	}
	key := keys.OfService(service)
	if c[key] == nil {
		c[key] = make(map[keys.Version]time.Time)
	}
	c[key][keys.Version(request.SoftwareVersion)] = now
}

// withoutClaimed returns the candidates for a request that has not begun, without those of the versions that less than half
// of the candidates run and that streams want to go on at. New requests have other endpoints, and may crash these.
func (c begunClaims) withoutClaimed(now time.Time, request *admission.Request, candidates []*directory.Entry) []*directory.Entry {
	if request.HasBegun || len(c) == 0 || len(candidates) == 0 {
		return candidates
	}
	claims := c[keys.OfService(candidates[0].Endpoint.Service)]
	if len(claims) == 0 {
		return candidates
	}
	endpoints := make(map[keys.Version]int)
	for _, e := range candidates {
		endpoints[versionOf(e)]++
	}
	others := filter(candidates, func(e *directory.Entry) bool {
		version := versionOf(e)
		claimedAt, isClaimed := claims[version]
		return !isClaimed || now.Sub(claimedAt) >= claimTime || 2*endpoints[version] >= len(candidates)
	})
	if len(others) == 0 {
		return candidates
	}
	return others
}

// versionOf returns the version of an endpoint's software.
func versionOf(e *directory.Entry) keys.Version {
	return keys.OfVersion(directory.SoftwareVersion(e.Endpoint.Version))
}

// expire removes the claims that have expired.
func (c begunClaims) expire(now time.Time) {
	for service, claims := range c {
		maps.DeleteFunc(claims, func(_ keys.Version, at time.Time) bool { return now.Sub(at) >= claimTime })
		if len(claims) == 0 {
			delete(c, service)
		}
	}
}

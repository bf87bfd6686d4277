package slots

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// returnShare is the share of the rate at which a service ends calls that is promised to callers that return. The
	// rest is for newcomers.
	returnShare = 0.5
	// minReturn is the shortest time after which a caller is asked to return.
	minReturn = 250 * time.Millisecond
	// maxReturn is the longest such time. A caller that can't be promised an earlier time is given this one without a
	// promise.
	maxReturn = 4 * time.Second
	// returnGrace is how long after its promised time a caller still counts as one that returns.
	returnGrace = 2 * time.Second
	// maxReturns bounds the promises of a service, at some 32 B each.
	maxReturns = 4096
)

// returns are the times promised to callers that were refused, the earliest first, so that they return neither all
// together nor in vain.
type returns []promisedReturn

// promisedReturn is the time at which a request with a content is promised to go before newcomers.
type promisedReturn struct {
	at  time.Time
	key keys.Content
}

// book promises a time to the caller of a request: the first one after a delay that is an interval away from the other
// promised times. It returns how far away it is, in whole milliseconds as callers are given it.
func (b *returns) book(now time.Time, key keys.Content, delay, interval time.Duration) time.Duration {
	b.expire(now)
	at := now.Add(max(delay, minReturn))
	place := 0
	for _, other := range *b {
		if !other.at.Before(at.Add(interval)) {
			break
		}
		place++
		if at.Before(other.at.Add(interval)) {
			at = other.at.Add(interval)
		}
	}
	after := (at.Sub(now) + time.Millisecond - 1).Truncate(time.Millisecond)
	if after > maxReturn || len(*b) >= maxReturns {
		return maxReturn
	}
	*b = slices.Insert(*b, place, promisedReturn{at, key})
	return after
}

// take reports whether a request is a return at its promised time. The promise ends; one for a later time is lost.
func (b *returns) take(now time.Time, key keys.Content) bool {
	b.expire(now)
	i := slices.IndexFunc(*b, func(p promisedReturn) bool { return p.key == key })
	if i < 0 {
		return false
	}
	at := (*b)[i].at
	*b = slices.Delete(*b, i, i+1)
	return !now.Before(at)
}

// expire removes the promises that have ended.
func (b *returns) expire(now time.Time) {
	ended := 0
	for ended < len(*b) && now.Sub((*b)[ended].at) > returnGrace {
		ended++
	}
	*b = slices.Delete(*b, 0, ended)
}

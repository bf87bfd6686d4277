package freshness

import (
	"math"
	"time"
)

// The rules of who calls the store and when. A few hosts read for all: the store holds their calls until
// there is a change. Each call that ends confirms what its host knows, and the host passes that on. The
// ends take turns, so that some confirmation comes every phase while all readers are answered, and after two
// phases if one has just fallen silent. When none comes, other hosts ask, one after the other. The
// sums that bound the age of what hosts believe are held by TestWorstAges.

const (
	// Readers is how many hosts of a fleet read the store for all. Four, so that some are left when one or two fail.
	Readers = 4
	// Phase is the time between two confirmations while all readers are answered. A shorter one costs calls to the
	// store, each of which is priced, a longer one delays what hosts do when the readers fall silent.
	Phase = 500 * time.Millisecond
	// minHold is the shortest time for which the store is asked to hold a call; a call that would end sooner ends a
	// turn later.
	minHold = 200 * time.Millisecond
)

// Hold returns how long the store may hold the next call of a reader that has a number of readers before it,
// of so many in all, so that the readers' calls end in turn by the store's clock.
func (s *State) Hold(before, readers int) time.Duration {
	s.mu.Lock()
	now := time.Duration(s.store.now(s.parts.Clock()))
	s.mu.Unlock()
	readers = min(readers, Readers)
	period := time.Duration(readers) * Phase
	hold := (time.Duration(before%readers)*Phase - now%period + period) % period
	if hold < minHold {
		hold += period
	}
	return hold
}

const (
	// AskAfter is the age at which hosts begin to ask the store themselves: two phases, since one reader may be silent
	// or its datagram lost, and some delay.
	AskAfter = 1100 * time.Millisecond
	// AskStep is by how much later a host asks that has twice as many before it: the answer to those before it reaches
	// it first, and all hosts of a fleet of 380 have asked within a second.
	AskStep = 150 * time.Millisecond
	// AskRetryPerHost is the mean time between two calls of hosts that don't read for others while the store answers
	// none of them: some 10 a second in all, so that a store that is down is not asked by all at once, and its return
	// is noticed soon.
	AskRetryPerHost = 100 * time.Millisecond
)

// AskDelay returns how much longer than AskAfter a host waits that has a number of hosts before it.
func AskDelay(before int) time.Duration {
	return time.Duration(float64(AskStep) * math.Log2(1+float64(before)/Readers))
}

// AskRetry returns the mean time between the calls of a host while they fail, in a fleet of a number of
// hosts.
func AskRetry(hosts int) time.Duration { return time.Duration(hosts) * AskRetryPerHost }

// MustAsk reports whether a host with a number of hosts before it has to ask the store about a topic, because
// nobody has confirmed for too long what it knows.
func (s *State) MustAsk(topic Topic, before int) bool {
	return s.unconfirmedFor(topic) > AskAfter+AskDelay(before)
}

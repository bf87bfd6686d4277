package freshness

import (
	"math"
	"time"
)

// These rules decide which hosts call the store, and when. A few hosts read for all: the store holds their calls until
// there is a change. Each call that ends confirms the state of its host, which forwards the confirmation to its peers.
// The calls end in turn, so that a confirmation arrives every Phase while all readers are answered, and after two phases
// if one has just stopped responding. Without confirmations the other hosts call the store, one after the other.
// TestWorstAges checks the resulting bounds on the age of a host's state.

const (
	// Readers is how many hosts of a fleet read the store for all hosts. With 4, some remain when one or two fail.
	Readers = 4
	// Phase is the time between two confirmations while all readers are answered. A shorter phase costs more calls
	// to the store, each of which is billed; a longer one delays the fallback when readers stop responding.
	Phase = 500 * time.Millisecond
	// minHold is the shortest time for which the store is asked to hold a call. A call that would end sooner ends
	// one turn later.
	minHold = 200 * time.Millisecond
)

// Hold returns how long the store may hold the next call of a reader, given the number of readers before it in the
// order and the number of all readers. The calls of the readers end in turn by the store's clock.
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
	// AskAfter is the age from which hosts call the store themselves: two phases, because one reader may be
	// unresponsive or its datagram may be lost, plus delays.
	AskAfter = 1100 * time.Millisecond
	// AskStep is the additional delay for each doubling of a host's position in the order: the answer to the hosts
	// before it reaches it first, and all hosts of a fleet of 380 have called within a second.
	AskStep = 150 * time.Millisecond
	// AskRetryPerHost is the mean time between two failed calls, over all hosts that do not read for others. Some 10
	// calls/s in total keep all hosts from calling an unavailable store together, and its return is noticed soon.
	AskRetryPerHost = 100 * time.Millisecond
)

// AskDelay returns the delay beyond AskAfter of a host with a number of hosts before it in the order.
func AskDelay(before int) time.Duration {
	return time.Duration(float64(AskStep) * math.Log2(1+float64(before)/Readers))
}

// AskRetry returns the mean time between a host's calls while they fail, given the number of hosts in the fleet.
func AskRetry(hosts int) time.Duration { return time.Duration(hosts) * AskRetryPerHost }

// MustAsk reports whether a host with a number of hosts before it in the order must ask the store or its peers for a
// topic, because the topic has not been confirmed for too long. Patience is added to the time for which it may be
// unconfirmed.
func (s *State) MustAsk(topic Topic, before int, patience time.Duration) bool {
	return s.unconfirmedFor(topic) > AskAfter+AskDelay(before)+patience
}

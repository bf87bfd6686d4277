package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// What a call to the store and a datagram usually take at most. While the store is slow the promises
// do not hold.
const (
	usualStoreLatency   = 20 * time.Millisecond
	usualNetworkLatency = 20 * time.Millisecond
)

// ageBound is a row of the table of docs/design/0008-freshness.md: how old what a host believes may be at
// most in a fleet of a number of hosts, after a certain fault.
type ageBound func(hosts int) time.Duration

// normalAge: nothing is wrong, and a change follows another.
func normalAge(int) time.Duration { return follow.Spacing + usualStoreLatency + usualNetworkLatency }

// oneReaderDownAge is the age of what hosts have while nothing changes, with one reader silent.
func oneReaderDownAge(int) time.Duration {
	return 2*freshness.Phase + usualStoreLatency + confirmDelay + usualNetworkLatency
}

// noReadersAge: all readers fall silent, and of all other hosts only the last to ask is answered.
func noReadersAge(hosts int) time.Duration {
	return freshness.AskAfter + freshness.AskDelay(hosts-1) + follow.DutyCheck + usualStoreLatency + usualNetworkLatency
}

// deadConnectionsAge: all connections to the store fall silent, and new ones work. The first reader whose
// call is overdue makes a new one; a lone reader's calls are short, and end with CallTimeout.
func deadConnectionsAge(int) time.Duration {
	overdue := max(freshness.Phase+follow.HeldTimeout, follow.CallTimeout)
	return overdue + follow.FirstBackoff + 2*usualStoreLatency + usualNetworkLatency
}

// lostChangeAge: a host gets no datagram of those who know a change, and is turned away by the store. It
// polls its peers, and the first of them is silent.
func lostChangeAge(hosts int) time.Duration {
	unconfirmed := freshness.AskAfter + freshness.AskDelay(hosts-1)
	polled := max(unconfirmed, normalAge(hosts)+pollInterval) + pollCheckInterval
	return polled + fetchHedge + 4*usualNetworkLatency
}

// lapseAge: most endpoints of a service go at once and count as lapsed for a while.
func lapseAge(hosts int) time.Duration { return normalAge(hosts) + directory.LapseGrace }

// noReadersLapseAge: the same, while all readers are silent.
func noReadersLapseAge(hosts int) time.Duration { return noReadersAge(hosts) + directory.LapseGrace }

// The bounds that the users' deployments set on a change, by the number of their hosts.
const (
	maxSmallFleetHosts = 9
	maxSmallFleetAge   = 2 * time.Second
	maxLargeFleetAge   = 3 * time.Second
)

func maxAgeFor(hosts int) time.Duration {
	if hosts <= maxSmallFleetHosts {
		return maxSmallFleetAge
	}
	return maxLargeFleetAge
}

// TestWorstAges adds up the constants behind each row of the table and compares the sum with the promise: a
// constant that is changed beyond it fails here.
func TestWorstAges(t *testing.T) {
	tests := map[string]struct {
		age ageBound
		// above is the number of hosts from which the sum is above the promise, or 0. Each such row
		// has a line in docs/questions.md.
		above int
	}{
		"nothing is wrong":                                    {normalAge, 0},
		"one reader is silent":                                {oneReaderDownAge, 0},
		"all readers are silent":                              {noReadersAge, 0},
		"all open connections are silent":                     {deadConnectionsAge, 0},
		"a change is lost, and the store turns the host away": {lostChangeAge, 0},
		"most of a service goes at once":                      {lapseAge, 0},
		"most of a service goes while all readers are silent": {noReadersLapseAge, 2},
	}
	for name, test := range tests {
		for _, hosts := range []int{2, 7, 8, 9, 71, 78, 87, 100, 101, 300, 380} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				sum := test.age(hosts)
				isAbove := test.above > 0 && hosts >= test.above
				t.Logf("%s of %s", sum.Round(time.Millisecond), maxAgeFor(hosts))
				qt.Check(t, sum > maxAgeFor(hosts), qt.Equals, isAbove, qt.Commentf("%s, promised are %s", sum, maxAgeFor(hosts)))
			})
		}
	}
}

// TestConfirmationsArriveBeforeHostsCallStore: while one reader is silent, nobody else calls the store.
func TestConfirmationsArriveBeforeHostsCallStore(t *testing.T) {
	qt.Check(t, oneReaderDownAge(0)-usualStoreLatency < freshness.AskAfter, qt.IsTrue)
}

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

// The usual upper limits of a call to the store and of a datagram's delay. The promised bounds do not hold while the
// store is slower.
const (
	usualStoreLatency   = 20 * time.Millisecond
	usualNetworkLatency = 20 * time.Millisecond
)

// ageBound is a row of the table in docs/design/0008-freshness.md: the maximum staleness of a host's state in a fleet
// of a number of hosts, after a certain fault.
type ageBound func(hosts int) time.Duration

// normalAge is the bound without a fault, for a change that follows another.
func normalAge(int) time.Duration { return follow.Spacing + usualStoreLatency + usualNetworkLatency }

// oneReaderDownAge is the bound with one reader unresponsive, while nothing changes.
func oneReaderDownAge(int) time.Duration {
	return 2*freshness.Phase + usualStoreLatency + confirmDelay + usualNetworkLatency
}

// noReadersAge is the bound with all readers unresponsive, if the store answers only the last of the other hosts to
// ask.
func noReadersAge(hosts int) time.Duration {
	return freshness.AskAfter + freshness.AskDelay(hosts-1) + follow.DutyCheckInterval + usualStoreLatency + usualNetworkLatency
}

// deadConnectionsAge is the bound if all connections to the store get no more answers, and new ones work. The first
// reader whose call is overdue opens a new one; a single reader's calls are short, and end with CallTimeout.
func deadConnectionsAge(int) time.Duration {
	overdue := max(freshness.Phase+follow.HeldTimeout, follow.CallTimeout)
	return overdue + follow.FirstBackoff + 2*usualStoreLatency + usualNetworkLatency
}

// lostChangeAge is the bound for a host that receives no datagram of the hosts with a change and is rejected by the
// store. It polls its peers, the first of which is unresponsive.
func lostChangeAge(hosts int) time.Duration {
	unconfirmed := freshness.AskAfter + freshness.AskDelay(hosts-1)
	polled := max(unconfirmed, normalAge(hosts)+pollInterval) + pollCheckInterval
	return polled + fetchHedge + 4*usualNetworkLatency
}

// lapseAge is the bound if most endpoints of a service disappear together; they count as lapsed for LapseGrace.
func lapseAge(hosts int) time.Duration { return normalAge(hosts) + directory.LapseGrace }

// noReadersLapseAge is lapseAge with all readers unresponsive.
func noReadersLapseAge(hosts int) time.Duration { return noReadersAge(hosts) + directory.LapseGrace }

// The bounds on the propagation of a change that the users' deployments require, by the number of hosts.
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

// TestWorstAges adds up the constants behind each row of the table and compares the sum with the bound, so that a
// change of a constant that breaks a bound fails.
func TestWorstAges(t *testing.T) {
	tests := map[string]struct {
		age ageBound
		// above is the number of hosts from which the sum exceeds the bound, or 0. Each such row has a line in
		// docs/questions.md.
		above int
	}{
		"no fault":                                                                 {normalAge, 0},
		"one reader is unresponsive":                                               {oneReaderDownAge, 0},
		"all readers are unresponsive":                                             {noReadersAge, 0},
		"all open connections are unresponsive":                                    {deadConnectionsAge, 0},
		"a change is lost and the store rejects the host":                          {lostChangeAge, 0},
		"most endpoints of a service disappear together":                           {lapseAge, 0},
		"most endpoints of a service disappear while all readers are unresponsive": {noReadersLapseAge, 2},
	}
	for name, test := range tests {
		for _, hosts := range []int{2, 7, 8, 9, 71, 78, 87, 100, 101, 300, 380} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				sum := test.age(hosts)
				isAbove := test.above > 0 && hosts >= test.above
				t.Logf("worst age %s, bound %s", sum.Round(time.Millisecond), maxAgeFor(hosts))
				qt.Check(t, sum > maxAgeFor(hosts), qt.Equals, isAbove, qt.Commentf("worst age %s, bound %s", sum, maxAgeFor(hosts)))
			})
		}
	}
}

// TestConfirmationsArriveBeforeHostsCallStore checks that one unresponsive reader does not make other hosts call the
// store.
func TestConfirmationsArriveBeforeHostsCallStore(t *testing.T) {
	qt.Check(t, oneReaderDownAge(0)-usualStoreLatency < freshness.AskAfter, qt.IsTrue)
}

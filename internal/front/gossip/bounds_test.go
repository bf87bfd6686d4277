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
	usualAnswer = 20 * time.Millisecond
	usualLink   = 20 * time.Millisecond
)

// worstAge is a row of the table of docs/design/0008-freshness.md: how old what a host believes may be at
// most in a fleet of a number of hosts, after a certain fault.
type worstAge func(hosts int) time.Duration

// wellAge: nothing is wrong, and a change follows another.
func wellAge(int) time.Duration { return follow.Spacing + usualAnswer + usualLink }

// confirmedAge is the age of what hosts have while nothing changes, with one reader silent.
func confirmedAge(int) time.Duration {
	return 2*freshness.Phase + usualAnswer + confirmDelay + usualLink
}

// silentReadersAge: all readers fall silent, and of all other hosts only the last to ask is answered.
func silentReadersAge(hosts int) time.Duration {
	return freshness.AskAfter + freshness.AskDelay(hosts-1) + follow.DutyCheckInterval + usualAnswer + usualLink
}

// silentConnectionsAge: all connections to the store fall silent, and new ones work. The first reader whose
// call is overdue makes a new one; a lone reader's calls are short, and end with CallTimeout.
func silentConnectionsAge(int) time.Duration {
	overdue := max(freshness.Phase+follow.HeldTimeout, follow.CallTimeout)
	return overdue + follow.FirstBackoff + 2*usualAnswer + usualLink
}

// lostChangeAge: a host gets no datagram of those who know a change, and is turned away by the store. It
// polls its peers, and the first of them is silent.
func lostChangeAge(hosts int) time.Duration {
	unconfirmed := freshness.AskAfter + freshness.AskDelay(hosts-1)
	polled := max(unconfirmed, wellAge(hosts)+pollInterval) + pollCheck
	return polled + fetchHedge + 4*usualLink
}

// lapseAge: most endpoints of a service go at once and count as lapsed for a while.
func lapseAge(hosts int) time.Duration { return wellAge(hosts) + directory.LapseGrace }

// lapseUnseenAge: the same, while all readers are silent.
func lapseUnseenAge(hosts int) time.Duration { return silentReadersAge(hosts) + directory.LapseGrace }

// The bounds that the users' deployments set on a change, by the number of their hosts.
const (
	smallHosts   = 9
	smallPromise = 2 * time.Second
	largePromise = 3 * time.Second
)

func promise(hosts int) time.Duration {
	if hosts <= smallHosts {
		return smallPromise
	}
	return largePromise
}

// TestWorstAges adds up the constants behind each row of the table and compares the sum with the promise: a
// constant that is changed beyond it fails here.
func TestWorstAges(t *testing.T) {
	tests := map[string]struct {
		age worstAge
		// above is the number of hosts from which the sum is above the promise, or 0. Each such row
		// has a line in docs/questions.md.
		above int
	}{
		"nothing is wrong":                                    {wellAge, 0},
		"one reader is silent":                                {confirmedAge, 0},
		"all readers are silent":                              {silentReadersAge, 0},
		"all open connections are silent":                     {silentConnectionsAge, 0},
		"a change is lost, and the store turns the host away": {lostChangeAge, 0},
		"most of a service goes at once":                      {lapseAge, 0},
		"most of a service goes while all readers are silent": {lapseUnseenAge, 2},
	}
	for name, test := range tests {
		for _, hosts := range []int{2, 7, 8, 9, 71, 78, 87, 100, 101, 300, 380} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				sum := test.age(hosts)
				isAbove := test.above > 0 && hosts >= test.above
				t.Logf("%s of %s", sum.Round(time.Millisecond), promise(hosts))
				qt.Check(t, sum > promise(hosts), qt.Equals, isAbove, qt.Commentf("%s, promised are %s", sum, promise(hosts)))
			})
		}
	}
}

// TestConfirmationsComeBeforeHostsAsk: while one reader is silent, nobody else calls the store.
func TestConfirmationsComeBeforeHostsAsk(t *testing.T) {
	qt.Check(t, confirmedAge(0)-usualAnswer < freshness.AskAfter, qt.IsTrue)
}

package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/proof/retries"
	"oxbowslip.dev/oxbowslip/internal/retrybudget"
)

// partitionModel models hosts whose endpoints fail all requests, and which lose sight of each other. Hosts of the same
// group see each other.
type partitionModel struct {
	now    time.Time
	limits retrybudget.Limits
	hosts  []*partitionedHost
	random *rand.Rand
	// live is the number of hosts in each group.
	live map[int]int
	// firstTries and retries are the times of those of all hosts.
	firstTries, retries []time.Time
}

type partitionedHost struct {
	group int
	// before is the number of hosts before this one in its group.
	before  int
	started time.Time
	missing missing
	// unanswered is the number of addresses of other hosts that a start finds in its file and nobody answers at.
	unanswered int
	budget     *retrybudget.Fleet
}

// triesOfFailing is the number of tries of a request that fails.
const triesOfFailing = 10

// seenAddresses is the number of hosts whose addresses a host has from its file.
const seenAddresses = 3

func newPartitionModel(hosts int, slack float64, seed uint64) *partitionModel {
	m := &partitionModel{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, uint64(hosts))),
		limits: retrybudget.Limits{Ratio: 0.2, Slack: slack, Window: 10 * time.Second},
	}
	for range hosts {
		m.hosts = append(m.hosts, new(partitionedHost))
	}
	m.countLive()
	for n := range hosts {
		m.start(n)
	}
	return m
}

// countLive counts the hosts of each group.
func (m *partitionModel) countLive() {
	m.live = make(map[int]int)
	for _, h := range m.hosts {
		h.before = m.live[h.group]
		m.live[h.group]++
	}
}

// start starts a host, to which hosts of its group send the size of the fleet.
func (m *partitionModel) start(n int) {
	h := m.hosts[n]
	h.started, h.missing, h.unanswered = m.now, missing{hosts: make(map[string]missingHost), receivedAt: m.now}, 0
	live := m.live[h.group]
	for i, other := range m.hosts {
		if i < seenAddresses && other.group != h.group {
			h.unanswered++
		}
		if other != h && other.group == h.group && other.budget != nil && other.started.Before(m.now) {
			h.missing.fleetSize = max(h.missing.fleetSize, live+other.missing.count(live))
		}
	}
	h.budget = retrybudget.NewFleet(m.limits, func() retrybudget.Place { return m.place(n) }, func() time.Time { return m.now }, func(retrybudget.Usage) {})
}

func (m *partitionModel) place(n int) retrybudget.Place {
	h := m.hosts[n]
	live := m.live[h.group]
	count := h.missing.count(live)
	if m.now.Sub(h.started) < missingTimeout {
		count = max(count, h.unanswered)
	}
	return retrybudget.Place{Before: h.before, Hosts: live, Withheld: h.missing.withheld(m.now, live, count), IsKnown: m.now.Sub(h.started) >= joinQuietTime}
}

// regroup moves hosts to other groups. They notice that within a few seconds.
func (m *partitionModel) regroup(groupOf func(n int) int) {
	for n, h := range m.hosts {
		h.group = groupOf(n)
	}
	m.countLive()
	for n, h := range m.hosts {
		for i, other := range m.hosts {
			name := fmt.Sprint(i)
			if other.group == h.group {
				delete(h.missing.hosts, name)
			} else if _, ok := h.missing.hosts[name]; !ok && i != n {
				noticed := m.now.Add(time.Duration(m.random.Int64N(int64(minMemberTimeout))))
				h.missing.hosts[name] = missingHost{since: noticed}
			}
		}
	}
}

// run lets time pass with a rate of requests a second, which fail if fails is set.
func (m *partitionModel) run(length time.Duration, perSecond float64, fails bool, each func(second int)) {
	const step = 20 * time.Millisecond
	never := func(string) time.Time { return time.Time{} }
	for at := time.Duration(0); at < length; at += step {
		if at%time.Second == 0 {
			each(int(at / time.Second))
			for _, h := range m.hosts {
				h.missing.expire(m.now, m.live[h.group], never)
				h.budget.Update()
			}
		}
		m.now = m.now.Add(step)
		requests := perSecond * step.Seconds()
		for range int(requests + m.random.Float64()) {
			h := m.hosts[m.random.IntN(len(m.hosts))]
			h.budget.RecordFirstTry("s", 0)
			m.firstTries = append(m.firstTries, m.now)
			for tries := 1; fails && tries < triesOfFailing && h.budget.Reserve("s", "", false); tries++ {
				h.budget.Settle("s")
				m.retries = append(m.retries, m.now)
			}
		}
	}
}

// TestPartitionsStayWithinRetryBudget guards against hosts that divide the parts of others that run without being seen:
// with a quarter of the hosts cut off for over a minute, the fleet sent 160 retries where 153 were allowed.
func TestPartitionsStayWithinRetryBudget(t *testing.T) {
	fleets := map[string]struct {
		hosts            int
		slack, perSecond float64
	}{
		"one host":  {1, 40, 50},
		"8 hosts":   {8, 160, 15},
		"78 hosts":  {78, 1200, 50},
		"985 hosts": {985, 12_000, 400},
	}
	// share puts the first part of the hosts into a group of their own.
	share := func(hosts int, part float64) func(n int) int {
		return func(n int) int {
			if n < int(part*float64(hosts)) {
				return 1
			}
			return 0
		}
	}
	together := func(int) int { return 0 }
	scenes := map[string]func(m *partitionModel, second int){
		"none": func(*partitionModel, int) {},
		"a quarter": func(m *partitionModel, second int) {
			if second == 4 {
				m.regroup(share(len(m.hosts), 0.25))
			}
		},
		"two fifths": func(m *partitionModel, second int) {
			if second == 4 {
				m.regroup(share(len(m.hosts), 0.4))
			}
		},
		"half": func(m *partitionModel, second int) {
			if second == 4 {
				m.regroup(share(len(m.hosts), 0.5))
			}
		},
		"three parts": func(m *partitionModel, second int) {
			if second == 4 {
				m.regroup(func(n int) int { return n % 3 })
			}
		},
		"each alone": func(m *partitionModel, second int) {
			if second == 4 {
				m.regroup(func(n int) int { return n })
			}
		},
		"a quarter, healed after 82 s": func(m *partitionModel, second int) {
			switch second {
			case 4:
				m.regroup(share(len(m.hosts), 0.25))
			case 86:
				m.regroup(together)
			}
		},
		"a quarter that restarts": func(m *partitionModel, second int) {
			if second == 4 {
				m.regroup(share(len(m.hosts), 0.25))
			}
			for n := range len(m.hosts) / 4 {
				if second == 74+n%6 {
					m.start(n)
				}
			}
		},
		"one part after the other": func(m *partitionModel, second int) {
			if second%15 == 4 {
				at := second / 15
				m.regroup(func(n int) int { return min((n+at)%4, 1) })
			}
		},
	}
	for name, fleet := range fleets {
		for scene, each := range scenes {
			t.Run(name+"/"+scene, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				m := newPartitionModel(fleet.hosts, fleet.slack, 1)
				fails := false
				m.run(72*time.Second, fleet.perSecond/4, fails, func(second int) { each(m, second) })
				m.run(30*time.Second, fleet.perSecond, true, func(second int) { each(m, 72+second) })
				count, allowed := retries.Worst(m.limits, m.firstTries, m.retries)
				c.Check(float64(count) <= allowed, qt.IsTrue, qt.Commentf("%d retries in a window, allowed %.0f", count, allowed))
				c.Logf("%d retries in a window, allowed %.0f", count, allowed)
			})
		}
	}
}

// TestIsolatedHostsShareSlack has all hosts of a fleet lose sight of the others simultaneously, as after a suspension
// or a network fault: together they stay within the slack, however long that lasts. If each host divided the slack by the
// hosts that it sees, eight hosts with a slack of 56 would send 400 retries.
func TestIsolatedHostsShareSlack(t *testing.T) {
	const hosts, slack = 8, 56
	tests := map[string]time.Duration{
		"just now": 0, "until they give up": giveUpTimeout, "shorter than the timeout": missingTimeout - 11*time.Second,
		"after the timeout": missingTimeout, "for an hour": time.Hour,
	}
	for name, isolated := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := newPartitionModel(hosts, slack, 1)
			m.limits.Ratio = 0
			for n := range hosts {
				m.start(n)
			}
			nothing := func(int) {}
			m.run(15*time.Second, 0, false, nothing)
			m.regroup(func(n int) int { return n })
			m.run(isolated, 0, false, nothing)
			m.run(m.limits.Window, 50, true, nothing)
			c.Check(len(m.retries) <= slack, qt.IsTrue, qt.Commentf("%d retries", len(m.retries)))
			c.Logf("%d retries", len(m.retries))
		})
	}
}

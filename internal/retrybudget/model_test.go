package retrybudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/proof/retries"
	"oxbowslip.dev/oxbowslip/internal/retrybudget"
)

// modelHost is a host of a modelled fleet.
type modelHost struct {
	budget    *retrybudget.Fleet
	startedAt time.Time
	downUntil time.Time
}

// modelFleet models hosts whose endpoints fail all requests, and which are restarted.
type modelFleet struct {
	limits retrybudget.Limits
	hosts  []*modelHost
	now    time.Time
	random *rand.Rand
	// firstTries and retries are the times of all tries of the fleet.
	firstTries, retries []time.Time
}

const (
	modelService = "s"
	modelStep    = 10 * time.Millisecond
	// modelDowntime is the time that a host takes to start again.
	modelDowntime = 500 * time.Millisecond
	// modelLead is the time between the start of the hosts and the first request, modelCalm that in which no request fails.
	modelLead = 10 * time.Second
	modelCalm = 15 * time.Second
	// modelLength is the time in which requests fail.
	modelLength = 40 * time.Second
)

func newModelFleet(limits retrybudget.Limits, hosts int, seed uint64) *modelFleet {
	f := &modelFleet{limits: limits, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, uint64(hosts)))}
	for range hosts {
		f.hosts = append(f.hosts, new(modelHost))
	}
	for n := range hosts {
		f.start(n)
	}
	return f
}

// start starts a host, which knows nothing of an earlier start.
func (f *modelFleet) start(n int) {
	h := f.hosts[n]
	h.startedAt = f.now
	place := func() retrybudget.Place { return retrybudget.Place{Before: n, Hosts: len(f.hosts), IsKnown: true} }
	h.budget = retrybudget.NewFleet(f.limits, place, func() time.Time { return f.now }, func(retrybudget.Usage) {})
}

// restart kills a share of the hosts, which start again.
func (f *modelFleet) restart(share float64) {
	for _, n := range f.random.Perm(len(f.hosts))[:max(int(share*float64(len(f.hosts))), 1)] {
		f.hosts[n].downUntil = f.now.Add(modelDowntime)
	}
}

// run runs the fleet for a time with a rate of requests a second. Each request that fails is sent again if its host may.
func (f *modelFleet) run(length time.Duration, perSecond float64, fails bool, each func(at time.Duration)) {
	expected := perSecond * modelStep.Seconds()
	for at := time.Duration(0); at < length; at += modelStep {
		f.now = f.now.Add(modelStep)
		each(at)
		for n, h := range f.hosts {
			if !h.downUntil.IsZero() && !f.now.Before(h.downUntil) {
				h.downUntil = time.Time{}
				f.start(n)
			}
		}
		requests := int(expected)
		if f.random.Float64() < expected-float64(requests) {
			requests++
		}
		for range requests {
			f.send(f.hosts[f.random.IntN(len(f.hosts))], fails)
		}
	}
}

func (f *modelFleet) send(h *modelHost, fails bool) {
	if !h.downUntil.IsZero() {
		return
	}
	h.budget.RecordFirstTry(modelService, 0)
	f.firstTries = append(f.firstTries, f.now)
	if fails && h.budget.Reserve(modelService, "", false) {
		h.budget.Settle(modelService)
		f.retries = append(f.retries, f.now)
	}
}

// TestRestartsStayWithinRetryBudget guards against restarts that renew a host's share of the retry budget: in no window
// may all hosts together, with all their starts, send more retries than the limits allow.
func TestRestartsStayWithinRetryBudget(t *testing.T) {
	fleets := map[string]struct {
		hosts            int
		slack, perSecond float64
	}{
		"7 hosts":                    {7, 54, 24},
		"8 hosts":                    {8, 56, 42},
		"8 hosts, few requests":      {8, 56, 2},
		"8 hosts, hardly any slack":  {8, 5, 200},
		"78 hosts":                   {78, 196, 330},
		"985 hosts":                  {985, 1040, 4200},
		"985 hosts, many requests":   {985, 1040, 20_000},
		"one host":                   {1, 40, 10},
		"one host, hardly any slack": {1, 2, 50},
	}
	restarts := map[string]func(f *modelFleet, at time.Duration){
		"none": func(*modelFleet, time.Duration) {},
		"one after the other": func(f *modelFleet, at time.Duration) {
			gap := 10 * time.Second / time.Duration(len(f.hosts))
			if n := int(at / max(gap, modelStep)); at%max(gap, modelStep) < modelStep && n < 2*len(f.hosts) {
				f.hosts[n%len(f.hosts)].downUntil = f.now.Add(modelDowntime)
			}
		},
		"one again and again": func(f *modelFleet, at time.Duration) {
			if at%time.Second == 0 {
				f.hosts[0].downUntil = f.now.Add(modelDowntime)
			}
		},
		"half, twice in a window": func(f *modelFleet, at time.Duration) {
			if at == 3*time.Second || at == 6*time.Second {
				f.restart(0.5)
			}
		},
		"all": func(f *modelFleet, at time.Duration) {
			if at == 4*time.Second {
				f.restart(1)
			}
		},
		"all, twice in a window": func(f *modelFleet, at time.Duration) {
			if at == 3*time.Second || at == 6*time.Second {
				f.restart(1)
			}
		},
		"at random": func(f *modelFleet, _ time.Duration) {
			if f.random.Float64() < modelStep.Seconds() {
				f.restart([]float64{0, 0.5, 1}[f.random.IntN(3)])
			}
		},
	}
	for name, fleet := range fleets {
		for kind, each := range restarts {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				seeds := uint64(3)
				if fleet.hosts > 100 {
					// They take the longest, and vary the least.
					seeds = 1
				}
				for seed := range seeds {
					f := newModelFleet(retrybudget.Limits{Ratio: 0.2, Slack: fleet.slack, Window: 10 * time.Second}, fleet.hosts, seed)
					f.now = f.now.Add(modelLead)
					f.run(modelCalm, fleet.perSecond, false, func(time.Duration) {})
					f.run(modelLength, fleet.perSecond, true, func(at time.Duration) { each(f, at) })
					count, allowed := retries.Worst(f.limits, f.firstTries, f.retries)
					c.Check(float64(count) <= allowed, qt.IsTrue, qt.Commentf("seed %d: %d retries in a window, allowed %.0f", seed, count, allowed))
				}
			})
		}
	}
}

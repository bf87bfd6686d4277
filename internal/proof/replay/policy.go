package replay

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/schedule"
	"oxbowslip.dev/oxbowslip/internal/proof/emulator"
)

// Policy schedules the requests of one shard. *schedule.Scheduler implements it.
type Policy interface {
	SetEndpoints(now time.Time, endpoints []schedule.Endpoint)
	Submit(now time.Time, request admission.Request)
	Withdraw(now time.Time, id string)
	RecordStart(now time.Time, id string)
	RecordFirstToken(now time.Time, id string)
	RecordProgress(now time.Time, id string, tokens int)
	RecordEnd(now time.Time, id string, result admission.Result, tokens int)
	Tick(now time.Time)
	NextTick(now time.Time) time.Time
	TakeDecisions() []admission.Decision
	NumWaiting() int
	NumRunning() int
}

// loadReportReceiver is implemented by policies that use the engines' load reports.
type loadReportReceiver interface {
	Report(endpoint string, load emulator.Load)
}

// Current is the name of the daemons' own policy.
const Current = "current"

// The names of the baselines.
const (
	LeastConnections = "fcfs-least-connections"
	TwoChoices       = "random-two-choices"
	LeastReported    = "least-reported-load"
)

// Policies lists the names that NewPolicy takes: the daemons' policy and the baselines.
var Policies = []string{Current, LeastConnections, TwoChoices, LeastReported}

// NewPolicy creates a policy by its name. The seed sets the random choices of a baseline.
func NewPolicy(name string, seed uint64) (Policy, error) {
	switch name {
	case LeastConnections, TwoChoices, LeastReported:
		return newBaseline(name, seed), nil
	case Current:
		return schedule.New(schedule.Options{}), nil
	}
	return nil, merry.Errorf("unknown policy %q, expected one of: %s", name, strings.Join(Policies, ", "))
}

// baseline grants every request immediately and leaves queueing to the engines, as a router without
// request classes does.
type baseline struct {
	name      string
	random    *rand.Rand
	endpoints []*baselineEndpoint
	byID      map[string]*baselineEndpoint
	open      map[string]*baselineEndpoint
	decisions []admission.Decision
}

type baselineEndpoint struct {
	id       string
	inFlight int
	load     emulator.Load
}

func newBaseline(name string, seed uint64) *baseline {
	return &baseline{
		name: name, random: rand.New(rand.NewPCG(seed, 1)),
		byID: make(map[string]*baselineEndpoint), open: make(map[string]*baselineEndpoint),
	}
}

// SetEndpoints replaces the list of endpoints.
func (d *baseline) SetEndpoints(_ time.Time, endpoints []schedule.Endpoint) {
	d.endpoints = d.endpoints[:0]
	for _, config := range endpoints {
		e, ok := d.byID[config.ID]
		if !ok {
			e = &baselineEndpoint{id: config.ID}
			d.byID[config.ID] = e
		}
		d.endpoints = append(d.endpoints, e)
	}
}

// Submit grants a request immediately. It refuses the request if there is no endpoint.
func (d *baseline) Submit(now time.Time, r admission.Request) {
	if len(d.endpoints) == 0 {
		d.decisions = append(d.decisions, admission.Decision{
			Kind: admission.Refuse, ID: r.ID, Reason: admission.ReasonNoEndpoint, RetryAfter: time.Second,
		})
		return
	}
	e := d.chooseEndpoint()
	e.inFlight++
	d.open[r.ID] = e
	d.decisions = append(d.decisions, admission.Decision{
		Kind: admission.Grant, ID: r.ID, Endpoint: e.id, Reason: admission.ReasonPlaced, Until: now.Add(time.Second),
	})
}

func (d *baseline) chooseEndpoint() *baselineEndpoint {
	switch d.name {
	case TwoChoices:
		a, b := d.endpoints[d.random.IntN(len(d.endpoints))], d.endpoints[d.random.IntN(len(d.endpoints))]
		if b.inFlight < a.inFlight {
			return b
		}
		return a
	case LeastReported:
		return d.leastLoaded(func(e *baselineEndpoint) int { return e.load.Running + e.load.Waiting })
	default:
		return d.leastLoaded(func(e *baselineEndpoint) int { return e.inFlight })
	}
}

// leastLoaded returns the endpoint with the lowest load. The search starts at a random endpoint, so that the same
// endpoint does not win every tie.
func (d *baseline) leastLoaded(load func(*baselineEndpoint) int) *baselineEndpoint {
	start := d.random.IntN(len(d.endpoints))
	best := d.endpoints[start]
	for i := range d.endpoints {
		e := d.endpoints[(start+i)%len(d.endpoints)]
		if load(e) < load(best) {
			best = e
		}
	}
	return best
}

// Report stores an endpoint's load report.
func (d *baseline) Report(endpoint string, load emulator.Load) {
	if e, ok := d.byID[endpoint]; ok {
		e.load = load
	}
}

// RecordEnd removes a request from the in-flight count of its endpoint.
func (d *baseline) RecordEnd(_ time.Time, id string, _ admission.Result, _ int) {
	if e, ok := d.open[id]; ok {
		e.inFlight--
		delete(d.open, id)
	}
}

// Withdraw removes a request as RecordEnd does.
func (d *baseline) Withdraw(now time.Time, id string) { d.RecordEnd(now, id, admission.Cancelled, 0) }

// TakeDecisions returns and clears the pending decisions.
func (d *baseline) TakeDecisions() []admission.Decision {
	taken := d.decisions
	d.decisions = nil
	return taken
}

// The remaining methods of Policy are trivial because a baseline has no queue.

// RecordStart does nothing.
func (d *baseline) RecordStart(time.Time, string) {}

// RecordFirstToken does nothing.
func (d *baseline) RecordFirstToken(time.Time, string) {}

// RecordProgress does nothing.
func (d *baseline) RecordProgress(time.Time, string, int) {}

// Tick does nothing.
func (d *baseline) Tick(time.Time) {}

// NextTick returns a time an hour ahead, because a baseline needs no ticks.
func (d *baseline) NextTick(now time.Time) time.Time { return now.Add(time.Hour) }

// NumWaiting is always 0.
func (d *baseline) NumWaiting() int { return 0 }

// NumRunning returns the number of granted requests that have not finished.
func (d *baseline) NumRunning() int { return len(d.open) }

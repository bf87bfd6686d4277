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

// Policy decides for one shard. *schedule.Scheduler is one.
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

// reported is a policy that receives the engines' load reports.
type reported interface {
	Report(endpoint string, load emulator.Load)
}

// Current is the policy of the daemons.
const Current = "current"

// The baselines.
const (
	LeastConnections = "fcfs-least-connections"
	TwoChoices       = "random-two-choices"
	LeastReported    = "least-reported-load"
)

// Policies lists the names that NewPolicy takes: the daemons' policy and the baselines.
var Policies = []string{Current, LeastConnections, TwoChoices, LeastReported}

// NewPolicy returns a new policy by its name.
func NewPolicy(name string, seed uint64) (Policy, error) {
	switch name {
	case LeastConnections, TwoChoices, LeastReported:
		return newDirect(name, seed), nil
	case Current:
		return schedule.New(schedule.Options{}), nil
	}
	return nil, merry.Errorf("no policy %q; the policies are %s", name, strings.Join(Policies, ", "))
}

// direct sends every request on at once and lets the engines queue: what a
// router without levels of service does.
type direct struct {
	name      string
	random    *rand.Rand
	endpoints []*directEndpoint
	byID      map[string]*directEndpoint
	open      map[string]*directEndpoint
	decisions []admission.Decision
}

type directEndpoint struct {
	id       string
	inFlight int
	load     emulator.Load
}

func newDirect(name string, seed uint64) *direct {
	return &direct{
		name: name, random: rand.New(rand.NewPCG(seed, 1)),
		byID: make(map[string]*directEndpoint), open: make(map[string]*directEndpoint),
	}
}

// SetEndpoints replaces the endpoints.
func (d *direct) SetEndpoints(_ time.Time, endpoints []schedule.Endpoint) {
	d.endpoints = d.endpoints[:0]
	for _, config := range endpoints {
		e, ok := d.byID[config.ID]
		if !ok {
			e = &directEndpoint{id: config.ID}
			d.byID[config.ID] = e
		}
		d.endpoints = append(d.endpoints, e)
	}
}

// Submit grants at once.
func (d *direct) Submit(now time.Time, r admission.Request) {
	if len(d.endpoints) == 0 {
		d.decisions = append(d.decisions, admission.Decision{
			Kind: admission.Refuse, ID: r.ID, Reason: admission.ReasonNoEndpoint, RetryAfter: time.Second,
		})
		return
	}
	e := d.choose()
	e.inFlight++
	d.open[r.ID] = e
	d.decisions = append(d.decisions, admission.Decision{
		Kind: admission.Grant, ID: r.ID, Endpoint: e.id, Reason: admission.ReasonPlaced, Until: now.Add(time.Second),
	})
}

func (d *direct) choose() *directEndpoint {
	switch d.name {
	case TwoChoices:
		a, b := d.endpoints[d.random.IntN(len(d.endpoints))], d.endpoints[d.random.IntN(len(d.endpoints))]
		if b.inFlight < a.inFlight {
			return b
		}
		return a
	case LeastReported:
		return d.least(func(e *directEndpoint) int { return e.load.Running + e.load.Waiting })
	default:
		return d.least(func(e *directEndpoint) int { return e.inFlight })
	}
}

// least returns the endpoint with the least load; among equals, a random one.
func (d *direct) least(load func(*directEndpoint) int) *directEndpoint {
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

// Report records a load report.
func (d *direct) Report(endpoint string, load emulator.Load) {
	if e, ok := d.byID[endpoint]; ok {
		e.load = load
	}
}

// RecordEnd frees a place.
func (d *direct) RecordEnd(_ time.Time, id string, _ admission.Result, _ int) {
	if e, ok := d.open[id]; ok {
		e.inFlight--
		delete(d.open, id)
	}
}

// Withdraw frees a place.
func (d *direct) Withdraw(now time.Time, id string) { d.RecordEnd(now, id, admission.Cancelled, 0) }

// TakeDecisions returns the decisions.
func (d *direct) TakeDecisions() []admission.Decision {
	taken := d.decisions
	d.decisions = nil
	return taken
}

// The rest does not matter to a policy that never waits.

// RecordStart does nothing.
func (d *direct) RecordStart(time.Time, string) {}

// RecordFirstToken does nothing.
func (d *direct) RecordFirstToken(time.Time, string) {}

// RecordProgress does nothing.
func (d *direct) RecordProgress(time.Time, string, int) {}

// Tick does nothing.
func (d *direct) Tick(time.Time) {}

// NextTick is far away.
func (d *direct) NextTick(now time.Time) time.Time { return now.Add(time.Hour) }

// NumWaiting is always 0.
func (d *direct) NumWaiting() int { return 0 }

// NumRunning counts the open requests.
func (d *direct) NumRunning() int { return len(d.open) }

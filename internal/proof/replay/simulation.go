package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/schedule"
	"oxbowslip.dev/oxbowslip/internal/proof/emulator"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// The constants of a simulation.
const (
	// networkDelay is the delay of a message from an owner to an engine.
	networkDelay = time.Millisecond
	// reportInterval is how often engines report their load, for the policies that use it.
	reportInterval = time.Second
	// dialRefused is how long it takes an owner to find that an engine is gone.
	dialRefused = 2 * time.Millisecond
	// stalledAfter is when an owner gives up on an engine that sends nothing.
	stalledAfter = 20 * time.Second
	// drainTime bounds the time after the last arrival.
	drainTime = 10 * time.Minute
	// progressBy is how many tokens an owner lets pass between two reports of progress.
	progressBy = 16
)

// epoch is the start of every replay.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// state is how a request stands in a replay.
type state uint8

const (
	stateWaiting state = iota
	stateSent
	stateAnswered
	stateRefused
	stateFailed
	stateGone
)

// job is one request of a replay, as its owner sees it.
type job struct {
	id      string
	event   *Event
	policy  settings.Policy
	request admission.Request
	shard   *simulatedShard
	state   state
	reason  admission.Reason

	endpoint   *simulatedEngine
	arrived    time.Time
	granted    time.Time
	firstToken time.Time
	ended      time.Time
	lastToken  time.Time
	// tokens is the length of the answer so far, base what of it came from earlier attempts,
	// reported what of it the policy knows.
	tokens     int
	base       int
	reported   int
	lifecycle  *request.Lifecycle
	executions int
	// wasted and wastedPrefill are the answer and prompt tokens that were processed in vain.
	wasted        int
	wastedPrefill int
	// returns counts how often the caller has come back, attempt the attempts of this request.
	returns int
	attempt int
}

// simulatedShard is one model's policy and engines.
type simulatedShard struct {
	model   string
	policy  Policy
	engines []*simulatedEngine
	due     time.Time
}

// simulatedEngine is one engine of a replay.
type simulatedEngine struct {
	id     string
	shard  *simulatedShard
	model  *emulator.Engine
	config schedule.Endpoint
	// out is set while an operator has taken the engine out of use, since outAt.
	out     bool
	outAt   time.Time
	crashed bool
	stepDue time.Time
	// lost counts the requests that crashes have cost.
	lost int
}

// timer is something that happens at a time.
type timer struct {
	at       time.Time
	sequence int
	run      func(now time.Time)
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push serves container/heap.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(*timer)) }

// Pop serves container/heap.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}

// simulation is one run of a trace.
type simulation struct {
	trace      *Trace
	policyName string
	timers     timerHeap
	sequence   int
	now        time.Time
	shards     map[string]*simulatedShard
	engines    map[string]*simulatedEngine
	engineList []*simulatedEngine
	jobs       map[string]*job
	order      []*job
	random     *rand.Rand
	frozen     bool
	lastEvent  time.Time
	violations []Violation
	// generated is the tokens a second in the window.
	generated float64
}

// Violation is an invariant that did not hold, at its first event.
type Violation struct {
	Invariant string        `json:"invariant"`
	At        time.Duration `json:"at"`
	Detail    string        `json:"detail"`
}

func newSimulation(trace *Trace, policyName string) (*simulation, error) {
	sim := &simulation{
		trace: trace, policyName: policyName, now: epoch, shards: make(map[string]*simulatedShard),
		engines: make(map[string]*simulatedEngine), jobs: make(map[string]*job),
		random: rand.New(rand.NewPCG(trace.Header.Seed, 2)),
	}
	tree := &trace.Header.Settings
	for _, name := range tree.EndpointNames() {
		e := tree.Endpoints[name]
		if e.Model == "" {
			continue
		}
		s, err := sim.shardOf(e.Model)
		if err != nil {
			return nil, err
		}
		engine := &simulatedEngine{
			id: name, shard: s, model: emulator.New(trace.Header.Engines.config()),
			config: schedule.Endpoint{ID: name, Zone: e.Zone, MaxInFlight: e.MaxInFlight, CacheTokens: e.CacheTokens, Engine: true},
		}
		s.engines = append(s.engines, engine)
		sim.engines[name] = engine
		sim.engineList = append(sim.engineList, engine)
	}
	for i := range trace.Events {
		event := &trace.Events[i]
		at := epoch.Add(time.Duration(event.AtMillis) * time.Millisecond)
		sim.at(at, func(now time.Time) { sim.happen(now, event, i) })
		sim.lastEvent = at
	}
	for _, s := range sim.shardList() {
		s.policy.SetEndpoints(sim.now, s.usable())
	}
	sim.at(epoch.Add(reportInterval), sim.report)
	return sim, nil
}

func (sim *simulation) shardOf(model string) (*simulatedShard, error) {
	if s, ok := sim.shards[model]; ok {
		return s, nil
	}
	policy, err := NewPolicy(sim.policyName, sim.trace.Header.Seed)
	if err != nil {
		return nil, err
	}
	if scheduler, ok := policy.(*schedule.Scheduler); ok {
		scheduler.SetMaxWaiting(sim.trace.Header.Settings.Models[model].MaxWaiting)
	}
	s := &simulatedShard{model: model, policy: policy}
	sim.shards[model] = s
	return s, nil
}

func (sim *simulation) shardList() []*simulatedShard {
	var list []*simulatedShard
	for _, s := range sim.shards {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *simulatedShard) int {
		if a.model < b.model {
			return -1
		}
		return 1
	})
	return list
}

// usable lists the endpoints that settings have in. A crashed engine is still
// in: nobody has said that it is gone.
func (s *simulatedShard) usable() []schedule.Endpoint {
	var list []schedule.Endpoint
	for _, e := range s.engines {
		if !e.out {
			list = append(list, e.config)
		}
	}
	return list
}

func (sim *simulation) at(at time.Time, run func(now time.Time)) {
	sim.sequence++
	heap.Push(&sim.timers, &timer{at: at, sequence: sim.sequence, run: run})
}

func (sim *simulation) after(d time.Duration, run func(now time.Time)) { sim.at(sim.now.Add(d), run) }

// run goes through all events until every request has ended.
func (sim *simulation) run() {
	end := sim.lastEvent.Add(drainTime)
	for len(sim.timers) > 0 {
		t := heap.Pop(&sim.timers).(*timer)
		if t.at.After(end) || (t.at.After(sim.lastEvent) && sim.idle()) {
			return
		}
		sim.now = t.at
		t.run(sim.now)
	}
}

func (sim *simulation) idle() bool {
	for _, j := range sim.order {
		if j.state == stateWaiting || j.state == stateSent {
			return false
		}
	}
	return true
}

func (sim *simulation) happen(now time.Time, event *Event, number int) {
	if event.Fault != "" {
		sim.fault(now, event)
		return
	}
	sim.arrive(now, event, fmt.Sprintf("r%d", number), 0)
}

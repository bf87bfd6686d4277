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

// The constants of the world.
const (
	// networkDelay is the way from an owner to an engine.
	networkDelay = time.Millisecond
	// reportInterval and reportLag are the engines' load reports.
	reportInterval = time.Second
	// dialRefused is how long an owner takes to find that an engine is gone.
	dialRefused = 2 * time.Millisecond
	// stalledAfter is when an owner gives up an engine that sends nothing.
	stalledAfter = 20 * time.Second
	// drainTime bounds the time after the last arrival.
	drainTime = 10 * time.Minute
	// retryPause is the mean pause of an owner before a retry.
	retryPause = 20 * time.Millisecond
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
	shard   *shardWorld
	state   state
	reason  admission.Reason

	endpoint   *engineWorld
	arrived    time.Time
	granted    time.Time
	firstToken time.Time
	ended      time.Time
	lastToken  time.Time
	tokens     int
	base       int
	reported   int
	life       *request.Lifecycle
	executions int
	wasted     int
	wastedRead int
	returns    int
	attempt    int
}

// shardWorld is one model's policy and engines.
type shardWorld struct {
	model   string
	policy  Policy
	engines []*engineWorld
	due     time.Time
}

// engineWorld is one engine of a replay.
type engineWorld struct {
	id      string
	shard   *shardWorld
	model   *emulator.Engine
	config  schedule.Endpoint
	out     bool
	outAt   time.Time
	crashed bool
	stepDue time.Time
	lost    int
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

// world is one run of a trace.
type world struct {
	trace      *Trace
	policyName string
	timers     timerHeap
	sequence   int
	now        time.Time
	shards     map[string]*shardWorld
	engines    map[string]*engineWorld
	engineList []*engineWorld
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

func newWorld(trace *Trace, policyName string) (*world, error) {
	w := &world{
		trace: trace, policyName: policyName, now: epoch, shards: make(map[string]*shardWorld),
		engines: make(map[string]*engineWorld), jobs: make(map[string]*job),
		random: rand.New(rand.NewPCG(trace.Header.Seed, 2)),
	}
	tree := &trace.Header.Settings
	for _, name := range tree.EndpointNames() {
		e := tree.Endpoints[name]
		if e.Model == "" {
			continue
		}
		s, err := w.shardOf(e.Model)
		if err != nil {
			return nil, err
		}
		engine := &engineWorld{
			id: name, shard: s, model: emulator.New(trace.Header.Engines.config()),
			config: schedule.Endpoint{ID: name, Zone: e.Zone, MaxInFlight: e.MaxInFlight, CacheTokens: e.CacheTokens, Engine: true},
		}
		s.engines = append(s.engines, engine)
		w.engines[name] = engine
		w.engineList = append(w.engineList, engine)
	}
	for i := range trace.Events {
		event := &trace.Events[i]
		at := epoch.Add(time.Duration(event.AtMillis) * time.Millisecond)
		w.at(at, func(now time.Time) { w.happen(now, event, i) })
		w.lastEvent = at
	}
	for _, s := range w.shardList() {
		s.policy.SetEndpoints(w.now, s.usable())
	}
	w.at(epoch.Add(reportInterval), w.report)
	return w, nil
}

func (w *world) shardOf(model string) (*shardWorld, error) {
	if s, ok := w.shards[model]; ok {
		return s, nil
	}
	policy, err := NewPolicy(w.policyName, w.trace.Header.Seed)
	if err != nil {
		return nil, err
	}
	if scheduler, ok := policy.(*schedule.Scheduler); ok {
		scheduler.SetMaxWaiting(w.trace.Header.Settings.Models[model].MaxWaiting)
	}
	s := &shardWorld{model: model, policy: policy}
	w.shards[model] = s
	return s, nil
}

func (w *world) shardList() []*shardWorld {
	var list []*shardWorld
	for _, s := range w.shards {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *shardWorld) int {
		if a.model < b.model {
			return -1
		}
		return 1
	})
	return list
}

// usable lists the endpoints that settings have in. A crashed engine is still
// in: nobody has said that it is gone.
func (s *shardWorld) usable() []schedule.Endpoint {
	var list []schedule.Endpoint
	for _, e := range s.engines {
		if !e.out {
			list = append(list, e.config)
		}
	}
	return list
}

func (w *world) at(at time.Time, run func(now time.Time)) {
	w.sequence++
	heap.Push(&w.timers, &timer{at: at, sequence: w.sequence, run: run})
}

func (w *world) after(d time.Duration, run func(now time.Time)) { w.at(w.now.Add(d), run) }

// run goes through all events until every request has ended.
func (w *world) run() {
	end := w.lastEvent.Add(drainTime)
	for len(w.timers) > 0 {
		t := heap.Pop(&w.timers).(*timer)
		if t.at.After(end) || (t.at.After(w.lastEvent) && w.idle()) {
			return
		}
		w.now = t.at
		t.run(w.now)
	}
}

func (w *world) idle() bool {
	for _, j := range w.order {
		if j.state == stateWaiting || j.state == stateSent {
			return false
		}
	}
	return true
}

func (w *world) happen(now time.Time, event *Event, number int) {
	if event.Fault != "" {
		w.fault(now, event)
		return
	}
	w.arrive(now, event, fmt.Sprintf("r%d", number), 0)
}

package replay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/emulator"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/schedule"
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
	request schedule.Request
	shard   *shardWorld
	state   state
	reason  schedule.Reason

	endpoint   *engineWorld
	arrived    time.Time
	granted    time.Time
	firstToken time.Time
	ended      time.Time
	heard      time.Time
	tokens     int
	base       int
	told       int
	life       *request.Life
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

// arrive begins a request.
func (w *world) arrive(now time.Time, event *Event, id string, returns int) {
	policy, ok := w.trace.Header.Settings.Effective(event.Workspace, event.Class)
	shard := w.shards[event.Model]
	if !ok || shard == nil {
		w.violate("trace", "unknown class or model in "+id)
		return
	}
	j := &job{id: id, event: event, policy: policy, shard: shard, arrived: now, returns: returns}
	j.life = request.NewLife(request.Rules{Repeatable: policy.Repeatable, MaxTries: policy.MaxTries})
	j.request = schedule.Request{
		ID: id, Owner: "replay", Workspace: event.Workspace, Class: event.Class, Tier: policy.Tier, Arrived: now,
		FirstToken: policy.FirstToken, BetweenTokens: policy.BetweenTokens, WholeAnswer: policy.WholeAnswer,
		RefuseLate: policy.WhenLate == settings.LateRefuse, MaxWait: policy.MaxWait, Repeatable: policy.Repeatable,
		Share: policy.Share, Weight: policy.Weight, MaxInFlight: policy.MaxInFlight, MaxWaiting: policy.MaxWaiting,
		TokensPerMinute: policy.TokensPerMinute, PromptTokens: event.Prompt, MaxTokens: policy.MaxAnswerTokens,
		Prefix: prefixOf(event),
	}
	w.jobs[id] = j
	w.order = append(w.order, j)
	if event.Outside {
		w.sendOutside(now, j)
		return
	}
	if patience := w.trace.Header.Callers[event.Class].PatienceMillis; patience > 0 {
		w.after(time.Duration(patience)*time.Millisecond, func(now time.Time) { w.loseCaller(now, j) })
	}
	shard.policy.Submit(now, j.request)
	w.settle(now, shard)
}

// prefixOf gives the hashes of a prompt's shared document.
func prefixOf(event *Event) []uint64 {
	if event.Document == "" {
		return nil
	}
	parts := event.DocumentTokens / schedule.PrefixTokens
	hashes := make([]uint64, parts)
	sum := uint64(14695981039346656037)
	for _, c := range event.Workspace + "/" + event.Document {
		sum = (sum ^ uint64(c)) * 1099511628211
	}
	for i := range hashes {
		sum = (sum ^ uint64(i+1)) * 1099511628211
		hashes[i] = sum
	}
	return hashes
}

// sendOutside gives a request to the engine with the fewest requests, as
// another router would.
func (w *world) sendOutside(now time.Time, j *job) {
	var best *engineWorld
	for _, e := range j.shard.engines {
		if e.crashed || e.out {
			continue
		}
		if best == nil || e.outsideLoad() < best.outsideLoad() {
			best = e
		}
	}
	if best == nil {
		j.state = stateFailed
		return
	}
	j.state = stateSent
	j.endpoint = best
	w.submit(now, j, best)
}

func (e *engineWorld) outsideLoad() int {
	load := e.model.Load()
	return load.Running + load.Waiting
}

// settle carries out what a policy decided and sets its timer.
func (w *world) settle(now time.Time, s *shardWorld) {
	for {
		decisions := slices.Clone(s.policy.Take())
		if len(decisions) == 0 {
			break
		}
		for i := range decisions {
			w.decide(now, s, &decisions[i])
		}
	}
	next := s.policy.Next(now)
	if s.due.After(now) && !next.Before(s.due) {
		return
	}
	s.due = next
	w.at(next, func(now time.Time) {
		if !s.due.Equal(now) {
			return
		}
		s.due = time.Time{}
		s.policy.Tick(now)
		w.settle(now, s)
	})
}

func (w *world) decide(now time.Time, s *shardWorld, d *schedule.Decision) {
	j := w.jobs[d.ID]
	w.checkDecision(now, s, j, d)
	switch d.Kind {
	case schedule.Grant:
		w.granted(now, j, w.engines[d.Endpoint])
	case schedule.Refuse:
		j.life.Refuse(request.Reason(d.Reason))
		w.checkRefusal(j)
		j.state, j.reason, j.ended = stateRefused, d.Reason, now
		w.maybeReturn(j, d.RetryAfter)
	case schedule.Preempt:
		w.preempt(now, j)
	}
}

func (w *world) granted(now time.Time, j *job, e *engineWorld) {
	if j.life.Apply(request.EventGranted, request.Facts{}) != request.ActSend {
		w.violate(AtMostOnce, j.id+" was granted and may not be sent")
	}
	j.state = stateSent
	j.endpoint = e
	j.attempt++
	j.base = j.tokens
	j.told = 0
	if j.granted.IsZero() {
		j.granted = now
	}
	attempt := j.attempt
	j.shard.policy.Started(now, j.id)
	w.after(networkDelay, func(now time.Time) {
		if j.attempt != attempt || j.state != stateSent {
			return
		}
		if e.crashed {
			w.after(dialRefused, func(now time.Time) { w.attemptFailed(now, j, attempt, request.EventDialFailed) })
			return
		}
		j.life.Apply(request.EventSent, request.Facts{})
		w.submit(now, j, e)
		w.watchStall(now, j, attempt)
	})
}

// submit starts a request at an engine.
func (w *world) submit(now time.Time, j *job, e *engineWorld) {
	j.executions++
	j.heard = now
	e.model.Submit(now, emulator.Request{
		ID: j.id, Priority: j.policy.Tier, PromptTokens: j.event.Prompt, AnswerTokens: j.event.Answer,
		Prefix: j.request.Prefix, Done: j.base,
	})
	w.schedule(e)
}

// schedule sets a timer for the engine's next step.
func (w *world) schedule(e *engineWorld) {
	next, ok := e.model.Next()
	if !ok || next.Equal(e.stepDue) {
		return
	}
	e.stepDue = next
	w.at(next, func(now time.Time) {
		if !e.stepDue.Equal(now) {
			return
		}
		e.stepDue = time.Time{}
		for _, event := range slices.Clone(e.model.Step(now)) {
			w.engineEvent(now, e, event)
		}
		w.schedule(e)
	})
}

func (w *world) engineEvent(now time.Time, e *engineWorld, event emulator.Event) {
	w.countToken(now)
	j := w.jobs[event.ID]
	if j.state != stateSent || j.endpoint != e || event.Kind == emulator.Recompute {
		return
	}
	j.heard = now
	j.tokens = event.Tokens
	if j.firstToken.IsZero() {
		j.firstToken = now
		j.life.Apply(request.EventDelivered, request.Facts{})
	}
	policy := j.shard.policy
	if event.Kind == emulator.Last {
		j.state, j.ended = stateAnswered, now
		if !j.event.Outside {
			policy.Finished(now, j.id, schedule.Answered, j.tokens-j.base)
			w.settle(now, j.shard)
		}
		return
	}
	if j.event.Outside {
		return
	}
	switch {
	case j.told == 0:
		policy.FirstToken(now, j.id)
		j.told = 1
		w.settle(now, j.shard)
	case j.tokens-j.base-j.told >= progressBy:
		j.told = j.tokens - j.base
		policy.Progress(now, j.id, j.told)
		w.settle(now, j.shard)
	}
}

func (w *world) countToken(now time.Time) {
	if from, to := w.window(); !now.Before(from) && now.Before(to) {
		w.generated += 1 / math.Max(to.Sub(from).Seconds(), 1)
	}
}

// watchStall fails an attempt whose engine sends nothing for long.
func (w *world) watchStall(now time.Time, j *job, attempt int) {
	w.at(now.Add(stalledAfter), func(now time.Time) {
		if j.attempt != attempt || j.state != stateSent {
			return
		}
		if now.Sub(j.heard) < stalledAfter {
			w.watchStall(j.heard, j, attempt)
			return
		}
		j.endpoint.model.Cancel(j.id)
		w.attemptFailed(now, j, attempt, request.EventBroken)
	})
}

// attemptFailed ends an attempt that broke, and tries again where the rules
// allow it. All engines of a replay can continue from a part of an answer.
func (w *world) attemptFailed(now time.Time, j *job, attempt int, event request.Event) {
	if j.attempt != attempt || j.state != stateSent {
		return
	}
	j.request.Avoid = append(j.request.Avoid, j.endpoint.id)
	w.endAttempt(now, j, schedule.Failed)
	if j.life.Apply(event, request.Facts{CanContinue: true, BudgetLeft: true}) != request.ActAsk {
		w.checkRefusal(j)
		j.state, j.ended = stateFailed, now
		j.wasted += j.tokens
		return
	}
	w.resubmit(j)
}

func (w *world) endAttempt(now time.Time, j *job, result schedule.Result) {
	j.endpoint.lost++
	j.state = stateWaiting
	j.endpoint = nil
	j.attempt++
	j.shard.policy.Finished(now, j.id, result, j.tokens-j.base)
	w.settle(now, j.shard)
}

func (w *world) resubmit(j *job) {
	j.request.Retry = true
	pause := time.Duration(w.random.Float64() * float64(retryPause) * float64(int(1)<<j.life.Tries()))
	w.after(pause, func(now time.Time) {
		if j.state != stateWaiting {
			return
		}
		j.shard.policy.Submit(now, j.request)
		w.settle(now, j.shard)
	})
}

// preempt takes a request back from its engine.
func (w *world) preempt(now time.Time, j *job) {
	if j.state != stateSent || j.tokens > j.base {
		return
	}
	if j.life.Apply(request.EventPreempted, request.Facts{CanContinue: true}) != request.ActAsk {
		return
	}
	j.endpoint.model.Cancel(j.id)
	j.wastedRead += j.event.Prompt
	w.endAttempt(now, j, schedule.Preempted)
	w.resubmit(j)
}

// loseCaller ends a request whose caller waited too long for the first token.
func (w *world) loseCaller(now time.Time, j *job) {
	if !j.firstToken.IsZero() || (j.state != stateWaiting && j.state != stateSent) {
		return
	}
	if j.endpoint != nil {
		j.endpoint.model.Cancel(j.id)
		j.wastedRead += j.event.Prompt
	}
	j.state, j.ended = stateGone, now
	j.attempt++
	j.endpoint = nil
	j.shard.policy.Withdraw(now, j.id)
	w.settle(now, j.shard)
	w.maybeReturn(j, 0)
}

// maybeReturn lets a caller come back with a new request.
func (w *world) maybeReturn(j *job, after time.Duration) {
	if j.returns >= w.trace.Header.Callers[j.event.Class].Retries {
		return
	}
	w.after(after, func(now time.Time) {
		w.arrive(now, j.event, fmt.Sprintf("%s-%d", j.id, j.returns+1), j.returns+1)
	})
}

// fault makes one fault true.
func (w *world) fault(now time.Time, event *Event) {
	e := w.engines[event.Endpoint]
	switch event.Fault {
	case FaultCrash:
		e.crashed = true
		e.stepDue = time.Time{}
		for _, id := range e.model.Crash() {
			w.lose(now, e, w.jobs[id])
		}
	case FaultRecover:
		e.crashed = false
		e.model.SetSlow(1)
		e.model.SetStalled(now, false)
		w.schedule(e)
	case FaultSlow:
		e.model.SetSlow(event.Factor)
	case FaultStall:
		e.model.SetStalled(now, true)
		e.stepDue = time.Time{}
	case FaultOut, FaultIn:
		e.out = event.Fault == FaultOut
		e.outAt = now
		e.shard.policy.SetEndpoints(now, e.shard.usable())
		w.settle(now, e.shard)
	case FaultFreeze, FaultThaw:
		w.frozen = event.Fault == FaultFreeze
	}
}

// lose breaks the connection of a request that an engine lost.
func (w *world) lose(now time.Time, e *engineWorld, j *job) {
	if j.endpoint != e || j.state != stateSent {
		return
	}
	if j.event.Outside {
		j.state = stateFailed
		return
	}
	attempt := j.attempt
	w.at(now.Add(networkDelay), func(now time.Time) { w.attemptFailed(now, j, attempt, request.EventBroken) })
}

// report lets the engines report their load, late by one interval.
func (w *world) report(time.Time) {
	for _, e := range w.engineList {
		policy, ok := e.shard.policy.(reported)
		if ok && !w.frozen {
			load := e.model.Load()
			w.after(reportInterval, func(time.Time) { policy.Report(e.id, load) })
		}
	}
	w.after(reportInterval, w.report)
}

package replay

import (
	"fmt"
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/prefix"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/proof/emulator"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// arrive begins a request.
func (sim *simulation) arrive(now time.Time, event *Event, id string, returns int) {
	policy, ok := sim.trace.Header.Settings.Effective(event.Workspace, event.Class)
	shard := sim.shards[event.Model]
	if !ok || shard == nil {
		sim.violate("trace", "unknown class or model in "+id)
		return
	}
	j := &job{id: id, event: event, policy: policy, shard: shard, arrived: now, returns: returns}
	j.lifecycle = request.NewLifecycle(request.Rules{Repeatable: policy.Repeatable, MaxTries: policy.MaxTries})
	j.request = admission.Request{
		ID: id, Owner: "replay", Workspace: event.Workspace, Class: event.Class, Tier: policy.Tier, Arrived: now,
		FirstToken: policy.FirstToken, BetweenTokens: policy.BetweenTokens, WholeAnswer: policy.WholeAnswer,
		RefuseLate: policy.WhenLate == settings.LateRefuse, MaxWait: policy.MaxWait, Repeatable: policy.Repeatable,
		Share: policy.Share, Weight: policy.Weight, MaxInFlight: policy.MaxInFlight, MaxWaiting: policy.MaxWaiting,
		TokensPerMinute: policy.TokensPerMinute, PromptTokens: event.Prompt, MaxTokens: policy.MaxAnswerTokens,
		Prefix: prefixOf(event),
	}
	sim.jobs[id] = j
	sim.order = append(sim.order, j)
	if event.Outside {
		sim.sendOutside(now, j)
		return
	}
	if patience := sim.trace.Header.Callers[event.Class].PatienceMillis; patience > 0 {
		sim.after(time.Duration(patience)*time.Millisecond, func(now time.Time) { sim.loseCaller(now, j) })
	}
	shard.policy.Submit(now, j.request)
	sim.settle(now, shard)
}

// prefixOf returns the hashes of a prompt's shared document.
func prefixOf(event *Event) []uint64 {
	if event.Document == "" {
		return nil
	}
	parts := event.DocumentTokens / prefix.TokensPerPart
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

// sendOutside sends a request to the engine with the fewest requests, as
// another router would.
func (sim *simulation) sendOutside(now time.Time, j *job) {
	var best *simulatedEngine
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
	sim.submit(now, j, best)
}

func (e *simulatedEngine) outsideLoad() int {
	load := e.model.Load()
	return load.Running + load.Waiting
}

// settle carries out what a policy decided and sets its timer.
func (sim *simulation) settle(now time.Time, s *simulatedShard) {
	for {
		decisions := slices.Clone(s.policy.TakeDecisions())
		if len(decisions) == 0 {
			break
		}
		for i := range decisions {
			sim.decide(now, s, &decisions[i])
		}
	}
	next := s.policy.NextTick(now)
	if s.due.After(now) && !next.Before(s.due) {
		return
	}
	sim.wake(&s.due, next, func(now time.Time) {
		s.policy.Tick(now)
		sim.settle(now, s)
	})
}

// wake runs a function at a time, unless due has been set to another time by then.
func (sim *simulation) wake(due *time.Time, at time.Time, run func(now time.Time)) {
	*due = at
	sim.at(at, func(now time.Time) {
		if due.Equal(now) {
			*due = time.Time{}
			run(now)
		}
	})
}

func (sim *simulation) decide(now time.Time, s *simulatedShard, d *admission.Decision) {
	j := sim.jobs[d.ID]
	sim.checkDecision(now, s, j, d)
	switch d.Kind {
	case admission.Grant:
		sim.granted(now, j, sim.engines[d.Endpoint])
	case admission.Refuse:
		j.lifecycle.Refuse(request.Reason(d.Reason))
		sim.checkRefusal(j)
		j.state, j.reason, j.ended = stateRefused, d.Reason, now
		sim.maybeReturn(j, d.RetryAfter)
	case admission.Preempt:
		sim.preempt(now, j)
	}
}

func (sim *simulation) granted(now time.Time, j *job, e *simulatedEngine) {
	if j.lifecycle.Apply(request.EventGranted, request.Facts{}) != request.ActSend {
		sim.violate(AtMostOnce, j.id+" was granted and may not be sent")
	}
	j.state = stateSent
	j.endpoint = e
	j.attempt++
	j.base = j.tokens
	j.reported = 0
	if j.granted.IsZero() {
		j.granted = now
	}
	attempt := j.attempt
	j.shard.policy.RecordStart(now, j.id)
	sim.after(networkDelay, func(now time.Time) {
		if j.attempt != attempt || j.state != stateSent {
			return
		}
		if e.crashed {
			sim.after(dialRefused, func(now time.Time) { sim.attemptFailed(now, j, attempt, request.EventDialFailed) })
			return
		}
		j.lifecycle.Apply(request.EventSent, request.Facts{})
		sim.submit(now, j, e)
		sim.watchStall(now, j, attempt)
	})
}

// submit starts a request at an engine.
func (sim *simulation) submit(now time.Time, j *job, e *simulatedEngine) {
	j.executions++
	j.lastToken = now
	e.model.Submit(now, emulator.Request{
		ID: j.id, Priority: j.policy.Tier, PromptTokens: j.event.Prompt, AnswerTokens: j.event.Answer,
		Prefix: j.request.Prefix, PartialTokens: j.base,
	})
	sim.schedule(e)
}

// schedule sets a timer for the engine's next step.
func (sim *simulation) schedule(e *simulatedEngine) {
	next, ok := e.model.Next()
	if !ok || next.Equal(e.stepDue) {
		return
	}
	sim.wake(&e.stepDue, next, func(now time.Time) {
		for _, event := range slices.Clone(e.model.Step(now)) {
			sim.engineEvent(now, e, event)
		}
		sim.schedule(e)
	})
}

func (sim *simulation) engineEvent(now time.Time, e *simulatedEngine, event emulator.Event) {
	sim.countToken(now)
	j := sim.jobs[event.ID]
	if j.state != stateSent || j.endpoint != e || event.Kind == emulator.Recompute {
		return
	}
	j.lastToken = now
	j.tokens = event.Tokens
	if j.firstToken.IsZero() {
		j.firstToken = now
		j.lifecycle.Apply(request.EventDelivered, request.Facts{})
	}
	policy := j.shard.policy
	if event.Kind == emulator.Last {
		j.state, j.ended = stateAnswered, now
		if !j.event.Outside {
			policy.RecordEnd(now, j.id, admission.Answered, j.tokens-j.base)
			sim.settle(now, j.shard)
		}
		return
	}
	if j.event.Outside {
		return
	}
	switch {
	case j.reported == 0:
		policy.RecordFirstToken(now, j.id)
		j.reported = 1
		sim.settle(now, j.shard)
	case j.tokens-j.base-j.reported >= progressBy:
		j.reported = j.tokens - j.base
		policy.RecordProgress(now, j.id, j.reported)
		sim.settle(now, j.shard)
	}
}

func (sim *simulation) countToken(now time.Time) {
	if from, to := sim.window(); !now.Before(from) && now.Before(to) {
		sim.generated += 1 / math.Max(to.Sub(from).Seconds(), 1)
	}
}

// watchStall fails an attempt whose engine sends nothing for long.
func (sim *simulation) watchStall(now time.Time, j *job, attempt int) {
	sim.at(now.Add(stalledAfter), func(now time.Time) {
		if j.attempt != attempt || j.state != stateSent {
			return
		}
		if now.Sub(j.lastToken) < stalledAfter {
			sim.watchStall(j.lastToken, j, attempt)
			return
		}
		j.endpoint.model.Cancel(j.id)
		sim.attemptFailed(now, j, attempt, request.EventBroken)
	})
}

// attemptFailed ends an attempt that broke, and tries again where the rules
// allow it. All engines of a replay can continue from a part of an answer.
func (sim *simulation) attemptFailed(now time.Time, j *job, attempt int, event request.Event) {
	if j.attempt != attempt || j.state != stateSent {
		return
	}
	j.request.Avoid = append(j.request.Avoid, j.endpoint.id)
	sim.endAttempt(now, j, admission.Failed)
	if j.lifecycle.Apply(event, request.Facts{CanContinue: true, BudgetLeft: true}) != request.ActAsk {
		sim.checkRefusal(j)
		j.state, j.ended = stateFailed, now
		j.wasted += j.tokens
		return
	}
	sim.resubmit(j)
}

func (sim *simulation) endAttempt(now time.Time, j *job, result admission.Result) {
	j.endpoint.lost++
	j.state = stateWaiting
	j.endpoint = nil
	j.attempt++
	j.shard.policy.RecordEnd(now, j.id, result, j.tokens-j.base)
	sim.settle(now, j.shard)
}

func (sim *simulation) resubmit(j *job) {
	j.request.Retry = true
	sim.after(owner.RetryDelay(j.lifecycle.Tries(), sim.random.Float64()), func(now time.Time) {
		if j.state != stateWaiting {
			return
		}
		j.shard.policy.Submit(now, j.request)
		sim.settle(now, j.shard)
	})
}

// preempt removes a request from its engine.
func (sim *simulation) preempt(now time.Time, j *job) {
	if j.state != stateSent || j.tokens > j.base {
		return
	}
	if j.lifecycle.Apply(request.EventPreempted, request.Facts{CanContinue: true}) != request.ActAsk {
		return
	}
	j.endpoint.model.Cancel(j.id)
	j.wastedPrefill += j.event.Prompt
	sim.endAttempt(now, j, admission.Preempted)
	sim.resubmit(j)
}

// loseCaller ends a request whose caller waited too long for the first token.
func (sim *simulation) loseCaller(now time.Time, j *job) {
	if !j.firstToken.IsZero() || (j.state != stateWaiting && j.state != stateSent) {
		return
	}
	if j.endpoint != nil {
		j.endpoint.model.Cancel(j.id)
		j.wastedPrefill += j.event.Prompt
	}
	j.state, j.ended = stateGone, now
	j.attempt++
	j.endpoint = nil
	j.shard.policy.Withdraw(now, j.id)
	sim.settle(now, j.shard)
	sim.maybeReturn(j, 0)
}

// maybeReturn lets a caller come back with a new request.
func (sim *simulation) maybeReturn(j *job, after time.Duration) {
	if j.returns >= sim.trace.Header.Callers[j.event.Class].Retries {
		return
	}
	sim.after(after, func(now time.Time) {
		sim.arrive(now, j.event, fmt.Sprintf("%s-%d", j.id, j.returns+1), j.returns+1)
	})
}

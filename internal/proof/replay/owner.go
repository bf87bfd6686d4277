package replay

import (
	"fmt"
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/prefix"
	"oxbowslip.dev/oxbowslip/internal/proof/emulator"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// arrive begins a request.
func (w *world) arrive(now time.Time, event *Event, id string, returns int) {
	policy, ok := w.trace.Header.Settings.Effective(event.Workspace, event.Class)
	shard := w.shards[event.Model]
	if !ok || shard == nil {
		w.violate("trace", "unknown class or model in "+id)
		return
	}
	j := &job{id: id, event: event, policy: policy, shard: shard, arrived: now, returns: returns}
	j.life = request.NewLifecycle(request.Rules{Repeatable: policy.Repeatable, MaxTries: policy.MaxTries})
	j.request = admission.Request{
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

func (w *world) decide(now time.Time, s *shardWorld, d *admission.Decision) {
	j := w.jobs[d.ID]
	w.checkDecision(now, s, j, d)
	switch d.Kind {
	case admission.Grant:
		w.granted(now, j, w.engines[d.Endpoint])
	case admission.Refuse:
		j.life.Refuse(request.Reason(d.Reason))
		w.checkRefusal(j)
		j.state, j.reason, j.ended = stateRefused, d.Reason, now
		w.maybeReturn(j, d.RetryAfter)
	case admission.Preempt:
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
	j.reported = 0
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
	j.lastToken = now
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
	j.lastToken = now
	j.tokens = event.Tokens
	if j.firstToken.IsZero() {
		j.firstToken = now
		j.life.Apply(request.EventDelivered, request.Facts{})
	}
	policy := j.shard.policy
	if event.Kind == emulator.Last {
		j.state, j.ended = stateAnswered, now
		if !j.event.Outside {
			policy.Finished(now, j.id, admission.Answered, j.tokens-j.base)
			w.settle(now, j.shard)
		}
		return
	}
	if j.event.Outside {
		return
	}
	switch {
	case j.reported == 0:
		policy.FirstToken(now, j.id)
		j.reported = 1
		w.settle(now, j.shard)
	case j.tokens-j.base-j.reported >= progressBy:
		j.reported = j.tokens - j.base
		policy.Progress(now, j.id, j.reported)
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
		if now.Sub(j.lastToken) < stalledAfter {
			w.watchStall(j.lastToken, j, attempt)
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
	w.endAttempt(now, j, admission.Failed)
	if j.life.Apply(event, request.Facts{CanContinue: true, BudgetLeft: true}) != request.ActAsk {
		w.checkRefusal(j)
		j.state, j.ended = stateFailed, now
		j.wasted += j.tokens
		return
	}
	w.resubmit(j)
}

func (w *world) endAttempt(now time.Time, j *job, result admission.Result) {
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

// preempt removes a request from its engine.
func (w *world) preempt(now time.Time, j *job) {
	if j.state != stateSent || j.tokens > j.base {
		return
	}
	if j.life.Apply(request.EventPreempted, request.Facts{CanContinue: true}) != request.ActAsk {
		return
	}
	j.endpoint.model.Cancel(j.id)
	j.wastedRead += j.event.Prompt
	w.endAttempt(now, j, admission.Preempted)
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

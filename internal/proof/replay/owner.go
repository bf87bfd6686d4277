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

// startRequest creates a request and submits it to its shard's policy, or to an engine if it bypasses the router.
// callerRetries is the number of earlier requests of the same call.
func (sim *simulation) startRequest(now time.Time, event *Event, id string, callerRetries int) {
	policy, ok := sim.trace.Header.Settings.Effective(event.Workspace, event.Class)
	shard := sim.shards[event.Model]
	if !ok || shard == nil {
		sim.recordViolation("trace", "unknown class or model in "+id)
		return
	}
	j := &job{id: id, event: event, policy: policy, shard: shard, arrivedAt: now, callerRetries: callerRetries}
	j.lifecycle = request.NewLifecycle(request.Rules{Repeatable: policy.Repeatable, MaxTries: policy.MaxTries})
	j.request = admission.Request{
		ID: id, Owner: "replay", Workspace: event.Workspace, Class: event.Class, Tier: policy.Tier, Arrived: now,
		FirstToken: policy.FirstToken, BetweenTokens: policy.BetweenTokens, WholeAnswer: policy.WholeAnswer,
		RefuseLate: policy.WhenLate == settings.LateRefuse, MaxWait: policy.MaxWait, Repeatable: policy.Repeatable,
		Share: policy.Share, Weight: policy.Weight, MaxInFlight: policy.MaxInFlight, MaxWaiting: policy.MaxWaiting,
		TokensPerMinute: policy.TokensPerMinute, PromptTokens: event.Prompt, MaxTokens: policy.MaxAnswerTokens,
		Prefix: prefixHashes(event),
	}
	sim.jobs[id] = j
	sim.jobList = append(sim.jobList, j)
	if event.Outside {
		sim.sendOutside(now, j)
		return
	}
	if patience := sim.trace.Header.Callers[event.Class].PatienceMillis; patience > 0 {
		sim.after(time.Duration(patience)*time.Millisecond, func(now time.Time) { sim.handleCallerTimeout(now, j) })
	}
	shard.policy.Submit(now, j.request)
	sim.applyDecisions(now, shard)
}

// prefixHashes returns the prefix hashes of the document that a prompt begins with. They are computed
// with the FNV-1a constants from the workspace, the document's name and the numbers of the parts up to each one.
func prefixHashes(event *Event) []uint64 {
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

// sendOutside sends a request that bypasses the router to the engine with the fewest requests, as another
// router would.
func (sim *simulation) sendOutside(now time.Time, j *job) {
	var best *simulatedEngine
	for _, e := range j.shard.engines {
		if e.crashed || e.out {
			continue
		}
		if best == nil || e.numRequests() < best.numRequests() {
			best = e
		}
	}
	if best == nil {
		j.state = stateFailed
		return
	}
	j.state = stateSent
	j.endpoint = best
	sim.submitToEngine(now, j, best)
}

// numRequests returns the number of requests that run or wait at an engine.
func (e *simulatedEngine) numRequests() int {
	load := e.model.Load()
	return load.Running + load.Waiting
}

// applyDecisions applies a policy's pending decisions and schedules its next tick.
func (sim *simulation) applyDecisions(now time.Time, s *simulatedShard) {
	for {
		decisions := slices.Clone(s.policy.TakeDecisions())
		if len(decisions) == 0 {
			break
		}
		for i := range decisions {
			sim.applyDecision(now, s, &decisions[i])
		}
	}
	next := s.policy.NextTick(now)
	if s.tickDue.After(now) && !next.Before(s.tickDue) {
		return
	}
	sim.scheduleAt(&s.tickDue, next, func(now time.Time) {
		s.policy.Tick(now)
		sim.applyDecisions(now, s)
	})
}

// scheduleAt runs a function at a given time, unless due has been changed since. It sets due to that time and
// clears it before the call.
func (sim *simulation) scheduleAt(due *time.Time, at time.Time, run func(now time.Time)) {
	*due = at
	sim.at(at, func(now time.Time) {
		if due.Equal(now) {
			*due = time.Time{}
			run(now)
		}
	})
}

// applyDecision checks one decision of a policy and carries it out.
func (sim *simulation) applyDecision(now time.Time, s *simulatedShard, d *admission.Decision) {
	j := sim.jobs[d.ID]
	sim.checkDecision(now, s, j, d)
	switch d.Kind {
	case admission.Grant:
		sim.startAttempt(now, j, sim.engines[d.Endpoint])
	case admission.Refuse:
		j.lifecycle.Refuse(request.Reason(d.Reason))
		sim.checkNotRun(j)
		j.state, j.reason, j.endedAt = stateRefused, d.Reason, now
		sim.scheduleCallerRetry(j, d.RetryAfter)
	case admission.Preempt:
		sim.preempt(now, j)
	}
}

// startAttempt sends a granted request to its engine after the network delay. If the engine has crashed, the
// attempt fails as a refused connection.
func (sim *simulation) startAttempt(now time.Time, j *job, e *simulatedEngine) {
	if j.lifecycle.Apply(request.EventGranted, request.Facts{}) != request.ActSend {
		sim.recordViolation(AtMostOnce, j.id+" was granted and may not be sent")
	}
	j.state = stateSent
	j.endpoint = e
	j.attempt++
	j.continuedFrom = j.tokens
	j.reportedTokens = 0
	if j.grantedAt.IsZero() {
		j.grantedAt = now
	}
	attempt := j.attempt
	j.shard.policy.RecordStart(now, j.id)
	sim.after(networkDelay, func(now time.Time) {
		if j.attempt != attempt || j.state != stateSent {
			return
		}
		if e.crashed {
			sim.after(dialRefusedDelay, func(now time.Time) { sim.failAttempt(now, j, attempt, request.EventDialFailed) })
			return
		}
		j.lifecycle.Apply(request.EventSent, request.Facts{})
		sim.submitToEngine(now, j, e)
		sim.watchStall(now, j, attempt)
	})
}

// submitToEngine submits a request to an engine's queue.
func (sim *simulation) submitToEngine(now time.Time, j *job, e *simulatedEngine) {
	j.executions++
	j.lastTokenAt = now
	e.model.Submit(now, emulator.Request{
		ID: j.id, Priority: j.policy.Tier, PromptTokens: j.event.Prompt, AnswerTokens: j.event.Answer,
		Prefix: j.request.Prefix, PartialTokens: j.continuedFrom,
	})
	sim.scheduleStep(e)
}

// scheduleStep schedules an engine's next step.
func (sim *simulation) scheduleStep(e *simulatedEngine) {
	next, ok := e.model.Next()
	if !ok || next.Equal(e.stepDue) {
		return
	}
	sim.scheduleAt(&e.stepDue, next, func(now time.Time) {
		for _, event := range slices.Clone(e.model.Step(now)) {
			sim.handleEngineEvent(now, e, event)
		}
		sim.scheduleStep(e)
	})
}

// handleEngineEvent records a generated token and reports the first token, the progress and the end of an
// answer to the policy.
func (sim *simulation) handleEngineEvent(now time.Time, e *simulatedEngine, event emulator.Event) {
	sim.countToken(now)
	j := sim.jobs[event.ID]
	if j.state != stateSent || j.endpoint != e || event.Kind == emulator.Recompute {
		return
	}
	j.lastTokenAt = now
	j.tokens = event.Tokens
	if j.firstTokenAt.IsZero() {
		j.firstTokenAt = now
		j.lifecycle.Apply(request.EventDelivered, request.Facts{})
	}
	policy := j.shard.policy
	if event.Kind == emulator.Last {
		j.state, j.endedAt = stateAnswered, now
		if !j.event.Outside {
			policy.RecordEnd(now, j.id, admission.Answered, j.tokens-j.continuedFrom)
			sim.applyDecisions(now, j.shard)
		}
		return
	}
	if j.event.Outside {
		return
	}
	switch {
	case j.reportedTokens == 0:
		policy.RecordFirstToken(now, j.id)
		j.reportedTokens = 1
		sim.applyDecisions(now, j.shard)
	case j.tokens-j.continuedFrom-j.reportedTokens >= tokensPerProgress:
		j.reportedTokens = j.tokens - j.continuedFrom
		policy.RecordProgress(now, j.id, j.reportedTokens)
		sim.applyDecisions(now, j.shard)
	}
}

// countToken adds a generated token to the rate if it falls into the measured window.
func (sim *simulation) countToken(now time.Time) {
	if from, to := sim.measuredWindow(); !now.Before(from) && now.Before(to) {
		sim.generatedRate += 1 / math.Max(to.Sub(from).Seconds(), 1)
	}
}

// watchStall fails an attempt whose engine generates no token for stallTimeout.
func (sim *simulation) watchStall(now time.Time, j *job, attempt int) {
	sim.at(now.Add(stallTimeout), func(now time.Time) {
		if j.attempt != attempt || j.state != stateSent {
			return
		}
		if now.Sub(j.lastTokenAt) < stallTimeout {
			sim.watchStall(j.lastTokenAt, j, attempt)
			return
		}
		j.endpoint.model.Cancel(j.id)
		sim.failAttempt(now, j, attempt, request.EventBroken)
	})
}

// failAttempt ends an attempt that failed and schedules a retry if the rules allow one. All engines of a
// replay can continue a partial answer.
func (sim *simulation) failAttempt(now time.Time, j *job, attempt int, event request.Event) {
	if j.attempt != attempt || j.state != stateSent {
		return
	}
	j.request.Avoid = append(j.request.Avoid, j.endpoint.id)
	sim.endAttempt(now, j, admission.Failed)
	if j.lifecycle.Apply(event, request.Facts{CanContinue: true, BudgetLeft: true}) != request.ActAsk {
		sim.checkNotRun(j)
		j.state, j.endedAt = stateFailed, now
		j.wastedTokens += j.tokens
		return
	}
	sim.scheduleRetry(j)
}

// endAttempt returns a request to the waiting state and reports the end of its attempt to the policy.
func (sim *simulation) endAttempt(now time.Time, j *job, result admission.Result) {
	j.endpoint.endedAttempts++
	j.state = stateWaiting
	j.endpoint = nil
	j.attempt++
	j.shard.policy.RecordEnd(now, j.id, result, j.tokens-j.continuedFrom)
	sim.applyDecisions(now, j.shard)
}

// scheduleRetry submits a request again after its owner's back-off.
func (sim *simulation) scheduleRetry(j *job) {
	j.request.Retry = true
	sim.after(owner.RetryDelay(j.lifecycle.Tries(), sim.random.Float64()), func(now time.Time) {
		if j.state != stateWaiting {
			return
		}
		j.shard.policy.Submit(now, j.request)
		sim.applyDecisions(now, j.shard)
	})
}

// preempt cancels a request at its engine and schedules a retry. A request that has generated a token in this
// attempt is not preempted.
func (sim *simulation) preempt(now time.Time, j *job) {
	if j.state != stateSent || j.tokens > j.continuedFrom {
		return
	}
	if j.lifecycle.Apply(request.EventPreempted, request.Facts{CanContinue: true}) != request.ActAsk {
		return
	}
	j.endpoint.model.Cancel(j.id)
	j.wastedPromptTokens += j.event.Prompt
	sim.endAttempt(now, j, admission.Preempted)
	sim.scheduleRetry(j)
}

// handleCallerTimeout ends a request whose caller disconnects because the first token has not arrived in time.
func (sim *simulation) handleCallerTimeout(now time.Time, j *job) {
	if !j.firstTokenAt.IsZero() || (j.state != stateWaiting && j.state != stateSent) {
		return
	}
	if j.endpoint != nil {
		j.endpoint.model.Cancel(j.id)
		j.wastedPromptTokens += j.event.Prompt
	}
	j.state, j.endedAt = stateCallerGone, now
	j.attempt++
	j.endpoint = nil
	j.shard.policy.Withdraw(now, j.id)
	sim.applyDecisions(now, j.shard)
	sim.scheduleCallerRetry(j, 0)
}

// scheduleCallerRetry sends a new request for a caller that has retries left, after a delay.
func (sim *simulation) scheduleCallerRetry(j *job, after time.Duration) {
	if j.callerRetries >= sim.trace.Header.Callers[j.event.Class].Retries {
		return
	}
	sim.after(after, func(now time.Time) {
		sim.startRequest(now, j.event, fmt.Sprintf("%s-%d", j.id, j.callerRetries+1), j.callerRetries+1)
	})
}

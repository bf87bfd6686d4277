package replay

import (
	"fmt"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// The names of the invariants, as printed in results.
const (
	NoLowerBeforeShed  = "no-lower-tier-kept-before-a-shed"
	PreemptDownwards   = "preemption-only-downwards"
	AtMostOnce         = "at-most-once"
	LeavingGetsNothing = "leaving-endpoint-gets-no-new-work"
	NotRunIsTrue       = "not-run-is-true"
	WholeAnswers       = "whole-answers-only"
	EveryClassServed   = "every-class-served"
	NothingLeaks       = "no-slot-or-request-leaks"
	EveryRequestEnds   = "every-request-ends"
)

// Invariants lists the invariants that every replay checks.
var Invariants = []string{
	NoLowerBeforeShed, PreemptDownwards, AtMostOnce, LeavingGetsNothing, NotRunIsTrue, WholeAnswers, EveryClassServed,
	NothingLeaks, EveryRequestEnds,
}

func (sim *simulation) recordViolation(invariant, detail string) {
	sim.violations = append(sim.violations, Violation{Invariant: invariant, At: sim.now.Sub(epoch), Detail: detail})
}

// checkDecision checks a policy's decision against the state that the replay keeps of requests and engines.
func (sim *simulation) checkDecision(now time.Time, s *simulatedShard, j *job, d *admission.Decision) {
	switch d.Kind {
	case admission.Grant:
		e := sim.engines[d.Endpoint]
		if e.out {
			sim.recordViolation(LeavingGetsNothing, fmt.Sprintf("%s was granted %s, out since %s", j.id, e.id, now.Sub(e.outSince)))
		}
		if j.executions > 0 && !j.policy.Repeatable {
			sim.recordViolation(AtMostOnce, j.id+" was granted again")
		}
	case admission.Refuse:
		sim.checkShed(s, j, d)
	case admission.Preempt:
		sim.checkPreemption(s, j)
	}
}

// checkNotRun checks that a request reported to its caller as not run was never started at an engine.
func (sim *simulation) checkNotRun(j *job) {
	if j.lifecycle.Ran() == request.RanNo && j.executions > 0 {
		sim.recordViolation(NotRunIsTrue, j.id+" was refused as not run, and ran")
	}
}

// checkShed reports a violation if a request is refused for lack of room while a request of a lower
// tier waits. Retries are left out: one that is in its owner's back-off is not in the scheduler's queue.
func (sim *simulation) checkShed(s *simulatedShard, j *job, d *admission.Decision) {
	if d.Reason != admission.ReasonNoRoom {
		return
	}
	for _, other := range sim.jobList {
		if other.shard == s && other.state == stateWaiting && !other.request.Retry && other != j && other.policy.Tier > j.policy.Tier {
			sim.recordViolation(NoLowerBeforeShed, fmt.Sprintf("%s of tier %d was refused for room while %s of tier %d waited",
				j.id, j.policy.Tier, other.id, other.policy.Tier))
			return
		}
	}
}

// checkPreemption checks that a preempted request is repeatable and that a request of a higher tier waits.
func (sim *simulation) checkPreemption(s *simulatedShard, j *job) {
	if !j.policy.Repeatable {
		sim.recordViolation(PreemptDownwards, j.id+" may not be repeated and was preempted")
	}
	for _, other := range sim.jobList {
		if other.shard == s && other.state == stateWaiting && other.policy.Tier < j.policy.Tier {
			return
		}
	}
	sim.recordViolation(PreemptDownwards, fmt.Sprintf("%s of tier %d was preempted although no request of a higher tier waits", j.id, j.policy.Tier))
}

// checkFinalState checks the invariants that hold for the run as a whole, after the last event.
func (sim *simulation) checkFinalState() {
	served := make(map[string]int)
	sent := make(map[string]int)
	for _, j := range sim.jobList {
		if j.event.Outside {
			continue
		}
		sent[j.event.Class]++
		switch j.state {
		case stateAnswered:
			served[j.event.Class]++
			if j.tokens < j.event.Answer {
				sim.recordViolation(WholeAnswers, fmt.Sprintf("%s ended with %d of %d tokens", j.id, j.tokens, j.event.Answer))
			}
		case stateWaiting, stateSent:
			sim.recordViolation(EveryRequestEnds, j.id+" of "+j.event.Class+" never ended")
		}
		if j.executions > 1 && !j.policy.Repeatable {
			sim.recordViolation(AtMostOnce, fmt.Sprintf("%s ran %d times", j.id, j.executions))
		}
	}
	for class, n := range sent {
		if n > 0 && served[class] == 0 {
			sim.recordViolation(EveryClassServed, fmt.Sprintf("%s: none of %d was answered", class, n))
		}
	}
	for _, s := range sim.shardList() {
		if s.policy.NumWaiting() != 0 || s.policy.NumRunning() != 0 {
			sim.recordViolation(NothingLeaks, fmt.Sprintf("%s: %d waiting and %d running at the end", s.model, s.policy.NumWaiting(), s.policy.NumRunning()))
		}
	}
}

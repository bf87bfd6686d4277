package replay

import (
	"fmt"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// The invariants, named after the promises of the brief.
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

// Invariants lists the checks of every replay.
var Invariants = []string{
	NoLowerBeforeShed, PreemptDownwards, AtMostOnce, LeavingGetsNothing, NotRunIsTrue, WholeAnswers, EveryClassServed,
	NothingLeaks, EveryRequestEnds,
}

func (sim *simulation) violate(invariant, detail string) {
	sim.violations = append(sim.violations, Violation{Invariant: invariant, At: sim.now.Sub(epoch), Detail: detail})
}

// checkDecision checks a decision against the replay's own books.
func (sim *simulation) checkDecision(now time.Time, s *simulatedShard, j *job, d *admission.Decision) {
	switch d.Kind {
	case admission.Grant:
		e := sim.engines[d.Endpoint]
		if e.out {
			sim.violate(LeavingGetsNothing, fmt.Sprintf("%s was granted %s, out since %s", j.id, e.id, now.Sub(e.outAt)))
		}
		if j.executions > 0 && !j.policy.Repeatable {
			sim.violate(AtMostOnce, j.id+" was granted again")
		}
	case admission.Refuse:
		sim.checkShed(s, j, d)
	case admission.Preempt:
		sim.checkPreempt(s, j)
	}
}

// checkRefusal compares what a caller is told with what the engines did.
func (sim *simulation) checkRefusal(j *job) {
	if j.lifecycle.Ran() == request.RanNo && j.executions > 0 {
		sim.violate(NotRunIsTrue, j.id+" was refused as not run, and ran")
	}
}

// checkShed finds requests of lower tiers that wait while a higher one is
// refused for want of room. One that was granted before and comes back is left
// out: it may be in its owner's pause, where the scheduler does not hold it.
func (sim *simulation) checkShed(s *simulatedShard, j *job, d *admission.Decision) {
	if d.Reason != admission.ReasonNoRoom {
		return
	}
	for _, other := range sim.order {
		if other.shard == s && other.state == stateWaiting && !other.request.Retry && other != j && other.policy.Tier > j.policy.Tier {
			sim.violate(NoLowerBeforeShed, fmt.Sprintf("%s of tier %d was refused for room while %s of tier %d waited",
				j.id, j.policy.Tier, other.id, other.policy.Tier))
			return
		}
	}
}

func (sim *simulation) checkPreempt(s *simulatedShard, j *job) {
	if !j.policy.Repeatable {
		sim.violate(PreemptDownwards, j.id+" may not be repeated and was preempted")
	}
	for _, other := range sim.order {
		if other.shard == s && other.state == stateWaiting && other.policy.Tier < j.policy.Tier {
			return
		}
	}
	sim.violate(PreemptDownwards, fmt.Sprintf("%s of tier %d was preempted for nobody above", j.id, j.policy.Tier))
}

// checkEnd checks what must hold when all is over.
func (sim *simulation) checkEnd() {
	served := make(map[string]int)
	sent := make(map[string]int)
	for _, j := range sim.order {
		if j.event.Outside {
			continue
		}
		sent[j.event.Class]++
		switch j.state {
		case stateAnswered:
			served[j.event.Class]++
			if j.tokens < j.event.Answer {
				sim.violate(WholeAnswers, fmt.Sprintf("%s ended with %d of %d tokens", j.id, j.tokens, j.event.Answer))
			}
		case stateWaiting, stateSent:
			sim.violate(EveryRequestEnds, j.id+" of "+j.event.Class+" never ended")
		}
		if j.executions > 1 && !j.policy.Repeatable {
			sim.violate(AtMostOnce, fmt.Sprintf("%s ran %d times", j.id, j.executions))
		}
	}
	for class, n := range sent {
		if n > 0 && served[class] == 0 {
			sim.violate(EveryClassServed, fmt.Sprintf("%s: none of %d was answered", class, n))
		}
	}
	for _, s := range sim.shardList() {
		if s.policy.NumWaiting() != 0 || s.policy.NumRunning() != 0 {
			sim.violate(NothingLeaks, fmt.Sprintf("%s: %d waiting and %d running at the end", s.model, s.policy.NumWaiting(), s.policy.NumRunning()))
		}
	}
}

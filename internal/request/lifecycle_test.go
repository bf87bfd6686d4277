package request

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var canRetry = Facts{BudgetLeft: true}

func TestLifecycle(t *testing.T) {
	type step struct {
		event Event
		facts Facts
		want  Action
	}
	tests := map[string]struct {
		rules   Rules
		steps   []step
		outcome Outcome
		reason  Reason
		ran     Ran
	}{
		"answered": {
			rules: Rules{MaxTries: 3},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventSent, canRetry, ActNothing},
				{EventWhole, canRetry, ActFinish},
			},
			outcome: OutcomeAnswered,
			ran:     RanUnknown,
		},
		"a dial that fails sends nothing and is tried again": {
			rules: Rules{MaxTries: 2},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventDialFailed, canRetry, ActAsk},
				{EventGranted, canRetry, ActSend},
				{EventDialFailed, canRetry, ActFinish},
			},
			outcome: OutcomeRefused,
			reason:  ReasonEndpointFailed,
			ran:     RanNo,
		},
		"one that is withheld at the last moment was not tried": {
			rules: Rules{MaxTries: 1},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventWithheld, Facts{}, ActAsk},
				{EventGranted, canRetry, ActSend},
				{EventWithheld, Facts{Expired: true}, ActFinish},
			},
			outcome: OutcomeRefused,
			reason:  ReasonNoEndpoint,
			ran:     RanNo,
		},
		"not repeatable: a broken answer is not tried again": {
			rules: Rules{MaxTries: 3},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventSent, canRetry, ActNothing},
				{EventBroken, canRetry, ActFinish},
			},
			outcome: OutcomeRefused,
			reason:  ReasonEndpointFailed,
			ran:     RanUnknown,
		},
		"not repeatable: not started is said to the caller": {
			rules: Rules{MaxTries: 3},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventSent, canRetry, ActNothing},
				{EventNotStarted, canRetry, ActFinish},
			},
			outcome: OutcomeRefused,
			reason:  ReasonNotStarted,
			ran:     RanNo,
		},
		"not repeatable: a stream is taken up at its engine": {
			rules: Rules{MaxTries: 3, MaxResumes: 1},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventSent, canRetry, ActNothing},
				{EventDelivered, canRetry, ActNothing},
				{EventBroken, Facts{CanResume: true}, ActResume},
				{EventBroken, Facts{CanResume: true}, ActFinish},
			},
			outcome: OutcomeBroken,
			reason:  ReasonAnswerBroken,
			ran:     RanUnknown,
		},
		"repeatable: broken before the first part, answered elsewhere": {
			rules: Rules{Repeatable: true, MaxTries: 3},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventSent, canRetry, ActNothing},
				{EventBroken, canRetry, ActAsk},
				{EventGranted, canRetry, ActSend},
				{EventSent, canRetry, ActNothing},
				{EventWhole, canRetry, ActFinish},
			},
			outcome: OutcomeAnswered,
			ran:     RanUnknown,
		},
		"repeatable: broken after a part, and no engine can continue": {
			rules: Rules{Repeatable: true, MaxTries: 3},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventSent, canRetry, ActNothing},
				{EventDelivered, canRetry, ActNothing},
				{EventBroken, canRetry, ActFinish},
			},
			outcome: OutcomeBroken,
			reason:  ReasonAnswerBroken,
			ran:     RanUnknown,
		},
		"repeatable: broken after a part, continued": {
			rules: Rules{Repeatable: true, MaxTries: 3},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventSent, canRetry, ActNothing},
				{EventDelivered, canRetry, ActNothing},
				{EventBroken, Facts{BudgetLeft: true, CanContinue: true}, ActAsk},
				{EventGranted, canRetry, ActSend},
				{EventWhole, canRetry, ActFinish},
			},
			outcome: OutcomeAnswered,
			ran:     RanUnknown,
		},
		"a void grant needs no budget": {
			rules: Rules{MaxTries: 1},
			steps: []step{
				{EventGrantVoid, Facts{}, ActAsk},
				{EventGrantVoid, Facts{}, ActAsk},
				{EventGranted, Facts{}, ActSend},
				{EventSent, Facts{}, ActNothing},
				{EventWhole, Facts{}, ActFinish},
			},
			outcome: OutcomeAnswered,
			ran:     RanUnknown,
		},
		"the retry budget is used up": {
			rules: Rules{Repeatable: true, MaxTries: 3},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventDialFailed, Facts{}, ActFinish},
			},
			outcome: OutcomeRefused,
			reason:  ReasonRetryBudget,
			ran:     RanNo,
		},
		"a later attempt that was not started does not make an earlier one undone": {
			rules: Rules{Repeatable: true, MaxTries: 2},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventSent, canRetry, ActNothing},
				{EventBroken, canRetry, ActAsk},
				{EventGranted, canRetry, ActSend},
				{EventSent, canRetry, ActNothing},
				{EventNotStarted, canRetry, ActFinish},
			},
			outcome: OutcomeRefused,
			reason:  ReasonNotStarted,
			ran:     RanUnknown,
		},
		"preempted work goes back into the queue": {
			rules: Rules{Repeatable: true, MaxTries: 1},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventSent, canRetry, ActNothing},
				{EventPreempted, canRetry, ActAsk},
				{EventGranted, canRetry, ActSend},
				{EventWhole, canRetry, ActFinish},
			},
			outcome: OutcomeAnswered,
			ran:     RanUnknown,
		},
		"work that may not be repeated is not preempted": {
			rules: Rules{MaxTries: 1},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventSent, canRetry, ActNothing},
				{EventPreempted, canRetry, ActNothing},
				{EventWhole, canRetry, ActFinish},
			},
			outcome: OutcomeAnswered,
			ran:     RanUnknown,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			life := NewLifecycle(test.rules)
			for i, s := range test.steps {
				c.Assert(life.Apply(s.event, s.facts), qt.Equals, s.want, qt.Commentf("step %d", i))
			}
			c.Assert(life.Outcome(), qt.Equals, test.outcome)
			c.Assert(life.Reason(), qt.Equals, test.reason)
			c.Assert(life.Ran(), qt.Equals, test.ran)
		})
	}
}

// endpointState is an endpoint's view of one request: what it really did. The property
// test compares it with what the lifecycle reported to the caller.
type endpointState struct {
	executions int
	maybeRan   bool
	// sent reports that the attempt under way has reached its endpoint.
	sent  bool
	whole bool
}

// TestLifeKeepsPromises drives a life through random interleavings of events
// and checks the promises against what the endpoints really did.
func TestLifeKeepsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := Rules{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			MaxTries:   rapid.IntRange(1, 4).Draw(t, "tries"),
			MaxResumes: rapid.IntRange(0, 2).Draw(t, "resumes"),
		}
		life := NewLifecycle(rules)
		var w endpointState
		action := ActAsk
		for range 60 {
			if action == ActFinish {
				break
			}
			event := rapid.SampledFrom(w.possible(action)).Draw(t, "event")
			w.apply(event)
			facts := Facts{
				CanResume:   rapid.Bool().Draw(t, "resume"),
				CanContinue: rapid.Bool().Draw(t, "continue"),
				Expired:     rapid.IntRange(0, 5).Draw(t, "expired") == 0,
				BudgetLeft:  rapid.IntRange(0, 5).Draw(t, "budget") > 0,
			}
			if next := life.Apply(event, facts); next != ActNothing {
				action = next
			}
			checkPromises(t, rules, life, &w)
		}
	})
}

// possible lists the events that can come while an action is under way.
func (w *endpointState) possible(action Action) []Event {
	switch {
	case action == ActAsk:
		return []Event{EventCallerGone, EventGranted, EventGranted, EventGranted}
	case action == ActSend && !w.sent:
		return []Event{EventGrantVoid, EventWithheld, EventDialFailed, EventSent, EventSent, EventCallerGone}
	default:
		return []Event{
			EventNotStarted, EventDelivered, EventDelivered, EventBroken, EventBroken,
			EventWrongAnswer, EventWhole, EventPreempted, EventCallerGone,
		}
	}
}

// apply makes an event true. A broken attempt may or may not have run; the
// worst is taken, that it did.
func (w *endpointState) apply(event Event) {
	switch event {
	case EventGranted:
		w.sent = false
	case EventSent:
		w.sent = true
		w.executions++
	case EventNotStarted:
		w.executions--
	case EventWhole:
		w.whole = true
	}
	w.maybeRan = w.executions > 0
}

func checkPromises(t *rapid.T, rules Rules, life *Lifecycle, w *endpointState) {
	if !rules.Repeatable && w.executions > 1 {
		t.Fatalf("a request that may not be repeated ran %d times", w.executions)
	}
	if life.Outcome() == OutcomeAnswered && !w.whole {
		t.Fatalf("a part was passed off as a whole answer")
	}
	if life.Outcome() != OutcomeOpen && life.Ran() == RanNo && w.maybeRan {
		t.Fatalf("said that the request did not run after a byte was sent")
	}
}

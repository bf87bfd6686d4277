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
		"a failed dial is retried": {
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
		"a withheld request does not count as tried": {
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
		"not repeatable: a broken answer is not retried": {
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
		"not repeatable: an attempt that was not started is reported to the caller": {
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
		"not repeatable: a stream is resumed at its engine": {
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
		"repeatable: broken before the first part, answered by another endpoint": {
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
		"a void grant does not spend the retry budget": {
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
		"a failed dial needs no retry budget": {
			rules: Rules{Repeatable: true, MaxTries: 3, MaxDials: 2},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventDialFailed, Facts{}, ActAsk},
				{EventGranted, Facts{}, ActSend},
				{EventSent, Facts{}, ActNothing},
				{EventWhole, Facts{}, ActFinish},
			},
			outcome: OutcomeAnswered,
			ran:     RanUnknown,
		},
		"exhausted retry budget": {
			rules: Rules{Repeatable: true, MaxTries: 3, ResendNotStarted: true},
			steps: []step{
				{EventGranted, canRetry, ActSend},
				{EventSent, Facts{}, ActNothing},
				{EventNotStarted, Facts{}, ActFinish},
			},
			outcome: OutcomeRefused,
			reason:  ReasonRetryBudget,
			ran:     RanNo,
		},
		"an unstarted attempt after a broken one leaves the request possibly run": {
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
		"a preempted request asks again": {
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
		"a request that may not be repeated is not preempted": {
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
			lifecycle := NewLifecycle(test.rules)
			for i, s := range test.steps {
				c.Assert(lifecycle.Apply(s.event, s.facts), qt.Equals, s.want, qt.Commentf("step %d", i))
			}
			c.Assert(lifecycle.Outcome(), qt.Equals, test.outcome)
			c.Assert(lifecycle.Reason(), qt.Equals, test.reason)
			c.Assert(lifecycle.Ran(), qt.Equals, test.ran)
		})
	}
}

// endpointState is the true state of a request at its endpoints. The property test compares it with what the lifecycle
// reports to the caller.
type endpointState struct {
	executions int
	maybeRan   bool
	// sent is set if the current attempt has reached its endpoint.
	sent  bool
	whole bool
}

// TestLifeKeepsPromises applies random sequences of events to a lifecycle and checks its guarantees against the true
// state of the endpoints.
func TestLifeKeepsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := Rules{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			MaxTries:   rapid.IntRange(1, 4).Draw(t, "tries"),
			MaxResumes: rapid.IntRange(0, 2).Draw(t, "resumes"),
		}
		lifecycle := NewLifecycle(rules)
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
			if next := lifecycle.Apply(event, facts); next != ActNothing {
				action = next
			}
			checkPromises(t, rules, lifecycle, &w)
		}
	})
}

// possible returns the events that can occur during an action.
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

// apply updates the true state. A broken attempt is assumed to have run, which is the worst case.
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

func checkPromises(t *rapid.T, rules Rules, lifecycle *Lifecycle, w *endpointState) {
	if !rules.Repeatable && w.executions > 1 {
		t.Fatalf("a request that may not be repeated ran %d times", w.executions)
	}
	if lifecycle.Outcome() == OutcomeAnswered && !w.whole {
		t.Fatalf("an incomplete answer was reported as complete")
	}
	if lifecycle.Outcome() != OutcomeOpen && lifecycle.Ran() == RanNo && w.maybeRan {
		t.Fatalf("reported that the request did not run, but an endpoint may have run it")
	}
}

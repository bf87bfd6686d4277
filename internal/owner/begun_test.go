package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// laterBudget allows retries from a time on.
type laterBudget struct {
	unlimitedBudget
	from time.Time
}

func (b laterBudget) Reserve(string, string, bool) bool { return !time.Now().Before(b.from) }

// TestStreamThatHasBegunIsNotGivenUpEarly has endpoints break a stream, while the retry budget is used up for a time.
func TestStreamThatHasBegunIsNotGivenUpEarly(t *testing.T) {
	tests := map[string]struct {
		takenUp bool
		// breaks is the number of endpoints that break the stream, each of which has ended if ends is set.
		breaks int
		ends   bool
		// budgetAfter is when the budget allows retries.
		budgetAfter time.Duration
		reason      request.Reason
	}{
		"new, no budget":                                {breaks: 1, budgetAfter: time.Second, reason: request.ReasonRetryBudget},
		"taken up, no budget":                           {takenUp: true, breaks: 1, budgetAfter: time.Second},
		"taken up, no budget within half of its time":   {takenUp: true, breaks: 1, budgetAfter: 5 * time.Second, reason: request.ReasonRetryBudget},
		"new, three endpoints end":                      {breaks: 3, ends: true, reason: request.ReasonEndpointFailed},
		"taken up, three endpoints end":                 {takenUp: true, breaks: 3, ends: true},
		"taken up, three endpoints break it and go on":  {takenUp: true, breaks: 3, reason: request.ReasonEndpointFailed},
		"taken up, more endpoints end than are allowed": {takenUp: true, breaks: 9, ends: true, reason: request.ReasonEndpointFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				o := New(Parts{
					Admitter: firstAvailable{"1", "2", "3", "4", "5", "6", "7", "8", "9", "10"}, Budget: laterBudget{from: started.Add(test.budgetAfter)},
					Counters: counters.New(), Explained: explain.New(), Clock: time.Now, Random: func() float64 { return 0.5 },
					Endpoints: func(string) (settings.Endpoint, bool) { return settings.Endpoint{}, true },
				})
				sends := 0
				end := o.Run(context.Background(), &Job{
					Request: admission.Request{HasBegun: test.takenUp}, Rules: request.Rules{Repeatable: true, MaxTries: 2, MaxEnded: 3}, Deadline: started.Add(8 * time.Second),
					Attempt: func(_ context.Context, a *Attempt) Result {
						a.RecordSend()
						if sends++; sends <= test.breaks {
							return Result{Event: request.EventBroken, EndpointEnded: test.ends}
						}
						return Result{Event: request.EventWhole}
					},
				})
				if test.reason == "" {
					qt.Check(t, end.Outcome, qt.Equals, request.OutcomeAnswered)
					return
				}
				qt.Assert(t, end.Refusal, qt.IsNotNil)
				qt.Check(t, end.Refusal.Reason, qt.Equals, test.reason)
				qt.Check(t, time.Since(started) < 5*time.Second, qt.IsTrue)
			})
		})
	}
}

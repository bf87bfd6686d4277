package owner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/httphead"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// firstAvailable grants the first endpoint that a request does not avoid.
type firstAvailable []string

func (f firstAvailable) Ask(_ context.Context, _ string, r admission.Request) (Ticket, admission.Decision, error) {
	for _, id := range f {
		avoided := false
		for _, a := range slices.Concat(r.Avoid, r.Excluded) {
			avoided = avoided || a == id
		}
		if !avoided {
			return ticket{}, admission.Decision{
				Kind: admission.Grant, Endpoint: id, RetryAfter: grantedRetryAfter, Until: time.Now().Add(time.Hour),
			}, nil
		}
	}
	return nil, admission.Decision{Kind: admission.Refuse, Reason: admission.ReasonNoEndpoint}, nil
}

type ticket struct{}

func (ticket) Preempted() <-chan struct{}     { return nil }
func (ticket) MaySend() bool                  { return true }
func (ticket) Started()                       {}
func (ticket) FirstToken()                    {}
func (ticket) Progress(int)                   {}
func (ticket) Finished(admission.Result, int) {}

type unlimitedBudget struct{}

func (unlimitedBudget) RecordFirstTry(string, float64)    {}
func (unlimitedBudget) Reserve(string, string, bool) bool { return true }
func (unlimitedBudget) Release(string)                    {}
func (unlimitedBudget) Settle(string)                     {}
func (unlimitedBudget) Leave(string, int, []request.Send) {}
func (unlimitedBudget) RecordAnswer(string, request.Send) {}

// TestRejectionPassesOnRetryAfterOfGrant has the only endpoint reject a request: its caller receives the Retry-After of
// the grant.
func TestRejectionPassesOnRetryAfterOfGrant(t *testing.T) {
	c := qt.New(t)
	o := New(Parts{
		Admitter: firstAvailable{"e1"}, Budget: unlimitedBudget{}, Counters: counters.New(), Explained: explain.New(),
		Clock: time.Now, Random: func() float64 { return 0 },
		Endpoints: func(string) (settings.Endpoint, bool) { return settings.Endpoint{}, true },
	})
	end := o.Run(context.Background(), &Job{Rules: request.Rules{MaxTries: 1, ResendNotStarted: true}, Attempt: func(_ context.Context, a *Attempt) Result {
		a.RecordSend()
		return Result{Event: request.EventNotStarted}
	}})
	c.Check(end.Refusal.Reason, qt.Equals, request.ReasonNotStarted)
	c.Check(end.Refusal.Ran, qt.Equals, request.RanNo)
	c.Check(end.Refusal.RetryAfter, qt.Equals, grantedRetryAfter)
}

// grantedRetryAfter is the Retry-After in the grants of firstAvailable.
const grantedRetryAfter = 700 * time.Millisecond

// TestWhatChangesWhileConnecting changes the state of the endpoint or the request after the grant, while the connection
// to the first endpoint is made.
func TestWhatChangesWhileConnecting(t *testing.T) {
	tests := map[string]struct {
		leaves, isPoison bool
		sent             []string
		outcome          request.Outcome
		reason           request.Reason
	}{
		"nothing":                              {sent: []string{"e1"}, outcome: request.OutcomeAnswered},
		"the endpoint leaves":                  {leaves: true, sent: []string{"e2"}, outcome: request.OutcomeAnswered},
		"the request becomes a poison request": {isPoison: true, outcome: request.OutcomeRefused, reason: request.ReasonPoison},
		"both: the request is not sent to another endpoint": {leaves: true, isPoison: true, outcome: request.OutcomeRefused, reason: request.ReasonPoison},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			connecting := false
			o := New(Parts{
				Admitter: firstAvailable{"e1", "e2"}, Budget: unlimitedBudget{}, Counters: counters.New(), Explained: explain.New(),
				Clock: time.Now, Random: func() float64 { return 0 },
				Endpoints: func(id string) (settings.Endpoint, bool) {
					return settings.Endpoint{}, id != "e1" || !connecting || !test.leaves
				},
			})
			var sent []string
			end := o.Run(context.Background(), &Job{
				Rules:    request.Rules{MaxTries: 1},
				IsPoison: func() bool { return connecting && test.isPoison },
				Attempt: func(_ context.Context, a *Attempt) Result {
					connecting = true
					if !a.MaySend() {
						return Result{Event: request.EventWithheld}
					}
					a.RecordSend()
					sent = append(sent, a.EndpointID)
					return Result{Event: request.EventWhole}
				},
			})
			c.Check(sent, qt.DeepEquals, test.sent)
			c.Check(end.Outcome, qt.Equals, test.outcome)
			if test.reason != "" {
				c.Check(end.Refusal.Reason, qt.Equals, test.reason)
				c.Check(end.Refusal.Ran, qt.Equals, request.RanNo)
			}
		})
	}
}

// recordingAdmitter records the part of the answer that each request for an endpoint reports as received.
type recordingAdmitter struct {
	firstAvailable
	received []int
}

func (a *recordingAdmitter) Ask(ctx context.Context, shard string, r admission.Request) (Ticket, admission.Decision, error) {
	a.received = append(a.received, r.Received)
	return a.firstAvailable.Ask(ctx, shard, r)
}

// TestContinuedRequestReportsReceivedPart has a stream break before and after it begins. The next endpoint has to send
// the whole answer in the first case, and only the rest in the second.
func TestContinuedRequestReportsReceivedPart(t *testing.T) {
	c := qt.New(t)
	admitter := &recordingAdmitter{firstAvailable: firstAvailable{"e1", "e2", "e3"}}
	o := New(Parts{
		Admitter: admitter, Budget: unlimitedBudget{}, Counters: counters.New(), Explained: explain.New(),
		Clock: time.Now, Random: func() float64 { return 0 },
		Endpoints: func(string) (settings.Endpoint, bool) { return settings.Endpoint{}, true },
	})
	end := o.Run(context.Background(), &Job{
		Rules: request.Rules{MaxTries: 3, Repeatable: true}, CanContinue: true,
		Attempt: func(_ context.Context, a *Attempt) Result {
			a.RecordSend()
			if a.EndpointID == "e1" {
				return Result{Event: request.EventBroken}
			}
			a.StartDelivery()
			a.RecordTokens(5)
			if a.EndpointID == "e2" {
				return Result{Event: request.EventBroken}
			}
			return Result{Event: request.EventWhole}
		},
	})
	c.Check(end.Outcome, qt.Equals, request.OutcomeAnswered)
	c.Check(admitter.received, qt.DeepEquals, []int{0, 0, 5})
}

// countingBudget allows a number of retries and counts those that were made.
type countingBudget struct {
	unlimitedBudget
	left int
}

func (b *countingBudget) Reserve(string, string, bool) bool {
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

func (b *countingBudget) Release(string) { b.left++ }

// closeCounter counts the connections that are open.
type closeCounter struct{ open *int }

func (c closeCounter) Close() error {
	*c.open--
	return nil
}

// TestSuccessorIsInHand checks that an attempt is only left for an endpoint that is granted and connected to within the
// retry budget, and that whatever is not used is given back.
func TestSuccessorIsInHand(t *testing.T) {
	errRefused := errors.New("connection refused")
	tests := map[string]struct {
		endpoints  firstAvailable
		maxTries   int
		budget     int
		connectErr error
		rejects    bool
		// answers is set if the first endpoint still answers.
		answers bool
		wantErr error
		sent    []string
		left    int
	}{
		"it goes on at the successor":         {endpoints: firstAvailable{"e1", "e2"}, maxTries: 2, budget: 1, sent: []string{"e1", "e2"}},
		"the endpoint answers":                {endpoints: firstAvailable{"e1", "e2"}, maxTries: 2, budget: 1, answers: true, sent: []string{"e1"}, left: 1},
		"no budget":                           {endpoints: firstAvailable{"e1", "e2"}, maxTries: 2, wantErr: errNoBudget, answers: true, sent: []string{"e1"}},
		"no other endpoint":                   {endpoints: firstAvailable{"e1"}, maxTries: 2, budget: 1, wantErr: errNotGranted, answers: true, sent: []string{"e1"}, left: 1},
		"the other endpoint is not accepted":  {endpoints: firstAvailable{"e1", "e2"}, maxTries: 2, budget: 1, rejects: true, wantErr: errNotBetter, answers: true, sent: []string{"e1"}, left: 1},
		"the other endpoint can't be reached": {endpoints: firstAvailable{"e1", "e2"}, maxTries: 2, budget: 1, connectErr: errRefused, wantErr: errNotConnected, answers: true, sent: []string{"e1"}, left: 1},
		"the request may not be sent again":   {endpoints: firstAvailable{"e1", "e2"}, maxTries: 1, budget: 1, wantErr: errLastTry, answers: true, sent: []string{"e1"}, left: 1},
		"all others are excluded":             {endpoints: firstAvailable{"e1", "excluded"}, maxTries: 2, budget: 1, wantErr: errNotGranted, answers: true, sent: []string{"e1"}, left: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			budget := &countingBudget{left: test.budget}
			o := New(Parts{
				Admitter: test.endpoints, Budget: budget, Counters: counters.New(), Explained: explain.New(),
				Clock: time.Now, Random: func() float64 { return 0 },
				Endpoints: func(string) (settings.Endpoint, bool) { return settings.Endpoint{}, true },
			})
			var sent []string
			open := 0
			end := o.Run(context.Background(), &Job{
				Rules: request.Rules{MaxTries: test.maxTries, Repeatable: true},
				Connect: func(context.Context, string, settings.Endpoint) (io.Closer, error) {
					if test.connectErr != nil {
						return nil, test.connectErr
					}
					open++
					return closeCounter{&open}, nil
				},
				Attempt: func(ctx context.Context, a *Attempt) Result {
					a.RecordSend()
					sent = append(sent, a.EndpointID)
					if a.Number > 1 {
						c.Check(a.Connection, qt.Not(qt.IsNil))
						return Result{Event: request.EventWhole}
					}
					s, err := a.PrepareSuccessor(ctx, &EndpointFilter{Excluded: []string{"e1", "excluded"}, Accept: func(string) bool { return !test.rejects }})
					c.Check(errors.Is(err, test.wantErr), qt.IsTrue, qt.Commentf("%v", err))
					if err == nil {
						c.Check(a.Leave(s), qt.IsTrue)
					}
					if test.answers {
						return Result{Event: request.EventWhole}
					}
					return Result{Event: request.EventBroken, Err: ErrStalled}
				},
			})
			c.Check(end.Outcome, qt.Equals, request.OutcomeAnswered)
			c.Check(sent, qt.DeepEquals, test.sent)
			c.Check(budget.left, qt.Equals, test.left)
			c.Check(open, qt.Equals, len(test.sent)-1, qt.Commentf("connections that are not in use"))
		})
	}
}

// TestInvalidAnswersAreReported checks the line and the counter by which operators find an answer that was none, and that the
// line is short whatever the caller and the endpoint send.
func TestInvalidAnswersAreReported(t *testing.T) {
	c := qt.New(t)
	var logged bytes.Buffer
	log := logrus.New()
	log.SetOutput(&logged)
	log.SetFormatter(new(logrus.JSONFormatter))
	metrics := counters.New()
	o := New(Parts{
		Admitter: firstAvailable{"e1"}, Budget: unlimitedBudget{}, Counters: metrics, Explained: explain.New(), Log: logrus.NewEntry(log),
		Clock: time.Now, Random: func() float64 { return 0 },
		Endpoints: func(string) (settings.Endpoint, bool) { return settings.Endpoint{}, true },
	})
	end := o.Run(context.Background(), &Job{
		Request: admission.Request{ID: "id-1-" + strings.Repeat("x", 4000)}, Rules: request.Rules{MaxTries: 1},
		Attempt: func(_ context.Context, a *Attempt) Result {
			a.RecordSend()
			err := httphead.InvalidBody(errors.New("cut off " + strings.Repeat("y", 4000)))
			return Result{Event: request.EventBroken, Err: merry.Wrap(request.ErrBroken, merry.WithCause(err))}
		},
	})
	c.Check(end.Refusal.Ran, qt.Equals, request.RanUnknown)
	var written bytes.Buffer
	metrics.Write(&written)
	c.Check(written.String(), qt.Contains, `oxbowslip_invalid_answers_total{reason="body"} 1`)
	c.Check(logged.String(), qt.Contains, `"id":"id-1-x`)
	c.Check(logged.String(), qt.Contains, `"reason":"body"`)
	c.Check(strings.Count(logged.String(), "\n"), qt.Equals, 1)
	c.Check(logged.Len() < 700, qt.IsTrue, qt.Commentf("%d bytes", logged.Len()))
}

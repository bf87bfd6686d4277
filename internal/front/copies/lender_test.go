package copies

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/poison"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

// TestGoldenMessages pins the encoded form of the messages, which hosts of other versions read.
func TestGoldenMessages(t *testing.T) {
	golden.Message(t, "ask", &Ask{Number: 1, Content: 2, Left: time.Second, IsApart: true})
	golden.Message(t, "reply", &Reply{Number: 1, IsLent: true, Wait: time.Second})
	golden.Message(t, "return", &Return{Number: 1, Content: 2, Outcome: Unanswered})
}

// TestLender lends the right to send a copy of one request to a host, and then to others.
func TestLender(t *testing.T) {
	a, b := envelope.Sender{Host: "a", Incarnation: 1}, envelope.Sender{Host: "b", Incarnation: 1}
	type step struct {
		after time.Duration
		// host asks, or returns the right with an outcome if isReturn is set. Wait is that of the evidence.
		host     envelope.Sender
		number   uint64
		isReturn bool
		outcome  Outcome
		wait     time.Duration
		isLent   bool
	}
	ask := func(after time.Duration, host envelope.Sender, number uint64, isLent bool) step {
		return step{after: after, host: host, number: number, isLent: isLent}
	}
	back := func(host envelope.Sender, number uint64, outcome Outcome) step {
		return step{host: host, number: number, isReturn: true, outcome: outcome}
	}
	unanswered := func(times int) (steps []step) {
		for n := range times {
			steps = append(steps, ask(evidenceTime, a, uint64(n), true), back(a, uint64(n), Unanswered))
		}
		return steps
	}
	tests := map[string]struct {
		steps []step
		dead  envelope.Sender
	}{
		"one host at a time":                     {steps: []step{ask(0, a, 1, true), ask(0, b, 1, false), ask(time.Second, b, 1, false)}},
		"an Ask is repeated":                     {steps: []step{ask(0, a, 1, true), ask(0, a, 1, true), ask(0, b, 1, false)}},
		"after an answer at once":                {steps: []step{ask(0, a, 1, true), back(a, 1, Answered), ask(0, b, 1, true)}},
		"unused":                                 {steps: []step{ask(0, a, 1, true), back(a, 1, Unused), ask(0, b, 1, true)}},
		"once the crash must have been reported": {steps: []step{ask(0, a, 1, true), back(a, 1, Unanswered), ask(evidenceTime-1, b, 1, false), ask(1, b, 1, true)}},
		"the Return is lost":                     {steps: []step{ask(0, a, 1, true), ask(0, a, 2, true), back(a, 1, Answered), ask(0, b, 1, false)}},
		"the Return of another copy":             {steps: []step{ask(0, a, 1, true), back(b, 1, Answered), ask(0, b, 1, false)}},
		"the host has ended":                     {steps: []step{ask(0, a, 1, true), ask(0, b, 1, true)}, dead: a},
		"the loan is over":                       {steps: []step{ask(0, a, 1, true), ask(time.Minute, b, 1, true)}},
		"the evidence demands a wait":            {steps: []step{{host: a, wait: time.Second}}},
		"further and further apart": {steps: append(unanswered(3),
			ask(poison.CopyDelay(3)-1, b, 1, false), ask(1, b, 1, true), back(b, 1, Unanswered), ask(poison.CopyDelay(4)-1, b, 2, false), ask(1, b, 2, true))},
		"an answer ends that": {steps: append(unanswered(3),
			ask(poison.CopyDelay(3), b, 1, true), back(b, 1, Answered), ask(0, a, 9, true), back(a, 9, Unanswered), ask(evidenceTime, b, 2, true))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, now := NewLender(), time.Now()
			isLive := func(host envelope.Sender) bool { return host != test.dead }
			for n, s := range test.steps {
				now = now.Add(s.after)
				if s.isReturn {
					l.Return(now, &Return{Number: s.number, Content: 7, Outcome: s.outcome}, s.host)
					continue
				}
				_, isLent := l.Lend(now, &Ask{Number: s.number, Content: 7, Left: time.Minute}, s.host, s.wait, isLive)
				c.Check(isLent, qt.Equals, s.isLent, qt.Commentf("step %d", n))
			}
		})
	}
}

// TestLenderIsBounded has a lender lend the copies of very many requests.
func TestLenderIsBounded(t *testing.T) {
	c := qt.New(t)
	l, now := NewLender(), time.Now()
	for n := range maxRequests + 10 {
		now = now.Add(time.Millisecond)
		_, isLent := l.Lend(now, &Ask{Content: contentOf(n), Left: time.Second}, envelope.Sender{Host: fmt.Sprint(n)}, 0, func(envelope.Sender) bool { return true })
		c.Assert(isLent, qt.IsTrue)
	}
	c.Check(len(l.requests), qt.Equals, maxRequests)
	l.Expire(now.Add(2 * historyTime))
	c.Check(l.requests, qt.HasLen, 0)
}

package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/shard"
)

// lossyRouter drops the first messages and sends the rest to a channel.
type lossyRouter struct {
	mu        sync.Mutex
	scheduler string
	numToDrop int
	received  chan *shard.Message
}

func (r *lossyRouter) Scheduler(string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.scheduler
}

func (r *lossyRouter) Send(_, _ string, m *shard.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.numToDrop > 0 {
		r.numToDrop--
		return
	}
	r.received <- m
}

// TestLostSubmissionOrDecisionIsResubmitted loses the submission of a request, and then a decision, which
// comes from a host that does not have the request. The request must be submitted again each time.
func TestLostSubmissionOrDecisionIsResubmitted(t *testing.T) {
	c := qt.New(t)
	router := &lossyRouter{scheduler: "a", numToDrop: 1, received: make(chan *shard.Message, 16)}
	d := New()
	d.Connect(router)
	granted := make(chan admission.Decision, 1)
	go func() {
		_, decision, err := d.Ask(context.Background(), "s", admission.Request{ID: "1"})
		c.Check(err, qt.IsNil)
		granted <- decision
	}()
	for lost := false; !lost; {
		router.mu.Lock()
		lost = router.numToDrop == 0
		router.mu.Unlock()
	}
	d.ResubmitWaiting()
	c.Assert(router.received, qt.HasLen, 0)
	d.ResubmitWaiting()
	c.Assert((<-router.received).Kind, qt.Equals, shard.Submit)
	// The decision of a host that does not have the request is dropped.
	d.Deliver("b", "s", admission.Decision{ID: "1", Endpoint: "e", Until: time.Unix(0, 0)})
	router.mu.Lock()
	router.scheduler = "b"
	router.mu.Unlock()
	d.ResubmitWaiting()
	c.Assert((<-router.received).Kind, qt.Equals, shard.Submit)
	d.Deliver("b", "s", admission.Decision{ID: "1", Endpoint: "f"})
	c.Assert((<-granted).Endpoint, qt.Equals, "f")
	d.ResubmitWaiting()
	c.Assert(router.received, qt.HasLen, 0)
}

// endingRouter ends a request while its announcement is being sent.
type endingRouter struct {
	kinds      []shard.Kind
	endRequest func()
}

func (r *endingRouter) Scheduler(string) string { return "b" }

func (r *endingRouter) Send(_, _ string, m *shard.Message) {
	if m.Kind == shard.Adopt {
		// The report of the end overtakes the announcement.
		r.endRequest()
	}
	r.kinds = append(r.kinds, m.Kind)
}

// TestRequestEndingDuringAnnouncementIsWithdrawn ends a running request while it is announced to a new
// scheduler. A withdrawal must follow the announcement, or the new scheduler would keep the slot taken.
func TestRequestEndingDuringAnnouncementIsWithdrawn(t *testing.T) {
	c := qt.New(t)
	d := New()
	ticket := &Ticket{dispatcher: d, shard: "s", request: admission.Request{ID: "1"}, scheduler: "a", endpoint: "e"}
	router := &endingRouter{endRequest: func() { ticket.Finished(admission.Answered, 5) }}
	d.Connect(router)
	d.tickets["1"] = ticket
	d.MoveShard("s")
	c.Assert(router.kinds, qt.DeepEquals, []shard.Kind{shard.Withdraw, shard.Finished, shard.Adopt, shard.Withdraw})
}

// recordingRouter records the receivers and kinds of messages.
type recordingRouter struct{ sent []string }

func (r *recordingRouter) Scheduler(string) string { return "new" }

func (r *recordingRouter) Send(host, _ string, m *shard.Message) {
	r.sent = append(r.sent, fmt.Sprint(host, " ", m.Kind))
}

// TestEndOfRequestIsReportedToItsScheduler guards against a slot that stays taken after a network partition.
// If a request that ended while its shard moved were reassigned before its end was reported, the report would
// go to the new scheduler and the old one would hold the slot forever.
func TestEndOfRequestIsReportedToItsScheduler(t *testing.T) {
	tests := map[string]func(d *Dispatcher, ticket *Ticket){
		"moved":    func(d *Dispatcher, ticket *Ticket) { d.reassign(ticket, "new") },
		"repeated": func(d *Dispatcher, ticket *Ticket) { d.resubmit(ticket, "new") },
	}
	for name, move := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			router := new(recordingRouter)
			d := New()
			d.Connect(router)
			ticket := &Ticket{dispatcher: d, request: admission.Request{ID: "id"}, scheduler: "old", waitedForRound: true}
			d.tickets["id"] = ticket
			d.remove("id")
			move(d, ticket)
			ticket.send(shard.Message{Kind: shard.Finished})
			c.Check(router.sent, qt.DeepEquals, []string{fmt.Sprint("old ", shard.Finished)})
		})
	}
}

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

// lossyRouter drops the first messages to a host and hands the rest to a
// channel.
type lossyRouter struct {
	mu        sync.Mutex
	scheduler string
	lose      int
	arrived   chan *shard.Message
}

func (r *lossyRouter) Scheduler(string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.scheduler
}

func (r *lossyRouter) Send(_, _ string, m *shard.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lose > 0 {
		r.lose--
		return
	}
	r.arrived <- m
}

// TestRepeat loses the submission of a request, and then a grant that became
// void before it came: the scheduler at hand has forgotten the request. It is
// submitted again each time.
func TestRepeat(t *testing.T) {
	c := qt.New(t)
	router := &lossyRouter{scheduler: "a", lose: 1, arrived: make(chan *shard.Message, 16)}
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
		lost = router.lose == 0
		router.mu.Unlock()
	}
	d.ResubmitWaiting()
	c.Assert(router.arrived, qt.HasLen, 0)
	d.ResubmitWaiting()
	c.Assert((<-router.arrived).Kind, qt.Equals, shard.Submit)
	// A decision of a host that does not have the request is dropped.
	d.Deliver("b", "s", admission.Decision{ID: "1", Endpoint: "e", Until: time.Unix(0, 0)})
	router.mu.Lock()
	router.scheduler = "b"
	router.mu.Unlock()
	d.ResubmitWaiting()
	c.Assert((<-router.arrived).Kind, qt.Equals, shard.Submit)
	d.Deliver("b", "s", admission.Decision{ID: "1", Endpoint: "f"})
	c.Assert((<-granted).Endpoint, qt.Equals, "f")
	d.ResubmitWaiting()
	c.Assert(router.arrived, qt.HasLen, 0)
}

// endingRouter ends a request just as its announcement is under way.
type endingRouter struct {
	kinds []shard.Kind
	end   func()
}

func (r *endingRouter) Scheduler(string) string { return "b" }

func (r *endingRouter) Send(_, _ string, m *shard.Message) {
	if m.Kind == shard.Adopt {
		// Word of the end overtakes the announcement.
		r.end()
	}
	r.kinds = append(r.kinds, m.Kind)
}

// TestEndsWhileAnnounced ends a running request while it is announced to a new
// scheduler: the last word must not be the announcement.
func TestEndsWhileAnnounced(t *testing.T) {
	c := qt.New(t)
	d := New()
	ticket := &Ticket{dispatcher: d, shard: "s", request: admission.Request{ID: "1"}, scheduler: "a", endpoint: "e"}
	router := &endingRouter{end: func() { ticket.Finished(admission.Answered, 5) }}
	d.Connect(router)
	d.tickets["1"] = ticket
	d.MoveShard("s")
	c.Assert(router.kinds, qt.DeepEquals, []shard.Kind{shard.Withdraw, shard.Finished, shard.Adopt, shard.Withdraw})
}

// recordingRouter records the hosts that messages go to.
type recordingRouter struct{ sent []string }

func (r *recordingRouter) Scheduler(string) string { return "new" }

func (r *recordingRouter) Send(host, _ string, m *shard.Message) {
	r.sent = append(r.sent, fmt.Sprint(host, " ", m.Kind))
}

// TestAnEndedRequestStaysWithItsScheduler is a slot that stayed taken after a partition (TestCut, twice
// beside other load): a request that ended while its shard moved was handed over after it had been
// forgotten and before its end was reported, so its end went to the new scheduler and the old one
// held its slot for good.
func TestAnEndedRequestStaysWithItsScheduler(t *testing.T) {
	tests := map[string]func(d *Dispatcher, ticket *Ticket){
		"moved":    func(d *Dispatcher, ticket *Ticket) { d.hand(ticket, "new") },
		"repeated": func(d *Dispatcher, ticket *Ticket) { d.repeat(ticket, "new") },
	}
	for name, move := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			router := new(recordingRouter)
			d := New()
			d.Connect(router)
			ticket := &Ticket{dispatcher: d, request: admission.Request{ID: "id"}, scheduler: "old", repeated: true}
			d.tickets["id"] = ticket
			d.forget("id")
			move(d, ticket)
			ticket.send(shard.Message{Kind: shard.Finished})
			c.Check(router.sent, qt.DeepEquals, []string{fmt.Sprint("old ", shard.Finished)})
		})
	}
}

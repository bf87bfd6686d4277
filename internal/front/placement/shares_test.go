package placement

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/shares"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// twoHosts are the peers of a host in a fleet of two.
type twoHosts struct{}

func (twoHosts) Broadcast(envelope.Kind, any) {}
func (twoHosts) Hosts() int                   { return 2 }

// newSharingPlacer returns a placer with shares, and the exchange behind them.
func newSharingPlacer(clock func() time.Time) (*Placer, *shares.Exchange) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := newPlacer(clock)
	p.parts.Shares = shares.New(shares.Parts{Peers: twoHosts{}, Log: log.WithFields(nil), Clock: clock, Random: func() float64 { return 0 }})
	least := 2
	p.SetSettings(&settings.Tree{
		Root:   settings.Root{Classes: map[string]settings.Class{"c": {Values: settings.Values{Urgency: &least}}}},
		Routes: []settings.HostRoute{{Class: "c", Targets: []settings.Target{{Service: "llm"}}}},
	})
	return p, p.parts.Shares
}

// TestWorkspaceOverItsShareIsRefusedAtOnce has a peer report that "big" asks for eight times as much as "a", and that
// half of it was refused.
func TestWorkspaceOverItsShareIsRefusedAtOnce(t *testing.T) {
	tests := map[string]struct {
		open   int
		adjust func(p *Placer, r *admission.Request)
		want   admission.Reason
		waited bool
	}{
		"over its share":                   {40, func(_ *Placer, r *admission.Request) { r.Workspace = "big" }, admission.ReasonWorkspaceRoom, false},
		"within its share":                 {40, func(_ *Placer, r *admission.Request) { r.Workspace = "a" }, admission.ReasonNoRoom, true},
		"an endpoint has room":             {0, func(_ *Placer, r *admission.Request) { r.Workspace = "big" }, admission.ReasonPlaced, false},
		"an endpoint would be late for it": {0, func(p *Placer, r *admission.Request) { r.Workspace, r.PromptTokens = "big", 100_000 }, admission.ReasonWorkspaceRoom, false},
		"an urgent class":                  {40, func(_ *Placer, r *admission.Request) { r.Workspace, r.Urgency = "big", 1 }, admission.ReasonPlaced, false},
		"without a prompt":                 {40, func(_ *Placer, r *admission.Request) { r.Workspace, r.PromptTokens = "big", 0 }, admission.ReasonPlaced, false},
		"shares are off": {40, func(p *Placer, r *admission.Request) {
			r.Workspace, p.parts.Shares = "big", nil
		}, admission.ReasonNoRoom, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := start
			p, exchange := newSharingPlacer(func() time.Time { now = now.Add(50 * time.Millisecond); return now })
			body, err := cbor.Marshal(&shares.Counts{Services: []shares.ServiceCounts{{
				Service: keys.OfService("llm"), Asked: 10_000, Granted: 5000,
				Workspaces: []keys.Workspace{keys.OfWorkspace("big"), keys.OfWorkspace("a")}, Work: []uint64{8500, 1500},
			}}})
			c.Assert(err, qt.IsNil)
			exchange.HandleCounts("peer", body)
			now = now.Add(time.Second)
			fillEndpoints(p, test.open)
			request := short()
			request.Urgency, request.FirstToken = 2, time.Second
			test.adjust(p, request)
			ticket, decision, err := p.Ask(context.Background(), "llm", *request)
			c.Assert(err, qt.IsNil)
			c.Check(decision.Reason, qt.Equals, test.want)
			c.Check(decision.Figures.Waited > 0, qt.Equals, test.waited || test.want == admission.ReasonPlaced)
			c.Check(decision.Figures.WorkAsked > decision.Figures.WorkShare, qt.Equals, test.want == admission.ReasonWorkspaceRoom)
			c.Check(decision.RetryAfter > 0, qt.Equals, decision.Kind == admission.Refuse)
			c.Check(ticket == nil, qt.Equals, decision.Kind == admission.Refuse)
		})
	}
}

// TestLimitOfWorkspaceCountsOpenRequests checks that a request counts against its workspace's limit from its grant to
// its end, and not if it gets no endpoint or its caller leaves.
func TestLimitOfWorkspaceCountsOpenRequests(t *testing.T) {
	c := qt.New(t)
	now := start
	p, _ := newSharingPlacer(func() time.Time { now = now.Add(50 * time.Millisecond); return now })
	request := short()
	request.Workspace, request.MaxInFlight, request.MaxWaiting = "a", 1, 1
	least := *request
	least.Urgency, least.FirstToken = 2, time.Second
	fillEndpoints(p, 40)
	left, cancel := context.WithCancel(context.Background())
	cancel()
	for range 2 {
		_, decision, err := p.Ask(context.Background(), "llm", least)
		c.Assert(err, qt.IsNil)
		c.Check(decision.Reason, qt.Equals, admission.ReasonNoRoom)
		_, _, err = p.Ask(left, "llm", least)
		c.Check(err, qt.Equals, context.Canceled)
	}
	for range 2 {
		ticket, decision, err := p.Ask(context.Background(), "llm", *request)
		c.Assert(err, qt.IsNil)
		c.Assert(decision.Kind, qt.Equals, admission.Grant)
		_, decision, err = p.Ask(context.Background(), "llm", *request)
		c.Assert(err, qt.IsNil)
		c.Check(decision.Reason, qt.Equals, admission.ReasonWorkspaceRoom)
		ticket.Finished(admission.Answered, 0)
	}
}

// TestExpectedUnreadTokens checks the work that a request counts as before an endpoint is chosen.
func TestExpectedUnreadTokens(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	c.Check(v.expectedUnread(short()), qt.Equals, 500)
	c.Check(v.expectedUnread(long(7)), qt.Equals, 12_000)
	v.holders.Record(start, Holder{Prefix: 7, Endpoint: keys.OfEndpoint("e1")})
	c.Check(v.expectedUnread(long(7)), qt.Equals, 2000)
}

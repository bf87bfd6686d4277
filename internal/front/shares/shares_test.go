package shares

import (
	"cmp"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

// burstCounts is the report of one of two hosts at which "big" asks for eight times as much as "a" and "b". Half of all
// work is granted, and a twentieth of what is not refused for shares is refused.
func burstCounts() ServiceCounts {
	return ServiceCounts{
		Service: keys.OfService("llm"), Asked: 10_000, Granted: 5000, OverShare: 4737,
		Workspaces: []keys.Workspace{keys.OfWorkspace("big"), keys.OfWorkspace("a"), keys.OfWorkspace("b")}, Work: []uint64{8000, 1000, 1000},
	}
}

// TestDecide decides on requests at a host that two of its peers have sent burstCounts a second ago: the fair share of
// "big" is 6/16 of what it asks for.
func TestDecide(t *testing.T) {
	tests := map[string]struct {
		workspace string
		random    float64
		// hosts is 3 and after a second, unless set.
		hosts     int
		after     time.Duration
		tiers     []uint64
		adjust    func(ask *Ask)
		isRefused bool
	}{
		"over its share":                           {workspace: "big", random: 0.6, isRefused: true},
		"over its share, within the share":         {workspace: "big", random: 0.65},
		"within its share":                         {workspace: "a"},
		"unknown":                                  {workspace: "c"},
		"an urgent class":                          {workspace: "big", adjust: func(ask *Ask) { ask.Request.Urgency = 1 }},
		"an endpoint has room":                     {workspace: "big", adjust: func(ask *Ask) { ask.HasRoom = func() bool { return true } }},
		"has had an endpoint":                      {workspace: "big", adjust: func(ask *Ask) { ask.Request.Retry = true }},
		"at another service":                       {workspace: "big", adjust: func(ask *Ask) { ask.Service = "other" }},
		"of twice the weight":                      {workspace: "big", random: 0.6, adjust: func(ask *Ask) { ask.Request.Weight = 2 }},
		"counts not complete yet":                  {workspace: "big", after: 500 * time.Millisecond},
		"counts not complete yet, large fleet":     {workspace: "big", hosts: 300, after: 1400 * time.Millisecond},
		"most peers silent":                        {workspace: "big", hosts: 6},
		"all peers silent for long":                {workspace: "big", after: countTimeout + time.Second},
		"others are of lower tiers":                {workspace: "big", random: 0.6, tiers: []uint64{0, 1, 1}},
		"others are of lower tiers, over the rest": {workspace: "big", random: 0.3, tiers: []uint64{0, 1, 1}, isRefused: true},
		"others are of higher tiers": {workspace: "big", random: 0.6, tiers: []uint64{1, 0, 0}, adjust: func(ask *Ask) {
			ask.Tier = 1
		}, isRefused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, counts := newLedger(), burstCounts()
			counts.Tiers = test.tiers
			for _, peer := range []string{"p", "q"} {
				l.Add(start, peer, &Counts{Services: []ServiceCounts{counts}})
			}
			ask := newAsk(test.workspace, 100)
			ask.HasRoom = func() bool { return false }
			if test.adjust != nil {
				test.adjust(ask)
			}
			verdict := l.Decide(start.Add(cmp.Or(test.after, time.Second)), cmp.Or(test.hosts, 3), ask, test.random)
			c.Check(verdict.IsRefused, qt.Equals, test.isRefused)
			if test.isRefused {
				c.Check(verdict.RetryAfter >= minRetry && verdict.RetryAfter <= maxRetry*3/2, qt.IsTrue, qt.Commentf("%v", verdict.RetryAfter))
				c.Check(verdict.Asked > verdict.Share, qt.IsTrue)
			}
		})
	}
}

// TestHostThatStartsRefusesNothing guards against decisions by the counts of one host, which are too few.
func TestHostThatStartsRefusesNothing(t *testing.T) {
	c := qt.New(t)
	l := newLedger()
	for n := range 200 {
		now := start.Add(time.Duration(n) * 20 * time.Millisecond)
		ask := newAsk("big", 1000)
		c.Assert(l.Decide(now, 3, ask, 0).IsRefused, qt.IsFalse)
		l.RecordRefusal(now, ask, admission.ReasonNoRoom)
	}
}

// TestRequestCountsOnce checks what a request that tries two endpoints counts as.
func TestRequestCountsOnce(t *testing.T) {
	tests := map[string]struct {
		end  func(l *Ledger, ask *Ask)
		want totals
	}{
		"the second takes it": {func(l *Ledger, ask *Ask) { l.RecordGrant(start, ask) }, totals{asked: 1000, granted: 1000}},
		"no room for it":      {func(l *Ledger, ask *Ask) { l.RecordRefusal(start, ask, admission.ReasonNoRoom) }, totals{asked: 1000}},
		"no endpoint":         {func(l *Ledger, ask *Ask) { l.RecordRefusal(start, ask, admission.ReasonNoEndpoint) }, totals{asked: 1000, granted: 1000}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, ask := newLedger(), newAsk("a", 800)
			ask.Request.MaxTokens = 100
			l.RecordGrant(start, ask)
			ask.Request.Retry = true
			test.end(l, ask)
			qt.Check(t, l.services[keys.OfService("llm")].all, qt.Equals, test.want)
		})
	}
}

// exchangeReports has hosts exchange their reports.
func exchangeReports(now time.Time, ledgers ...*Ledger) {
	for from, l := range ledgers {
		message := l.Report(now)
		for to, receiver := range ledgers {
			if to != from && message != nil {
				receiver.Add(now, fmt.Sprint(from), message)
			}
		}
	}
}

// TestLimits has two hosts grant or queue requests of a workspace, which a third one then must count.
func TestLimits(t *testing.T) {
	tests := map[string]struct {
		limit admission.Request
		use   func(l *Ledger, ask *Ask)
		// later is when the third host decides; release is called at the other hosts before.
		later     time.Duration
		release   func(ls []*Ledger, ask *Ask)
		isRefused bool
	}{
		"fewer open than allowed":   {limit: admission.Request{MaxInFlight: 3}, use: grant},
		"as many open as allowed":   {limit: admission.Request{MaxInFlight: 2}, use: grant, isRefused: true},
		"one has ended":             {limit: admission.Request{MaxInFlight: 2}, use: grant, release: func(ls []*Ledger, ask *Ask) { ls[0].RecordEnd(start, ask) }},
		"a host has left":           {limit: admission.Request{MaxInFlight: 2}, use: grant, release: func(ls []*Ledger, _ *Ask) { ls[2].DropPeer("0") }},
		"the hosts fell silent":     {limit: admission.Request{MaxInFlight: 2}, use: grant, later: countTimeout + time.Millisecond},
		"as many wait as allowed":   {limit: admission.Request{MaxWaiting: 2}, use: (*Ledger).RecordWait, isRefused: true},
		"none waits any more":       {limit: admission.Request{MaxWaiting: 2}, use: grant},
		"one was cancelled":         {limit: admission.Request{MaxWaiting: 2}, use: (*Ledger).RecordWait, release: func(ls []*Ledger, ask *Ask) { ls[0].RecordCancel(ask) }},
		"as many tokens as allowed": {limit: admission.Request{TokensPerMinute: 1000}, use: grant, isRefused: true},
		"tokens of some time ago":   {limit: admission.Request{TokensPerMinute: 1000}, use: grant, later: 3 * time.Second},
		"fewer tokens than allowed": {limit: admission.Request{TokensPerMinute: 1001}, use: grant},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ledgers := []*Ledger{newLedger(), newLedger(), newLedger()}
			request := test.limit
			request.Workspace, request.Class, request.MaxTokens = "a", "urgent", 1000
			ask := &Ask{Service: "llm", Request: &request}
			test.use(ledgers[0], ask)
			test.use(ledgers[1], ask)
			exchangeReports(start, ledgers...)
			if test.release != nil {
				test.release(ledgers, ask)
				if name != "a host has left" {
					exchangeReports(start, ledgers...)
				}
			}
			verdict := ledgers[2].Decide(start.Add(test.later), 3, ask, 0)
			c.Check(verdict.IsRefused, qt.Equals, test.isRefused)
			c.Check(!test.isRefused || verdict.RetryAfter >= minRetry && verdict.RetryAfter <= maxRetry, qt.IsTrue, qt.Commentf("%v", verdict.RetryAfter))
		})
	}
}

func grant(l *Ledger, ask *Ask) {
	l.RecordWait(ask)
	l.RecordGrant(start, ask)
}

// TestUsesAreReportedUntilTheyEnd guards against a use that peers keep because it was never reported as ended.
func TestUsesAreReportedUntilTheyEnd(t *testing.T) {
	c := qt.New(t)
	l, ask := newLedger(), newAsk("a", 100)
	ask.Request.MaxInFlight = 1
	grant(l, ask)
	for range 2 {
		c.Check(l.Report(start).Limits, qt.HasLen, 1)
	}
	l.RecordEnd(start, ask)
	c.Check(l.Report(start).Limits, qt.HasLen, 0)
	c.Check(l.Report(start), qt.IsNil)
	l.Expire(start)
	c.Check(l.limits.own, qt.HasLen, 0)
}

// TestFaultyCountsAreBounded sends counts that no host can have: they must neither grow without bound nor last.
func TestFaultyCountsAreBounded(t *testing.T) {
	c := qt.New(t)
	l := newLedger()
	faulty := ServiceCounts{Service: keys.OfService("llm"), Asked: math.MaxUint64, Granted: math.MaxUint64, OverShare: math.MaxUint64}
	for n := range 4 * maxWorkspaces {
		faulty.Workspaces = append(faulty.Workspaces, keys.Workspace(n))
		faulty.Work, faulty.Weights, faulty.Tiers = append(faulty.Work, math.MaxUint64), append(faulty.Weights, math.MaxUint64), append(faulty.Tiers, math.MaxUint64)
	}
	for range 2 * maxWorkspaces / maxPerMessage {
		l.Add(start, "p", &Counts{Services: []ServiceCounts{faulty, {Service: 7}}, Limits: []LimitUse{{Open: math.MaxUint64, Tokens: math.MaxUint64}}})
		faulty.Workspaces = faulty.Workspaces[maxPerMessage:]
	}
	c.Check(l.services, qt.HasLen, 1)
	s := l.services[keys.OfService("llm")]
	c.Check(s.workspaces, qt.HasLen, maxWorkspaces)
	for _, w := range s.workspaces {
		c.Check(*w, qt.Equals, workspace{asked: maxReportedWork, weight: maxReportedWeight / 100, tier: maxReportedTier})
	}
	l.Add(start, "p", &Counts{Services: []ServiceCounts{{Service: keys.OfService("llm"), Workspaces: []keys.Workspace{1, 2}, Work: []uint64{1}}}})
	l.Expire(start.Add(time.Minute))
	c.Check(s.workspaces, qt.HasLen, 0)
	c.Check(s.all.asked < 100, qt.IsTrue)
	c.Check(l.limits.peers, qt.HasLen, 0)
}

// TestMessageBytes checks that a message fits into a datagram, and prints what a host sends while a service is short of
// capacity with 320 workspaces.
func TestMessageBytes(t *testing.T) {
	const envelopeBytes = 21
	size := func(c *qt.C, message *Counts) int {
		data, err := cbor.Marshal(message)
		c.Assert(err, qt.IsNil)
		return len(data) + envelopeBytes
	}
	for name, test := range map[string]struct {
		hosts     int
		perSecond float64
	}{
		"8 hosts, 290 requests a second": {8, 290}, "78 hosts, 290 requests a second": {78, 290}, "300 hosts, 290 requests a second": {300, 290},
		"8 hosts, 4,200 requests a second": {8, 4200}, "78 hosts, 4,200 requests a second": {78, 4200}, "300 hosts, 4,200 requests a second": {300, 4200},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := newLedger()
			l.RecordRefusal(start, newAsk("0", 1), admission.ReasonNoRoom)
			every := interval(test.hosts)
			for n := range int(test.perSecond / float64(test.hosts) * every.Seconds()) {
				l.RecordGrant(start, newAsk(fmt.Sprint(n*37%320), 500+n*997%17_000))
			}
			bytes := size(c, l.Report(start))
			t.Logf("%d B each %v to each peer: %.1f KB/s", bytes, every, float64(bytes*(test.hosts-1))/every.Seconds()/1000)
			c.Check(bytes < 1000, qt.IsTrue)
		})
	}
	c := qt.New(t)
	full := &Counts{Services: []ServiceCounts{{Service: math.MaxUint32, Asked: maxReportedWork, Granted: maxReportedWork, OverShare: maxReportedWork}}}
	for range maxPerMessage {
		s := &full.Services[0]
		s.Workspaces, s.Work = append(s.Workspaces, math.MaxUint32), append(s.Work, maxReportedWork)
		s.Weights, s.Tiers = append(s.Weights, maxReportedWeight), append(s.Tiers, maxReportedTier)
		full.Limits = append(full.Limits, LimitUse{Workspace: math.MaxUint32, Class: math.MaxUint32, Open: maxReportedOpen, Waiting: maxReportedOpen, Tokens: maxReportedWork})
	}
	t.Logf("a full message: %d B", size(c, full))
	c.Check(size(c, full) < 9000, qt.IsTrue)
}

// TestGoldenMessages pins the encoded form, which hosts of other versions read.
func TestGoldenMessages(t *testing.T) {
	golden.Message(t, "counts", &Counts{
		Services: []ServiceCounts{{Service: 1, Asked: 2, Granted: 3, OverShare: 4, Workspaces: []keys.Workspace{5}, Work: []uint64{6}, Weights: []uint64{7}, Tiers: []uint64{8}}},
		Limits:   []LimitUse{{Workspace: 9, Class: 10, Open: 11, Waiting: 12, Tokens: 13}},
	})
}

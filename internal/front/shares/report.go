package shares

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// workUnit is the unit of work in messages, in prompt tokens. What is left of a unit goes into the next message.
	workUnit = 128
	// maxPerMessage bounds the workspaces in a message, and its uses of limits.
	maxPerMessage = 64
	// maxReportedWork and maxReportedOpen bound what is accepted from one message, so that a faulty one has no effect for
	// long: this work is what 90 engines do in some 4 s.
	maxReportedWork   = 1 << 24
	maxReportedOpen   = 1 << 16
	maxReportedWeight = 10_000
	maxReportedTier   = 255
)

// Report returns the message to the peers with the counts that they do not know yet, or nil if there is nothing to send.
func (l *Ledger) Report(now time.Time) *Counts {
	uses, isSent := l.limits.report(now)
	message := &Counts{Limits: uses}
	least := l.leastListed(now)
	for key, s := range l.services {
		if now.After(s.reportUntil) {
			continue
		}
		message.Services = append(message.Services, s.report(key, least))
	}
	if !isSent && len(message.Services) == 0 {
		return nil
	}
	return message
}

// HasReport reports whether there may be something to send, and the longest time for which it may wait: hosts that learn
// of refusals from the same message must not all reply together.
func (l *Ledger) HasReport(now time.Time, hosts int) (wait time.Duration, ok bool) {
	if l.limits.isReported || len(l.limits.own) > 0 {
		return 0, true
	}
	for _, s := range l.services {
		switch {
		case now.After(s.reportUntil):
		case !s.isPeerShort:
			return 0, true
		default:
			wait, ok = time.Duration(firstReportShare*float64(interval(hosts))), true
		}
	}
	return wait, ok
}

// leastListed returns the smallest amount of unsent work that a message lists, so that it lists no more than
// maxPerMessage workspaces.
func (l *Ledger) leastListed(now time.Time) float64 {
	var unsent []float64
	for _, s := range l.services {
		if now.After(s.reportUntil) {
			continue
		}
		s.decay(now)
		for _, w := range s.workspaces {
			unsent = append(unsent, w.unsent)
		}
	}
	if len(unsent) <= maxPerMessage {
		return workUnit
	}
	slices.SortFunc(unsent, func(a, b float64) int { return cmp.Compare(b, a) })
	return max(unsent[maxPerMessage-1], workUnit)
}

// report returns the counts for a message, and marks them as sent. Workspaces with less unsent work than least are left
// for a later message.
func (s *service) report(key keys.Service, least float64) ServiceCounts {
	c := ServiceCounts{Service: key, Asked: takeUnits(&s.unsent.asked), Granted: takeUnits(&s.unsent.granted), OverShare: takeUnits(&s.unsent.overShare)}
	isWeighted, isTiered := false, false
	for key, w := range s.workspaces {
		if w.unsent < least || len(c.Workspaces) == maxPerMessage {
			continue
		}
		c.Workspaces = append(c.Workspaces, key)
		c.Work = append(c.Work, takeUnits(&w.unsent))
		c.Weights = append(c.Weights, uint64(max(math.Round(100*w.weight), 1)))
		c.Tiers = append(c.Tiers, uint64(w.tier))
		isWeighted = isWeighted || w.weight != 1
		isTiered = isTiered || w.tier != 0
	}
	if !isWeighted {
		c.Weights = nil
	}
	if !isTiered {
		c.Tiers = nil
	}
	return c
}

// takeUnits takes the whole units of work out of an amount.
func takeUnits(work *float64) uint64 {
	units := uint64(*work / workUnit)
	*work -= float64(units * workUnit)
	return units
}

// Add adds a peer's report.
func (l *Ledger) Add(now time.Time, peer string, message *Counts) {
	l.limits.setPeer(now, peer, message.Limits)
	for i := range message.Services {
		if s := l.services[message.Services[i].Service]; s != nil {
			s.add(now, peer, &message.Services[i])
		}
	}
}

// add adds a peer's counts.
func (s *service) add(now time.Time, peer string, c *ServiceCounts) {
	s.decay(now)
	asked := reportedWork(c.Asked)
	work := totals{asked: asked, granted: min(reportedWork(c.Granted), asked), overShare: reportedWork(c.OverShare)}
	s.all.add(work)
	for i, key := range c.Workspaces[:min(len(c.Workspaces), len(c.Work), maxPerMessage)] {
		w := s.workspace(key)
		if w == nil {
			continue
		}
		w.asked += reportedWork(c.Work[i])
		w.weight = 1
		if i < len(c.Weights) {
			w.weight = float64(min(max(c.Weights[i], 1), maxReportedWeight)) / 100
		}
		if i < len(c.Tiers) {
			w.tier = max(w.tier, int(min(c.Tiers[i], maxReportedTier)))
		}
	}
	s.extendReporting(now, &work, true)
	s.reports[peer] = now
}

// reportedWork returns work in a peer's message, in prompt tokens.
func reportedWork(units uint64) float64 {
	return float64(min(units, maxReportedWork/workUnit) * workUnit)
}

package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/aggregate"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// Hosts of a large fleet share their work through aggregators (package aggregate). This file sends and receives the
// messages for it.

const (
	// shareJitter is the fraction of the interval over which the messages of different hosts are spread.
	shareJitter = 0.2
	// keptContributions is how many sent contributions a host keeps, to find the one that a sum includes. A sum with an
	// older contribution has expired.
	keptContributions = 8
	// sumBatchHosts is the number of hosts to which an aggregator sends a sum at a time. A batch of 16 KB takes 7 ms on
	// a link of 20 Mbit/s, which bounds the delay of other answers.
	sumBatchHosts = 4
	// sumBatchSpread is the fraction of the interval over which the batches are spread.
	sumBatchSpread = 0.6
	// aggregatorsPerCell is how many hosts of each cell receive the sums of other cells: the aggregator and its backup.
	aggregatorsPerCell = 2
)

// workSharing is this host's state for sharing work.
type workSharing struct {
	choice aggregate.Choice
	// contributions counts the contributions sent, sums the rounds of sums sent.
	contributions uint64
	sums          uint64
	// sent holds the last contributions by sequence number modulo keptContributions.
	sent [keptContributions]sentContribution
}

// sentContribution is a contribution that was sent.
type sentContribution struct {
	sequence uint64
	work     Work
}

// UsesAggregators reports whether the fleet is large enough that hosts share their work through aggregators.
func (g *Gossip) UsesAggregators() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usesAggregatorsLocked()
}

// usesAggregatorsLocked is UsesAggregators with the lock held.
func (g *Gossip) usesAggregatorsLocked() bool { return g.members.IsLarge() }

// shareWork sends this host's work to its aggregators, and sums to the hosts that use this host as their aggregator,
// until done is closed.
func (g *Gossip) shareWork(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	next := g.parts.Clock()
	for {
		interval := g.shareInterval()
		next = next.Add(backoff.Spread(interval, shareJitter, g.parts.Random()))
		// A host that was suspended or is slow skips the rounds that it missed.
		if now := g.parts.Clock(); next.Before(now) {
			next = now
		}
		if !lifetime.Sleep(ctx, next.Sub(g.parts.Clock())) {
			return
		}
		if g.UsesAggregators() {
			g.sendSums(ctx, interval, g.contribute(interval))
		}
	}
}

// shareInterval returns the time between two messages of work.
func (g *Gossip) shareInterval() time.Duration {
	if g.parts.Host.IsBusy() {
		return aggregate.Interval
	}
	return aggregate.IdleInterval
}

// contribute sends this host's work to its aggregators. It reports whether this host is its own aggregator.
func (g *Gossip) contribute(interval time.Duration) bool {
	work := g.parts.Host.Work()
	self := g.parts.Config.Name
	g.mu.Lock()
	if g.leaving {
		g.mu.Unlock()
		return false
	}
	s := &g.sharing
	previous := s.choice.Primary()
	primary, backup := s.choice.Pick(g.parts.Clock(), self, g.members.Aggregators(), interval)
	s.contributions++
	s.sent[s.contributions%keptContributions] = sentContribution{sequence: s.contributions, work: work}
	contribution := Contribution{Incarnation: g.incarnation, Sequence: s.contributions, Work: work}
	primaryAddress, backupAddress := g.members.Address(primary), g.members.Address(backup)
	g.mu.Unlock()
	if primary != previous {
		g.parts.Log.WithFields(logrus.Fields{"peer": primary, "backup": backup, "before": previous}).Info("aggregator chosen")
	}
	if primary == self || backup == self {
		g.parts.Host.HandleContribution(self, &contribution)
	}
	if backupAddress != "" {
		g.sendDatagram(counters.PeerHeartbeats, &contribution, []string{backupAddress})
	}
	if primaryAddress != "" {
		contribution.WantsSums = true
		g.sendDatagram(counters.PeerHeartbeats, &contribution, []string{primaryAddress})
	}
	return primary == self
}

// sendSums sends an aggregator's sums in batches, or until ctx ends. A host that is no aggregator sends nothing.
func (g *Gossip) sendSums(ctx context.Context, interval time.Duration, isPrimary bool) {
	receivers, aggregators := g.sumTargets(isPrimary)
	if len(receivers) == 0 && !isPrimary {
		return
	}
	zone, fleet := g.parts.Host.Sums()
	g.mu.Lock()
	g.sharing.sums++
	sequence := g.sharing.sums
	g.mu.Unlock()
	for i := range zone {
		zone[i].Incarnation, zone[i].Sequence = g.incarnation, sequence
		g.sendDatagram(counters.PeerHeartbeats, &zone[i], aggregators)
	}
	batches := (len(receivers) + sumBatchHosts - 1) / sumBatchHosts
	for i := range fleet {
		fleet[i].Incarnation, fleet[i].Sequence = g.incarnation, sequence
		if isPrimary {
			g.applyFleetSum(&fleet[i])
		}
		for batch := range slices.Chunk(receivers, sumBatchHosts) {
			g.sendDatagram(counters.PeerHeartbeats, &fleet[i], batch)
			if !lifetime.Sleep(ctx, time.Duration(sumBatchSpread*float64(interval)/float64(batches*len(fleet)))) {
				return
			}
		}
	}
}

// sumTargets returns the addresses of the hosts that use this host's sums, and the addresses of the aggregators that
// receive the sum over its cell: the first hosts of each cell, and those that send sums over their cells. They are empty
// if this host adds up nobody's work.
func (g *Gossip) sumTargets(isPrimary bool) (receivers, aggregators []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.parts.Clock()
	x := g.members.indexed()
	for _, member := range x.byName {
		if now.Before(member.wantsSumsUntil) {
			receivers = append(receivers, member.Address)
		}
	}
	if len(receivers) == 0 && !isPrimary {
		return nil, nil
	}
	selected := make(map[*Member]bool)
	for _, cell := range x.cells {
		for _, member := range cell[:min(aggregatorsPerCell, len(cell))] {
			selected[member] = true
		}
	}
	for _, member := range x.byName {
		if selected[member] || now.Before(member.sendsZoneSumsUntil) {
			aggregators = append(aggregators, member.Address)
		}
	}
	return receivers, aggregators
}

// handleContribution passes the work of a member of this zone to Host.
func (g *Gossip) handleContribution(c *Contribution) {
	g.mu.Lock()
	host, accepted := g.members.ApplyContribution(g.parts.Clock(), c)
	g.mu.Unlock()
	if accepted && g.isPlausible(&c.Work) {
		g.parts.Host.HandleContribution(host, c)
	}
}

// isPlausible reports whether endpoints can have some work.
func (g *Gossip) isPlausible(w *Work) bool {
	isOutOf := func(limit int) func(int) bool {
		return func(n int) bool { return n < -limit || n > limit }
	}
	if slices.ContainsFunc(w.Requests, isOutOf(maxRequests)) || slices.ContainsFunc(w.Tokens, isOutOf(maxTokenUnits)) {
		g.refuse(counters.RefusedSum, "a message with work names impossible loads", nil)
		return false
	}
	return true
}

// handleZoneSum passes a member's sum over its zone to Host.
func (g *Gossip) handleZoneSum(s *ZoneSum) {
	g.mu.Lock()
	cell, sender, known := g.members.ApplyZoneSum(g.parts.Clock(), s)
	isOwn := cell == g.members.cellOf(&g.members.own)
	g.mu.Unlock()
	if known && g.isPlausible(&s.Work) {
		g.parts.Host.HandleZoneSum(sender, cell, isOwn, s)
	}
}

// handleFleetSum handles an aggregator's sum over all hosts.
func (g *Gossip) handleFleetSum(s *FleetSum) {
	g.mu.Lock()
	aggregator, accepted := g.members.ApplyFleetSum(s)
	if accepted {
		g.sharing.choice.RecordSum(g.parts.Clock(), aggregator)
	}
	g.mu.Unlock()
	if accepted && g.isPlausible(&s.Work) {
		g.applyFleetSum(s)
	}
}

// applyFleetSum passes a sum over all hosts to Host, with the work of this host that the sum includes.
func (g *Gossip) applyFleetSum(s *FleetSum) {
	var counted *Work
	g.mu.Lock()
	if i := slices.Index(s.Counted, g.incarnation); i >= 0 && i < len(s.Sequences) {
		if sent := &g.sharing.sent[s.Sequences[i]%keptContributions]; sent.sequence == s.Sequences[i] {
			counted = &sent.work
		}
	}
	g.mu.Unlock()
	g.parts.Host.HandleFleetSum(s, counted)
}

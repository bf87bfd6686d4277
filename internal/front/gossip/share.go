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
	// shareJitter is the fraction of aggregate.Interval over which the messages of different hosts are spread.
	shareJitter = 0.2
	// keptContributions is how many sent contributions a host keeps, to find the one that a sum includes. A sum with an
	// older contribution has expired.
	keptContributions = 8
	// sumBatchHosts is the number of hosts to which an aggregator sends a sum at a time. A batch of 16 KB takes 7 ms on
	// a link of 20 Mbit/s, which bounds the delay of other answers.
	sumBatchHosts = 4
	// sumBatchSpread is the fraction of aggregate.Interval over which the batches are spread.
	sumBatchSpread = 0.6
	// aggregatorsPerZone is how many hosts of each zone receive the sums of other zones: the aggregator and its backup.
	aggregatorsPerZone = 2
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
func (g *Gossip) usesAggregatorsLocked() bool { return g.members.Count() >= minMembersToAggregate }

// shareWork sends this host's work to its aggregators, and sums to the hosts that use this host as their aggregator,
// until done is closed.
func (g *Gossip) shareWork(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	next := g.parts.Clock()
	for {
		next = next.Add(backoff.Spread(aggregate.Interval, shareJitter, g.parts.Random()))
		// A host that was suspended or is slow skips the rounds that it missed.
		if now := g.parts.Clock(); next.Before(now) {
			next = now
		}
		if !lifetime.Sleep(ctx, next.Sub(g.parts.Clock())) {
			return
		}
		if g.UsesAggregators() {
			g.sendSums(ctx, g.contribute())
		}
	}
}

// contribute sends this host's work to its aggregators. It reports whether this host is its own aggregator.
func (g *Gossip) contribute() bool {
	work := g.parts.Host.Work()
	self := g.parts.Config.Name
	g.mu.Lock()
	if g.leaving {
		g.mu.Unlock()
		return false
	}
	s := &g.sharing
	previous := s.choice.Primary()
	primary, backup := s.choice.Pick(g.parts.Clock(), self, g.members.Ranked(g.parts.Config.Zone))
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
func (g *Gossip) sendSums(ctx context.Context, isPrimary bool) {
	receivers, aggregators := g.sumTargets()
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
			if !lifetime.Sleep(ctx, time.Duration(sumBatchSpread*float64(aggregate.Interval)/float64(batches*len(fleet)))) {
				return
			}
		}
	}
}

// sumTargets returns the addresses of the hosts that use this host's sums, and the addresses of the aggregators that
// receive the sum over its zone: the first hosts of each zone, and those that send sums over their zones.
func (g *Gossip) sumTargets() (receivers, aggregators []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.parts.Clock()
	selected := make(map[string]bool)
	for _, zone := range g.members.Zones() {
		ranked := g.members.Ranked(zone)
		for _, name := range ranked[:min(aggregatorsPerZone, len(ranked))] {
			selected[name] = true
		}
	}
	for _, member := range g.members.Live() {
		if now.Before(member.wantsSumsUntil) {
			receivers = append(receivers, member.Address)
		}
		if selected[member.Name] || now.Before(member.sendsZoneSumsUntil) {
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
	if accepted {
		g.parts.Host.HandleContribution(host, c)
	}
}

// handleZoneSum passes a member's sum over its zone to Host.
func (g *Gossip) handleZoneSum(s *ZoneSum) {
	g.mu.Lock()
	member, known := g.members.ApplyZoneSum(g.parts.Clock(), s)
	g.mu.Unlock()
	if known {
		g.parts.Host.HandleZoneSum(member.Name, member.Zone, s)
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
	if accepted {
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

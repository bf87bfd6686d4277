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

// The messages by which hosts of a large fleet share their work through aggregators (package aggregate).

const (
	// shareSpread is the part of aggregate.Interval over which the messages of different hosts are spread.
	shareSpread = 0.2
	// sentWork is how many contributions a host remembers, to know which of them a sum counts: a sum is older than that
	// only if it would be too old to count.
	sentWork = 8
	// sumBatch is how many sums an aggregator sends at a time: 16 KB are 7 ms of a link of 20 Mbit/s, so that they hold
	// up no answer for longer.
	sumBatch = 4
	// sumPause is the part of aggregate.Interval over which the batches are spread.
	sumPause = 0.6
	// zoneAggregators is how many hosts of each zone are sent the sums of other zones: the one that is the
	// aggregator and the one that would take over.
	zoneAggregators = 2
)

// shares is the state of this host's part in sharing work.
type shares struct {
	choice aggregate.Choice
	// sequence counts the contributions, sums the rounds of sums.
	sequence uint64
	sums     uint64
	// sent are the last contributions, by their sequence modulo their number.
	sent [sentWork]sentContribution
}

// sentContribution is a contribution that was sent.
type sentContribution struct {
	sequence uint64
	work     Work
}

// UsesAggregators reports whether the fleet is so large that hosts share their work through aggregators.
func (g *Gossip) UsesAggregators() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.aggregates()
}

// aggregates is Aggregates with the lock held.
func (g *Gossip) aggregates() bool { return g.members.Count() >= fullHeartbeats }

// share sends this host's work to its aggregators, and the sums of those that send it theirs, until done is
// closed.
func (g *Gossip) share(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	next := g.parts.Clock()
	for {
		next = next.Add(backoff.Spread(aggregate.Interval, shareSpread, g.parts.Random()))
		// A host that was frozen or is slow goes on from now: what it missed is of no use.
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

// contribute sends this host's work to its aggregators. It reports whether this host is its own.
func (g *Gossip) contribute() bool {
	work := g.parts.Host.Work()
	self := g.parts.Config.Name
	g.mu.Lock()
	if g.leaving {
		g.mu.Unlock()
		return false
	}
	s := &g.shares
	before := s.choice.Primary()
	primary, backup := s.choice.Pick(g.parts.Clock(), self, g.members.Ranked(g.parts.Config.Zone))
	s.sequence++
	s.sent[s.sequence%sentWork] = sentContribution{sequence: s.sequence, work: work}
	contribution := Contribution{Incarnation: g.incarnation, Sequence: s.sequence, Work: work}
	primaryAddress, backupAddress := g.members.Address(primary), g.members.Address(backup)
	g.mu.Unlock()
	if primary != before {
		g.parts.Log.WithFields(logrus.Fields{"peer": primary, "backup": backup, "before": before}).Info("aggregator chosen")
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

// sendSums sends the sums of an aggregator, until ctx ends.
func (g *Gossip) sendSums(ctx context.Context, isPrimary bool) {
	wanting, aggregators := g.sumTargets()
	if len(wanting) == 0 && !isPrimary {
		return
	}
	zone, fleet := g.parts.Host.Sums()
	g.mu.Lock()
	g.shares.sums++
	sequence := g.shares.sums
	g.mu.Unlock()
	for i := range zone {
		zone[i].Incarnation, zone[i].Sequence = g.incarnation, sequence
		g.sendDatagram(counters.PeerHeartbeats, &zone[i], aggregators)
	}
	batches := (len(wanting) + sumBatch - 1) / sumBatch
	for i := range fleet {
		fleet[i].Incarnation, fleet[i].Sequence = g.incarnation, sequence
		if isPrimary {
			g.useSum(&fleet[i])
		}
		for batch := range slices.Chunk(wanting, sumBatch) {
			g.sendDatagram(counters.PeerHeartbeats, &fleet[i], batch)
			if !lifetime.Sleep(ctx, time.Duration(sumPause*float64(aggregate.Interval)/float64(batches*len(fleet)))) {
				return
			}
		}
	}
}

// sumTargets returns the addresses of the hosts that use this host's sums, and those of the aggregators that
// are sent the sum of its zone: the first of each zone, and those that send theirs.
func (g *Gossip) sumTargets() (wanting, aggregators []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.parts.Clock()
	taken := make(map[string]bool)
	for _, zone := range g.members.Zones() {
		ranked := g.members.Ranked(zone)
		for _, name := range ranked[:min(zoneAggregators, len(ranked))] {
			taken[name] = true
		}
	}
	for _, member := range g.members.Live() {
		if now.Before(member.wantsSums) {
			wanting = append(wanting, member.Address)
		}
		if taken[member.Name] || now.Before(member.sendsZones) {
			aggregators = append(aggregators, member.Address)
		}
	}
	return wanting, aggregators
}

// contributed handles the work of a host of this zone.
func (g *Gossip) contributed(c *Contribution) {
	g.mu.Lock()
	host, counts := g.members.ApplyContribution(g.parts.Clock(), c)
	g.mu.Unlock()
	if counts {
		g.parts.Host.HandleContribution(host, c)
	}
}

// zoneSummed handles the sum of a zone.
func (g *Gossip) zoneSummed(s *ZoneSum) {
	g.mu.Lock()
	member, known := g.members.ApplyZoneSum(g.parts.Clock(), s)
	g.mu.Unlock()
	if known {
		g.parts.Host.HandleZoneSum(member.Name, member.Zone, s)
	}
}

// fleetSummed handles the sum over all hosts from an aggregator.
func (g *Gossip) fleetSummed(s *FleetSum) {
	g.mu.Lock()
	aggregator, counts := g.members.ApplyFleetSum(s)
	if counts {
		g.shares.choice.RecordSum(g.parts.Clock(), aggregator)
	}
	g.mu.Unlock()
	if counts {
		g.useSum(s)
	}
}

// useSum hands a sum over all hosts to the host, with its own work that the sum counts.
func (g *Gossip) useSum(s *FleetSum) {
	var counted *Work
	g.mu.Lock()
	if i := slices.Index(s.Counted, g.incarnation); i >= 0 && i < len(s.Sequences) {
		if sent := &g.shares.sent[s.Sequences[i]%sentWork]; sent.sequence == s.Sequences[i] {
			counted = &sent.work
		}
	}
	g.mu.Unlock()
	g.parts.Host.HandleFleetSum(s, counted)
}

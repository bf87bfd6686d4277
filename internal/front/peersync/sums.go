package peersync

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/aggregate"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
)

// In a large fleet, aggregators add up the work of the hosts. This file converts between the messages of package gossip
// and the types of package aggregate, and passes the sums to placement.

// maxPartEndpoints is the maximum number of endpoints in a part of a sum: some 8 KB, which fit in the largest
// datagram that is read (gossip.maxDatagram).
const maxPartEndpoints = 1000

// maxSumEndpoints bounds the endpoints in a sum over all hosts. Each host receives it, so that its size must not grow
// with the number of endpoints.
const maxSumEndpoints = maxPartEndpoints

// sums holds the sums of this host as an aggregator, and the splits that aggregators propose.
type sums struct {
	mu         sync.Mutex
	aggregator *aggregate.Aggregator
	// proposals are the splits proposed by this host and other aggregators, by host.
	proposals map[string]proposal
}

// proposal is an aggregator's split of each service for all hosts.
type proposal struct {
	at     time.Time
	splits []gossip.ServiceSplit
}

func newSums() *sums {
	return &sums{aggregator: aggregate.New(), proposals: make(map[string]proposal)}
}

// IsBusy reports whether as many requests are open as there are endpoints, or as a sum names endpoints.
func (s *Sync) IsBusy() bool {
	return s.parts.Placer.OpenRequests() >= min(s.parts.Directory.CountServing(), maxSumEndpoints)
}

// Work returns this host's work for its aggregators.
func (s *Sync) Work() gossip.Work {
	loads, _ := s.parts.Placer.Snapshot()
	byKey := make(map[keys.Endpoint]placement.Load, len(loads))
	for endpoint, load := range loads {
		byKey[keys.OfEndpoint(endpoint)] = load
	}
	work := aggregate.Work{Loads: byKey, Engines: s.parts.Placer.EngineReports(), Holders: s.parts.Placer.HoldersToReport()}
	return toWork(&work, placement.Part{Of: 1})
}

// HandleContribution handles the work of a host in this host's zone.
func (s *Sync) HandleContribution(host string, c *gossip.Contribution) {
	work := fromWork(&c.Work)
	s.sums.mu.Lock()
	defer s.sums.mu.Unlock()
	s.sums.aggregator.SetHost(s.parts.Clock(), host, aggregate.MessageID{Incarnation: c.Incarnation, Sequence: c.Sequence}, work)
}

// Sums returns the parts of the sum over this host's zone, with this host's proposed splits, and those of the sum
// over all hosts, with the splits decided for all.
func (s *Sync) Sums() ([]gossip.ZoneSum, []gossip.FleetSum) {
	splits := toSplits(s.parts.Placer.Splits())
	now := s.parts.Clock()
	s.sums.mu.Lock()
	defer s.sums.mu.Unlock()
	s.sums.proposals[s.parts.Host] = proposal{at: now, splits: splits}
	decider, decided := s.sums.decidedSplits(now)
	sums := s.sums.aggregator.Sums(now)
	return zoneSumsOf(&sums, splits), fleetSumsOf(&sums, decider, decided)
}

// zoneSumsOf returns the messages with a zone's sum. The first part carries the splits.
func zoneSumsOf(sums *aggregate.Sums, splits []gossip.ServiceSplit) []gossip.ZoneSum {
	var messages []gossip.ZoneSum
	for _, part := range partsOfSum(&sums.Zone) {
		messages = append(messages, gossip.ZoneSum{Hosts: len(sums.Counted), Part: part.Number, Parts: part.Of, Work: toWork(&sums.Zone, part)})
	}
	messages[0].Splits = splits
	return messages
}

// fleetSumsOf returns the message with the sum over all hosts, which names the endpoints with the most work.
func fleetSumsOf(sums *aggregate.Sums, decider string, splits []gossip.ServiceSplit) []gossip.FleetSum {
	var counted []uint32
	var sequences []uint64
	for _, mark := range sums.Counted {
		counted = append(counted, mark.Incarnation)
		sequences = append(sequences, mark.Sequence)
	}
	fleet := sums.Fleet
	fleet.Loads = heaviest(fleet.Loads, maxSumEndpoints)
	return []gossip.FleetSum{{
		Counted: counted, Sequences: sequences, Parts: 1, Work: toWork(&fleet, placement.Part{Of: 1}), Decider: decider, Splits: splits,
	}}
}

// heaviest returns the loads of the endpoints with the most work, at most a number of them. Requests avoid an endpoint
// because of its load, so that an endpoint that is left out is at worst chosen as if it were idle.
func heaviest(loads map[keys.Endpoint]placement.Load, limit int) map[keys.Endpoint]placement.Load {
	if len(loads) <= limit {
		return loads
	}
	endpoints := slices.SortedFunc(maps.Keys(loads), func(a, b keys.Endpoint) int {
		x, y := loads[a], loads[b]
		return cmp.Or(cmp.Compare(y.Cost(), x.Cost()), cmp.Compare(a, b))
	})
	kept := make(map[keys.Endpoint]placement.Load, limit)
	for _, endpoint := range endpoints[:limit] {
		kept[endpoint] = loads[endpoint]
	}
	return kept
}

// HandleZoneSum handles a part of the sum over a cell. Only the splits are used of a sum over this host's own cell.
func (s *Sync) HandleZoneSum(peer, cell string, isOwn bool, sum *gossip.ZoneSum) {
	now := s.parts.Clock()
	s.sums.mu.Lock()
	defer s.sums.mu.Unlock()
	if sum.Part == 0 {
		s.sums.proposals[peer] = proposal{at: now, splits: sum.Splits}
	}
	if !isOwn {
		part := placement.Part{Number: sum.Part, Of: sum.Parts}
		s.sums.aggregator.SetZone(now, cell, peer, part, sum.Hosts, fromWork(&sum.Work))
	}
}

// decidedSplits returns the splits of the first aggregator in the order that all hosts share. All hosts therefore
// use the same splits, except while a change is in transit. The lock is held.
func (s *sums) decidedSplits(now time.Time) (decider string, splits []gossip.ServiceSplit) {
	maps.DeleteFunc(s.proposals, func(_ string, p proposal) bool { return now.Sub(p.at) > aggregate.WorkTimeout })
	hosts := slices.SortedFunc(maps.Keys(s.proposals), func(a, b string) int { return cmp.Compare(gossip.Rank(a), gossip.Rank(b)) })
	if len(hosts) == 0 {
		return "", nil
	}
	return hosts[0], s.proposals[hosts[0]].splits
}

// HandleFleetSum puts a part of the sum over all hosts in force.
func (s *Sync) HandleFleetSum(sum *gossip.FleetSum, counted *gossip.Work) {
	work := fromWork(&sum.Work)
	part := placement.Part{Number: sum.Part, Of: sum.Parts}
	if counted != nil {
		subtractOwn(work.Loads, counted, part)
	}
	update := placement.Sum{Part: part, Others: work.Loads, Holders: work.Holders, Engines: work.Engines}
	if sum.Decider != s.parts.Host {
		update.Splits = fromSplits(sum.Splits)
	}
	s.parts.Placer.SetSum(&update)
}

// subtractOwn subtracts a host's own work from the loads of a part, so that it is not counted twice.
func subtractOwn(loads map[keys.Endpoint]placement.Load, counted *gossip.Work, part placement.Part) {
	own := fromWork(counted)
	for endpoint, load := range own.Loads {
		if part.Has(endpoint) {
			sum := loads[endpoint]
			loads[endpoint] = placement.Load{Requests: sum.Requests - load.Requests, Tokens: sum.Tokens - load.Tokens}
		}
	}
}

// partsOfSum returns the parts in which a sum is sent.
func partsOfSum(sum *aggregate.Work) []placement.Part {
	number := max((len(sum.Loads)+maxPartEndpoints-1)/maxPartEndpoints, 1)
	parts := make([]placement.Part, number)
	for i := range parts {
		parts[i] = placement.Part{Number: i, Of: number}
	}
	return parts
}

// toWork encodes a part of some work for messages. The first part carries engine reports and holders.
func toWork(w *aggregate.Work, part placement.Part) gossip.Work {
	var work gossip.Work
	for endpoint, load := range w.Loads {
		if !part.Has(endpoint) || load == (placement.Load{}) {
			continue
		}
		work.Endpoints = append(work.Endpoints, endpoint)
		work.Requests = append(work.Requests, load.Requests)
		work.Tokens = append(work.Tokens, load.Tokens/gossip.TokenUnit)
	}
	if part.Number > 0 {
		return work
	}
	for service, report := range w.Engines {
		work.Engines = append(work.Engines, toEngineReport(service, &report))
	}
	for _, h := range w.Holders {
		work.Holders = append(work.Holders, gossip.Holder{Prefix: h.Prefix, Endpoint: h.Endpoint})
	}
	return work
}

// fromWork reverses toWork. Columns of different lengths are truncated to the shortest.
func fromWork(w *gossip.Work) aggregate.Work {
	work := aggregate.Work{Loads: make(map[keys.Endpoint]placement.Load, len(w.Endpoints)), Engines: make(placement.EngineReports, len(w.Engines))}
	for i := range min(len(w.Endpoints), len(w.Requests), len(w.Tokens)) {
		work.Loads[w.Endpoints[i]] = placement.Load{Requests: w.Requests[i], Tokens: w.Tokens[i] * gossip.TokenUnit}
	}
	for i := range w.Engines {
		work.Engines[w.Engines[i].Service] = fromEngineReport(&w.Engines[i])
	}
	for _, h := range w.Holders {
		work.Holders = append(work.Holders, placement.Holder{Prefix: h.Prefix, Endpoint: h.Endpoint})
	}
	return work
}

// toSplits encodes splits for messages.
func toSplits(splits placement.Splits) []gossip.ServiceSplit {
	var messages []gossip.ServiceSplit
	for service, split := range splits {
		messages = append(messages, gossip.ServiceSplit{Service: service, Short: split.Short, Long: split.Long})
	}
	return messages
}

// fromSplits reverses toSplits.
func fromSplits(messages []gossip.ServiceSplit) placement.Splits {
	splits := make(placement.Splits, len(messages))
	for _, m := range messages {
		splits[m.Service] = engine.Split{Short: m.Short, Long: m.Long}
	}
	return splits
}

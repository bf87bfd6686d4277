// Package aggregate adds up the work of the hosts of a large fleet, so that each host knows the work of all
// without receiving a message from each. The hosts of an availability zone send theirs to an aggregator of
// their zone; aggregators exchange the sums of their zones, and return the sum of the fleet. Bytes then grow
// with hosts x endpoints; if each host sent its work to all others, they would grow with the square of the
// hosts.
//
// It owns the sums at an aggregator (Aggregator) and the choice of a host's aggregators (Choice). Nothing is
// elected or agreed on: a host is an aggregator because others send it their work. Package gossip carries the
// messages. The package does no input or output, takes the time as a parameter, and is not safe for
// concurrent use.
package aggregate

import (
	"maps"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
)

const (
	// Interval is the time between two messages of a host to its aggregators, and of an aggregator to each host and
	// each other aggregator. Work passes three of them at most on its way, 375 ms in the mean: short against the
	// seconds that requests take. Shorter ones cost the aggregators' links in proportion.
	Interval = 250 * time.Millisecond
	// WorkTimeout is how long a host's work or a zone's sum counts after it was received: with one lost datagram in 40,
	// six in a row are never lost.
	WorkTimeout = 6 * Interval
)

// Work is the work of one host or of several together.
type Work struct {
	Loads   map[keys.Endpoint]placement.Load
	Engines placement.EngineReports
	// Holders are prefixes that were lately sent to endpoints.
	Holders []placement.Holder
}

// newWork returns the work of no host.
func newWork() Work {
	return Work{Loads: make(map[keys.Endpoint]placement.Load), Engines: make(placement.EngineReports)}
}

// add adds the loads and what is known of engines.
func (w *Work) add(other *Work) {
	for endpoint, load := range other.Loads {
		sum := w.Loads[endpoint]
		w.Loads[endpoint] = placement.Load{Requests: sum.Requests + load.Requests, Tokens: sum.Tokens + load.Tokens}
	}
	for service, report := range other.Engines {
		sum := w.Engines[service]
		sum.Add(&report)
		w.Engines[service] = sum
	}
}

// MessageID identifies one message of a host with its work.
type MessageID struct {
	// Incarnation is that of the host's start, Sequence counts its messages.
	Incarnation uint32
	Sequence    uint64
}

// hostWork is the newest work of a host.
type hostWork struct {
	at   time.Time
	mark MessageID
	work Work
}

// zoneSum is the newest sum of another zone that one of its aggregators sent.
type zoneSum struct {
	at    time.Time
	hosts int
	// parts are the parts of the sum; one that has not come yet is empty.
	parts []Work
}

// Aggregator holds what the hosts of its zone and the aggregators of other zones have sent. The zero value is
// not usable; see New.
type Aggregator struct {
	hosts map[string]hostWork
	// zones are the sums of other zones, by zone and the host that sent them.
	zones map[string]map[string]zoneSum
	// toZones and toHosts are holders that are still to be sent to other zones and to hosts.
	toZones holderQueue
	toHosts holderQueue
}

// New returns an aggregator that has received nothing.
func New() *Aggregator {
	return &Aggregator{
		hosts: make(map[string]hostWork), zones: make(map[string]map[string]zoneSum),
		toZones: newHolderQueue(), toHosts: newHolderQueue(),
	}
}

// SetHost replaces the work of a host of this zone. An older message than the last is ignored.
func (a *Aggregator) SetHost(now time.Time, host string, mark MessageID, work Work) {
	known := a.hosts[host]
	if known.mark.Incarnation == mark.Incarnation && known.mark.Sequence >= mark.Sequence {
		return
	}
	a.hosts[host] = hostWork{at: now, mark: mark, work: work}
	a.toZones.add(now, work.Holders)
	a.toHosts.add(now, work.Holders)
}

// SetZone replaces a part of the sum over a number of hosts of another zone that one of its aggregators has
// sent.
func (a *Aggregator) SetZone(now time.Time, zone, sender string, part placement.Part, hosts int, work Work) {
	if !part.IsValid() {
		return
	}
	if a.zones[zone] == nil {
		a.zones[zone] = make(map[string]zoneSum)
	}
	parts := a.zones[zone][sender].parts
	if len(parts) != part.Of {
		parts = make([]Work, part.Of)
	}
	parts[part.Number] = work
	a.zones[zone][sender] = zoneSum{at: now, hosts: hosts, parts: parts}
	a.toHosts.add(now, work.Holders)
}

// DropHost forgets the work of a host that left or fell silent, and the sums that it sent.
func (a *Aggregator) DropHost(host string) {
	delete(a.hosts, host)
	for _, sums := range a.zones {
		delete(sums, host)
	}
}

// expire forgets what is too old to count.
func (a *Aggregator) expire(now time.Time) {
	maps.DeleteFunc(a.hosts, func(_ string, host hostWork) bool { return now.Sub(host.at) > WorkTimeout })
	for zone, sums := range a.zones {
		maps.DeleteFunc(sums, func(_ string, sum zoneSum) bool { return now.Sub(sum.at) > WorkTimeout })
		if len(sums) == 0 {
			delete(a.zones, zone)
		}
	}
}

// Sums are the sums of an aggregator.
type Sums struct {
	// Zone is the sum over the hosts of this zone, Counted the messages that it counts.
	Zone    Work
	Counted []MessageID
	// Fleet is the sum over the hosts of all zones, Hosts their number.
	Fleet Work
	Hosts int
}

// Sums returns the sums as of now. Each zone counts once: of its aggregators' sums, the one over the most hosts.
func (a *Aggregator) Sums(now time.Time) Sums {
	a.expire(now)
	sums := Sums{Zone: newWork(), Fleet: newWork(), Hosts: len(a.hosts)}
	for _, host := range a.hosts {
		sums.Zone.add(&host.work)
		sums.Counted = append(sums.Counted, host.mark)
	}
	sums.Fleet.add(&sums.Zone)
	for _, zone := range a.zones {
		fullest := fullestOf(zone)
		for i := range fullest.parts {
			sums.Fleet.add(&fullest.parts[i])
		}
		sums.Hosts += fullest.hosts
	}
	sums.Zone.Holders, sums.Fleet.Holders = a.toZones.next(now), a.toHosts.next(now)
	return sums
}

// fullestOf returns the sum over the most hosts, and of equal ones the newest.
func fullestOf(sums map[string]zoneSum) zoneSum {
	var fullest zoneSum
	for _, sum := range sums {
		if sum.hosts > fullest.hosts || (sum.hosts == fullest.hosts && sum.at.After(fullest.at)) {
			fullest = sum
		}
	}
	return fullest
}

// Package aggregate adds up the work of the hosts of a large fleet, so that each host receives the work of all
// without a message from each. The hosts of an availability zone send their work to an aggregator of their zone;
// aggregators exchange the sums of their zones and return the sum of the fleet. Traffic then grows with hosts x
// endpoints; if each host sent its work to all others, it would grow with the square of the number of hosts.
//
// The package owns the sums at an aggregator (Aggregator) and a host's choice of aggregators (Choice). There is no
// election or agreement: a host is an aggregator because others send it their work. Package gossip carries the
// messages. The package does no I/O, takes the time as a parameter, and is not safe for concurrent use.
package aggregate

import (
	"maps"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
)

const (
	// Interval is the time between two messages of a host to its aggregators, and of an aggregator to each host and
	// to each other aggregator. Work passes through at most three such messages, with a mean delay of 375 ms: short
	// against the seconds that requests take. A shorter interval would increase the traffic of the aggregators in
	// proportion.
	Interval = 250 * time.Millisecond
	// IdleInterval is the same while most endpoints have no work: loads then hardly decide which endpoint is chosen.
	// Three messages arrive in WorkTimeout.
	IdleInterval = 2 * Interval
	// WorkTimeout is how long a host's work or a zone's sum counts after it was received. Six datagrams in a row are
	// not expected to be lost at a loss of 1 in 40.
	WorkTimeout = 6 * Interval
)

// Work is the work of one host, or the sum over several hosts.
type Work struct {
	Loads   map[keys.Endpoint]placement.Load
	Engines placement.EngineReports
	// Holders are the endpoints to which prefixes were sent recently.
	Holders []placement.Holder
}

// newWork returns the work of no hosts.
func newWork() Work {
	return Work{Loads: make(map[keys.Endpoint]placement.Load), Engines: make(placement.EngineReports)}
}

// add adds the loads and the engine observations of other; it leaves the holders as they are.
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

// MessageID identifies a message in which a host sent its work.
type MessageID struct {
	// Incarnation is the incarnation of the host, Sequence counts its messages.
	Incarnation uint32
	Sequence    uint64
}

// hostWork is the newest work of a host.
type hostWork struct {
	receivedAt time.Time
	id         MessageID
	work       Work
}

// zoneSum is the newest sum of another zone from one of its aggregators.
type zoneSum struct {
	receivedAt time.Time
	hosts      int
	// parts are the parts of the sum; a part that has not arrived yet is empty.
	parts []Work
}

// Aggregator holds the work of the hosts of its zone and the sums from the aggregators of other zones. Create it with
// New; the zero value is not usable.
type Aggregator struct {
	hosts map[string]hostWork
	// zones holds the sums of other zones, by zone and sending host.
	zones map[string]map[string]zoneSum
	// toZones and toHosts are the holders that are still to be sent to other zones and to hosts.
	toZones holderQueue
	toHosts holderQueue
}

// New returns an empty aggregator.
func New() *Aggregator {
	return &Aggregator{
		hosts: make(map[string]hostWork), zones: make(map[string]map[string]zoneSum),
		toZones: newHolderQueue(), toHosts: newHolderQueue(),
	}
}

// SetHost replaces the work of a host of this zone. It ignores a message that is not newer than the last one of the
// same incarnation.
func (a *Aggregator) SetHost(now time.Time, host string, id MessageID, work Work) {
	known := a.hosts[host]
	if known.id.Incarnation == id.Incarnation && known.id.Sequence >= id.Sequence {
		return
	}
	a.hosts[host] = hostWork{receivedAt: now, id: id, work: work}
	a.toZones.add(now, work.Holders)
	a.toHosts.add(now, work.Holders)
}

// SetZone replaces one part of the sum over the hosts of another zone, or of a part of a large zone, as sent by one of
// its aggregators. Hosts is the number of hosts in the sum.
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
	a.zones[zone][sender] = zoneSum{receivedAt: now, hosts: hosts, parts: parts}
	a.toHosts.add(now, work.Holders)
}

// DropHost removes the work of a host that has left or stopped responding, and the sums that it sent.
func (a *Aggregator) DropHost(host string) {
	delete(a.hosts, host)
	for _, sums := range a.zones {
		delete(sums, host)
	}
}

// expire removes work and sums older than WorkTimeout.
func (a *Aggregator) expire(now time.Time) {
	maps.DeleteFunc(a.hosts, func(_ string, host hostWork) bool { return now.Sub(host.receivedAt) > WorkTimeout })
	for zone, sums := range a.zones {
		maps.DeleteFunc(sums, func(_ string, sum zoneSum) bool { return now.Sub(sum.receivedAt) > WorkTimeout })
		if len(sums) == 0 {
			delete(a.zones, zone)
		}
	}
}

// Sums are the sums that an aggregator sends.
type Sums struct {
	// Zone is the sum over the hosts of this zone, Counted the messages that it includes.
	Zone    Work
	Counted []MessageID
	// Fleet is the sum over the hosts of all zones, Hosts their number.
	Fleet Work
	Hosts int
}

// Sums returns the sums at a point in time. Each zone counts once, with the sum over the most hosts among those of
// its aggregators.
func (a *Aggregator) Sums(now time.Time) Sums {
	a.expire(now)
	sums := Sums{Zone: newWork(), Fleet: newWork(), Hosts: len(a.hosts)}
	for _, host := range a.hosts {
		sums.Zone.add(&host.work)
		sums.Counted = append(sums.Counted, host.id)
	}
	sums.Fleet.add(&sums.Zone)
	for _, zone := range a.zones {
		largest := largestSum(zone)
		for i := range largest.parts {
			sums.Fleet.add(&largest.parts[i])
		}
		sums.Hosts += largest.hosts
	}
	sums.Zone.Holders, sums.Fleet.Holders = a.toZones.next(now), a.toHosts.next(now)
	return sums
}

// largestSum returns the sum over the most hosts, and the newest of several such sums.
func largestSum(sums map[string]zoneSum) zoneSum {
	var largest zoneSum
	for _, sum := range sums {
		if sum.hosts > largest.hosts || (sum.hosts == largest.hosts && sum.receivedAt.After(largest.receivedAt)) {
			largest = sum
		}
	}
	return largest
}

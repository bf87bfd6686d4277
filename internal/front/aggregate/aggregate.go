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
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
)

const (
	// Interval is the time between two messages of a host to its aggregators, and of an aggregator to each
	// host and each other aggregator. Work passes three of them at most on its way, 375 ms in the mean:
	// short against the seconds that requests take. Shorter ones cost the aggregators' links in proportion.
	// Not measured.
	Interval = 250 * time.Millisecond
	// WorkTimeout is how long a host's work or a zone's sum counts after it was received: with one lost
	// datagram in 40, six in a row are never lost. Not measured.
	WorkTimeout = 6 * Interval
)

// Work is the work of one host or of several together.
type Work struct {
	Loads   map[keys.Endpoint]placement.Load
	Engines placement.Observed
	// Holders are prefixes that were lately sent to endpoints.
	Holders []placement.Holder
}

// newWork returns the work of no host.
func newWork() Work {
	return Work{Loads: make(map[keys.Endpoint]placement.Load), Engines: make(placement.Observed)}
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

// Mark identifies one message of a host with its work.
type Mark struct {
	// Incarnation is that of the host's start, Sequence counts its messages.
	Incarnation uint32
	Sequence    uint64
}

// hostWork is the newest work of a host.
type hostWork struct {
	at   time.Time
	mark Mark
	work Work
}

// zoneSum is the newest sum of another zone that one of its aggregators sent.
type zoneSum struct {
	at    time.Time
	hosts int
	work  Work
}

// zonePart is one part of the sum of a zone.
type zonePart struct {
	zone string
	part placement.Part
}

// Aggregator holds what the hosts of its zone and the aggregators of other zones have sent. The zero value is
// not usable; see New.
type Aggregator struct {
	hosts map[string]hostWork
	// zones are the sums of other zones, by zone and part, and the host that sent them.
	zones map[zonePart]map[string]zoneSum
	// toZones and toHosts are holders that are still to be sent to other zones and to hosts.
	toZones holderQueue
	toHosts holderQueue
}

// New returns an aggregator that has received nothing.
func New() *Aggregator {
	return &Aggregator{
		hosts: make(map[string]hostWork), zones: make(map[zonePart]map[string]zoneSum),
		toZones: newHolderQueue(), toHosts: newHolderQueue(),
	}
}

// SetHost replaces the work of a host of this zone. An older message than the last is ignored.
func (a *Aggregator) SetHost(now time.Time, host string, mark Mark, work Work) {
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
	key := zonePart{zone: zone, part: part}
	if a.zones[key] == nil {
		a.zones[key] = make(map[string]zoneSum)
	}
	a.zones[key][sender] = zoneSum{at: now, hosts: hosts, work: work}
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
	for name, host := range a.hosts {
		if now.Sub(host.at) > WorkTimeout {
			delete(a.hosts, name)
		}
	}
	for key, sums := range a.zones {
		for sender, sum := range sums {
			if now.Sub(sum.at) > WorkTimeout {
				delete(sums, sender)
			}
		}
		if len(sums) == 0 {
			delete(a.zones, key)
		}
	}
}

// sumZone adds up the hosts of this zone. Marks are the messages that the sum counts.
func (a *Aggregator) sumZone() (sum Work, marks []Mark) {
	sum = newWork()
	for _, host := range a.hosts {
		sum.add(&host.work)
		marks = append(marks, host.mark)
	}
	return sum, marks
}

// Zone returns the sum over the hosts of this zone, and their number.
func (a *Aggregator) Zone(now time.Time) (sum Work, hosts int) {
	a.expire(now)
	sum, marks := a.sumZone()
	sum.Holders = a.toZones.next(now)
	return sum, len(marks)
}

// Fleet returns the sum over the hosts of all zones, the messages of this zone's hosts that it counts, and the
// number of hosts. Each zone counts once: of its aggregators' sums, the one over the most hosts.
func (a *Aggregator) Fleet(now time.Time) (sum Work, marks []Mark, hosts int) {
	a.expire(now)
	sum, marks = a.sumZone()
	hosts = len(marks)
	for key, sums := range a.zones {
		var fullest zoneSum
		for _, s := range sums {
			if s.hosts > fullest.hosts || (s.hosts == fullest.hosts && s.at.After(fullest.at)) {
				fullest = s
			}
		}
		sum.add(&fullest.work)
		if key.part.Number == 0 {
			hosts += fullest.hosts
		}
	}
	sum.Holders = a.toHosts.next(now)
	return sum, marks, hosts
}

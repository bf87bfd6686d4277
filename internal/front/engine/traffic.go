package engine

import (
	"maps"
	"math"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// trafficTimeConstant is the time constant of the exponential decay of traffic counts: long enough to average out the
// noise of some tens of requests per second, short enough to follow a burst of some seconds.
const trafficTimeConstant = 6 * time.Second

// Arrival is a request sent to an endpoint.
type Arrival struct {
	Class keys.Class
	// Prompt is the length of the prompt in tokens, Unread the number of tokens that the endpoint has to process.
	Prompt int
	Unread int
	// Answer is the expected length of the answer in tokens; 0 means unknown.
	Answer int
}

// Demand is the recent traffic of a request class, with exponentially decaying counts, and its open requests.
type Demand struct {
	Requests float64
	// Prompt is the number of prompt tokens, Unread the number of them to process.
	Prompt float64
	Unread float64
	// Open is the number of requests in flight.
	Open float64
}

func (d *Demand) add(other *Demand) {
	d.Requests += other.Requests
	d.Prompt += other.Prompt
	d.Unread += other.Unread
	d.Open += other.Open
}

// scaleRecent returns the demand with its decaying counts multiplied; the open requests stay.
func (d *Demand) scaleRecent(factor float64) Demand {
	return Demand{Requests: d.Requests * factor, Prompt: d.Prompt * factor, Unread: d.Unread * factor, Open: d.Open}
}

// forHosts returns the total demand of a number of hosts with this demand each.
func (d *Demand) forHosts(hosts float64) Demand {
	all := d.scaleRecent(hosts)
	all.Open *= hosts
	return all
}

// Traffic holds the demand of each class.
type Traffic map[keys.Class]Demand

// add adds to the demand of a class.
func (t Traffic) add(class keys.Class, demand *Demand) {
	sum := t[class]
	sum.add(demand)
	t[class] = sum
}

// ownTraffic is the traffic that this host sent, decayed to a point in time.
type ownTraffic struct {
	traffic Traffic
	at      time.Time
	// since is the time of the first counted request.
	since time.Time
}

// decayTo decays the counts to a later time.
func (t *ownTraffic) decayTo(now time.Time) {
	left := math.Exp(-float64(now.Sub(t.at)) / float64(trafficTimeConstant))
	for class, demand := range t.traffic {
		t.traffic[class] = demand.scaleRecent(left)
	}
	t.at = now
}

// minCountedTime is the minimum length of the counted time from which the steady state is extrapolated.
const minCountedTime = 300 * time.Millisecond

// steadyState returns the counts that would result if the requests had arrived at the same rate for long: a host that
// has just started has counted for less than trafficTimeConstant.
func (t *ownTraffic) steadyState(now time.Time) Traffic {
	t.decayTo(now)
	counted := max(now.Sub(t.since), minCountedTime)
	factor := 1 / (1 - math.Exp(-float64(counted)/float64(trafficTimeConstant)))
	steady := make(Traffic, len(t.traffic))
	for class, demand := range t.traffic {
		steady[class] = demand.scaleRecent(factor)
	}
	return steady
}

// RecordArrival counts a request that this host sends.
func (s *Service) RecordArrival(now time.Time, a Arrival) {
	if s.sent.since.IsZero() {
		s.sent.since = now
	}
	s.sent.decayTo(now)
	s.sent.traffic.add(a.Class, &Demand{Requests: 1, Prompt: float64(a.Prompt), Unread: float64(a.Unread), Open: 1})
	s.recordExpected(a.Class, a.Answer)
}

// RecordRefusal counts a request that this host refused for lack of room: refused requests are part of the demand that
// determines the split.
func (s *Service) RecordRefusal(now time.Time, a Arrival) {
	s.RecordArrival(now, a)
	s.RecordEnd(a.Class)
}

// RecordEnd counts the end of a request that this host sent.
func (s *Service) RecordEnd(class keys.Class) {
	s.sent.traffic.add(class, &Demand{Open: -1})
}

// allTraffic returns the recent traffic of all hosts. Without a sum, peers without a report are assumed to send as much
// as this host.
func (s *Service) allTraffic(now time.Time, hosts int) Traffic {
	var all Traffic
	if s.hasSum(now) {
		all = maps.Clone(s.sum.Traffic)
	} else {
		all = s.sent.steadyState(now)
		factor := float64(max(hosts-len(s.peers), 1))
		for class, demand := range all {
			all[class] = demand.forHosts(factor)
		}
	}
	for _, report := range s.peers {
		for class, demand := range report.Traffic {
			all.add(class, &demand)
		}
	}
	return all
}

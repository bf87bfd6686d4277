package engine

import (
	"maps"
	"math"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// trafficTime is the time constant with which a host forgets the traffic: long against the noise of some
// tens of requests a second, short enough to follow a burst of some seconds.
const trafficTime = 6 * time.Second

// Arrival is a request as it is sent to an endpoint.
type Arrival struct {
	Class keys.Class
	// Prompt is its length in tokens, Unread the part that the endpoint has to read.
	Prompt int
	Unread int
}

// Demand is what came of a request class lately, the older the less, and what is open of it.
type Demand struct {
	Requests float64
	// Prompt is the number of prompt tokens, Unread that of those to read.
	Prompt float64
	Unread float64
	// Open is the number of requests that have been sent and have not ended.
	Open float64
}

func (d *Demand) add(other *Demand) {
	d.Requests += other.Requests
	d.Prompt += other.Prompt
	d.Unread += other.Unread
	d.Open += other.Open
}

// recent returns the demand with what came lately multiplied; what is open stays.
func (d *Demand) recent(factor float64) Demand {
	return Demand{Requests: d.Requests * factor, Prompt: d.Prompt * factor, Unread: d.Unread * factor, Open: d.Open}
}

// times returns the demand of so many hosts that have this one each.
func (d *Demand) times(hosts float64) Demand {
	all := d.recent(hosts)
	all.Open *= hosts
	return all
}

// Traffic is the demand of each class.
type Traffic map[keys.Class]Demand

// add adds demand of a class.
func (t Traffic) add(class keys.Class, demand *Demand) {
	sum := t[class]
	sum.add(demand)
	t[class] = sum
}

// ownTraffic is what this host sent, as of a time.
type ownTraffic struct {
	traffic Traffic
	at      time.Time
	// since is when the first request was counted.
	since time.Time
}

// fade brings the counts to a later time.
func (t *ownTraffic) fade(now time.Time) {
	left := math.Exp(-float64(now.Sub(t.at)) / float64(trafficTime))
	for class, demand := range t.traffic {
		t.traffic[class] = demand.recent(left)
	}
	t.at = now
}

// leastCounted is the least time over which requests must have been counted to stand for a whole trafficTime.
const leastCounted = 300 * time.Millisecond

// steady returns the counts that there would be if the requests had come at the same rate for long: a host
// that has just started has counted for less than trafficTime.
func (t *ownTraffic) steady(now time.Time) Traffic {
	t.fade(now)
	counted := max(now.Sub(t.since), leastCounted)
	factor := 1 / (1 - math.Exp(-float64(counted)/float64(trafficTime)))
	steady := make(Traffic, len(t.traffic))
	for class, demand := range t.traffic {
		steady[class] = demand.recent(factor)
	}
	return steady
}

// RecordArrival counts a request that this host sends.
func (s *Service) RecordArrival(now time.Time, a Arrival) {
	if s.sent.since.IsZero() {
		s.sent.since = now
	}
	s.sent.fade(now)
	s.sent.traffic.add(a.Class, &Demand{Requests: 1, Prompt: float64(a.Prompt), Unread: float64(a.Unread), Open: 1})
}

// RecordRefusal counts a request that this host refused for lack of room: it belongs to what the endpoints are
// divided by.
func (s *Service) RecordRefusal(now time.Time, a Arrival) {
	s.RecordArrival(now, a)
	s.RecordEnd(a.Class)
}

// RecordEnd counts the end of a request that this host sent.
func (s *Service) RecordEnd(class keys.Class) {
	s.sent.traffic.add(class, &Demand{Open: -1})
}

// allTraffic returns what all hosts sent lately. Where there is no sum, peers that report nothing are taken to
// send as much as this host.
func (s *Service) allTraffic(now time.Time, hosts int) Traffic {
	var all Traffic
	if s.hasSum(now) {
		all = maps.Clone(s.sum.Traffic)
	} else {
		all = s.sent.steady(now)
		factor := float64(max(hosts-len(s.peers), 1))
		for class, demand := range all {
			all[class] = demand.times(factor)
		}
	}
	for _, report := range s.peers {
		for class, demand := range report.Traffic {
			all.add(class, &demand)
		}
	}
	return all
}

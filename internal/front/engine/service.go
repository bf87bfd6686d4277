package engine

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Stream holds a host's observations of a complete stream.
type Stream struct {
	// Events is the number of events, and Duration the time from the first to the last.
	Events   int
	Duration time.Duration
	// LongestPause is the longest time between two events, and UnreadBeside the number of unprocessed prompt tokens at
	// the endpoint when that pause ended, as far as this host could tell.
	LongestPause time.Duration
	UnreadBeside int
	// LengthHint is the caller's estimate of the length of the answer in tokens; 0 means none, or a stream that was cut.
	LengthHint int
}

// Service holds a host's data on the engines and the traffic of one service.
type Service struct {
	own   Figures
	peers map[string]Report
	// sum is the combined report of all hosts of a large fleet, this one included. It is valid until sumUntil.
	sum      Report
	sumUntil time.Time
	// merged holds the combined figures of this host and its peers.
	merged Figures
	sent   ownTraffic
	// long holds the classes whose prompts are kept away from the short classes, and short is the number of endpoints
	// reserved for the short classes.
	long  map[keys.Class]bool
	short int
	// arrivals holds the requests per ms at all hosts, of the long classes (true) and of the short ones (false).
	arrivals map[bool]float64
	// cutFixedUntil is the time until which the set of long classes does not change.
	cutFixedUntil time.Time
	// adoptedUntil is the time until which a split decided by another host is in force.
	adoptedUntil time.Time
	// lastNeededAt is the last time at which this number of endpoints was needed.
	lastNeededAt time.Time
	refreshAt    time.Time
	// mixedMiss is the probability that a short stream at an endpoint for long prompts misses its target, and
	// minPause the lowest target for pauses of the short classes.
	mixedMiss float64
	minPause  time.Duration
	answers   answers
}

// Report is a host's report on a service to its peers.
type Report struct {
	Figures Figures
	Traffic Traffic
}

// NewService returns a service without observations.
func NewService() *Service {
	return &Service{own: initialFigures(), merged: initialFigures(), peers: make(map[string]Report), sent: ownTraffic{traffic: make(Traffic)}, answers: answers{expected: make(map[keys.Class]Figure)}}
}

// Figures returns the combined figures of this host and its peers.
func (s *Service) Figures() *Figures { return &s.merged }

// minReadSample is the minimum number of prompt tokens for which the time to the first event is a sample of the
// processing rate; below it other work dominates.
const minReadSample = 1000

// readRateQuantile is the quantile of the observed rates that represents an engine with no other work: other work only
// makes an engine slower.
const readRateQuantile = 0.8

// eventTimeQuantile is the quantile of the observed times between events that represents an engine that processes no
// prompt: most streams run beside other prompts.
const eventTimeQuantile = 0.25

// RecordFirstEvent records the first event of a stream that came a time after the call was sent. Unread is the number
// of prompt tokens that the endpoint had to process for it. No other prompt was waiting before it.
func (s *Service) RecordFirstEvent(unread int, took time.Duration) {
	if unread < minReadSample {
		return
	}
	s.own.ReadRate.observe(float64(unread)/milliseconds(took), readRateQuantile, initialReadRate)
}

// RecordStream records the observations of a complete stream.
func (s *Service) RecordStream(stream Stream) {
	if rest := stream.Events - 2; rest > 1 {
		s.own.EventTime.observe(milliseconds(stream.Duration-stream.LongestPause)/float64(rest), eventTimeQuantile, initialEventTime)
	}
	s.observeEventRead(float64(stream.UnreadBeside), milliseconds(stream.LongestPause))
	s.recordAnswer(stream)
}

const (
	// minUnreadShare is the minimum number of unprocessed tokens at the end of a pause, relative to the tokens
	// processed in the pause, for which the pause is a sample of EventRead: a stalled endpoint has nothing to process.
	minUnreadShare = 0.5
	// minEventFill is the minimum number of unprocessed tokens relative to the current EventRead: pauses beside short
	// prompts are no samples of it.
	minEventFill = 0.5
	// eventReadQuantile is the quantile of the tokens processed in the longest pauses that represents the maximum per
	// event: prompts rarely fill all of its steps.
	eventReadQuantile = 0.75
)

// observeEventRead records a stream's longest pause in ms, with a number of unprocessed prompt tokens at its end.
func (s *Service) observeEventRead(beside, longest float64) {
	read := (longest/s.merged.pauseGrowthFactor(beside) - s.merged.EventTime.Value) * s.merged.ReadRate.Value
	if beside >= minUnreadShare*read && beside >= minEventFill*s.merged.EventRead.Value {
		s.own.EventRead.observe(read, eventReadQuantile, initialEventRead)
	}
}

// SetPeer replaces a peer's report.
func (s *Service) SetPeer(peer string, report Report) {
	s.peers[peer] = report
}

// DropPeer removes a peer's report.
func (s *Service) DropPeer(peer string) {
	delete(s.peers, peer)
}

// Add merges another report into this one.
func (r *Report) Add(other *Report) {
	r.Figures.ReadRate = r.Figures.ReadRate.merge(other.Figures.ReadRate)
	r.Figures.EventTime = r.Figures.EventTime.merge(other.Figures.EventTime)
	r.Figures.EventRead = r.Figures.EventRead.merge(other.Figures.EventRead)
	if r.Traffic == nil {
		r.Traffic = make(Traffic, len(other.Traffic))
	}
	for class, demand := range other.Traffic {
		r.Traffic.add(class, &demand)
	}
}

// SumTimeout is how long a sum or a split from other hosts is valid: several of the intervals at which they arrive, so
// that the loss of single messages has no effect.
const SumTimeout = 2 * time.Second

// SetSum replaces the combined report of all hosts of a large fleet.
func (s *Service) SetSum(now time.Time, sum Report) {
	s.sum, s.sumUntil = sum, now.Add(SumTimeout)
}

// hasSum reports whether there is a valid sum.
func (s *Service) hasSum(now time.Time) bool { return now.Before(s.sumUntil) }

// Report returns the report for peers.
func (s *Service) Report(now time.Time) Report {
	return Report{Figures: s.own, Traffic: s.sent.steadyState(now)}
}

// Load is the load of a service over all hosts.
type Load struct {
	// Requests is the number of requests per second, and BusyEngines the number of engines that processing their
	// prompts would keep fully busy.
	Requests    float64
	BusyEngines float64
	// Open is the number of open requests.
	Open float64
}

// Load returns the recent load of all hosts.
func (s *Service) Load(now time.Time, hosts int) Load {
	var load Load
	for _, d := range s.allTraffic(now, hosts) {
		load.Requests += d.Requests / trafficTimeConstant.Seconds()
		load.BusyEngines += d.Unread / milliseconds(trafficTimeConstant) / s.merged.ReadRate.Value
		load.Open += d.Open
	}
	return load
}

// refreshInterval is how often the figures of all hosts are merged and the split is updated: several heartbeats.
const refreshInterval = 100 * time.Millisecond

// Refresh merges the figures of all hosts and updates the split, if that is due. It reports whether the number of
// endpoints reserved for short classes has changed.
func (s *Service) Refresh(now time.Time, fleet *Fleet) bool {
	if now.Before(s.refreshAt) {
		return false
	}
	s.refreshAt = now.Add(refreshInterval)
	known := &s.own
	if s.hasSum(now) {
		known = &s.sum.Figures
	}
	s.merged = Figures{
		ReadRate:  s.mergeFigure(initialReadRate, known, func(f *Figures) *Figure { return &f.ReadRate }),
		EventTime: s.mergeFigure(initialEventTime, known, func(f *Figures) *Figure { return &f.EventTime }),
		EventRead: s.mergeFigure(initialEventRead, known, func(f *Figures) *Figure { return &f.EventRead }),
	}
	return s.decideSplit(now, fleet)
}

// mergeFigure returns the mean of one figure over its initial value and all hosts, weighted by samples. Known holds the
// figures of this host, or of all hosts of a large fleet.
func (s *Service) mergeFigure(initial float64, known *Figures, of func(*Figures) *Figure) Figure {
	var m mean
	m.add(initial, priorSamples)
	m.add(clamp(of(known).Value, initial), of(known).Samples)
	for _, report := range s.peers {
		theirs := of(&report.Figures)
		m.add(clamp(theirs.Value, initial), min(theirs.Samples, maxSamples))
	}
	return Figure{Value: m.value(), Samples: m.weight}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

package engine

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Stream is what a host saw of a stream that ended whole.
type Stream struct {
	// Events is their number, and Lasted the time from the first to the last.
	Events   int
	Duration time.Duration
	// LongestPause is the longest pause between two of them, Beside the prompt tokens that the endpoint had
	// to read when it ended, as far as this host knew.
	LongestPause time.Duration
	UnreadBeside int
}

// Service is what a host knows of the engines and the traffic of one service.
type Service struct {
	own   Figures
	peers map[string]Report
	// sum is what the hosts of a large fleet know together, this one included; it counts until sumUntil.
	sum      Report
	sumUntil time.Time
	// merged are the figures of this host and its peers together.
	merged Figures
	sent   ownTraffic
	// long are the classes whose prompts are kept away from those of all others, short is the number of
	// endpoints that are kept for the others.
	long  map[keys.Class]bool
	short int
	// arrivals are the requests in a ms at all hosts, of the long classes (true) and of the others.
	arrivals map[bool]float64
	// cutUntil is until when the long classes stay as they are.
	cutUntil time.Time
	// adoptedUntil is until when a split that another host decided is in force here.
	adoptedUntil time.Time
	// neededAt is when that many were last needed.
	neededAt  time.Time
	refreshAt time.Time
	// met is the chance that a short stream beside long prompts misses its target, tightest the least
	// target for pauses of the short classes.
	met      float64
	tightest time.Duration
}

// Report is what a host reports of a service to its peers.
type Report struct {
	Figures Figures
	Traffic Traffic
}

// NewService returns a service of which nothing was observed.
func NewService() *Service {
	return &Service{own: firstFigures(), merged: firstFigures(), peers: make(map[string]Report), sent: ownTraffic{traffic: make(Traffic)}}
}

// Figures returns the figures of this host and its peers together.
func (s *Service) Figures() *Figures { return &s.merged }

// minRead is the least number of prompt tokens from which the time to the first event says how fast an engine reads;
// below it other work weighs more.
const minRead = 1000

// undisturbed is the quantile of the observed rates that stands for an engine that reads nothing else: whatever else it
// does only makes it slower.
const undisturbed = 0.8

// besideNothing is the quantile of the observed times between events that stands for streams beside which nothing is
// read: most run beside something.
const besideNothing = 0.25

// RecordFirstEvent observes the first event of a stream that came a time after the call was sent, with a number of
// prompt tokens that the endpoint had to read for it, and none waiting before them.
func (s *Service) RecordFirstEvent(unread int, took time.Duration) {
	if unread < minRead {
		return
	}
	s.own.ReadRate.observe(float64(unread)/milliseconds(took), undisturbed, firstReadRate)
}

// RecordStream observes a stream that ended whole.
func (s *Service) RecordStream(stream Stream) {
	if rest := stream.Events - 2; rest > 1 {
		s.own.EventTime.observe(milliseconds(stream.Duration-stream.LongestPause)/float64(rest), besideNothing, firstEventTime)
	}
	s.observeEventRead(float64(stream.UnreadBeside), milliseconds(stream.LongestPause))
}

const (
	// besidePart is the least part of the tokens read in a pause that must have been unread at the endpoint when the
	// stream ended, for the pause to show how many are read in an event: a stalled endpoint has nothing to read.
	besidePart = 0.5
	// leastBeside is the least part of what is taken to be read in an event that must have been unread: pauses beside
	// short prompts show nothing.
	leastBeside = 0.5
	// mostRead is the quantile of the tokens read in the longest pauses that stands for the most that are read in an
	// event: prompts rarely fill all of its steps.
	mostRead = 0.75
)

// observeEventRead observes a stream's longest pause in ms, beside a number of unread prompt tokens.
func (s *Service) observeEventRead(beside, longest float64) {
	read := (longest/s.merged.growth(beside) - s.merged.EventTime.Value) * s.merged.ReadRate.Value
	if beside >= besidePart*read && beside >= leastBeside*s.merged.EventRead.Value {
		s.own.EventRead.observe(read, mostRead, firstEventRead)
	}
}

// SetPeer replaces the report of a peer.
func (s *Service) SetPeer(peer string, report Report) {
	s.peers[peer] = report
}

// DropPeer forgets the report of a peer.
func (s *Service) DropPeer(peer string) {
	delete(s.peers, peer)
}

// Add adds what another report says.
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

// SumTimeout is how long a sum or a split of other hosts counts: some of the intervals in which they come, so that what
// is lost on the way changes nothing.
const SumTimeout = 2 * time.Second

// SetSum replaces what all hosts of a large fleet know together.
func (s *Service) SetSum(now time.Time, sum Report) {
	s.sum, s.sumUntil = sum, now.Add(SumTimeout)
}

// hasSum reports whether there is a sum that counts.
func (s *Service) hasSum(now time.Time) bool { return now.Before(s.sumUntil) }

// Report returns what peers should know.
func (s *Service) Report(now time.Time) Report {
	return Report{Figures: s.own, Traffic: s.sent.steady(now)}
}

// Load is the work of a service at all hosts.
type Load struct {
	// Requests are those that come in a second, Reading is how many engines would read all the time.
	Requests    float64
	BusyEngines float64
	// Open is the number of open requests.
	Open float64
}

// Load returns the work of all hosts lately.
func (s *Service) Load(now time.Time, hosts int) Load {
	var load Load
	for _, d := range s.allTraffic(now, hosts) {
		load.Requests += d.Requests / trafficTime.Seconds()
		load.BusyEngines += d.Unread / milliseconds(trafficTime) / s.merged.ReadRate.Value
		load.Open += d.Open
	}
	return load
}

// refreshInterval is how often the figures of all hosts are put together and the split is decided anew: some
// heartbeats.
const refreshInterval = 100 * time.Millisecond

// Refresh puts the figures of all hosts together and decides the split, if that is due. It reports whether
// the split has changed.
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
		ReadRate:  s.mergeOne(firstReadRate, known, func(f *Figures) *Figure { return &f.ReadRate }),
		EventTime: s.mergeOne(firstEventTime, known, func(f *Figures) *Figure { return &f.EventTime }),
		EventRead: s.mergeOne(firstEventRead, known, func(f *Figures) *Figure { return &f.EventRead }),
	}
	return s.decideSplit(now, fleet)
}

// mergeOne returns the mean of one figure over all hosts, each by its samples, and the first value. Known are the
// figures of this host, or of all hosts of a large fleet.
func (s *Service) mergeOne(first float64, known *Figures, of func(*Figures) *Figure) Figure {
	var m mean
	m.add(first, priorSamples)
	m.add(bounded(of(known).Value, first), of(known).Samples)
	for _, report := range s.peers {
		theirs := of(&report.Figures)
		m.add(bounded(theirs.Value, first), min(theirs.Samples, maxSamples))
	}
	return Figure{Value: m.value(), Samples: m.weight}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

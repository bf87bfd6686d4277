package placement

import (
	"math"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/gossip"
)

// When a service gets a lane for short prompts: while more of their streams than
// laneOpens pause for longer than they should, and for laneTime after. A host goes by
// its own streams, and by those of all hosts.
const (
	laneOpens = 0.15
	laneTime  = 20 * time.Second
	// latePart is the part of the target for pauses from which a stream counts as
	// late, lateWeight the weight of one stream in the average of a host's own.
	latePart   = 0.97
	lateWeight = 0.10
	// recentTime is the time constant in which a host forgets the streams that it
	// tells its peers of.
	recentTime = 3 * time.Second
	// enoughStreams is how many recent streams of all hosts say something.
	enoughStreams = 25
)

// streamRecord is how the streams of short prompts fare at a service.
type streamRecord struct {
	// late is a moving average of the part of this host's streams that paused too long.
	late float64
	// recent counts this host's streams, as of the time at.
	recent streamCount
	at     time.Time
	// until is when the lane for short prompts closes.
	until time.Time
}

// streamCount counts streams, the older the less.
type streamCount struct{ late, all float64 }

func (c *streamCount) add(other streamCount) {
	c.late += other.late
	c.all += other.all
}

// tooLate reports whether the streams are enough and too many of them late.
func (c *streamCount) tooLate() bool { return c.all >= enoughStreams && c.late >= laneOpens*c.all }

// decayed gives the counts as of a later time.
func (r *streamRecord) decayed(now time.Time) streamCount {
	left := math.Exp(-float64(now.Sub(r.at)) / float64(recentTime))
	return streamCount{late: r.recent.late * left, all: r.recent.all * left}
}

// Streamed books the longest pause of a stream of a short prompt, against its target.
// It reports whether the service has got a lane for short prompts by it.
func (b *Board) Streamed(now time.Time, service string, longest, target time.Duration) bool {
	record, ok := b.records[service]
	if !ok {
		record = new(streamRecord)
		b.records[service] = record
	}
	sample := 0.0
	if float64(longest) > latePart*float64(target) {
		sample = 1
	}
	record.late += lateWeight * (sample - record.late)
	record.recent = record.decayed(now)
	record.recent.add(streamCount{late: sample, all: 1})
	record.at = now
	return record.late >= laneOpens && b.openLane(now, service)
}

// openLane gives a service a lane for short prompts, and reports whether it had none.
func (b *Board) openLane(now time.Time, service string) bool {
	opened := !b.shortLane(now, service)
	b.records[service].until = now.Add(laneTime)
	return opened
}

// shortLane reports whether a service has a lane for short prompts.
func (b *Board) shortLane(now time.Time, service string) bool {
	record, ok := b.records[service]
	return ok && now.Before(record.until)
}

// Streams tells how this host's streams have fared lately.
func (b *Board) Streams(now time.Time) map[gossip.ServiceKey]streamCount {
	streams := make(map[gossip.ServiceKey]streamCount, len(b.records))
	for service, record := range b.records {
		if recent := record.decayed(now); recent.all >= 1 {
			streams[gossip.KeyOfService(service)] = recent
		}
	}
	return streams
}

// OpenLanes gives lanes to the services where the streams of all hosts together are too
// late. It lists those that had none.
func (b *Board) OpenLanes(now time.Time) []string {
	var opened []string
	for service, record := range b.records {
		total := record.decayed(now)
		for _, peer := range b.peers {
			total.add(peer.streams[gossip.KeyOfService(service)])
		}
		if total.tooLate() && b.openLane(now, service) {
			opened = append(opened, service)
		}
	}
	return opened
}

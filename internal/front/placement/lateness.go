package placement

import (
	"math"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The short partition of a service opens while too many streams of short prompts pause for
// longer than they should. A host goes by its own streams and by those of all hosts: in a
// large fleet each host alone sees too few. It is not always open because it takes endpoints
// from long prompts (a trial on mfs-kochi: 0.82 in the mean of six days against 0.84).
const (
	// lateShare is the share of late streams from which the partition opens. Measured:
	// 0.10 opened it on a single late stream of one host (f9e05df); 0.08 of all hosts'
	// streams gave 0.797 on mfs-kochi-grown, no more than 0.15 (BENCHMARKS.md).
	lateShare = 0.15
	// openTime is how long the partition stays open. Not measured.
	openTime = 20 * time.Second
	// lateThreshold is the part of the target for pauses from which a stream counts as
	// late, before its caller would call it that. Not measured on its own.
	lateThreshold = 0.97
	// sampleWeight is the weight of one stream in the moving average of this host's own
	// streams. With lateShare 0.15 two late streams close together open the partition; one
	// alone does not (f9e05df).
	sampleWeight = 0.10
	// recentTime is the time constant with which a host forgets the streams that it reports
	// to its peers. Not measured; a few heartbeats long.
	recentTime = 3 * time.Second
	// minStreams is how many recent streams of all hosts it takes to judge. With it and
	// reports of all hosts the mean of the days with trouble on mfs-kochi-grown rose from
	// 0.766 to 0.788; the other three sites stayed as they were (f633c54).
	minStreams = 25
)

// StreamCount counts streams of short prompts, the older the less.
type StreamCount struct {
	// Late is the number of those that paused for too long.
	Late float64
	All  float64
}

func (c *StreamCount) add(other StreamCount) {
	c.Late += other.Late
	c.All += other.All
}

// tooLate reports whether there are enough streams to judge and too many of them late.
func (c *StreamCount) tooLate() bool { return c.All >= minStreams && c.Late >= lateShare*c.All }

// streamRecord is how the streams of short prompts at one service went.
type streamRecord struct {
	// lateAverage is the moving average of the share of this host's streams that were late.
	lateAverage float64
	// recent counts this host's streams, as of the time at.
	recent StreamCount
	at     time.Time
	// openUntil is when the short partition closes.
	openUntil time.Time
}

// decayed returns the recent counts as of a later time.
func (r *streamRecord) decayed(now time.Time) StreamCount {
	left := math.Exp(-float64(now.Sub(r.at)) / float64(recentTime))
	return StreamCount{Late: r.recent.Late * left, All: r.recent.All * left}
}

// open opens the short partition, and reports whether it was closed.
func (r *streamRecord) open(now time.Time) bool {
	opened := !now.Before(r.openUntil)
	r.openUntil = now.Add(openTime)
	return opened
}

// latenessTable holds the record of each service that had a stream of a short prompt.
type latenessTable map[string]*streamRecord

// Streamed counts the longest pause of a stream of a short prompt against its target. It
// returns the moving average of late streams, and whether the short partition opened.
func (t latenessTable) Streamed(now time.Time, service string, longest, target time.Duration) (average float64, opened bool) {
	record, ok := t[service]
	if !ok {
		record = new(streamRecord)
		t[service] = record
	}
	sample := 0.0
	if float64(longest) > lateThreshold*float64(target) {
		sample = 1
	}
	record.lateAverage += sampleWeight * (sample - record.lateAverage)
	record.recent = record.decayed(now)
	record.recent.add(StreamCount{Late: sample, All: 1})
	record.at = now
	return record.lateAverage, record.lateAverage >= lateShare && record.open(now)
}

// isOpen reports whether a service has a short partition.
func (t latenessTable) isOpen(now time.Time, service string) bool {
	record, ok := t[service]
	return ok && now.Before(record.openUntil)
}

// Recent returns this host's recent counts for its peers. Services with less than one
// stream left are not worth a report.
func (t latenessTable) Recent(now time.Time) map[keys.Service]StreamCount {
	counts := make(map[keys.Service]StreamCount, len(t))
	for service, record := range t {
		if recent := record.decayed(now); recent.All >= 1 {
			counts[keys.OfService(service)] = recent
		}
	}
	return counts
}

// openByAll opens the short partition of each service where the streams of all hosts
// together are too late, and returns those that had none.
func (t latenessTable) openByAll(now time.Time, peers map[string]peerReport) []string {
	var opened []string
	for service, record := range t {
		total := record.decayed(now)
		for _, peer := range peers {
			total.add(peer.streams[keys.OfService(service)])
		}
		if total.tooLate() && record.open(now) {
			opened = append(opened, service)
		}
	}
	return opened
}

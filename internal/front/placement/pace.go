package placement

import (
	"math"
	"math/bits"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pace"
)

// Pace learns the speed of endpoints from observations of the streams that pass this host. Its methods must not block.
type Pace interface {
	// Slowness returns the factor by which operations take longer at an endpoint than at the mean of its service. It is 1
	// without observations.
	Slowness(endpoint keys.Endpoint) float64
	// Speeds returns the endpoints that are fast or slow over the long term, and SpeedRevision a number that changes
	// whenever these change.
	Speeds() map[keys.Endpoint]pace.Speed
	SpeedRevision() uint64
	// Record is called with each observation.
	Record(sample pace.Sample)
	// Forget is called when an endpoint has restarted.
	Forget(endpoint keys.Endpoint)
}

// equalPace is the Pace of hosts that don't learn the speed of endpoints: all are equally fast.
type equalPace struct{}

func (equalPace) Slowness(keys.Endpoint) float64       { return 1 }
func (equalPace) Speeds() map[keys.Endpoint]pace.Speed { return nil }
func (equalPace) SpeedRevision() uint64                { return 0 }
func (equalPace) Record(pace.Sample)                   {}
func (equalPace) Forget(keys.Endpoint)                 {}

const (
	// minPredictedRead is the minimum predicted time to the first event for which the actual time is an observation;
	// below it other work dominates.
	minPredictedRead = 20 * time.Millisecond
	// deepBacklog is the number of unread tokens, in multiples of those read between two events, from which an engine
	// reads without a break although a host knows only what was unread some tenths of a second ago.
	deepBacklog = 4
	// firstEventLevels is the first level of conditions of first events; those of gaps are below.
	firstEventLevels = 1 << 8
)

// firstEventSample returns the observation of a first event that took a time, given the predicted one. It reports false
// if the time says little.
func firstEventSample(class keys.Class, predicted, took time.Duration) (pace.Sample, bool) {
	if predicted < minPredictedRead || took <= 0 {
		return pace.Sample{}, false
	}
	// An engine reads the prompts of urgent classes first, so that the prediction is wrong by a factor that depends on
	// the class and on how much is ahead.
	level := firstEventLevels + uint16(bits.Len64(uint64(predicted/minPredictedRead)))
	return pace.Sample{
		Condition: pace.Condition{Class: class, Level: level}, Log: math.Log(float64(took) / float64(predicted)),
	}, true
}

// gapSample returns the observation of a mean gap between the events of a stream, given the load of the endpoint at
// its beginning and at its end, without the unread tokens of the stream itself. It reports false if the engine may have
// read prompts for a part of the time only.
func gapSample(f *engine.Figures, gap time.Duration, before, after Load) (pace.Sample, bool) {
	unread := min(before.Tokens, after.Tokens)
	if gap <= 0 || (unread <= 0 && max(before.Tokens, after.Tokens) > 0) {
		return pace.Sample{}, false
	}
	// A step takes longer the more requests it serves, which matters while it reads little.
	open := uint16(bits.Len(uint(max(after.Requests, 0))))
	level := open
	switch {
	case float64(unread) >= deepBacklog*f.EventRead.Value:
		level = 3 << 5
	case float64(unread) >= f.EventRead.Value:
		level = 2 << 5
	case unread > 0:
		level = 1<<5 | open
	}
	expected := f.Pause(min(unread, int(f.EventRead.Value)), 1)
	return pace.Sample{
		Condition: pace.Condition{Level: level}, Log: math.Log(float64(gap)), Expected: math.Log(float64(expected)),
	}, true
}

// recordPace records an observation of the endpoint of a request.
func (t *ticket) recordPace(sample pace.Sample, ok bool) {
	if ok {
		sample.Service, sample.Endpoint = t.service, keys.OfEndpoint(t.endpoint)
		t.placer.view.pace.Record(sample)
	}
}

// recordFirstEvent records how long the first event took. The placer's lock is held.
func (t *ticket) recordFirstEvent() {
	if !t.learnsPace {
		return
	}
	now := t.placer.parts.Clock()
	t.recordPace(firstEventSample(t.class, t.predictedRead, now.Sub(t.startedAt)))
	t.events, t.eventAt, t.eventLoad = 1, now, t.placer.view.loads.Total(t.endpoint)
}

// recordEvents records the mean gap between the events since the last observation. Events is the number of events so
// far; the last one has just arrived.
func (t *ticket) recordEvents(events int) {
	if t.eventAt.IsZero() || events <= t.events {
		return
	}
	p := t.placer
	now := p.parts.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.view.loads.Total(t.endpoint)
	t.recordPace(gapSample(p.view.engines.get(t.service).Figures(), now.Sub(t.eventAt)/time.Duration(events-t.events), t.eventLoad, load))
	t.events, t.eventAt, t.eventLoad = events, now, load
}

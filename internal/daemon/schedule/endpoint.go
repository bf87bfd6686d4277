package schedule

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// The constants of an engine's learned concurrency limit. They come from the engine model of the replays, and engines
// whose steps take much longer or shorter than its 18 to 85 ms (emulator.DefaultConfig) need others.
const (
	// firstLimit is the limit in requests of an engine that nothing is known of.
	firstLimit = 4
	// largestLimit is the most requests at a time at any endpoint, and the limit of one that
	// does not generate tokens.
	largestLimit = 512
	// An engine is judged when at least judgeTime has passed and judgeSamples tokens were
	// measured: long enough that one slow step does not move the limit, short against the
	// seconds in which a load changes.
	judgeTime    = 500 * time.Millisecond
	judgeSamples = 8
	// looseBetween is the time between tokens that an engine is held to when none of its
	// requests has a target.
	looseBetween = 48 * time.Millisecond
	// reserve is the fraction of the limit that each tier leaves to the next higher, so that
	// a request of a higher tier rarely waits for a slot.
	reserve = 0.03
	// cacheHeadroom is the fraction of the cache memory that is granted. The rest absorbs
	// answers that are longer than predicted; a full cache makes an engine preempt.
	cacheHeadroom = 0.92
	// firstChunk is the first estimate of endpoint.chunk, in tokens.
	firstChunk = 256
	// firstBetween is the first estimate of the time between two tokens of an answer.
	firstBetween = 25 * time.Millisecond
)

// The constants of the running estimates.
const (
	// learnPrefillTokens is the least number of uncached prompt tokens of a request whose first
	// token is a measurement of endpoint.chunk: with fewer, the step that it shares with others
	// dominates.
	learnPrefillTokens = 128
	// leastPrefillSteps is the least prefill time of a measurement, in steps of the engine.
	leastPrefillSteps = 0.5
	// mostChunkChange bounds a measurement of chunk, as a factor of the estimate. A prompt that
	// waited behind others looks slow although the engine is not.
	mostChunkChange = 2
	// chunkSmoothing is the number of measurements that the estimate of chunk averages over.
	chunkSmoothing = 16
	// betweenSmoothing is the number of judgements that the estimate of between averages over.
	betweenSmoothing = 2
	// longerAnswer is the part by which the predicted length of an answer that has outgrown its
	// prediction exceeds the length so far: one in so many tokens.
	longerAnswer = 4
)

// targetHeadroom is the fraction of the target that the mean time between tokens is held to, by tier, so that most
// requests meet the target. The higher a tier, the fewer of its requests may miss it.
var targetHeadroom = [Tiers]float64{0.87, 0.93, 0.96, 0.98}

// endpoint is an endpoint with what was learned of it.
type endpoint struct {
	Endpoint
	gone    bool
	index   int
	running []*item

	limit     float64
	slowStart bool
	between   time.Duration
	// chunk is the prompt tokens that the engine processes in the time of one token
	// of an answer. Engines process prompts in steps that they share with the
	// answers, so prefill at a loaded engine is slower, and by the same ratio.
	chunk float64
	// prefillUntil is when the prompts that were sent are expected to be processed.
	prefillUntil time.Time
	cacheUsed    int

	// The measurements since the last judgement.
	window      time.Duration
	windowSteps int
	judgedAt    time.Time
	// lastSign is when the endpoint last brought tokens, got its first request or was readmitted.
	lastSign time.Time

	health health
}

func newEndpoint(now time.Time, config Endpoint) *endpoint {
	e := &endpoint{
		Endpoint:  config,
		limit:     firstLimit,
		slowStart: true,
		between:   firstBetween,
		chunk:     firstChunk,
		judgedAt:  now,
		lastSign:  now,
	}
	if !config.Engine {
		e.limit = largestLimit
	}
	return e
}

func (e *endpoint) inFlight() int { return len(e.running) }

// usable reports whether the endpoint may get new work.
func (e *endpoint) usable() bool { return !e.gone && !e.health.ejected }

// bound is the number of requests that the endpoint may have at a time.
func (e *endpoint) bound() float64 {
	limit := e.limit
	if e.health.probing {
		limit = 1
	}
	if e.MaxInFlight > 0 {
		limit = min(limit, float64(e.MaxInFlight))
	}
	return limit
}

func (e *endpoint) load() float64 {
	return float64(len(e.running)) / e.bound()
}

// hasRoomFor reports whether the endpoint has a slot for a tier. The last slots
// are kept for the highest tiers (reserve).
func (e *endpoint) hasRoomFor(tier int) bool {
	if !e.usable() {
		return false
	}
	kept := reserve * float64(tier) * e.bound()
	return float64(len(e.running)+1) <= max(1, e.bound()-kept)
}

// open reports whether the endpoint can take any request of a tier now: there
// is a slot, no failure was just seen, and little prefill is ahead.
func (e *endpoint) open(now time.Time, tier int, o *Options) bool {
	if !e.hasRoomFor(tier) || now.Before(e.health.noWorkUntil) {
		return false
	}
	return len(e.running) == 0 || e.prefillUntil.Sub(now) <= o.MaxPrefillAhead
}

// fits reports whether there is cache memory for a prompt and its predicted
// answer. An idle engine accepts any.
func (e *endpoint) fits(need int) bool {
	if e.CacheTokens == 0 || len(e.running) == 0 {
		return true
	}
	return float64(e.cacheUsed+need) <= cacheHeadroom*float64(e.CacheTokens)
}

// uncached returns the prompt tokens that the endpoint must process.
func (e *endpoint) uncached(r *admission.Request, cached cachedPart) int {
	if cached.holder != e {
		return r.PromptTokens
	}
	return r.PromptTokens - cached.tokens
}

// predictFirstToken estimates the time to the first token of a request that is
// sent now.
func (e *endpoint) predictFirstToken(now time.Time, r *admission.Request, cached cachedPart) time.Duration {
	if !e.Engine {
		return 0
	}
	ahead := max(0, e.prefillUntil.Sub(now))
	return ahead + e.prefillTime(e.uncached(r, cached)) + e.between
}

// prefillTime estimates how long the endpoint processes so many prompt tokens.
func (e *endpoint) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.chunk * float64(e.between))
}

// take counts a granted request.
func (e *endpoint) take(now time.Time, it *item) {
	it.endpoint = e
	it.endpointIndex = len(e.running)
	e.running = append(e.running, it)
	e.cacheUsed += it.request.PromptTokens + it.predicted
	e.prefillUntil = latest(e.prefillUntil, now).Add(e.prefillTime(it.uncached))
}

// drop removes a request.
func (e *endpoint) drop(it *item) {
	last := len(e.running) - 1
	e.running[it.endpointIndex] = e.running[last]
	e.running[it.endpointIndex].endpointIndex = it.endpointIndex
	e.running[last] = nil
	e.running = e.running[:last]
	e.cacheUsed -= it.request.PromptTokens + it.predicted
	it.endpoint = nil
	if last == 0 {
		e.prefillUntil = time.Time{}
	}
}

// firstToken updates the estimate of chunk with the time to the first token of a request.
func (e *endpoint) firstToken(now time.Time, it *item) {
	e.lastSign = now
	if it.uncached < learnPrefillTokens || !it.started {
		return
	}
	steps := float64(now.Sub(it.sentAt)-e.between) / float64(e.between)
	chunk := float64(it.uncached) / max(steps, leastPrefillSteps)
	chunk = min(max(chunk, e.chunk/mostChunkChange), e.chunk*mostChunkChange)
	e.chunk = max(1, e.chunk+(chunk-e.chunk)/chunkSmoothing)
}

// progress adds to the measurement of the time between tokens, and corrects the predicted length.
func (e *endpoint) progress(now time.Time, it *item, tokens int) {
	e.lastSign = now
	steps := tokens - it.measuredTokens
	e.window += now.Sub(it.measuredAt)
	e.windowSteps += steps
	it.measuredAt = now
	it.measuredTokens = tokens
	e.health.succeeded()
	if tokens > it.predicted {
		longer := tokens + tokens/longerAnswer
		e.cacheUsed += longer - it.predicted
		it.predicted = longer
	}
}

// strictest is the least target between tokens of the running requests, less
// the headroom of their tiers.
func (e *endpoint) strictest() time.Duration {
	target := looseBetween
	for _, it := range e.running {
		b := it.request.BetweenTokens
		if b == 0 {
			continue
		}
		target = min(target, time.Duration(float64(b)*targetHeadroom[it.request.Tier]))
	}
	return target
}

// The constants of a move of the limit, all fractions or factors of it. They were chosen so that
// a limit can't get stuck (the measurements of the traces before and after stand in BENCHMARKS.md
// as a whole).
const (
	// fullPart is the fraction of the limit that must be in use for it to grow.
	fullPart = 0.8
	// limitGain is the fraction of the distance to the target that one judgement corrects.
	limitGain = 0.5
	// leastStep and greatestStep bound one move, down and up. Down is faster: a limit that is
	// too high is paid for by every request at the engine.
	leastStep    = 0.7
	greatestStep = 1.1
	// slowStartStep is a move up until the engine was first slower than its target.
	slowStartStep = 1.5
)

// adapt moves the learned limit after a judgement: down in proportion when the
// engine is slower than the target, up when it is full and has time to spare.
func (e *endpoint) adapt(mean time.Duration) {
	ratio := float64(e.strictest()) / float64(mean)
	// One more than is running: a limit between one and two is full with one.
	full := float64(len(e.running)+1) >= fullPart*e.limit
	switch {
	case ratio < 1 && full:
		e.slowStart = false
		e.limit *= max(leastStep, 1+limitGain*(ratio-1))
	case ratio < 1:
		// The load that makes it slow is not the load that the limit allows.
		e.slowStart = false
		e.limit = float64(len(e.running))
	case full && e.slowStart:
		e.limit *= slowStartStep
	case full:
		e.limit *= min(greatestStep, 1+limitGain*(ratio-1))
	}
	e.limit = min(max(e.limit, 1), largestLimit)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

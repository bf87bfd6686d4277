package schedule

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// The constants of the learned limits.
const (
	firstLimit   = 4
	largestLimit = 512
	// judgeTime and judgeSamples are how long one judgement of an engine
	// gathers measurements.
	judgeTime    = 500 * time.Millisecond
	judgeSamples = 8
	// looseBetween is the target of an engine whose requests have none.
	looseBetween = 48 * time.Millisecond
	// reserve is the part of the limit that each tier leaves to the next higher.
	reserve = 0.03
	// cacheHeadroom is the part of the cache memory that is granted.
	cacheHeadroom = 0.92
	// firstChunk is the first guess of the prompt tokens read in one step.
	firstChunk = 256
	// firstBetween is the first guess of the time for a token of an answer.
	firstBetween = 25 * time.Millisecond
)

// targetHeadroom keeps the mean below the target, so that most requests meet
// it. The higher a tier, the fewer of its requests may miss it.
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
	// chunk is the prompt tokens that the engine reads in the time of one token
	// of an answer. Engines read prompts in steps that they share with the
	// answers, so a loaded engine reads slower, and by the same ratio.
	chunk float64
	// prefillUntil is when the prompts that were sent are read.
	prefillUntil time.Time
	cacheUsed    int

	// The measurements since the last judgement.
	window      time.Duration
	windowSteps int
	judgedAt    time.Time
	heardAt     time.Time

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
		heardAt:   now,
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

// hasRoomFor reports whether the endpoint has a place for a tier. The last
// places are kept for the highest tiers, so that a request of theirs rarely has
// to wait for one.
func (e *endpoint) hasRoomFor(tier int) bool {
	if !e.usable() {
		return false
	}
	kept := reserve * float64(tier) * e.bound()
	return float64(len(e.running)+1) <= max(1, e.bound()-kept)
}

// open reports whether the endpoint can take any request of a tier now: there
// is a place, no pause after a failure, and little prefill ahead.
func (e *endpoint) open(now time.Time, tier int, o *Options) bool {
	if !e.hasRoomFor(tier) || now.Before(e.health.pausedUntil) {
		return false
	}
	return len(e.running) == 0 || e.prefillUntil.Sub(now) <= o.PrefillAhead
}

// fits reports whether there is cache memory for a prompt and its predicted
// answer. An idle engine takes any.
func (e *endpoint) fits(need int) bool {
	if e.CacheTokens == 0 || len(e.running) == 0 {
		return true
	}
	return float64(e.cacheUsed+need) <= cacheHeadroom*float64(e.CacheTokens)
}

// uncached is the part of a prompt that the endpoint must read.
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
	return ahead + e.readTime(e.uncached(r, cached)) + e.between
}

// readTime is the time that the endpoint takes to read so many prompt tokens.
func (e *endpoint) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.chunk * float64(e.between))
}

// take counts a granted request.
func (e *endpoint) take(now time.Time, it *item) {
	it.endpoint = e
	it.endpointIndex = len(e.running)
	e.running = append(e.running, it)
	e.cacheUsed += it.request.PromptTokens + it.predicted
	e.prefillUntil = latest(e.prefillUntil, now).Add(e.readTime(it.uncached))
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

// learnPrefillTokens is the least prompt that is a measurement of the cost
// of reading one.
const learnPrefillTokens = 128

// firstToken learns the cost of reading prompts.
func (e *endpoint) firstToken(now time.Time, it *item) {
	e.heardAt = now
	if it.uncached < learnPrefillTokens || !it.started {
		return
	}
	steps := float64(now.Sub(it.sentAt)-e.between) / float64(e.between)
	// Prompts before this one are in the measured time too, so a sample far
	// below the estimate counts as half of it at most.
	chunk := float64(it.uncached) / max(steps, 0.5)
	chunk = min(max(chunk, e.chunk/2), e.chunk*2)
	e.chunk = max(1, e.chunk+(chunk-e.chunk)/16)
}

// progress learns the time between tokens, and corrects the predicted length.
func (e *endpoint) progress(now time.Time, it *item, tokens int) {
	e.heardAt = now
	steps := tokens - it.measuredTokens
	e.window += now.Sub(it.measuredAt)
	e.windowSteps += steps
	it.measuredAt = now
	it.measuredTokens = tokens
	e.health.succeeded()
	if tokens > it.predicted {
		longer := tokens + tokens/4
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

// The constants of a move of the limit: how much of the distance to the target
// one judgement corrects, and the bounds of one step.
const (
	// fullPart is the part of the limit that must be used for it to grow.
	fullPart     = 0.8
	limitGain    = 0.5
	leastStep    = 0.7
	greatestStep = 1.1
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
		e.limit *= 1.5
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

package schedule

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// The constants of an engine's learned concurrency limit. They suit engines whose steps take about 18 to 85 ms, as those
// of the engine model (emulator.DefaultConfig). Engines with much longer or shorter steps need other values.
const (
	// initialLimit is the limit, in requests, of an engine without measurements.
	initialLimit = 4
	// maxLimit bounds the concurrent requests at any endpoint. It is also the limit of an endpoint that does
	// not generate tokens.
	maxLimit = 512
	// A window of measurements is evaluated when it has lasted at least minWindow and holds at least
	// minWindowSteps tokens. This is long enough that one slow step does not move the limit, and short
	// compared with the seconds in which the load changes.
	minWindow      = 500 * time.Millisecond
	minWindowSteps = 8
	// defaultBetweenTarget is the target for the time between tokens at an engine none of whose requests has
	// a target.
	defaultBetweenTarget = 48 * time.Millisecond
	// reservedShare is the fraction of the limit that each tier leaves free for the next higher tier, so that
	// a request of a higher tier rarely waits for a slot.
	reservedShare = 0.03
	// maxCacheShare is the fraction of the cache memory that is granted. The rest absorbs answers that are
	// longer than predicted: an engine with a full cache preempts requests.
	maxCacheShare = 0.92
	// initialPrefillPerStep is the first estimate of endpoint.prefillPerStep, in tokens.
	initialPrefillPerStep = 256
	// initialBetweenTokens is the first estimate of the time between two tokens of an answer.
	initialBetweenTokens = 25 * time.Millisecond
)

// The constants of the running estimates of an endpoint.
const (
	// minPrefillSample is the minimum number of uncached prompt tokens of a request that updates
	// endpoint.prefillPerStep. With fewer tokens, the step that the request shares with others dominates its
	// time to the first token.
	minPrefillSample = 128
	// minPrefillSteps is the minimum prefill time of a measurement, in steps of the engine.
	minPrefillSteps = 0.5
	// maxPrefillChange bounds a measurement of prefillPerStep, as a factor of the estimate. A prompt that
	// waited behind others looks slow although the engine is not.
	maxPrefillChange = 2
	// prefillSmoothing is the number of measurements that the estimate of prefillPerStep averages over.
	prefillSmoothing = 16
	// betweenSmoothing is the number of windows that the estimate of betweenTokens averages over.
	betweenSmoothing = 2
	// lengthMarginDivisor determines the margin when an answer outgrows its predicted length: the new
	// prediction is the current length plus this fraction of it (1/4).
	lengthMarginDivisor = 4
)

// targetShare is the fraction of the target that the mean time between tokens is kept below, by tier, so that
// most requests meet the target. Higher tiers have a lower fraction, so that fewer of their requests miss the
// target.
var targetShare = [Tiers]float64{0.87, 0.93, 0.96, 0.98}

// endpoint is an endpoint with its open requests and the estimates for it.
type endpoint struct {
	Endpoint
	gone    bool
	index   int
	running []*item

	limit         float64
	slowStart     bool
	betweenTokens time.Duration
	// prefillPerStep is the number of prompt tokens that the engine processes in the time of one token of an
	// answer. Engines process prompts in steps that they share with the answers, so prefill slows down with
	// the load by the same ratio as generation.
	prefillPerStep float64
	// prefillUntil is when the engine is expected to have processed the prompts that were sent to it.
	prefillUntil    time.Time
	cacheTokensUsed int

	// window, windowSteps and windowStart describe the measurements of the time between tokens since the last
	// evaluation.
	window      time.Duration
	windowSteps int
	windowStart time.Time
	// lastActivity is when the endpoint last sent tokens, got a request while idle, or was readmitted.
	lastActivity time.Time

	health health
}

func newEndpoint(now time.Time, config Endpoint) *endpoint {
	e := &endpoint{
		Endpoint:       config,
		limit:          initialLimit,
		slowStart:      true,
		betweenTokens:  initialBetweenTokens,
		prefillPerStep: initialPrefillPerStep,
		windowStart:    now,
		lastActivity:   now,
	}
	if !config.Engine {
		e.limit = maxLimit
	}
	return e
}

func (e *endpoint) inFlight() int { return len(e.running) }

// isUsable reports whether the endpoint may get new requests.
func (e *endpoint) isUsable() bool { return !e.gone && !e.health.ejected }

// effectiveLimit returns the number of requests that the endpoint may have at a time.
func (e *endpoint) effectiveLimit() float64 {
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
	return float64(len(e.running)) / e.effectiveLimit()
}

// hasSlotFor reports whether the endpoint has a free slot for a tier. The last slots are reserved for the
// highest tiers (reservedShare).
func (e *endpoint) hasSlotFor(tier int) bool {
	if !e.isUsable() {
		return false
	}
	reserved := reservedShare * float64(tier) * e.effectiveLimit()
	return float64(len(e.running)+1) <= max(1, e.effectiveLimit()-reserved)
}

// canAccept reports whether the endpoint can take a request of a tier now: a slot is free, the back-off after
// a failure has ended, and the queued prefill is within the bound.
func (e *endpoint) canAccept(now time.Time, tier int, o *Options) bool {
	if !e.hasSlotFor(tier) || now.Before(e.health.backoffUntil) {
		return false
	}
	return len(e.running) == 0 || e.prefillUntil.Sub(now) <= o.MaxPrefillAhead
}

// fits reports whether the cache memory has room for a prompt and its predicted answer. An idle engine
// accepts any request.
func (e *endpoint) fits(tokens int) bool {
	if e.CacheTokens == 0 || len(e.running) == 0 {
		return true
	}
	return float64(e.cacheTokensUsed+tokens) <= maxCacheShare*float64(e.CacheTokens)
}

// uncachedTokens returns the number of prompt tokens that the endpoint must process.
func (e *endpoint) uncachedTokens(r *admission.Request, cached cachedPrefix) int {
	if cached.holder != e {
		return r.PromptTokens
	}
	return r.PromptTokens - cached.tokens
}

// predictFirstToken estimates the time to the first token of a request that is sent now.
func (e *endpoint) predictFirstToken(now time.Time, r *admission.Request, cached cachedPrefix) time.Duration {
	if !e.Engine {
		return 0
	}
	ahead := max(0, e.prefillUntil.Sub(now))
	return ahead + e.prefillTime(e.uncachedTokens(r, cached)) + e.betweenTokens
}

// prefillTime estimates how long the endpoint takes to process a number of prompt tokens.
func (e *endpoint) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.prefillPerStep * float64(e.betweenTokens))
}

// add adds a granted request to the endpoint's load.
func (e *endpoint) add(now time.Time, it *item) {
	it.endpoint = e
	it.endpointIndex = len(e.running)
	e.running = append(e.running, it)
	e.cacheTokensUsed += it.request.PromptTokens + it.predictedTokens
	e.prefillUntil = later(e.prefillUntil, now).Add(e.prefillTime(it.uncachedTokens))
}

// remove removes a request from the endpoint's load.
func (e *endpoint) remove(it *item) {
	last := len(e.running) - 1
	e.running[it.endpointIndex] = e.running[last]
	e.running[it.endpointIndex].endpointIndex = it.endpointIndex
	e.running[last] = nil
	e.running = e.running[:last]
	e.cacheTokensUsed -= it.request.PromptTokens + it.predictedTokens
	it.endpoint = nil
	if last == 0 {
		e.prefillUntil = time.Time{}
	}
}

// recordFirstToken updates prefillPerStep from the time to the first token of a request.
func (e *endpoint) recordFirstToken(now time.Time, it *item) {
	e.lastActivity = now
	if it.uncachedTokens < minPrefillSample || !it.started {
		return
	}
	steps := float64(now.Sub(it.sentAt)-e.betweenTokens) / float64(e.betweenTokens)
	sample := float64(it.uncachedTokens) / max(steps, minPrefillSteps)
	sample = min(max(sample, e.prefillPerStep/maxPrefillChange), e.prefillPerStep*maxPrefillChange)
	e.prefillPerStep = max(1, e.prefillPerStep+(sample-e.prefillPerStep)/prefillSmoothing)
}

// recordProgress adds to the measurement of the time between tokens and corrects the predicted length.
func (e *endpoint) recordProgress(now time.Time, it *item, tokens int) {
	e.lastActivity = now
	steps := tokens - it.measuredTokens
	e.window += now.Sub(it.measuredAt)
	e.windowSteps += steps
	it.measuredAt = now
	it.measuredTokens = tokens
	e.health.recordSuccess()
	if tokens > it.predictedTokens {
		longer := tokens + tokens/lengthMarginDivisor
		e.cacheTokensUsed += longer - it.predictedTokens
		it.predictedTokens = longer
	}
}

// betweenTarget returns the lowest target for the time between tokens of the running requests, each scaled by
// the targetShare of its tier.
func (e *endpoint) betweenTarget() time.Duration {
	target := defaultBetweenTarget
	for _, it := range e.running {
		b := it.request.BetweenTokens
		if b == 0 {
			continue
		}
		target = min(target, time.Duration(float64(b)*targetShare[it.request.Tier]))
	}
	return target
}

// The constants of one step of the limit, all fractions or factors of it. With these values a limit can't get stuck.
const (
	// fullShare is the fraction of the limit that must be in use for the limit to grow.
	fullShare = 0.8
	// limitGain is the fraction of the distance to the target that one step corrects.
	limitGain = 0.5
	// minStep and maxStep bound the factor of one step. Steps down are larger, because a limit that is too
	// high slows every request at the engine.
	minStep = 0.7
	maxStep = 1.1
	// slowStartStep is the factor of a step up until the engine is first slower than its target.
	slowStartStep = 1.5
)

// adaptLimit adapts the learned limit to the mean time between tokens of a window. It lowers the limit in
// proportion when the engine is slower than the target, and raises it when the engine is full and faster than
// the target.
func (e *endpoint) adaptLimit(mean time.Duration) {
	ratio := float64(e.betweenTarget()) / float64(mean)
	// The next request counts as well, so that a limit between one and two is full with one request.
	full := float64(len(e.running)+1) >= fullShare*e.limit
	switch {
	case ratio < 1 && full:
		e.slowStart = false
		e.limit *= max(minStep, 1+limitGain*(ratio-1))
	case ratio < 1:
		e.slowStart = false
		// The engine is slow with fewer requests than the limit allows, so the limit drops to that number.
		e.limit = float64(len(e.running))
	case full && e.slowStart:
		e.limit *= slowStartStep
	case full:
		e.limit *= min(maxStep, 1+limitGain*(ratio-1))
	}
	e.limit = min(max(e.limit, 1), maxLimit)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Package emulator models a model engine that batches continuously: it reads
// prompts in chunks, generates one token a step for each running request, keeps
// prompt prefixes in limited cache memory and serves higher priorities first.
//
// It does no input or output and keeps no clock: the owner asks Next for the
// end of the step under way and calls Step at that time. Replays drive it in
// virtual time, the stand-in server in real time.
package emulator

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/daemon/prefix"
)

// Config is an engine's speed and size.
type Config struct {
	// StepTime is the time of a step with no request.
	StepTime time.Duration
	// PerRequest is what each running request adds to a step.
	PerRequest time.Duration
	// PerPromptToken is what each prompt token that is read adds to a step.
	PerPromptToken time.Duration
	// ChunkTokens bounds the prompt tokens read in one step.
	ChunkTokens int
	// MaxRunning bounds the batch.
	MaxRunning int
	// CacheTokens is the cache memory for prompts, answers and prefixes.
	CacheTokens int
}

// DefaultConfig is an engine on one accelerator that generates about 370 tokens a
// second at 48 ms between tokens with prompts of ordinary length.
var DefaultConfig = Config{
	StepTime:       18 * time.Millisecond,
	PerRequest:     800 * time.Microsecond,
	PerPromptToken: 60 * time.Microsecond,
	ChunkTokens:    256,
	MaxRunning:     64,
	CacheTokens:    120_000,
}

// Request is one request as the engine sees it.
type Request struct {
	ID string
	// Priority orders waiting requests; lower runs first.
	Priority int
	// PromptTokens is the length of the prompt, AnswerTokens that of the answer
	// that the model will generate.
	PromptTokens int
	AnswerTokens int
	// Prefix is the hash of each leading part of the prompt of
	// prefix.TokensPerPart tokens.
	Prefix []uint64
	// PartialTokens is the number of answer tokens that the prompt ends with, when the
	// engine goes on from a part of an answer.
	PartialTokens int
}

// Kind is what happened to a request.
type Kind uint8

// The kinds of event.
const (
	// Token: one more token of the answer.
	Token Kind = iota
	// Last: the last token; the request has ended.
	Last
	// Recompute: the request lost its cache memory and must start its prompt
	// anew. Its tokens so far are kept.
	Recompute
)

// Event is one thing that happened in a step.
type Event struct {
	Kind Kind
	ID   string
	// Tokens is the number of answer tokens so far.
	Tokens int
}

// Load is what an engine reports of itself.
type Load struct {
	Running     int
	Waiting     int
	CacheTokens int
}

// sequence is a request inside the engine.
type sequence struct {
	request Request
	arrival int
	// toRead is the part of the prompt that is not in the cache yet.
	toRead int
	// cached is the part that came from the prefix cache.
	cached int
	tokens int
}

func (q *sequence) memory() int { return q.request.PromptTokens + q.tokens }

// Engine is one engine.
type Engine struct {
	config   Config
	running  []*sequence
	waiting  []*sequence
	arrivals int
	stepEnd  time.Time
	stepping bool
	slow     float64
	stalled  bool
	cache    *prefixCache
	events   []Event
	// AnswerTokensGenerated counts the tokens of answers, Read the prompt tokens read,
	// Reused those that came from the cache.
	AnswerTokensGenerated int
	PromptTokensRead      int
	PromptTokensReused    int
	busy                  time.Duration
}

// New returns an idle engine.
func New(config Config) *Engine {
	return &Engine{config: config, slow: 1, cache: newPrefixCache()}
}

// Busy is the time spent in steps so far.
func (e *Engine) Busy() time.Duration { return e.busy }

// SetSlow makes every step take factor times as long; 1 is normal.
func (e *Engine) SetSlow(factor float64) { e.slow = factor }

// SetStalled stops the engine from ending steps while on.
func (e *Engine) SetStalled(now time.Time, stalled bool) {
	e.stalled = stalled
	if !stalled && e.stepping {
		e.stepEnd = now.Add(e.stepTime())
	}
}

// Submit adds a request. A request with the ID of one inside replaces it.
func (e *Engine) Submit(now time.Time, request Request) {
	e.Cancel(request.ID)
	e.arrivals++
	e.waiting = append(e.waiting, &sequence{request: request, arrival: e.arrivals, tokens: request.PartialTokens})
	e.start(now)
}

// Cancel drops a request and reports whether it was inside.
func (e *Engine) Cancel(id string) bool {
	match := func(q *sequence) bool { return q.request.ID == id }
	before := len(e.running) + len(e.waiting)
	e.running = slices.DeleteFunc(e.running, match)
	e.waiting = slices.DeleteFunc(e.waiting, match)
	return len(e.running)+len(e.waiting) < before
}

// Crash drops everything and returns the IDs of the requests that were lost, in
// order of their start.
func (e *Engine) Crash() []string {
	var lost []string
	for _, q := range append(e.running, e.waiting...) {
		lost = append(lost, q.request.ID)
	}
	e.running, e.waiting = nil, nil
	e.stepping = false
	e.cache = newPrefixCache()
	return lost
}

// Load reports the engine's load now.
func (e *Engine) Load() Load {
	return Load{Running: len(e.running), Waiting: len(e.waiting), CacheTokens: e.memory()}
}

// Next returns when the step under way ends. It reports false if the engine is
// idle or stalled.
func (e *Engine) Next() (time.Time, bool) {
	return e.stepEnd, e.stepping && !e.stalled
}

// Step ends the step under way, starts the next, and returns what happened. The
// slice is valid until the next call.
func (e *Engine) Step(now time.Time) []Event {
	e.events = e.events[:0]
	if !e.stepping || e.stalled || now.Before(e.stepEnd) {
		return nil
	}
	e.stepping = false
	e.advance()
	e.start(now)
	return e.events
}

// advance does the work of one step: one chunk of prompts, one token for each
// request whose prompt is read.
func (e *Engine) advance() {
	chunk := e.config.ChunkTokens
	kept := e.running[:0]
	for _, q := range e.running {
		if q.toRead > 0 {
			n := min(q.toRead, chunk)
			chunk -= n
			q.toRead -= n
			e.PromptTokensRead += n
			if q.toRead > 0 || n == 0 {
				kept = append(kept, q)
				continue
			}
			e.cache.put(q.request.Prefix)
		}
		q.tokens++
		e.AnswerTokensGenerated++
		if q.tokens >= q.request.AnswerTokens {
			e.events = append(e.events, Event{Kind: Last, ID: q.request.ID, Tokens: q.tokens})
			continue
		}
		e.events = append(e.events, Event{Kind: Token, ID: q.request.ID, Tokens: q.tokens})
		kept = append(kept, q)
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.makeSpace()
}

// makeSpace frees cache memory: prefixes first, then the running request with
// the lowest priority that came last, which starts its prompt anew later.
func (e *Engine) makeSpace() {
	for e.memory() > e.config.CacheTokens {
		if len(e.running) <= 1 {
			return
		}
		victim := 0
		for i, q := range e.running {
			if e.running[victim].first(q) {
				victim = i
			}
		}
		q := e.running[victim]
		e.running = slices.Delete(e.running, victim, victim+1)
		e.waiting = append(e.waiting, q)
		e.events = append(e.events, Event{Kind: Recompute, ID: q.request.ID, Tokens: q.tokens})
	}
	e.cache.shrink(e.config.CacheTokens - e.memory())
}

// first reports whether q goes before other.
func (q *sequence) first(other *sequence) bool {
	if q.request.Priority != other.request.Priority {
		return q.request.Priority < other.request.Priority
	}
	return q.arrival < other.arrival
}

// memory is the cache memory that running requests hold.
func (e *Engine) memory() int {
	total := 0
	for _, q := range e.running {
		total += q.memory()
	}
	return total
}

// start fills the batch and begins a step if there is anything to do.
func (e *Engine) start(now time.Time) {
	if e.stepping {
		return
	}
	e.fill()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	length := e.stepTime()
	e.busy += length
	e.stepEnd = now.Add(length)
}

func (e *Engine) fill() {
	memory := e.memory()
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxRunning {
		best := 0
		for i, q := range e.waiting {
			if q.first(e.waiting[best]) {
				best = i
			}
		}
		q := e.waiting[best]
		if memory+q.memory() > e.config.CacheTokens && len(e.running) > 0 {
			return
		}
		memory += q.memory()
		e.waiting = slices.Delete(e.waiting, best, best+1)
		q.cached = min(e.cache.match(q.request.Prefix)*prefix.TokensPerPart, q.request.PromptTokens)
		e.PromptTokensReused += q.cached
		// At least one token is read, so that the answer's first can follow.
		q.toRead = max(1, q.memory()-q.cached)
		e.running = append(e.running, q)
	}
}

func (e *Engine) stepTime() time.Duration {
	reading := 0
	for _, q := range e.running {
		reading += q.toRead
	}
	reading = min(reading, e.config.ChunkTokens)
	length := e.config.StepTime +
		time.Duration(len(e.running))*e.config.PerRequest +
		time.Duration(reading)*e.config.PerPromptToken
	return time.Duration(float64(length) * e.slow)
}

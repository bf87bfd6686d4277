// Package emulator models a language-model engine with continuous batching. The engine processes prompts in chunks,
// generates one token per step for each running request, caches prompt prefixes in limited memory and schedules
// requests by priority.
//
// It performs no I/O and has no clock. Its user calls Next for the end of the current step and calls Step at that time.
// Replays run it in virtual time, the stand-in engine in real time.
package emulator

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/daemon/prefix"
)

// Config is the speed and size of an engine.
type Config struct {
	// StepTime is the fixed part of a step's duration.
	StepTime time.Duration
	// PerRequest is added to a step's duration for each running request.
	PerRequest time.Duration
	// PerPromptToken is added to a step's duration for each prompt token that it processes.
	PerPromptToken time.Duration
	// ChunkTokens is the maximum number of prompt tokens processed in a step.
	ChunkTokens int
	// MaxRunning is the maximum batch size in requests.
	MaxRunning int
	// CacheTokens is the cache memory for prompts, answers and prefixes, in tokens.
	CacheTokens int
}

// DefaultConfig models an engine on one accelerator. With prompts of ordinary length, it generates about 370 tokens per
// second at 48 ms between tokens.
var DefaultConfig = Config{
	StepTime:       18 * time.Millisecond,
	PerRequest:     800 * time.Microsecond,
	PerPromptToken: 60 * time.Microsecond,
	ChunkTokens:    256,
	MaxRunning:     64,
	CacheTokens:    120_000,
}

// Request is a request to the engine.
type Request struct {
	ID string
	// Priority orders waiting requests. Lower values run first.
	Priority int
	// PromptTokens is the length of the prompt, AnswerTokens that of the answer to generate.
	PromptTokens int
	AnswerTokens int
	// Prefix has a hash for each leading part of the prompt, in steps of prefix.TokensPerPart tokens.
	Prefix []uint64
	// PartialTokens is the length of the partial answer that the engine continues, or 0.
	PartialTokens int
}

// Kind is the kind of an event.
type Kind uint8

// The kinds of event.
const (
	// Token reports another token of the answer.
	Token Kind = iota
	// Last reports the last token and the end of the request.
	Last
	// Recompute reports that the request lost its cache memory and its prompt must be processed again. It keeps the
	// tokens generated so far.
	Recompute
)

// Event is an event of a request during a step.
type Event struct {
	Kind Kind
	ID   string
	// Tokens is the number of answer tokens so far.
	Tokens int
}

// Load is the load that an engine reports.
type Load struct {
	Running     int
	Waiting     int
	CacheTokens int
}

// sequence is a running or waiting request.
type sequence struct {
	request Request
	arrival int
	// unread is the number of tokens that must still be processed before the next answer token.
	unread int
	// cached is the number of prompt tokens that were found in the prefix cache.
	cached int
	tokens int
}

func (q *sequence) memory() int { return q.request.PromptTokens + q.tokens }

// Engine is an emulated engine. It is not safe for concurrent use.
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
	// AnswerTokensGenerated counts the generated tokens, PromptTokensRead the processed prompt tokens and
	// PromptTokensReused the prompt tokens found in the cache.
	AnswerTokensGenerated int
	PromptTokensRead      int
	PromptTokensReused    int
	busy                  time.Duration
}

// New returns an idle engine.
func New(config Config) *Engine {
	return &Engine{config: config, slow: 1, cache: newPrefixCache()}
}

// Busy returns the total duration of all steps started so far.
func (e *Engine) Busy() time.Duration { return e.busy }

// SetSlow sets the factor by which the duration of every further step is multiplied; 1 is normal.
func (e *Engine) SetSlow(factor float64) { e.slow = factor }

// SetStalled stalls the engine, or resumes it by restarting the current step. A stalled engine completes no steps.
func (e *Engine) SetStalled(now time.Time, stalled bool) {
	e.stalled = stalled
	if !stalled && e.stepping {
		e.stepEnd = now.Add(e.stepTime())
	}
}

// Submit adds a request. It replaces a request with the same ID.
func (e *Engine) Submit(now time.Time, request Request) {
	e.Cancel(request.ID)
	e.arrivals++
	e.waiting = append(e.waiting, &sequence{request: request, arrival: e.arrivals, tokens: request.PartialTokens})
	e.start(now)
}

// Cancel removes a request and reports whether the engine had it.
func (e *Engine) Cancel(id string) bool {
	match := func(q *sequence) bool { return q.request.ID == id }
	before := len(e.running) + len(e.waiting)
	e.running = slices.DeleteFunc(e.running, match)
	e.waiting = slices.DeleteFunc(e.waiting, match)
	return len(e.running)+len(e.waiting) < before
}

// Crash drops all requests and the prefix cache. It returns the IDs of the lost requests, running ones first.
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

// Load returns the engine's current load.
func (e *Engine) Load() Load {
	return Load{Running: len(e.running), Waiting: len(e.waiting), CacheTokens: e.memory()}
}

// Next returns the end of the current step. It reports false if the engine is idle or stalled.
func (e *Engine) Next() (time.Time, bool) {
	return e.stepEnd, e.stepping && !e.stalled
}

// Step completes the current step if its end has been reached, starts the next one and returns the events. The slice is
// valid until the next call.
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

// advance executes one step. It processes one chunk of prompts and generates one token for each request whose prompt is
// completely processed.
func (e *Engine) advance() {
	chunk := e.config.ChunkTokens
	kept := e.running[:0]
	for _, q := range e.running {
		if q.unread > 0 {
			n := min(q.unread, chunk)
			chunk -= n
			q.unread -= n
			e.PromptTokensRead += n
			if q.unread > 0 || n == 0 {
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
	e.evict()
}

// evict frees cache memory. It preempts running requests until the others fit or only one is left: those of the lowest
// priority first, and the most recent first among equals. A preempted request waits and processes its prompt again.
// Cached prefixes keep only the memory that running requests leave.
func (e *Engine) evict() {
	for e.memory() > e.config.CacheTokens {
		if len(e.running) <= 1 {
			return
		}
		victim := 0
		for i, q := range e.running {
			if e.running[victim].precedes(q) {
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

// precedes reports whether q is scheduled before other.
func (q *sequence) precedes(other *sequence) bool {
	if q.request.Priority != other.request.Priority {
		return q.request.Priority < other.request.Priority
	}
	return q.arrival < other.arrival
}

// memory returns the cache memory that running requests hold, in tokens.
func (e *Engine) memory() int {
	total := 0
	for _, q := range e.running {
		total += q.memory()
	}
	return total
}

// start fills the batch and starts a step unless the engine is idle.
func (e *Engine) start(now time.Time) {
	if e.stepping {
		return
	}
	e.fillBatch()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	length := e.stepTime()
	e.busy += length
	e.stepEnd = now.Add(length)
}

func (e *Engine) fillBatch() {
	memory := e.memory()
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxRunning {
		best := 0
		for i, q := range e.waiting {
			if q.precedes(e.waiting[best]) {
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
		// At least one token must be processed before the first token of the answer.
		q.unread = max(1, q.memory()-q.cached)
		e.running = append(e.running, q)
	}
}

func (e *Engine) stepTime() time.Duration {
	promptTokens := 0
	for _, q := range e.running {
		promptTokens += q.unread
	}
	promptTokens = min(promptTokens, e.config.ChunkTokens)
	length := e.config.StepTime +
		time.Duration(len(e.running))*e.config.PerRequest +
		time.Duration(promptTokens)*e.config.PerPromptToken
	return time.Duration(float64(length) * e.slow)
}

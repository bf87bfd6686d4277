package relay

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/silence"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// mayTryElsewhere reports whether an attempt may be given up, to be made at another endpoint.
func mayTryElsewhere(policy *settings.Policy, a *owner.Attempt) bool {
	return policy.Repeatable && a.Number < policy.MaxTries
}

// silenceWatch watches the endpoint of an attempt. If the endpoint sends nothing for a limit, the watch looks for another
// one, and ends the attempt as soon as that is in hand.
type silenceWatch struct {
	exchange *exchange
	attempt  *owner.Attempt
	// end ends the attempt with a cause.
	end context.CancelCauseFunc

	mu sync.Mutex
	// waiting is the call at the endpoint, nil until it is sent. IsTunneled is set if it was sent through a peer.
	waiting    *silence.Call
	isTunneled bool
	limit      time.Duration
	timer      *time.Timer
	// dueAt is when the timer is due.
	dueAt time.Time
	// search is the search for another endpoint that is under way, or nil.
	search *search
	// isPaused is set while the attempt waits for the caller and not for the endpoint.
	isPaused bool
	// isReported is set once the silence has been reported as a failure of the endpoint, and isKept once the request's
	// steps state why the call stays.
	isReported, isKept bool
	isOver             bool
}

// errNotConnectable is the cause of leaving an endpoint to which nobody can connect, or a peer only.
var errNotConnectable = merry.Sentinel("the endpoint is silent, and this host can't open another connection to it")

// errNobodyAlive is the reason why a call stays while most endpoints are silent and one call tries another endpoint.
var errNobodyAlive = merry.Sentinel("no endpoint is known to be alive")

// search is a search for another endpoint.
type search struct {
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	// quiet is how long an endpoint may send nothing before it counts as silent.
	quiet time.Duration
	// isUnreachable is set if nobody can connect to the endpoint of the attempt, or a peer only.
	isUnreachable bool
	// again is the time until the next search if this one finds nothing.
	again time.Duration
}

// watchSilence returns the context of an attempt and its watch. Stop must be called.
func (x *exchange) watchSilence(ctx context.Context, a *owner.Attempt) (context.Context, *silenceWatch) {
	ctx, end := context.WithCancelCause(ctx)
	w := &silenceWatch{exchange: x, attempt: a, end: end}
	if mayTryElsewhere(&x.policy, a) {
		w.setLimit(silence.AnswerLimit(&x.policy, a.UnprocessedTokens))
	}
	return ctx, w
}

// recordSent records that the call has been sent.
func (w *silenceWatch) recordSent(isTunneled bool) {
	waiting := w.exchange.server.parts.Silence.Begin(w.exchange.service, w.attempt.EndpointID)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting, w.isTunneled = waiting, isTunneled
}

// recordData records that the endpoint has sent something for the call, which ends a search.
func (w *silenceWatch) recordData() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordDataLocked()
}

// recordDataLocked is recordData with the lock held.
func (w *silenceWatch) recordDataLocked() {
	w.waiting.RecordData()
	if w.search != nil {
		w.search.cancel()
	}
	w.rearm(w.limit)
}

// recordEvent records an event of a stream, and pauses the watch.
func (w *silenceWatch) recordEvent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordDataLocked()
	w.isPaused = true
}

// pause stops the watch while the attempt waits for the caller, until resume is called.
func (w *silenceWatch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isPaused = true
}

func (w *silenceWatch) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isPaused = false
}

// watchedReader reads the body of an answer and records its data.
type watchedReader struct {
	io.Reader
	watch *silenceWatch
}

// Read implements io.Reader.
func (r watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.watch.recordData()
	}
	return n, err
}

// rearm restarts the timer, if there is a limit. The lock is held.
func (w *silenceWatch) rearm(after time.Duration) {
	if w.timer != nil && !w.isOver {
		w.dueAt = w.exchange.server.parts.Clock.Now().Add(after)
		w.timer.Reset(after)
	}
}

// maxTimerDelay is how late the timer may be. If it is later, this host was suspended or starved, and what endpoints have
// sent has yet to be read.
const maxTimerDelay = 100 * time.Millisecond

// setEventLimit sets the limit between the events of a stream that has begun.
func (w *silenceWatch) setEventLimit() {
	limit := time.Duration(0)
	if mayTryElsewhere(&w.exchange.policy, w.attempt) {
		limit = silence.EventLimit(&w.exchange.policy)
	}
	w.setLimit(limit)
}

// setLimit sets how long the endpoint may send nothing, from now on; 0 means that there is no limit.
func (w *silenceWatch) setLimit(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	if limit > 0 {
		w.timer = time.AfterFunc(limit, w.handleSilence)
		w.rearm(limit)
	}
}

// stop ends the watch and the attempt. When it returns, no search is under way.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	w.isOver = true
	if w.timer != nil {
		w.timer.Stop()
	}
	running := w.search
	if running != nil {
		running.cancel()
	}
	w.mu.Unlock()
	if running != nil {
		<-running.done
	}
	if w.waiting != nil {
		w.waiting.End()
	}
	w.end(nil)
}

// handleSilence looks for another endpoint because the limit has passed.
func (w *silenceWatch) handleSilence() {
	w.mu.Lock()
	delay := w.exchange.server.parts.Clock.Now().Sub(w.dueAt)
	isDue := delay >= 0 && delay <= maxTimerDelay
	switch {
	case delay < 0:
		// Data have arrived since the timer was triggered.
		w.rearm(-delay)
	case !isDue:
		w.rearm(silence.LookInterval(silence.QuietTime(w.limit)))
	}
	w.mu.Unlock()
	if isDue {
		w.searchOnce(false)
	}
}

// handleUnreachable looks for another endpoint because nobody can connect to that of the attempt, or a peer only. It
// reports whether the request goes on elsewhere.
func (w *silenceWatch) handleUnreachable() bool {
	w.mu.Lock()
	running := w.search
	w.mu.Unlock()
	if running != nil {
		<-running.done
	}
	return w.searchOnce(true)
}

// searchOnce makes a search, and reports whether the request goes on elsewhere.
func (w *silenceWatch) searchOnce(isUnreachable bool) bool {
	s := w.beginSearch(isUnreachable)
	if s == nil {
		return false
	}
	w.reportSilence()
	result := w.leave(s)
	w.endSearch(s, result)
	return result == counters.SilenceLeft
}

// beginSearch returns nil if no search is to be made: the attempt has ended, a search is under way, or the call has not
// been sent yet or waits for its caller.
func (w *silenceWatch) beginSearch(isUnreachable bool) *search {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isOver || w.search != nil {
		return nil
	}
	if w.waiting == nil || w.isPaused {
		w.rearm(w.limit)
		return nil
	}
	ctx, cancel := context.WithCancel(w.exchange.r.Context())
	quiet := silence.QuietTime(w.limit)
	w.search = &search{
		ctx: ctx, cancel: cancel, done: make(chan struct{}), quiet: quiet, isUnreachable: isUnreachable, again: quiet,
	}
	return w.search
}

func (w *silenceWatch) endSearch(s *search, result counters.SilenceResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	isSilent := s.ctx.Err() == nil
	s.cancel()
	close(s.done)
	w.search = nil
	if result == counters.SilenceKept {
		if isSilent {
			w.rearm(s.again)
		}
		if w.isKept {
			return
		}
		w.isKept = true
	}
	w.exchange.server.parts.Counters.CountSilence(result)
}

// leave ends the attempt if another endpoint is in hand.
func (w *silenceWatch) leave(s *search) counters.SilenceResult {
	x, tracker := w.exchange, w.exchange.server.parts.Silence
	survey, isTrialDue := tracker.Survey(x.service, s.quiet), tracker.IsTrialDue(x.service, s.quiet)
	filter := &owner.EndpointFilter{Excluded: w.excluded(s, &survey, isTrialDue), Accept: func(endpoint string) bool {
		return w.accepts(s, &survey, endpoint)
	}}
	switch silence.ScopeOf(&survey, isTrialDue, s.isUnreachable) {
	case silence.Nowhere:
		s.again = silence.LookInterval(s.quiet)
		w.recordKept(errNobodyAlive, &survey)
		return counters.SilenceKept
	case silence.AmongAlive:
		filter.Only = survey.Alive
	}
	successor, err := w.attempt.PrepareSuccessor(s.ctx, filter)
	switch {
	case s.ctx.Err() != nil:
		if err == nil {
			successor.Discard()
		}
		return counters.SilenceResumed
	case err != nil:
		w.recordKept(err, &survey)
		return counters.SilenceKept
	case !w.attempt.Leave(successor):
		return counters.SilenceKept
	}
	w.waiting.RecordLeft()
	cause := owner.ErrStalled
	if s.isUnreachable {
		cause = errNotConnectable
	}
	w.end(describeSilence(cause, &survey))
	return counters.SilenceLeft
}

// excluded returns the endpoints to which the call does not go.
func (w *silenceWatch) excluded(s *search, survey *silence.Survey, isTrialDue bool) []string {
	x, own := w.exchange, w.attempt.EndpointID
	state := x.server.parts.Silence.State(x.service, own, s.quiet)
	excluded := slices.DeleteFunc(slices.Clone(survey.Silent), func(id string) bool { return id == own })
	if s.isUnreachable || !silence.MayReconnect(state, isTrialDue) {
		excluded = append(excluded, own)
	}
	return excluded
}

// accepts reports whether the call goes to an endpoint that was granted.
func (w *silenceWatch) accepts(s *search, survey *silence.Survey, endpoint string) bool {
	service, tracker := w.exchange.service, w.exchange.server.parts.Silence
	state := tracker.State(service, endpoint, s.quiet)
	choice := silence.Choose(survey, state, s.isUnreachable)
	if endpoint == w.attempt.EndpointID && state != silence.Alive {
		choice = silence.LeaveAsTrial
	}
	return choice == silence.Leave || choice == silence.LeaveAsTrial && tracker.BeginTrial(service, s.quiet)
}

// recordKept records once in the request's steps why the call stays at its silent endpoint.
func (w *silenceWatch) recordKept(reason error, survey *silence.Survey) {
	w.mu.Lock()
	isKept := w.isKept
	w.mu.Unlock()
	if !isKept {
		w.attempt.RecordWait(describeSilence(reason, survey))
	}
}

// describeSilence adds to an error how many endpoints are silent.
func describeSilence(err error, survey *silence.Survey) error {
	return merry.Wrap(err, merry.AppendMessagef("%d endpoints silent, %d alive", len(survey.Silent), len(survey.Alive)))
}

// reportSilence reports, once, the silence as a failure of the endpoint, unless the path to it is lost.
func (w *silenceWatch) reportSilence() {
	w.mu.Lock()
	isReported, isTunneled := w.isReported, w.isTunneled
	w.isReported = true
	w.mu.Unlock()
	if isReported {
		return
	}
	p, a := &w.exchange.server.parts, w.attempt
	report := func() { p.Health.RecordFailure(a.EndpointID, true, owner.ErrStalled) }
	if isTunneled {
		report()
		return
	}
	p.Client.ReportUnlessPathLost(w.exchange.target(a), report)
}

// connect opens a connection for a successor of an attempt.
func (x *exchange) connect(ctx context.Context, id string, endpoint settings.Endpoint) (io.Closer, error) {
	connection, err := x.server.parts.Client.Connect(ctx, x.targetOf(id, endpoint))
	if err != nil {
		return nil, err
	}
	return connection, nil
}

// heldConnection returns the open connection of an attempt, or nil.
func heldConnection(a *owner.Attempt) *upstream.Connection {
	connection, _ := a.Connection.(*upstream.Connection)
	return connection
}

// The bounds of the connect timeout. A quarter of the latency target leaves time for another endpoint. Endpoints
// usually accept a connection within 1 ms plus a network delay of 1 ms, and allow a caller one second.
const (
	connectTargetDivisor = 4
	minConnect           = 60 * time.Millisecond
	maxConnect           = time.Second
)

// connectTimeout returns the timeout for connecting to an endpoint.
func connectTimeout(policy *settings.Policy) time.Duration {
	target := max(policy.FirstToken, policy.WholeAnswer)
	return min(max(target/connectTargetDivisor, minConnect), maxConnect)
}

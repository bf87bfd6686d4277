package relay

import (
	"context"
	"time"

	"oxbowslip.dev/oxbowslip/internal/owner"
)

// How long an endpoint may be silent in a request that can be sent elsewhere. A
// silent endpoint can't be told from a slow one; by then the target is missed anyway,
// and an answer from elsewhere is worth more than none.
const (
	// plainSilence is in targets, streamSilence in the targets for pauses.
	plainSilence  = 2
	streamSilence = 4
	// streamBegin is in targets for the first event, beside the time to read prompts.
	streamBegin = 2
	// slowestReading is the prompt tokens a millisecond that an engine reads at the
	// least: a quarter of what the slowest of them does.
	slowestReading = 9
)

// stallWatch ends an attempt when its endpoint is silent for too long.
type stallWatch struct {
	timer *time.Timer
	limit time.Duration
}

// watchStall gives a context for an attempt, and the watch that ends it. A limit of 0
// means that silence is no reason to end the attempt.
func watchStall(ctx context.Context, limit time.Duration) (context.Context, context.CancelCauseFunc, *stallWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch := &stallWatch{limit: limit}
	if limit > 0 {
		watch.timer = time.AfterFunc(limit, func() { cancel(owner.ErrStalled) })
	}
	return ctx, cancel, watch
}

// heard starts the time anew.
func (w *stallWatch) heard() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

// begin sets the limit for the rest of the answer, which is 0 for no limit.
func (w *stallWatch) begin(ctx context.Context, cancel context.CancelCauseFunc, limit time.Duration) {
	w.stop()
	w.limit = limit
	if limit > 0 && ctx.Err() == nil {
		w.timer = time.AfterFunc(limit, func() { cancel(owner.ErrStalled) })
	}
}

func (w *stallWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// silenceBefore bounds the time before an answer begins, silenceWithin the pauses of a
// stream. They are 0 where the request can't be sent elsewhere. A stream begins when
// its prompt is read, and those that wait before it.
func (x *exchange) silenceBefore(a *owner.Attempt) time.Duration {
	if !x.policy.Repeatable || a.Number >= x.policy.MaxTries {
		return 0
	}
	if x.policy.Stream {
		return streamBegin*x.policy.FirstToken + time.Duration(a.UnprocessedTokens/slowestReading)*time.Millisecond
	}
	return plainSilence * x.policy.WholeAnswer
}

func (x *exchange) silenceWithin(a *owner.Attempt) time.Duration {
	if !x.policy.Resumable || a.Number >= x.policy.MaxTries {
		return 0
	}
	return streamSilence * x.policy.MaxPause
}

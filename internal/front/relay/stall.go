package relay

import (
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

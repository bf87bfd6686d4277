package relay

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// The timeouts after which an attempt at an endpoint that sends nothing is abandoned. An unresponsive endpoint can't be
// distinguished from a slow one, so they apply only to requests that can be sent to another endpoint: at that point the
// latency target is missed anyway, and an answer from another endpoint is better than none.
const (
	// plainTimeoutTargets is the timeout of a plain call in multiples of its latency target.
	plainTimeoutTargets = 2
	// eventTimeoutPauses is the timeout between events of a stream in multiples of its target for pauses.
	eventTimeoutPauses = 4
	// firstEventTimeoutTargets is the timeout for the first event of a stream in multiples of its latency target. The
	// time to process the prompts ahead of it is added.
	firstEventTimeoutTargets = 2
	// minPromptTokensPerMS is the assumed minimum rate at which an engine processes prompts, a quarter of the rate of
	// the slowest engines in use (37 tokens per ms). With slower engines, streams that wait behind long prompts are
	// sent to another endpoint too early.
	minPromptTokensPerMS = 9
)

// mayTryElsewhere reports whether an attempt may be given up, to be made at another endpoint.
func mayTryElsewhere(policy *settings.Policy, a *owner.Attempt) bool {
	return policy.Repeatable && a.Number < policy.MaxTries
}

// answerTimeout returns how long an endpoint may take to begin its answer, or 0 if there is no limit.
func answerTimeout(policy *settings.Policy, a *owner.Attempt) time.Duration {
	if !mayTryElsewhere(policy, a) {
		return 0
	}
	if policy.Stream {
		return firstEventTimeoutTargets*policy.FirstToken + time.Duration(a.UnprocessedTokens/minPromptTokensPerMS)*time.Millisecond
	}
	return plainTimeoutTargets * policy.WholeAnswer
}

// eventTimeout returns how long an endpoint may take between two events of a stream, or 0 if there is no limit.
func eventTimeout(policy *settings.Policy, a *owner.Attempt) time.Duration {
	if !policy.Resumable || a.Number >= policy.MaxTries {
		return 0
	}
	return eventTimeoutPauses * policy.MaxPause
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

// quietTime is how long an endpoint may send nothing before it counts as silent.
const quietTime = 400 * time.Millisecond

// describeSilence adds to the error of an attempt that was given up for silence how many endpoints of the service are
// silent.
func (x *exchange) describeSilence(ctx context.Context, err error) error {
	if !errors.Is(context.Cause(ctx), owner.ErrStalled) {
		return err
	}
	x.server.parts.Counters.CountSilence(counters.SilenceEnded)
	fleet, _ := x.server.parts.Silence.Survey(x.service, quietTime)
	return merry.Wrap(err, merry.AppendMessagef("%d endpoints silent, %d alive", fleet.Silent, fleet.Alive))
}

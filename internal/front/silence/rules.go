package silence

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

// A silent endpoint can't be told from a slow one, and a sound one may still finish its call. A call therefore leaves a
// silent endpoint only for another one that is in hand: the retry counted, the endpoint granted, the connection open, and
// the endpoint not silent itself. Without one, it stays. Only a dead connection ends a call without a successor.

// The limits after which a call looks for another endpoint.
const (
	// plainTimeoutTargets is the limit of a plain call in multiples of its latency target.
	plainTimeoutTargets = 2
	// eventTimeoutPauses is the limit between events of a stream in multiples of its target for pauses.
	eventTimeoutPauses = 4
	// firstEventTimeoutTargets is the limit for the first event of a stream in multiples of its latency target. The
	// time to process the prompts ahead of it is added.
	firstEventTimeoutTargets = 2
	// minPromptTokensPerMS is the assumed minimum rate at which an engine processes prompts, a quarter of the rate of
	// the slowest engines in use (37 tokens per ms). With slower engines, streams that wait behind long prompts look for
	// another endpoint too early.
	minPromptTokensPerMS = 9
)

// AnswerLimit returns how long an endpoint may take to begin its answer. UnprocessedTokens is the number of prompt tokens
// that it has to process before.
func AnswerLimit(policy *settings.Policy, unprocessedTokens int) time.Duration {
	if policy.Stream {
		return firstEventTimeoutTargets*policy.FirstToken + time.Duration(unprocessedTokens/minPromptTokensPerMS)*time.Millisecond
	}
	return plainTimeoutTargets * policy.WholeAnswer
}

// EventLimit returns how long an endpoint may take between two events of a stream, or 0 if there is no limit.
func EventLimit(policy *settings.Policy) time.Duration {
	if !policy.Resumable {
		return 0
	}
	return eventTimeoutPauses * policy.MaxPause
}

const (
	// quietDivisor divides the limit of a call: an endpoint that has sent nothing for that time is no longer alive.
	quietDivisor = 2
	// maxQuietTime bounds that time. Engines send an event of some stream more often.
	maxQuietTime = 600 * time.Millisecond
	// lookDivisor divides the quiet time: a call that knows of no endpoint that is alive looks again after that time, since
	// one may have sent something in between.
	lookDivisor = 4
)

// LookInterval returns the interval at which a call looks for an endpoint that is alive.
func LookInterval(quiet time.Duration) time.Duration { return quiet / lookDivisor }

// QuietTime returns how long an endpoint may send nothing before a call with a limit takes it for silent. A limit of 0
// means that the call has none.
func QuietTime(limit time.Duration) time.Duration {
	if limit == 0 {
		return maxQuietTime
	}
	return min(limit/quietDivisor, maxQuietTime)
}

// Choice is a choice of another endpoint for a call.
type Choice uint8

// The choices.
const (
	// Stay: the endpoint is not better.
	Stay Choice = iota
	// Leave: the endpoint is better.
	Leave
	// LeaveAsTrial: nothing is known of the endpoint while most others are silent. One call may go there to find out.
	LeaveAsTrial
)

// Choose decides whether a call leaves its endpoint for another one of a service. IsUnreachable is set if nobody can
// connect to the call's endpoint, or a peer only.
func Choose(s *Survey, other State, isUnreachable bool) Choice {
	switch {
	case other == Silent:
		return Stay
	case other == Alive, isUnreachable:
		return Leave
	case s.isMostlySilent():
		return LeaveAsTrial
	}
	return Leave
}

// MayReconnect reports whether a call may be sent to its own endpoint again, on another connection, if no other endpoint
// is left: the connection may be dead and not the endpoint. That is known if the endpoint is alive; otherwise it takes a
// trial.
func MayReconnect(own State, isTrialDue bool) bool { return own == Alive || isTrialDue }

func (s *Survey) isMostlySilent() bool { return len(s.Silent) > 1 && len(s.Silent) > len(s.Alive) }

// Scope is where a call looks for another endpoint.
type Scope uint8

// The scopes. Nowhere: no endpoint is known to be better. AmongAlive: only those that are alive are. Everywhere: all that
// are not silent may be.
const (
	Nowhere Scope = iota
	AmongAlive
	Everywhere
)

// ScopeOf returns where a call looks for another endpoint. IsTrialDue is set if a trial may begin.
func ScopeOf(s *Survey, isTrialDue, isUnreachable bool) Scope {
	switch {
	case isUnreachable, isTrialDue, !s.isMostlySilent():
		return Everywhere
	case len(s.Alive) > 0:
		return AmongAlive
	}
	return Nowhere
}

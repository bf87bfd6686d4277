package relay

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// When to give up an endpoint that sends nothing. A silent endpoint can't be told from a slow
// one, so the rule only applies to requests that can be sent elsewhere: by then the target is
// missed anyway, and an answer from elsewhere is worth more than none.
const (
	// plainTimeoutTargets is how many latency targets a plain call may stay unanswered.
	plainTimeoutTargets = 2
	// eventTimeoutPauses is how many targets for pauses a stream may stay silent between events.
	eventTimeoutPauses = 4
	// firstEventTimeoutTargets is how many targets for the first event a stream may take to begin, beside the time to process the
	// prompts before it.
	firstEventTimeoutTargets = 2
	// minPromptTokensPerMS is the number of prompt tokens a ms that an engine processes at the
	// least. A quarter of what the slowest engines of the two sites do (37 tokens a ms); where
	// engines are slower still, streams that wait behind long prompts are begun elsewhere too
	// soon.
	minPromptTokensPerMS = 9
)

// answerTimeout returns how long an endpoint may stay silent before its answer begins; 0 means
// that it is never given up for silence.
func answerTimeout(policy *settings.Policy, a *owner.Attempt) time.Duration {
	if !policy.Repeatable || a.Number >= policy.MaxTries {
		return 0
	}
	if policy.Stream {
		return firstEventTimeoutTargets*policy.FirstToken + time.Duration(a.UnprocessedTokens/minPromptTokensPerMS)*time.Millisecond
	}
	return plainTimeoutTargets * policy.WholeAnswer
}

// eventTimeout returns how long an endpoint may stay silent between the events of a stream; 0
// means that it is never given up for silence.
func eventTimeout(policy *settings.Policy, a *owner.Attempt) time.Duration {
	if !policy.Resumable || a.Number >= policy.MaxTries {
		return 0
	}
	return eventTimeoutPauses * policy.MaxPause
}

// The bounds of the time to make a connection. A quarter of the target leaves time for another endpoint, the users'
// endpoints take 1 ms and a network delay of 1 ms to connect, and a second is what they allow a caller.
const (
	connectTargetDivisor = 4
	minConnect           = 60 * time.Millisecond
	maxConnect           = time.Second
)

// connectTimeout returns how long connecting to an endpoint may take.
func connectTimeout(policy *settings.Policy) time.Duration {
	target := max(policy.FirstToken, policy.WholeAnswer)
	return min(max(target/connectTargetDivisor, minConnect), maxConnect)
}

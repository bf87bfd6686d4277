package relay

import (
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// logRefused logs a request that was refused before placement.
func (x *exchange) logRefused(refusal *request.Refusal) {
	x.server.parts.Log.WithFields(logrus.Fields{
		"id": x.call.ID, "reason": refusal.Reason, "detail": refusal.Detail, "revision": x.revision, "age_ms": x.age.Milliseconds(),
		"path": x.r.URL.Path, "workspace": x.workspace,
	}).Warn("refused before a decision")
}

// logResult logs the outcome of a request with the values that decided it. `oxbowslip logs` parses the fields of these
// lines.
func (x *exchange) logResult(end *owner.End) {
	leftOut := int64(0)
	if end.Outcome == request.OutcomeAnswered && end.Tries <= 1 {
		var ok bool
		if leftOut, ok = x.server.answeredSampler.Allow(x.server.parts.Clock.Now()); !ok {
			return
		}
	}
	fields := logrus.Fields{
		"id": x.call.ID, "request_key": x.key.String(), "class": x.route.Class, "workspace": x.workspace, "tier": x.policy.Tier, "urgency": x.policy.Urgency,
		"service": x.service, "endpoint": end.Endpoint, "tries": end.Tries, "sends": end.Sends,
		"revision": x.revision, "age_ms": x.age.Milliseconds(), "took_ms": x.server.parts.Clock.Now().Sub(x.arrived).Milliseconds(),
		"first_ms": end.FirstToken.Milliseconds(), "events": x.stream.events, "pause_ms": x.stream.longestPause.Milliseconds(),
		"prompt": x.call.PromptTokens, "prefix": x.lastSharedPart(), "steps": end.Steps,
	}
	if x.blame.poison != 0 {
		fields["poison_key"] = x.blame.poison.String()
	}
	if part := x.poisonPart(); part != "" {
		fields["poison_part"] = part
	}
	if x.signal.Leaving {
		fields["endpoint_leaving"] = true
	}
	if x.signal.Rest > 0 {
		fields["endpoint_rest_ms"] = x.signal.Rest.Milliseconds()
	}
	if x.signal.Limit.IsSet {
		fields["endpoint_limit"] = x.signal.Limit.PerSecond
	}
	if x.stream.sentVersion != "" {
		fields["version"] = x.stream.sentVersion
	}
	if x.call.LastEventID != "" {
		fields["resumes"], fields["last_event"] = x.call.Resumes, x.call.LastEventID
	}
	if x.isTunneled {
		fields["tunneled"] = true
	}
	if leftOut > 0 {
		fields["lines_left_out"] = leftOut
	}
	log := x.server.parts.Log.WithFields(fields)
	switch end.Outcome {
	case request.OutcomeAnswered:
		log.Info("answered")
	case request.OutcomeCallerGone:
		log.Warn("caller gone")
	default:
		log.WithFields(logrus.Fields{
			"reason": end.Refusal.Reason, "ran": end.Refusal.Ran, "detail": end.Refusal.Detail, "retry_after_ms": end.Refusal.RetryAfter.Milliseconds(),
		}).Warn("given up")
	}
}

// lastSharedPart returns the ID of the last part of the prompt that other requests may share, or "" if there is none.
func (x *exchange) lastSharedPart() string {
	if n := len(x.call.Parts); n > 1 {
		return x.call.Parts[n-2].ID
	}
	return ""
}

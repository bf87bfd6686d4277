package relay

import (
	"errors"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/origin"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// The events of two software versions don't fit together, so all events of a stream come from endpoints of one version,
// over all attempts of a request and all requests with which its caller takes the stream up.

// errVersionChanged is the error of an attempt whose events may come from another version than those before.
var errVersionChanged = errors.New("the endpoint's software version has changed since the request was sent")

// isResumable reports whether the answer is a stream that may be resumed.
func (x *exchange) isResumable() bool { return x.policy.Stream && x.policy.Resumable }

// isTakenUp reports whether the request takes up a stream that has begun.
func (x *exchange) isTakenUp() bool { return x.isResumable() && x.call.LastEventID != "" }

// findOrigin finds the version that began the stream that the caller takes up, if it takes up one. It returns a refusal
// if the version is unknown.
func (x *exchange) findOrigin() *request.Refusal {
	if !x.isResumable() {
		return nil
	}
	x.stream.key = keys.OfStream(x.workspace, x.call.ID)
	if x.call.LastEventID == "" {
		return nil
	}
	if x.call.Resumes != "" {
		x.stream.key = keys.OfStream(x.workspace, x.call.Resumes)
	}
	found := x.server.parts.Origins.Find(x.r.Context(), x.stream.key, x.service)
	switch found.Certainty {
	case origin.UnknownVersion:
		return request.Refuse(request.ReasonUnknownVersion, "it is not known which software version began the stream")
	case origin.KnownVersion:
		x.stream.version = found.Version
		x.pickServiceOf(found.Service)
	}
	return nil
}

// pickServiceOf picks the service that began the stream, if it is still a target of the route.
func (x *exchange) pickServiceOf(service keys.Service) {
	for _, target := range x.route.Targets {
		if keys.OfService(target.Service) == service && target.Weight > 0 {
			x.service = target.Service
			return
		}
	}
}

// recordSentVersion records the version of the endpoint to which an attempt is about to be sent. It reports false if the
// stream can't be resumed there: the endpoint may have changed its version since it was chosen.
func (x *exchange) recordSentVersion(a *owner.Attempt) bool {
	x.stream.sentVersion, _ = x.server.parts.SoftwareVersion(a.EndpointID)
	return x.stream.version == 0 || x.stream.version == keys.OfVersion(x.stream.sentVersion)
}

// confirmVersion is called before the first event of an attempt is forwarded. It records the version that began the
// stream, and reports false if the event may come from another version than those before. If the endpoint's version has
// changed since the request was sent, it is not certain which one has answered.
func (x *exchange) confirmVersion(a *owner.Attempt) bool {
	if !x.isResumable() {
		return true
	}
	version := keys.OfVersion(x.stream.sentVersion)
	if current, isKnown := x.server.parts.SoftwareVersion(a.EndpointID); isKnown && current != x.stream.sentVersion {
		version = 0
	}
	if x.stream.version != 0 && version != x.stream.version {
		return false
	}
	x.stream.version = version
	a.SetVersion(uint32(version), version != 0)
	if !x.stream.isRecorded {
		x.stream.isRecorded = true
		x.server.parts.Origins.Begin(x.stream.key, x.service, version, x.deadline.Sub(x.server.parts.Clock.Now()))
	}
	return true
}

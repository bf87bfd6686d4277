package relay

import (
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// blame is what a request may be refused for: contents that crash the endpoints that run them (package poison).
type blame struct {
	// contents are the key of the request and those of the shared parts of its prompt, from the last one on.
	contents []keys.Content
	// poison is the one for which the request was refused, or 0. Trial are the parts of whose verdicts it is a trial.
	poison keys.Content
	trial  []keys.Content
}

// endTrial ends a trial: it is one attempt.
func (b *blame) endTrial() { b.trial = nil }

// isPoison reports whether the request must not be sent.
func (x *exchange) isPoison() bool {
	content, isPoison := x.server.parts.Poison.FindPoison(x.blame.contents, &x.blame.trial)
	if isPoison {
		x.blame.poison = content
	}
	return isPoison
}

// maxSharedParts bounds the parts of a prompt that are examined for poison.
const maxSharedParts = 32

// sharedParts returns the keys of the parts of a prompt that other requests may share, from the last one on. The last
// part of a prompt is the request's own.
func sharedParts(workspace string, parts []Part) []keys.Content {
	var shared []keys.Content
	for n := len(parts) - 2; n >= 0 && len(shared) < maxSharedParts; n-- {
		shared = append(shared, keys.OfPart(workspace, parts[n].ID))
	}
	return shared
}

// poisonPart returns the ID of the part of the prompt for which the request was refused, or "" if there is none.
func (x *exchange) poisonPart() string {
	for _, part := range x.call.Parts {
		if x.blame.poison.IsPart() && keys.OfPart(x.workspace, part.ID) == x.blame.poison {
			return part.ID
		}
	}
	return ""
}

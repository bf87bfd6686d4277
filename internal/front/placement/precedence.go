package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// While hosts refuse a class for lack of capacity, all hosts hold back less urgent requests (package precedence).

// recordAsk counts a new request that asks for an endpoint.
func (p *Placer) recordAsk(service string, request *admission.Request) {
	if p.parts.Precedence != nil && request.PromptTokens > 0 && !request.Retry && !request.HasBegun {
		p.parts.Precedence.RecordAsk(service, request.Urgency)
	}
}

// isHeld reports whether a request is held back for more urgent ones. The lock is held.
func (p *Placer) isHeld(service string, request *admission.Request) bool {
	if p.parts.Precedence == nil || request.HasBegun || !p.bounds.isSheddable(request) {
		return false
	}
	draw := float64(xxhash.Sum64String(request.ID)) / math.MaxUint64
	return p.parts.Precedence.IsHeld(p.view.Hosts(), service, request.Urgency, draw)
}

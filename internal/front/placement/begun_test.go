package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// TestStreamThatHasBegunGoesBeforeNewOnesOfItsClass compares the room up to which requests are admitted: streams that have
// begun go before all new requests of their class, and never before one of the class above.
func TestStreamThatHasBegunGoesBeforeNewOnesOfItsClass(t *testing.T) {
	const slots = 64
	for _, bounds := range []PriorityBounds{{LowestTier: 0, LeastUrgent: 1}, {LowestTier: 1, LeastUrgent: 2}, {LowestTier: 3, LeastUrgent: 4}} {
		room := func(urgency, tier int, begun bool) int {
			open := 0
			request := admission.Request{PromptTokens: 1, Urgency: urgency, Tier: tier, HasBegun: begun}
			for open < slots && bounds.admits(&request, slots, open) {
				open++
			}
			return open
		}
		for urgency := 1; urgency <= bounds.LeastUrgent; urgency++ {
			for tier := 0; tier <= bounds.LowestTier; tier++ {
				name := qt.Commentf("%+v, urgency %d, tier %d", bounds, urgency, tier)
				qt.Check(t, room(urgency, tier, true) > room(urgency, 0, false), qt.IsTrue, name)
				qt.Check(t, room(urgency, tier, true) <= room(urgency-1, bounds.LowestTier, false), qt.IsTrue, name)
			}
		}
	}
}

// TestEndpointsAreKeptForStreamsThatHaveBegun chooses endpoints for new requests while streams want to go on at one of the
// versions that serve.
func TestEndpointsAreKeptForStreamsThatHaveBegun(t *testing.T) {
	tests := map[string]struct {
		// versions are those of the candidates.
		versions []string
		claimed  []string
		after    time.Duration
		left     int
	}{
		"fewer than half run it":     {versions: []string{"v1", "v2", "v2"}, claimed: []string{"v1"}, left: 2},
		"half run it":                {versions: []string{"v1", "v1", "v2", "v2"}, claimed: []string{"v1"}, left: 4},
		"only it is left":            {versions: []string{"v1", "v1"}, claimed: []string{"v1"}, left: 2},
		"all are claimed, none half": {versions: []string{"v1", "v2", "v3"}, claimed: []string{"v1", "v2", "v3"}, left: 3},
		"a while ago":                {versions: []string{"v1", "v2", "v2"}, claimed: []string{"v1"}, after: claimTime, left: 3},
		"no stream wants to go on":   {versions: []string{"v1", "v2", "v2"}, left: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			claims := make(begunClaims)
			var candidates []*directory.Entry
			for n, version := range test.versions {
				candidates = append(candidates, &directory.Entry{ID: fmt.Sprint(n), Endpoint: settings.Endpoint{Service: "llm", Version: version}})
			}
			for _, version := range test.claimed {
				claims.claim(start, "llm", &admission.Request{HasBegun: true, SoftwareVersion: uint32(keys.OfVersion(version))})
			}
			at := start.Add(test.after)
			qt.Check(t, claims.withoutClaimed(at, &admission.Request{}, candidates), qt.HasLen, test.left)
			qt.Check(t, claims.withoutClaimed(at, &admission.Request{HasBegun: true}, candidates), qt.HasLen, len(candidates))
			claims.expire(at)
			qt.Check(t, len(claims) > 0, qt.Equals, len(test.claimed) > 0 && test.after < claimTime)
		})
	}
}

package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/precedence"
)

// otherHosts are peers that nobody reaches.
type otherHosts struct{}

func (otherHosts) Senders() []envelope.Sender        { return make([]envelope.Sender, 2) }
func (otherHosts) SendTo(string, envelope.Kind, any) {}

// TestRequestsAreHeldBackForRefusedClass chooses endpoints while other hosts refuse a class.
func TestRequestsAreHeldBackForRefusedClass(t *testing.T) {
	tests := map[string]struct {
		urgency  int
		hasBegun bool
		want     admission.Reason
	}{
		"less urgent":                   {urgency: 2, want: admission.ReasonTooLate},
		"less urgent, but it has begun": {urgency: 2, hasBegun: true},
		"the class itself":              {urgency: 1},
		"more urgent":                   {urgency: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := start
			p := newPlacerOf(func() time.Time { return now }, true, "e1")
			p.parts.Precedence = precedence.New(precedence.Parts{Peers: otherHosts{}, Log: p.parts.Log, Clock: func() time.Time { return now }})
			for range 10 {
				p.parts.Precedence.RecordRefusal("llm", 1)
				p.parts.Precedence.RecordAsk("llm", 1)
			}
			request := finishRequest(test.urgency, 10)
			request.HasBegun = test.hasBegun
			_, reason := p.choose("llm", request, false)
			qt.Check(t, reason, qt.Equals, test.want)
		})
	}
}

package relay

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

// TestRequestHasLimitsOfWorkspace guards against limits of the settings that placement never sees.
func TestRequestHasLimitsOfWorkspace(t *testing.T) {
	c := qt.New(t)
	x := &exchange{server: &Server{}, policy: settings.Policy{Weight: 2, MaxInFlight: 3, MaxWaiting: 4, TokensPerMinute: 5}}
	r := x.admissionRequest()
	c.Check([]float64{r.Weight, float64(r.MaxInFlight), float64(r.MaxWaiting), float64(r.TokensPerMinute)}, qt.DeepEquals, []float64{2, 3, 4, 5})
}

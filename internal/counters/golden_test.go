package counters

import (
	"bytes"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

// TestGoldenMetrics checks that the names and labels of all metrics equal the recorded ones.
func TestGoldenMetrics(t *testing.T) {
	counters := New()
	counters.CountAnswer("class", time.Second, true, 5)
	counters.CountAnswer("class", time.Second, false, 5)
	counters.RecordDecisionAge(time.Second)
	var out bytes.Buffer
	counters.Write(&out)
	value := regexp.MustCompile(` [^ ]*$`)
	var series []string
	for line := range strings.Lines(out.String()) {
		series = append(series, value.ReplaceAllString(strings.TrimSuffix(line, "\n"), ""))
	}
	slices.Sort(series)
	golden.Text(t, "metrics.txt", strings.Join(series, "\n")+"\n")
}

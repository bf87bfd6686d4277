package counters

import (
	"bytes"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/request"
)

var metricName = regexp.MustCompile(`oxbowslip_[a-z_]+`)

// TestMetricsAreDocumented checks that docs/metrics.md lists each metric and no others.
func TestMetricsAreDocumented(t *testing.T) {
	c := qt.New(t)
	counters := New()
	counters.CountAnswer("class", time.Second, true, 5)
	counters.RecordDecisionAge(time.Second)
	var out bytes.Buffer
	counters.Write(&out)
	page, err := os.ReadFile("../../docs/metrics.md")
	c.Assert(err, qt.IsNil)
	documented := metricNames(page)
	for _, name := range metricNames(out.Bytes()) {
		c.Check(documented, qt.Contains, name)
	}
	gauges := []string{
		"oxbowslip_open_requests", "oxbowslip_settings_revision", "oxbowslip_takeovers",
		"oxbowslip_age_seconds", "oxbowslip_reads_store", "oxbowslip_hosts", "oxbowslip_endpoints", "oxbowslip_directory_revision", "oxbowslip_upstream_connections_made",
		"oxbowslip_leads", "oxbowslip_poison_requests", "oxbowslip_services_mixed", "oxbowslip_connections_closed_unread", "oxbowslip_stream_records", "oxbowslip_endpoints_resting", "oxbowslip_endpoints_rejecting", "oxbowslip_endpoints_limited", "oxbowslip_endpoints_brittle", "oxbowslip_endpoints_failing", "oxbowslip_endpoints_slow", "oxbowslip_store_era", "oxbowslip_workspaces_over_share", "oxbowslip_slots_waiting",
		"oxbowslip_paths_lost", "oxbowslip_retries_unsettled", "oxbowslip_tunnels_opened", "oxbowslip_tunnels_served", "oxbowslip_tunnels_serving",
		"oxbowslip_client_memory_bytes", "oxbowslip_client_memory_limit_bytes", "oxbowslip_client_connections",
		"oxbowslip_hosts_served", "oxbowslip_hosts_lost", "oxbowslip_peer_datagrams_sent", "oxbowslip_peer_datagrams_received", "oxbowslip_processor_seconds", "oxbowslip_memory_bytes",
	}
	known := append(metricNames(out.Bytes()), gauges...)
	for _, name := range documented {
		c.Check(known, qt.Contains, name)
	}
}

// metricNames returns the sorted metric names in a text, without the suffixes of histograms.
func metricNames(text []byte) []string {
	var list []string
	for _, name := range metricName.FindAllString(string(text), -1) {
		name = regexp.MustCompile(`_(bucket|sum|count)$`).ReplaceAllString(name, "")
		list = append(list, name)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// TestUnknownRefusalReasonCountsAsInternal counts a refusal with a reason that only a newer peer's scheduler defines.
func TestUnknownRefusalReasonCountsAsInternal(t *testing.T) {
	c := qt.New(t)
	counters := New()
	counters.CountRefusal("some_day")
	c.Assert(counters.Refusals(request.ReasonInternal), qt.Equals, uint64(1))
}

// TestCountersStartAtZero checks that series exist with value 0 before their first event.
func TestCountersStartAtZero(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	New().Write(&out)
	for _, line := range []string{
		`oxbowslip_refusals_total{reason="no_room"} 0`,
		`oxbowslip_retries_total{reason="dial_failed"} 0`,
		`oxbowslip_wasted_tokens_total{cause="broken"} 0`,
	} {
		c.Assert(out.String(), qt.Contains, line)
	}
}

package front

import (
	"fmt"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

func (h *Host) registerGauges() {
	for name, read := range map[string]func() float64{
		"oxbowslip_settings_revision":         func() float64 { return float64(h.parts.Settings.Number()) },
		"oxbowslip_directory_revision":        func() float64 { return float64(era.Number(h.parts.Directory.Revision())) },
		"oxbowslip_store_era":                 func() float64 { return float64(h.parts.Freshness.Era()) },
		"oxbowslip_endpoints":                 func() float64 { return float64(h.parts.Directory.CountServing()) },
		"oxbowslip_hosts":                     func() float64 { return float64(h.parts.Gossip.Hosts()) },
		"oxbowslip_hosts_served":              func() float64 { return float64(h.parts.Gossip.Stats().Served) },
		"oxbowslip_hosts_lost":                func() float64 { return float64(h.parts.Gossip.Stats().LostMembers) },
		"oxbowslip_peer_datagrams_sent":       func() float64 { return float64(h.parts.Gossip.Stats().DatagramsSent) },
		"oxbowslip_peer_datagrams_received":   func() float64 { return float64(h.parts.Gossip.Stats().DatagramsReceived) },
		"oxbowslip_processor_seconds":         func() float64 { return processorTime().Seconds() },
		"oxbowslip_memory_bytes":              func() float64 { return float64(memoryInUse()) },
		"oxbowslip_reads_store":               func() float64 { return zeroOrOne(h.parts.Followers.isReading()) },
		"oxbowslip_open_requests":             func() float64 { return float64(h.parts.Owner.OpenJobs()) },
		"oxbowslip_leads":                     func() float64 { return zeroOrOne(h.parts.Leadership.isLeader()) },
		"oxbowslip_poison_requests":           func() float64 { return float64(len(h.parts.Poison.Verdicts())) },
		"oxbowslip_services_mixed":            func() float64 { return float64(len(h.mixedServices())) },
		"oxbowslip_stream_records":            func() float64 { return float64(h.parts.Origins.Records()) },
		"oxbowslip_connections_closed_unread": func() float64 { return float64(h.overload.Closed()) },
		"oxbowslip_endpoints_resting":         func() float64 { return float64(len(h.parts.Rests.Resting())) },
		"oxbowslip_endpoints_rejecting":       func() float64 { return float64(len(h.parts.Rejections.Shares())) },
		"oxbowslip_endpoints_failing":         h.countFailingEndpoints,
		"oxbowslip_endpoints_brittle":         func() float64 { return float64(h.parts.Brittle.Count()) },
		"oxbowslip_endpoints_limited":         func() float64 { return float64(len(h.parts.Limits.All())) },
		"oxbowslip_workspaces_over_share":     func() float64 { return float64(len(h.overShare())) },
		"oxbowslip_endpoints_slow":            func() float64 { return float64(len(h.slowEndpoints())) },
		"oxbowslip_upstream_connections_made": func() float64 { return float64(h.parts.Client.Dials()) },
		"oxbowslip_slots_waiting":             h.countWaitingForSlots,
		"oxbowslip_retries_unsettled":         func() float64 { return float64(h.parts.Retries.Unsettled()) },
		"oxbowslip_paths_lost":                func() float64 { return float64(h.parts.Paths.Lost()) },
		"oxbowslip_tunnels_opened":            func() float64 { return float64(h.parts.Paths.Opened()) },
		"oxbowslip_tunnels_serving":           func() float64 { return float64(h.parts.Tunnels.Served()) },
		"oxbowslip_tunnels_served":            func() float64 { return float64(h.parts.Tunnels.Opened()) },
	} {
		h.parts.Counters.Gauge(name, read)
	}
	h.parts.Counters.RegisterAccounts(h.parts.Intake)
	for topic := range freshness.NumTopics {
		name := fmt.Sprintf("oxbowslip_age_seconds{of=%q}", topic)
		h.parts.Counters.Gauge(name, func() float64 { return h.parts.Freshness.Age(topic).Seconds() })
	}
}

// countFailingEndpoints counts the endpoints whose failure share exceeds that of their peers by minShownShare.
func (h *Host) countFailingEndpoints() float64 {
	count := 0
	for _, share := range h.excessFailures() {
		if share >= minShownShare {
			count++
		}
	}
	return float64(count)
}

// countWaitingForSlots counts the requests that wait in the queues that this host coordinates.
func (h *Host) countWaitingForSlots() float64 {
	if h.parts.Slots == nil {
		return 0
	}
	return float64(h.parts.Slots.Waiting())
}

// zeroOrOne returns 1 for true and 0 for false.
func zeroOrOne(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

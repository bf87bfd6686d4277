// Package counters holds the metrics of one daemon; both programs use it. Every series of a closed set
// exists from the start, so that alerts can be written before its first event. Names and labels are
// listed in docs/metrics.md and never change.
package counters

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// WasteCause is why generated tokens were of no use. The set is closed.
type WasteCause string

// The causes of wasted tokens.
const (
	WasteCallerGone WasteCause = "caller_gone"
	WasteBroken     WasteCause = "broken"
	WastePreempted  WasteCause = "preempted"
	WasteStopped    WasteCause = "stopped"
	WasteTimeLimit  WasteCause = "time_limit"
)

// WasteCauses lists every cause.
var WasteCauses = []WasteCause{WasteCallerGone, WasteBroken, WastePreempted, WasteStopped, WasteTimeLimit}

// PeerTraffic is what a host sends to its peers. The set is closed.
type PeerTraffic string

// What hosts send to each other. The values are labels of a metric and stay as they were
// first named.
const (
	PeerHeartbeats    PeerTraffic = "beats"
	PeerAnnouncements PeerTraffic = "introductions"
	PeerSyncs         PeerTraffic = "news"
	PeerMessages      PeerTraffic = "messages"
)

// PeerTrafficKinds lists every kind.
var PeerTrafficKinds = []PeerTraffic{PeerHeartbeats, PeerAnnouncements, PeerSyncs, PeerMessages}

// StoreCallReason is why a host calls the deployment's store.
type StoreCallReason string

// The reasons.
const (
	// StoreCallLoad reads a table whole, StoreCallRead waits for its changes for all hosts, StoreCallAsk asks for
	// them because nobody has confirmed for too long what the host knows.
	StoreCallLoad StoreCallReason = "load"
	StoreCallRead StoreCallReason = "read"
	StoreCallAsk  StoreCallReason = "ask"
)

// StoreCallReasons lists all reasons.
var StoreCallReasons = []StoreCallReason{StoreCallLoad, StoreCallRead, StoreCallAsk}

// Signal is what an answer says of its endpoint. The set is closed.
type Signal string

// The signals.
const (
	SignalLeaving  Signal = "leaving"
	SignalRejected Signal = "rejected"
	SignalRest     Signal = "rest"
	SignalFailed   Signal = "failed"
	// SignalLimit is a limit, SignalMalformedLimit a text in its place that is none.
	SignalLimit          Signal = "limit"
	SignalMalformedLimit Signal = "malformed_limit"
)

// Signals lists all signals.
var Signals = []Signal{SignalLeaving, SignalRejected, SignalRest, SignalFailed, SignalLimit, SignalMalformedLimit}

// PermitResult is how a question for a permit to send a request to a limited endpoint ends. The set is closed.
type PermitResult string

// The ends.
const (
	PermitGranted PermitResult = "granted"
	PermitDenied  PermitResult = "denied"
	// PermitUnanswered: the host that lends permits did not reply.
	PermitUnanswered PermitResult = "unanswered"
)

// PermitResults lists all ends.
var PermitResults = []PermitResult{PermitGranted, PermitDenied, PermitUnanswered}

// Counters are the metrics of one daemon.
type Counters struct {
	set      *metrics.Set
	refusals map[request.Reason]*metrics.Counter
	retries  map[request.RetryReason]*metrics.Counter
	wasted   map[WasteCause]*metrics.Counter
	peers    map[PeerTraffic]*metrics.Counter
	store    map[StoreCallReason]*metrics.Counter
	signals  map[Signal]*metrics.Counter
	permits  map[PermitResult]*metrics.Counter
	// Goodput counts tokens of answers that met their class's targets.
	Goodput *metrics.Counter
	// Tokens counts all tokens relayed.
	Tokens *metrics.Counter
	// Resends counts bytes-level facts that must stay 0: a second send of a
	// request that may not be repeated.
	Resends *metrics.Counter
	// PlatformErrors counts failed calls to the platform.
	PlatformErrors *metrics.Counter
	// SettingsRejected counts revisions that this program can't read.
	SettingsRejected *metrics.Counter
	// decisionAge is how old the settings were at most that decided about a request, in seconds.
	decisionAge *metrics.Histogram
}

// New returns all counters at 0.
func New() *Counters {
	set := metrics.NewSet()
	c := &Counters{
		set:              set,
		refusals:         make(map[request.Reason]*metrics.Counter),
		retries:          make(map[request.RetryReason]*metrics.Counter),
		wasted:           make(map[WasteCause]*metrics.Counter),
		peers:            make(map[PeerTraffic]*metrics.Counter),
		store:            make(map[StoreCallReason]*metrics.Counter),
		signals:          make(map[Signal]*metrics.Counter),
		permits:          make(map[PermitResult]*metrics.Counter),
		Goodput:          set.NewCounter("oxbowslip_goodput_tokens_total"),
		Tokens:           set.NewCounter("oxbowslip_tokens_total"),
		Resends:          set.NewCounter("oxbowslip_forbidden_resends_total"),
		PlatformErrors:   set.NewCounter("oxbowslip_platform_errors_total"),
		SettingsRejected: set.NewCounter("oxbowslip_settings_rejected_total"),
		decisionAge:      set.NewHistogram("oxbowslip_decision_age_seconds"),
	}
	for _, reason := range request.Reasons {
		c.refusals[reason] = set.NewCounter(fmt.Sprintf(`oxbowslip_refusals_total{reason=%q}`, reason))
	}
	for _, reason := range request.RetryReasons {
		c.retries[reason] = set.NewCounter(fmt.Sprintf(`oxbowslip_retries_total{reason=%q}`, reason))
	}
	for _, cause := range WasteCauses {
		c.wasted[cause] = set.NewCounter(fmt.Sprintf(`oxbowslip_wasted_tokens_total{cause=%q}`, cause))
	}
	for _, kind := range PeerTrafficKinds {
		c.peers[kind] = set.NewCounter(fmt.Sprintf(`oxbowslip_peer_sent_bytes_total{kind=%q}`, kind))
	}
	for _, reason := range StoreCallReasons {
		c.store[reason] = set.NewCounter(fmt.Sprintf(`oxbowslip_store_calls_total{reason=%q}`, reason))
	}
	for _, signal := range Signals {
		c.signals[signal] = set.NewCounter(fmt.Sprintf(`oxbowslip_endpoint_signals_total{signal=%q}`, signal))
	}
	for _, permit := range PermitResults {
		c.permits[permit] = set.NewCounter(fmt.Sprintf(`oxbowslip_permits_total{result=%q}`, permit))
	}
	return c
}

// CountPermit counts a question for a permit by its end.
func (c *Counters) CountPermit(end PermitResult) { c.permits[end].Inc() }

// CountSignals counts what an answer says of its endpoint.
func (c *Counters) CountSignals(signals ...Signal) {
	for _, signal := range signals {
		c.signals[signal].Inc()
	}
}

// CountStoreCall counts a call to the deployment's store.
func (c *Counters) CountStoreCall(reason StoreCallReason) { c.store[reason].Inc() }

// CountPeerBytes counts bytes that were sent to peers, without what lies below UDP or TCP.
func (c *Counters) CountPeerBytes(kind PeerTraffic, bytes int) { c.peers[kind].Add(bytes) }

// CountRefusal counts a refusal. A reason of a newer peer that this program does not
// know counts as internal.
func (c *Counters) CountRefusal(reason request.Reason) {
	counter, ok := c.refusals[reason]
	if !ok {
		counter = c.refusals[request.ReasonInternal]
	}
	counter.Inc()
}

// Refusals returns the count of a reason.
func (c *Counters) Refusals(reason request.Reason) uint64 { return c.refusals[reason].Get() }

// RefusalsByReason returns the counts of all reasons that are not 0.
func (c *Counters) RefusalsByReason() map[string]uint64 {
	counts := make(map[string]uint64)
	for _, reason := range request.Reasons {
		if n := c.Refusals(reason); n > 0 {
			counts[string(reason)] = n
		}
	}
	return counts
}

// CountRetry counts a retry.
func (c *Counters) CountRetry(reason request.RetryReason) { c.retries[reason].Inc() }

// Retries returns the count of a retry reason.
func (c *Counters) Retries(reason request.RetryReason) uint64 { return c.retries[reason].Get() }

// CountWastedTokens counts tokens that were generated in vain.
func (c *Counters) CountWastedTokens(cause WasteCause, tokens int) { c.wasted[cause].Add(tokens) }

// WastedTokens returns the wasted tokens of a cause.
func (c *Counters) WastedTokens(cause WasteCause) uint64 { return c.wasted[cause].Get() }

// CountAnswer counts an answer of a class. Class names are bounded by the root of
// the settings tree; workspaces are left out to bound the number of series.
func (c *Counters) CountAnswer(class string, firstToken time.Duration, attained bool, tokens int) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`oxbowslip_answers_total{class=%q,attained="%t"}`, class, attained)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf(`oxbowslip_first_token_seconds{class=%q}`, class)).Update(firstToken.Seconds())
	if attained {
		c.Goodput.Add(tokens)
	}
}

// RecordDecisionAge notes how old the settings were at most that decided about a request. An age below 0
// is not known and is left out.
func (c *Counters) RecordDecisionAge(age time.Duration) {
	if age >= 0 {
		c.decisionAge.Update(age.Seconds())
	}
}

// Gauge registers a value that is read when the metrics are.
func (c *Counters) Gauge(name string, read func() float64) { c.set.GetOrCreateGauge(name, read) }

// Write writes all metrics as Prometheus text.
func (c *Counters) Write(w io.Writer) { c.set.WritePrometheus(w) }

// Package counters holds the metrics of one daemon; both programs use it. It owns the names and labels of
// the metrics, which are listed in docs/metrics.md and never change. Every series of a closed set of label
// values exists from the start, so that alerts can refer to it before its first event.
package counters

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oxbowslip.dev/oxbowslip/internal/httphead"
	"oxbowslip.dev/oxbowslip/internal/intake"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// WasteCause is the reason why generated tokens were wasted. The set is closed.
type WasteCause string

// The causes of wasted tokens.
const (
	WasteCallerGone WasteCause = "caller_gone"
	WasteBroken     WasteCause = "broken"
	WastePreempted  WasteCause = "preempted"
	WasteStopped    WasteCause = "stopped"
	WasteTimeLimit  WasteCause = "time_limit"
)

// WasteCauses lists all causes.
var WasteCauses = []WasteCause{WasteCallerGone, WasteBroken, WastePreempted, WasteStopped, WasteTimeLimit}

// PeerTraffic is a kind of traffic that a host sends to its peers. The set is closed.
type PeerTraffic string

// The kinds of traffic between hosts. The values are labels of a metric and never change.
const (
	PeerHeartbeats    PeerTraffic = "beats"
	PeerAnnouncements PeerTraffic = "introductions"
	PeerSyncs         PeerTraffic = "news"
	PeerMessages      PeerTraffic = "messages"
	// PeerTunnels is what endpoints send to peers that connect through this host.
	PeerTunnels PeerTraffic = "tunnels"
	// PeerRelays is what is sent to a few hosts to be passed on to all.
	PeerRelays PeerTraffic = "relays"
)

// RefusedPeerMessage is the reason why a message of a peer is refused. The set is closed.
type RefusedPeerMessage string

// The reasons of refused messages.
const (
	// RefusedMalformed: it can't be decoded. RefusedMember: it names a host that can't be one, or too many.
	// RefusedRepeated: too many copies of it have arrived. RefusedSum: a sum names impossible loads.
	RefusedMalformed RefusedPeerMessage = "malformed"
	RefusedMember    RefusedPeerMessage = "member"
	RefusedRepeated  RefusedPeerMessage = "repeated"
	RefusedSum       RefusedPeerMessage = "sum"
	// RefusedPart: it names something that is no part of a prompt, or a time that can't be.
	RefusedPart RefusedPeerMessage = "part"
)

// RefusedPeerMessages lists all reasons.
var RefusedPeerMessages = []RefusedPeerMessage{RefusedMalformed, RefusedMember, RefusedRepeated, RefusedSum, RefusedPart}

// PeerTrafficKinds lists all kinds.
var PeerTrafficKinds = []PeerTraffic{PeerHeartbeats, PeerAnnouncements, PeerSyncs, PeerMessages, PeerTunnels, PeerRelays}

// StoreCallReason is the reason of a call to the deployment's store. The set is closed.
type StoreCallReason string

// The reasons of store calls.
const (
	// StoreCallLoad reads a whole table. StoreCallRead waits for its changes on behalf of all hosts. StoreCallAsk
	// asks for changes because the host's copy has been unconfirmed for too long.
	StoreCallLoad StoreCallReason = "load"
	StoreCallRead StoreCallReason = "read"
	StoreCallAsk  StoreCallReason = "ask"
)

// StoreCallReasons lists all reasons.
var StoreCallReasons = []StoreCallReason{StoreCallLoad, StoreCallRead, StoreCallAsk}

// AnswerLimit is a limit that an endpoint's answer has exceeded, upon which its call was broken. The set is closed.
type AnswerLimit string

// The limits. Those of heads are those of package httphead.
const (
	LimitHeadBytes             = AnswerLimit(httphead.LimitBytes)
	LimitHeadLines             = AnswerLimit(httphead.LimitLines)
	LimitInterim               = AnswerLimit(httphead.LimitInterim)
	LimitBody      AnswerLimit = "body"
	// LimitMemory means that other answers took all memory that is set aside for bodies.
	LimitMemory AnswerLimit = "memory"
	LimitEvent  AnswerLimit = "event"
)

// AnswerLimits lists all limits.
var AnswerLimits = []AnswerLimit{LimitHeadBytes, LimitHeadLines, LimitInterim, LimitBody, LimitMemory, LimitEvent}

// Signal is an observation about an endpoint that is derived from one of its responses. The set is closed.
type Signal string

// The signals.
const (
	SignalLeaving  Signal = "leaving"
	SignalRejected Signal = "rejected"
	SignalRest     Signal = "rest"
	SignalFailed   Signal = "failed"
	// SignalBrittle means that the endpoint crashes if it has to reject too many requests.
	SignalBrittle Signal = "brittle"
	// SignalLimit is a valid limit. SignalMalformedLimit is a limit that can't be parsed.
	SignalLimit          Signal = "limit"
	SignalMalformedLimit Signal = "malformed_limit"
)

// Signals lists all signals.
var Signals = []Signal{SignalLeaving, SignalRejected, SignalRest, SignalFailed, SignalBrittle, SignalLimit, SignalMalformedLimit}

// PermitResult is the result of asking for a permit to send a request to a limited endpoint. The set is closed.
type PermitResult string

// The results of asking for a permit.
const (
	PermitGranted PermitResult = "granted"
	PermitDenied  PermitResult = "denied"
	// PermitUnanswered means that the host that grants permits did not reply.
	PermitUnanswered PermitResult = "unanswered"
)

// PermitResults lists all results.
var PermitResults = []PermitResult{PermitGranted, PermitDenied, PermitUnanswered}

// SlotResult is the result of asking for a slot of a busy plain service. The set is closed.
type SlotResult string

// The results of asking for a slot.
const (
	SlotGranted SlotResult = "granted"
	// SlotQueued means that the slot was granted after a wait.
	SlotQueued  SlotResult = "queued"
	SlotRefused SlotResult = "refused"
	// SlotUnanswered means that the host that queues the calls did not reply.
	SlotUnanswered SlotResult = "unanswered"
	// SlotAlone means that no host queues calls at present.
	SlotAlone SlotResult = "alone"
)

// SlotResults lists all results.
var SlotResults = []SlotResult{SlotGranted, SlotQueued, SlotRefused, SlotUnanswered, SlotAlone}

// OriginResult is the result of a search for the software version that began a stream. The set is closed.
type OriginResult string

// The results of a search.
const (
	OriginKnown OriginResult = "known"
	// OriginAny means that only one version can have begun the stream.
	OriginAny     OriginResult = "any"
	OriginUnknown OriginResult = "unknown"
)

// OriginResults lists all results.
var OriginResults = []OriginResult{OriginKnown, OriginAny, OriginUnknown}

// SilenceResult is what became of a call whose endpoint sent nothing for too long. The set is closed.
type SilenceResult string

// The results of silence.
const (
	// SilenceLeft means that the call went to another endpoint. SilenceKept means that there was no better one, and the
	// call stayed. SilenceResumed means that the endpoint sent something while another one was being prepared.
	// SilenceEnded means that the call was given up.
	SilenceLeft    SilenceResult = "left"
	SilenceKept    SilenceResult = "kept"
	SilenceResumed SilenceResult = "resumed"
	SilenceEnded   SilenceResult = "ended"
)

// SilenceResults lists all results.
var SilenceResults = []SilenceResult{SilenceLeft, SilenceKept, SilenceResumed, SilenceEnded}

// Counters are the metrics of one daemon.
type Counters struct {
	set      *metrics.Set
	refusals map[request.Reason]*metrics.Counter
	retries  map[request.RetryReason]*metrics.Counter
	wasted   map[WasteCause]*metrics.Counter
	peers    map[PeerTraffic]*metrics.Counter
	refused  map[RefusedPeerMessage]*metrics.Counter
	store    map[StoreCallReason]*metrics.Counter
	signals  map[Signal]*metrics.Counter
	limits   map[AnswerLimit]*metrics.Counter
	// invalidAnswers counts by reason.
	invalidAnswers map[httphead.Reason]*metrics.Counter
	closed         map[closedConnection]*metrics.Counter
	permits        map[PermitResult]*metrics.Counter
	slots          map[SlotResult]*metrics.Counter
	origins        map[OriginResult]*metrics.Counter
	silences       map[SilenceResult]*metrics.Counter
	// Goodput counts the tokens of answers that met the targets of their class.
	Goodput *metrics.Counter
	// Tokens counts all relayed tokens.
	Tokens *metrics.Counter
	// Resends counts requests that were sent a second time although they may not
	// be repeated. It must stay 0.
	Resends *metrics.Counter
	// PlatformErrors counts failed calls to the platform.
	PlatformErrors *metrics.Counter
	// SettingsRejected counts settings revisions that this program can't decode.
	SettingsRejected *metrics.Counter
	// decisionAge is the upper bound on the age of the settings that a request was decided with, in seconds.
	decisionAge *metrics.Histogram
}

// New returns counters that are all 0.
func New() *Counters {
	set := metrics.NewSet()
	c := &Counters{
		set:              set,
		refusals:         make(map[request.Reason]*metrics.Counter),
		retries:          make(map[request.RetryReason]*metrics.Counter),
		wasted:           make(map[WasteCause]*metrics.Counter),
		peers:            make(map[PeerTraffic]*metrics.Counter),
		refused:          make(map[RefusedPeerMessage]*metrics.Counter),
		store:            make(map[StoreCallReason]*metrics.Counter),
		signals:          make(map[Signal]*metrics.Counter),
		permits:          make(map[PermitResult]*metrics.Counter),
		slots:            make(map[SlotResult]*metrics.Counter),
		origins:          make(map[OriginResult]*metrics.Counter),
		silences:         make(map[SilenceResult]*metrics.Counter),
		limits:           make(map[AnswerLimit]*metrics.Counter),
		invalidAnswers:   make(map[httphead.Reason]*metrics.Counter),
		closed:           make(map[closedConnection]*metrics.Counter),
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
	for _, reason := range RefusedPeerMessages {
		c.refused[reason] = set.NewCounter(fmt.Sprintf(`oxbowslip_peer_refused_total{reason=%q}`, reason))
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
	for _, result := range SlotResults {
		c.slots[result] = set.NewCounter(fmt.Sprintf(`oxbowslip_slot_requests_total{result=%q}`, result))
	}
	for _, result := range OriginResults {
		c.origins[result] = set.NewCounter(fmt.Sprintf(`oxbowslip_stream_origins_total{result=%q}`, result))
	}
	for _, result := range SilenceResults {
		c.silences[result] = set.NewCounter(fmt.Sprintf(`oxbowslip_silent_calls_total{result=%q}`, result))
	}
	for _, reason := range httphead.Reasons {
		c.invalidAnswers[reason] = set.NewCounter(fmt.Sprintf(`oxbowslip_invalid_answers_total{reason=%q}`, reason))
	}
	for _, limit := range AnswerLimits {
		c.limits[limit] = set.NewCounter(fmt.Sprintf(`oxbowslip_answers_cut_total{limit=%q}`, limit))
	}
	for _, listener := range intake.Listeners {
		for _, cause := range intake.Causes {
			c.closed[closedConnection{listener, cause}] = set.NewCounter(fmt.Sprintf(`oxbowslip_client_connections_closed_total{listener=%q,limit=%q}`, listener, cause))
		}
	}
	return c
}

// closedConnection is the listener of a connection that was closed and the limit for which it was.
type closedConnection struct {
	listener string
	cause    intake.Cause
}

// CountClosedConnection counts a connection of a client that was closed for a limit.
func (c *Counters) CountClosedConnection(listener string, cause intake.Cause) {
	c.closed[closedConnection{listener, cause}].Inc()
}

// RegisterAccounts registers gauges of what the connections of each listener take.
func (c *Counters) RegisterAccounts(accounts *intake.Accounts) {
	for _, account := range accounts.All() {
		name := account.Name()
		c.Gauge(fmt.Sprintf("oxbowslip_client_memory_bytes{listener=%q}", name), func() float64 {
			memory, _ := account.Used()
			return float64(memory)
		})
		c.Gauge(fmt.Sprintf("oxbowslip_client_memory_limit_bytes{listener=%q}", name), func() float64 { return float64(account.Memory()) })
		c.Gauge(fmt.Sprintf("oxbowslip_client_connections{listener=%q}", name), func() float64 {
			_, connections := account.Used()
			return float64(connections)
		})
	}
}

// CountInvalidAnswer counts a call that was broken since what its endpoint sent was no answer, or no whole one.
func (c *Counters) CountInvalidAnswer(reason httphead.Reason) { c.invalidAnswers[reason].Inc() }

// CountCutAnswer counts a call that was broken since its answer exceeded a limit.
func (c *Counters) CountCutAnswer(limit AnswerLimit) { c.limits[limit].Inc() }

// CountOrigin counts the result of a search for the version that began a stream.
func (c *Counters) CountOrigin(result OriginResult) { c.origins[result].Inc() }

// CountSilence counts what became of a call whose endpoint sent nothing for too long.
func (c *Counters) CountSilence(result SilenceResult) { c.silences[result].Inc() }

// CountSlot counts the result of asking for a slot.
func (c *Counters) CountSlot(result SlotResult) { c.slots[result].Inc() }

// CountPermit counts the result of asking for a permit.
func (c *Counters) CountPermit(result PermitResult) { c.permits[result].Inc() }

// CountSignals counts the signals of one response.
func (c *Counters) CountSignals(signals ...Signal) {
	for _, signal := range signals {
		c.signals[signal].Inc()
	}
}

// CountStoreCall counts a call to the deployment's store.
func (c *Counters) CountStoreCall(reason StoreCallReason) { c.store[reason].Inc() }

// CountPeerBytes counts bytes sent to peers, excluding the UDP or TCP overhead.
func (c *Counters) CountPeerBytes(kind PeerTraffic, bytes int) { c.peers[kind].Add(bytes) }

// CountPeerRefused counts a message of a peer that is refused.
func (c *Counters) CountPeerRefused(reason RefusedPeerMessage) { c.refused[reason].Inc() }

// CountRefusal counts a refusal. A reason that only newer peers define counts as
// internal.
func (c *Counters) CountRefusal(reason request.Reason) {
	counter, ok := c.refusals[reason]
	if !ok {
		counter = c.refusals[request.ReasonInternal]
	}
	counter.Inc()
}

// Refusals returns the number of refusals with a reason.
func (c *Counters) Refusals(reason request.Reason) uint64 { return c.refusals[reason].Get() }

// RefusalsByReason returns all refusal counts that are not 0.
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

// Retries returns the number of retries with a reason.
func (c *Counters) Retries(reason request.RetryReason) uint64 { return c.retries[reason].Get() }

// CountWastedTokens counts generated tokens that were of no use.
func (c *Counters) CountWastedTokens(cause WasteCause, tokens int) { c.wasted[cause].Add(tokens) }

// WastedTokens returns the number of wasted tokens with a cause.
func (c *Counters) WastedTokens(cause WasteCause) uint64 { return c.wasted[cause].Get() }

// CountAnswer counts an answer of a class. The root of the settings tree bounds the
// class names; there is no label for the workspace, to bound the number of series.
func (c *Counters) CountAnswer(class string, firstToken time.Duration, attained bool, tokens int) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`oxbowslip_answers_total{class=%q,attained="%t"}`, class, attained)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf(`oxbowslip_first_token_seconds{class=%q}`, class)).Update(firstToken.Seconds())
	if attained {
		c.Goodput.Add(tokens)
	}
}

// RecordDecisionAge records the upper bound on the age of the settings that a request was decided with.
// A negative age means unknown and is ignored.
func (c *Counters) RecordDecisionAge(age time.Duration) {
	if age >= 0 {
		c.decisionAge.Update(age.Seconds())
	}
}

// Gauge registers a gauge whose value is read each time the metrics are written.
func (c *Counters) Gauge(name string, read func() float64) { c.set.GetOrCreateGauge(name, read) }

// Write writes all metrics in the Prometheus text format.
func (c *Counters) Write(w io.Writer) { c.set.WritePrometheus(w) }

package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/bodies"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/poison"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/silence"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/httphead"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/intake"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

const (
	// maxDials bounds the failed dials of a request that do not count as attempts. After two unreachable endpoints in a
	// row, a request has used up most of a short latency target.
	maxDials = 2
	// maxBegunDials is that number for a stream that has begun: the few endpoints of its version may all have crashed.
	maxBegunDials = 8
	// maxEndedTries bounds the tries of a stream that has begun that do not count since their endpoint has ended, and
	// exitCheckTimeout the check whether it has.
	maxEndedTries    = 3
	exitCheckTimeout = 250 * time.Millisecond
	// maxPlainAnswerBytes bounds a plain answer, which is buffered in memory until it is complete. Typical plain
	// answers have 800 bytes.
	maxPlainAnswerBytes = 16 << 20
	// maxRejectionBytes bounds what is read of the body of a rejection.
	maxRejectionBytes = 64 << 10
	// headerLastEventID carries the ID of the last event that the caller has received (Server-Sent Events).
	headerLastEventID = "Last-Event-Id"
)

// newJob describes the request for its owner.
func (x *exchange) newJob() *owner.Job {
	return &owner.Job{
		Request: x.admissionRequest(),
		Shard:   x.service,
		Rules: request.Rules{
			Repeatable: x.policy.Repeatable, MaxTries: x.policy.MaxTries, MaxDials: x.maxDials(), ResendNotStarted: true,
			MaxEnded: maxEndedTries,
		},
		BudgetGroup: x.service,
		Deadline:    x.deadline,
		CanContinue: x.policy.Resumable,
		IsPoison:    x.isPoison,
		IsHeld:      x.isHeld,
		Hold:        x.hold,
		Connect:     x.connect,
		Attempt:     x.attempt,
	}
}

// maxDials returns the number of failed dials that do not count as attempts.
func (x *exchange) maxDials() int {
	if x.isTakenUp() {
		return maxBegunDials
	}
	return maxDials
}

// admissionRequest describes the request for placement.
func (x *exchange) admissionRequest() admission.Request {
	p := &x.server.parts
	r := admission.Request{
		ID: x.call.ID, Owner: p.Host, Workspace: x.workspace, Class: x.route.Class, Tier: x.policy.Tier, Urgency: x.policy.Urgency,
		Arrived: x.arrived, FirstToken: x.policy.FirstToken, WholeAnswer: x.policy.WholeAnswer, MaxPause: x.policy.MaxPause,
		Weight: x.policy.Weight, MaxInFlight: x.policy.MaxInFlight, MaxWaiting: x.policy.MaxWaiting, TokensPerMinute: x.policy.TokensPerMinute,
		Repeatable: x.policy.Repeatable, PromptTokens: x.call.PromptTokens, MaxTokens: x.call.MaxTokens, Zone: p.Zone,
		Deadline: x.deadline, HasBegun: x.isTakenUp(), SoftwareVersion: uint32(x.stream.version), ContentKey: uint64(x.key), AnswerTokens: x.call.expectedTokens(),
	}
	if x.call.MaxWait > 0 {
		r.CallerDeadline = x.arrived.Add(x.call.MaxWait)
	}
	hash := xxhash.New()
	// Writing to a hash never fails.
	_, _ = hash.WriteString(x.call.Model)
	tokens := 0
	for _, part := range x.call.Parts {
		_, _ = hash.WriteString("\x00" + part.ID)
		tokens += part.Tokens
		r.Prefix = append(r.Prefix, hash.Sum64())
		r.PrefixTokens = append(r.PrefixTokens, tokens)
	}
	return r
}

// attempt makes one attempt at an endpoint.
func (x *exchange) attempt(ctx context.Context, a *owner.Attempt) owner.Result {
	ctx, watch := x.watchSilence(ctx, a)
	defer watch.stop()
	answer, err := x.server.parts.Client.Do(ctx, x.upstreamCall(a, watch))
	if errors.Is(err, upstream.ErrWithheld) {
		return owner.Result{Event: request.EventWithheld, Err: err}
	}
	if err != nil {
		x.reportFailure(ctx, a, err)
		if errors.Is(err, request.ErrNotSent) {
			return owner.Result{Event: request.EventDialFailed, Err: err}
		}
		x.reportBroken(ctx, a, err, !x.policy.Stream)
		return owner.Result{Event: request.EventBroken, MayArrive: errors.Is(err, upstream.ErrAbandoned), EndpointEnded: x.hasEnded(ctx, a), Err: err}
	}
	defer answer.Close()
	a.RecordAnswer()
	watch.recordData()
	x.recordSignal(a, answer)
	if x.server.parts.Dialect.IsNotStarted(answer.Status, answer.Header) {
		return x.handleNotStarted(a, answer)
	}
	if x.policy.Stream && answer.Status == http.StatusOK {
		watch.setEventLimit()
		return x.relayStream(ctx, a, answer, watch)
	}
	if x.stream.isHeadSent {
		return x.breakStream(ctx, a, errNoStream)
	}
	return x.relayPlain(ctx, a, answer, watch)
}

// recordSignal records the endpoint's state in the head of an answer, as soon as the head has arrived: the store may be
// unavailable when an endpoint begins to leave, and the rest of the answer may never arrive. It ignores an answer of
// another endpoint at the address.
func (x *exchange) recordSignal(a *owner.Attempt, answer *upstream.Answer) {
	if x.server.parts.Dialect.IsOtherEndpoint(answer.Status) {
		return
	}
	x.signal = x.server.parts.Dialect.Signal(answer.Status, answer.Header)
	x.server.parts.Counters.CountSignals(x.signal.Kinds()...)
	x.server.parts.Signals.HandleAnswer(&pushback.Answer{
		Endpoint: pushback.Instance{ID: a.EndpointID, Version: a.Endpoint.Version}, Class: keys.OfClass(x.route.Class), Signal: x.signal, SentAt: x.sentAt,
	})
}

// reportFailure reports an endpoint's failure, unless the request itself was aborted or left a silent endpoint.
func (x *exchange) reportFailure(ctx context.Context, a *owner.Attempt, cause error) {
	isReached := !errors.Is(cause, request.ErrNotSent)
	isPathLost := errors.Is(cause, upstream.ErrPathLost)
	if isReached && !x.isTunneled && (isPathLost || errors.Is(cause, upstream.ErrUnreachable)) {
		x.server.parts.Counters.CountSilence(counters.SilenceEnded)
	}
	if ctx.Err() != nil || isPathLost {
		return
	}
	report := func() { x.server.parts.Health.RecordFailure(a.EndpointID, isReached, cause) }
	if isReached && !x.isTunneled && upstream.MayBePathLoss(cause) {
		x.server.parts.Client.ReportUnlessPathLost(x.target(a), report)
		return
	}
	report()
}

// target returns the endpoint of an attempt.
func (x *exchange) target(a *owner.Attempt) upstream.Target {
	return x.targetOf(a.EndpointID, a.Endpoint)
}

func (x *exchange) targetOf(id string, e settings.Endpoint) upstream.Target {
	return upstream.Target{ID: id, Address: e.Address, Zone: e.Zone, ConnectTimeout: connectTimeout(&x.policy)}
}

// reportLimit logs and counts a call whose answer has exceeded a limit.
func (x *exchange) reportLimit(a *owner.Attempt, err error) {
	limit, most := exceededLimit(err)
	if limit == "" {
		return
	}
	x.server.parts.Counters.CountCutAnswer(limit)
	x.server.parts.Log.WithFields(logrus.Fields{"id": x.call.ID, "endpoint": a.EndpointID, "limit": limit, "most": most}).
		Warn("the endpoint's answer exceeds a limit, its call is broken")
}

// exceededLimit returns the limit that an answer has exceeded and its value, or "" if the error has another cause.
func exceededLimit(err error) (limit counters.AnswerLimit, most int) {
	var head *httphead.LimitError
	switch {
	case errors.As(err, &head):
		return counters.AnswerLimit(head.Limit), head.Most
	case errors.Is(err, bodies.ErrTooLarge):
		return counters.LimitBody, maxPlainAnswerBytes
	case errors.Is(err, bodies.ErrNoMemory):
		return counters.LimitMemory, 0
	case errors.Is(err, bufio.ErrTooLong):
		return counters.LimitEvent, maxEventBytes
	}
	return "", 0
}

// reportBroken reports a call that was sent and then broken by its endpoint, which may have crashed while running it.
// Begun is set if the endpoint had begun to answer, and for every plain call, since its endpoint does not show when it
// begins. A call that this host aborted is reported if the endpoint is silent, one whose path it lost is not.
func (x *exchange) reportBroken(ctx context.Context, a *owner.Attempt, cause error, begun bool) {
	x.blame.endTrial()
	x.reportLimit(a, cause)
	if errors.Is(cause, upstream.ErrPathLost) {
		return
	}
	call := &poison.Call{Contents: x.blame.contents, Endpoint: a.EndpointID, Address: a.Endpoint.Address, Begun: begun, Version: keys.OfVersion(x.stream.sentVersion)}
	if ctx.Err() != nil {
		if x.isSilent(a) {
			x.server.parts.Poison.RecordLostCall(call)
		}
		return
	}
	end := x.blame.takeLeases()
	call.Judged = func() { end(false) }
	x.server.parts.Poison.RecordBrokenCall(call)
}

// isSilent reports whether the endpoint of an attempt has sent nothing for so long that it counts as silent.
func (x *exchange) isSilent(a *owner.Attempt) bool {
	limit := silence.AnswerLimit(&x.policy, a.UnprocessedTokens)
	if x.stream.isHeadSent {
		limit = silence.EventLimit(&x.policy)
	}
	return x.server.parts.Silence.State(x.service, a.EndpointID, silence.QuietTime(limit)) == silence.Silent
}

// hasEnded reports whether the process of an endpoint that broke the call of a stream that has begun has ended.
func (x *exchange) hasEnded(ctx context.Context, a *owner.Attempt) bool {
	if !x.isTakenUp() && !x.stream.isHeadSent {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exitCheckTimeout)
	defer cancel()
	hasEnded, err := x.server.parts.Client.HasExited(ctx, a.EndpointID, a.Endpoint.Address)
	// Without an answer the endpoint may be running, so the try counts.
	if err != nil || !hasEnded {
		return false
	}
	x.server.parts.Health.RecordFailure(a.EndpointID, false, errEndpointEnded)
	return true
}

// errEndpointEnded is the failure of an endpoint whose process has ended.
var errEndpointEnded = errors.New("the process of the endpoint has ended")

// reportAnswered reports that an endpoint has sent a complete answer.
func (x *exchange) reportAnswered(a *owner.Attempt) {
	x.server.parts.Health.RecordSuccess(a.EndpointID)
	x.server.parts.Poison.RecordAnswer(x.blame.contents, keys.OfVersion(x.stream.sentVersion))
	x.blame.takeLeases()(true)
}

func (x *exchange) handleNotStarted(a *owner.Attempt, answer *upstream.Answer) owner.Result {
	x.blame.setSent(false)
	// The rest of the answer is read so that the connection can be reused; if that fails, it is closed.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxRejectionBytes))
	if x.server.parts.Dialect.IsOtherEndpoint(answer.Status) {
		x.server.parts.Health.RecordFailure(a.EndpointID, false, errors.New("another endpoint has its address"))
	}
	return owner.Result{Event: request.EventNotStarted, Err: errors.New("not started: " + strconv.Itoa(answer.Status))}
}

func (x *exchange) upstreamCall(a *owner.Attempt, watch *silenceWatch) *upstream.Call {
	header := func() http.Header {
		header := x.server.parts.Dialect.EndpointHeader(x.r.Header, Send{
			EndpointID: a.EndpointID, Workspace: x.workspace, Tier: x.policy.Tier, Urgency: x.policy.Urgency, HasBegun: x.isTakenUp() || x.stream.isHeadSent, FetchFrom: a.FetchFrom,
			TimeLeft: x.deadline.Sub(x.server.parts.Clock.Now()),
		})
		if x.stream.lastID != "" {
			header.Set(headerLastEventID, x.stream.lastID)
		}
		return header
	}
	return &upstream.Call{
		Target: x.target(a), ID: x.call.ID, Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host,
		Header: header, Body: x.body, MayAbandon: mayTryElsewhere(&x.policy, a), OnSend: x.onSend(a, watch),
		OnUnreachable: watch.handleUnreachable, Connection: heldConnection(a),
	}
}

// onSend returns the function that decides, once the connection is open, whether an attempt is sent.
func (x *exchange) onSend(a *owner.Attempt, watch *silenceWatch) func(isTunneled bool) bool {
	return func(isTunneled bool) bool {
		// Connecting may take a second, during which the endpoint may have reported that it is leaving.
		if !a.MaySend() {
			return false
		}
		if !x.recordSentVersion(a) {
			return false
		}
		x.blame.setSent(true)
		x.sentAt, x.isTunneled = x.server.parts.Clock.Now(), isTunneled
		a.RecordSend()
		watch.recordSent(isTunneled)
		return true
	}
}

// relayPlain reads a complete plain answer before any of it is forwarded, so that a broken answer is not delivered.
func (x *exchange) relayPlain(ctx context.Context, a *owner.Attempt, answer *upstream.Answer, watch *silenceWatch) owner.Result {
	x.countRun()
	body, err := x.server.parts.AnswerBodies.Read(ctx, &x.answerMemory, watchedReader{answer, watch}, answer.Length, maxPlainAnswerBytes)
	if err != nil {
		x.reportFailure(ctx, a, err)
		x.reportBroken(ctx, a, err, true)
		return owner.Result{Event: request.EventBroken, Err: err}
	}
	// The answer may wait for a caller that does not read it.
	intake.Hold(x.r.Context(), min(int64(len(body)), bodies.SmallBytes))
	held := &httprelay.HeldAnswer{Status: answer.Status, Header: answer.Header, Body: body}
	if answer.Status >= http.StatusInternalServerError || promisesNotRun(answer.Status) {
		return x.keepServerError(held)
	}
	x.reportAnswered(a)
	if !a.StartDelivery() {
		return owner.Result{Event: request.EventBroken}
	}
	x.answer = held
	return owner.Result{Event: request.EventWhole}
}

// promisesNotRun reports whether a status promises a caller that its request has not run and never will.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// keepServerError keeps an endpoint's server error, to be forwarded if no attempt gives a better answer. A status that
// promises that the request did not run is not forwarded, since the endpoint has not confirmed that.
func (x *exchange) keepServerError(held *httprelay.HeldAnswer) owner.Result {
	if !promisesNotRun(held.Status) {
		x.serverError = held
	}
	return owner.Result{Event: request.EventBroken, Err: errors.New("endpoint answered " + strconv.Itoa(held.Status))}
}

package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/poison"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
)

const (
	// maxDials bounds the endpoints of one request that may turn out to be unreachable without counting as tries. A
	// request that finds two endpoints dead in a row has used up most of a short target.
	maxDials = 2
	// maxPlainBytes bounds a plain answer, which is held in memory until it is whole. Plain answers of the users have
	// 800 bytes.
	maxPlainBytes = 16 << 20
	// headerLastID carries the ID of the last event that the caller got (Server-Sent Events).
	headerLastID = "Last-Event-Id"
)

// job describes the request for its owner.
func (x *exchange) job() *owner.Job {
	return &owner.Job{
		Request: x.admissionRequest(),
		Shard:   x.service,
		Rules: request.Rules{
			Repeatable: x.policy.Repeatable, MaxTries: x.policy.MaxTries, MaxDials: maxDials, ResendNotStarted: true,
		},
		BudgetGroup: x.service,
		Deadline:    x.limit,
		CanContinue: x.policy.Resumable,
		IsPoison:    func() bool { return x.server.parts.Poison.IsPoison(x.key) },
		Attempt:     x.attempt,
	}
}

// admissionRequest returns what placement needs to know of the request.
func (x *exchange) admissionRequest() admission.Request {
	p := &x.server.parts
	r := admission.Request{
		ID: x.call.ID, Owner: p.Host, Workspace: x.workspace, Class: x.route.Class, Tier: x.policy.Tier, Urgency: x.policy.Urgency,
		Arrived: x.arrived, FirstToken: x.policy.FirstToken, WholeAnswer: x.policy.WholeAnswer, MaxPause: x.policy.MaxPause,
		Repeatable: x.policy.Repeatable, PromptTokens: x.call.PromptTokens, MaxTokens: x.call.MaxTokens, Zone: p.Zone,
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

// attempt makes one try at an endpoint.
func (x *exchange) attempt(ctx context.Context, a *owner.Attempt) owner.Result {
	ctx, watch := httprelay.WithIdleTimeout(ctx, beforeAnswer(&x.policy, a), owner.ErrStalled)
	defer watch.Stop()
	answer, err := x.server.parts.Client.Do(ctx, x.upstreamCall(a))
	if errors.Is(err, upstream.ErrWithheld) {
		return owner.Result{Event: request.EventWithheld, Err: err}
	}
	if err != nil {
		x.failed(ctx, a, err)
		if errors.Is(err, request.ErrNotSent) {
			return owner.Result{Event: request.EventDialFailed, Err: err}
		}
		x.broke(ctx, a, !x.policy.Stream)
		return owner.Result{Event: request.EventBroken, Err: err}
	}
	defer answer.Close()
	x.noteSignal(a, answer)
	if x.server.parts.Dialect.IsNotStarted(answer.Status, answer.Header) {
		return x.notStarted(a, answer)
	}
	if x.policy.Stream && answer.Status == http.StatusOK {
		watch.SetLimit(ctx, betweenEvents(&x.policy, a))
		return x.relayStream(ctx, a, answer, watch)
	}
	return x.holdPlain(ctx, a, answer)
}

// noteSignal notes what the head of an answer says of its endpoint, as soon as it has come: the store may be away when an
// endpoint begins to leave, and the rest of an answer may never come. An answer of another endpoint at its address says
// nothing of this one.
func (x *exchange) noteSignal(a *owner.Attempt, answer *upstream.Answer) {
	if x.server.parts.Dialect.IsOtherEndpoint(answer.Status) {
		return
	}
	x.signal = x.server.parts.Dialect.Signal(answer.Status, answer.Header)
	x.server.parts.Counters.CountSignals(x.signal.Kinds()...)
	x.server.parts.Signals.HandleAnswer(&pushback.Answer{
		Endpoint: pushback.Instance{ID: a.EndpointID, Version: a.Endpoint.Version}, Class: keys.OfClass(x.route.Class), Signal: x.signal, SentAt: x.sentAt,
	})
}

// failed reports an endpoint's failure, unless the request itself was ended. Silence is a
// failure too.
func (x *exchange) failed(ctx context.Context, a *owner.Attempt, cause error) {
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), owner.ErrStalled) {
		x.server.parts.Health.RecordFailure(a.EndpointID, !errors.Is(cause, request.ErrNotSent), cause)
	}
}

// broke reports a call that was sent and broken by its endpoint, which may have ended under it. Begun is set if the
// endpoint had begun to answer, or would not have said so. A call that was ended from here proves nothing.
func (x *exchange) broke(ctx context.Context, a *owner.Attempt, begun bool) {
	if ctx.Err() == nil {
		x.server.parts.Poison.RecordBrokenCall(&poison.Call{Request: x.key, Endpoint: a.EndpointID, Address: a.Endpoint.Address, Begun: begun})
	}
}

// answered reports that an endpoint answered to the end.
func (x *exchange) answered(a *owner.Attempt) {
	x.server.parts.Health.RecordSuccess(a.EndpointID)
	x.server.parts.Poison.RecordAnswer(x.key)
}

func (x *exchange) notStarted(a *owner.Attempt, answer *upstream.Answer) owner.Result {
	// The rest of the answer is read so that the connection can be kept; if that fails, it is
	// closed.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxPlainBytes))
	if x.server.parts.Dialect.IsOtherEndpoint(answer.Status) {
		x.server.parts.Health.RecordFailure(a.EndpointID, false, errors.New("another endpoint has its address"))
	}
	return owner.Result{Event: request.EventNotStarted, Err: errors.New("not started: " + strconv.Itoa(answer.Status))}
}

func (x *exchange) upstreamCall(a *owner.Attempt) *upstream.Call {
	header := x.server.parts.Dialect.EndpointHeader(x.r.Header, Send{
		EndpointID: a.EndpointID, Workspace: x.workspace, Tier: x.policy.Tier, Urgency: x.policy.Urgency, FetchFrom: a.FetchFrom,
		TimeLeft: x.limit.Sub(x.server.parts.Clock.Now()),
	})
	if x.stream.lastID != "" {
		header.Set(headerLastID, x.stream.lastID)
	}
	return &upstream.Call{
		Address: a.Endpoint.Address, ID: x.call.ID, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: header, Body: x.body, ConnectTimeout: connectTimeout(&x.policy), OnSend: x.onSend(a),
	}
}

// onSend returns what decides, once a connection is there, whether an attempt is sent.
func (x *exchange) onSend(a *owner.Attempt) func() bool {
	return func() bool {
		// Connecting may take a second, in which the endpoint may have said that it leaves.
		if !a.MaySend() {
			return false
		}
		x.sentAt = x.server.parts.Clock.Now()
		a.RecordSend()
		return true
	}
}

// holdPlain reads a plain answer whole before any of it is passed on, so that a broken one can
// be told from a whole one.
func (x *exchange) holdPlain(ctx context.Context, a *owner.Attempt, answer *upstream.Answer) owner.Result {
	x.began()
	body, err := io.ReadAll(io.LimitReader(answer, maxPlainBytes+1))
	if err == nil && len(body) > maxPlainBytes {
		err = errors.New("answer too large")
	}
	if err != nil {
		x.failed(ctx, a, err)
		x.broke(ctx, a, true)
		return owner.Result{Event: request.EventBroken, Err: err}
	}
	held := &httprelay.HeldAnswer{Status: answer.Status, Header: answer.Header, Body: body}
	if answer.Status >= http.StatusInternalServerError || answer.Status == http.StatusTooManyRequests {
		return x.serverFault(held)
	}
	x.answered(a)
	if !a.StartDelivery() {
		return owner.Result{Event: request.EventBroken}
	}
	x.answer = held
	return owner.Result{Event: request.EventWhole}
}

// serverFault keeps an endpoint's failure, to be passed on if nothing better comes. A status
// that promises that the request did not run is not passed on: the endpoint did not say so in
// the way that counts.
func (x *exchange) serverFault(held *httprelay.HeldAnswer) owner.Result {
	if held.Status != http.StatusServiceUnavailable && held.Status != http.StatusTooManyRequests {
		x.failure = held
	}
	return owner.Result{Event: request.EventBroken, Err: errors.New("endpoint answered " + strconv.Itoa(held.Status))}
}

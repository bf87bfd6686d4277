package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
)

const (
	// maxDials bounds the endpoints that may be found unreachable in one request.
	maxDials = 2
	// maxPlainBytes bounds a plain answer, which is held until it is whole.
	maxPlainBytes = 16 << 20
	headerLastID  = "Last-Event-Id"
)

// job describes the request for its owner.
func (x *exchange) job() *owner.Job {
	return &owner.Job{
		Request: x.scheduleRequest(),
		Shard:   x.target,
		Rules: request.Rules{
			Repeatable: x.policy.Repeatable, MaxTries: x.policy.MaxTries, MaxDials: maxDials, ResendNotStarted: true,
		},
		BudgetGroup: x.target,
		Deadline:    x.limit,
		CanContinue: x.policy.Resumable,
		Attempt:     x.attempt,
	}
}

func (x *exchange) scheduleRequest() admission.Request {
	r := admission.Request{
		ID: x.call.ID, Owner: x.server.Host, Workspace: x.workspace, Class: x.route.Class, Tier: x.policy.Tier, Urgency: x.policy.Urgency,
		Arrived: x.arrived, FirstToken: x.policy.FirstToken, WholeAnswer: x.policy.WholeAnswer,
		Repeatable: x.policy.Repeatable, PromptTokens: x.call.PromptTokens, MaxTokens: x.call.MaxTokens, Zone: x.server.Zone,
	}
	hash := xxhash.New()
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
	ctx, watch := httprelay.WatchSilence(ctx, x.silenceBefore(a), owner.ErrStalled)
	defer watch.Stop()
	answer, err := x.server.Client.Do(ctx, x.upstreamCall(a))
	if err != nil {
		x.failed(ctx, a, err)
		if errors.Is(err, request.ErrNotSent) {
			return owner.Result{Event: request.EventDialFailed, Err: err}
		}
		return owner.Result{Event: request.EventBroken, Err: err}
	}
	defer answer.Close()
	if x.server.Dialect.NotStarted(answer.Status, answer.Header) {
		return x.notStarted(a, answer)
	}
	if x.policy.Stream && answer.Status == http.StatusOK {
		watch.SetLimit(ctx, x.silenceWithin(a))
		return x.relayStream(ctx, a, answer, watch)
	}
	return x.holdPlain(ctx, a, answer)
}

// failed tells of an endpoint's failure, unless the request itself was ended. Silence
// is a failure too.
func (x *exchange) failed(ctx context.Context, a *owner.Attempt, cause error) {
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), owner.ErrStalled) {
		x.server.Health.Failed(a.EndpointID, !errors.Is(cause, request.ErrNotSent), cause)
	}
}

func (x *exchange) notStarted(a *owner.Attempt, answer *upstream.Answer) owner.Result {
	// The rest of the answer is read so that the connection can be kept.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxPlainBytes))
	if x.server.Dialect.OtherEndpoint(answer.Status) {
		x.server.Health.Failed(a.EndpointID, false, errors.New("another endpoint has its address"))
	}
	return owner.Result{Event: request.EventNotStarted, Err: errors.New("not started: " + strconv.Itoa(answer.Status))}
}

func (x *exchange) upstreamCall(a *owner.Attempt) *upstream.Call {
	header := make(http.Header, len(x.r.Header)+4)
	httprelay.CopyHeader(header, x.r.Header)
	header.Del("Authorization")
	x.server.Dialect.Prepare(header, Send{
		EndpointID: a.EndpointID, Workspace: x.workspace, Tier: x.policy.Tier, Urgency: x.policy.Urgency, FetchFrom: a.FetchFrom, Left: x.limit.Sub(x.server.Clock()),
	})
	if x.stream.lastID != "" {
		header.Set(headerLastID, x.stream.lastID)
	}
	return &upstream.Call{
		Address: a.Endpoint.Address, ID: x.call.ID, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: header, Body: x.body, ConnectTimeout: x.connectTimeout(), OnSend: a.Sent,
	}
}

// Bounds of the time to make a connection: a part of the target, since another
// endpoint may still answer within it.
const (
	connectPart     = 4
	shortestConnect = 60 * time.Millisecond
	longestConnect  = time.Second
)

func (x *exchange) connectTimeout() time.Duration {
	target := max(x.policy.FirstToken, x.policy.WholeAnswer)
	return min(max(target/connectPart, shortestConnect), longestConnect)
}

// holdPlain reads an answer whole before any of it is passed on, so that a broken
// one can be told from a whole one.
func (x *exchange) holdPlain(ctx context.Context, a *owner.Attempt, answer *upstream.Answer) owner.Result {
	body, err := io.ReadAll(io.LimitReader(answer, maxPlainBytes+1))
	if err == nil && len(body) > maxPlainBytes {
		err = errors.New("answer too large")
	}
	if err != nil {
		x.failed(ctx, a, err)
		return owner.Result{Event: request.EventBroken, Err: err}
	}
	plain := &httprelay.HeldAnswer{Status: answer.Status, Header: answer.Header, Body: body}
	if answer.Status >= http.StatusInternalServerError || answer.Status == http.StatusTooManyRequests {
		return x.serverFault(plain)
	}
	x.server.Health.Answered(a.EndpointID)
	if !a.Deliver() {
		return owner.Result{Event: request.EventBroken}
	}
	x.answer = plain
	return owner.Result{Event: request.EventWhole}
}

// serverFault keeps an endpoint's failure, to be passed on if nothing better
// comes. A status that promises that the request did not run is not passed on:
// the endpoint did not say so in the way that counts.
func (x *exchange) serverFault(plain *httprelay.HeldAnswer) owner.Result {
	if plain.Status != http.StatusServiceUnavailable && plain.Status != http.StatusTooManyRequests {
		x.failure = plain
	}
	return owner.Result{Event: request.EventBroken, Err: errors.New("endpoint answered " + strconv.Itoa(plain.Status))}
}

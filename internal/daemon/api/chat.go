package api

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"oxbowslip.dev/oxbowslip/internal/bodies"
	"oxbowslip.dev/oxbowslip/internal/daemon/httpclient"
	"oxbowslip.dev/oxbowslip/internal/daemon/prefix"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/intake"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

const (
	// maxAnswerBytes bounds a unary answer, which is buffered in memory.
	maxAnswerBytes = 16 << 20

	chatPath     = "/v1/chat/completions"
	streamsPath  = "/v1/streams/"
	chatIDPrefix = "chatcmpl-"
	jsonType     = "application/json"
	eventType    = "text/event-stream"
)

// chat serves a chat request.
func (s *Server) chat(w http.ResponseWriter, r *http.Request, c *caller) *fault {
	if f := c.classify(r.Header.Get(HeaderClass)); f != nil {
		return f
	}
	var memory bodies.Lease
	defer memory.Release()
	data, refusal := httprelay.ReadBody(w, r, s.parts.Bodies, &memory, int64(c.policy.MaxBodyBytes), s.parts.Timeouts.Read)
	if refusal != nil {
		return faultOf(refusal)
	}
	if !intake.Begin(r.Context()) {
		return faultOf(httprelay.NoMemory())
	}
	body, err := decodeChat(data)
	if err != nil {
		return &fault{reason: request.ReasonBadRequest, detail: "the body is no chat request: " + err.Error()}
	}
	if !c.tree.CanCall(c.workspace, body.Model) {
		return &fault{reason: request.ReasonUnknownModel, detail: "this workspace has no such model", known: c.modelNames()}
	}
	if f := s.claimKey(r, c); f != nil {
		return f
	}
	x := &chatExchange{server: s, caller: c, body: body, w: w, maxTokens: body.maxTokens(c.policy.MaxAnswerTokens)}
	x.run(r.Context())
	return nil
}

// chatExchange is a chat request and its answer.
type chatExchange struct {
	server    *Server
	caller    *caller
	body      *chatBody
	w         http.ResponseWriter
	maxTokens int

	stream *streamRelay
	// answer is a unary answer that was received completely.
	answer *httprelay.HeldAnswer
}

func (x *chatExchange) run(ctx context.Context) {
	s, c := x.server, x.caller
	req := s.admissionRequest(c)
	req.PromptTokens = prefix.Tokens(x.body.Messages)
	req.MaxTokens = x.maxTokens
	req.Prefix = prefix.Hashes(cacheSalt(c.workspace), x.body.Messages)
	job := &owner.Job{
		Request:     req,
		Shard:       x.body.Model,
		Rules:       attemptRules(&c.policy),
		RetryBudget: c.policy.RetryBudget,
		Attempt:     x.unary,
	}
	if c.policy.MaxWait > 0 {
		job.Deadline = c.arrived.Add(c.policy.MaxWait)
	}
	if x.body.Stream {
		x.stream = newStreamRelay(s, x.w, c)
		job.Attempt = x.streamAttempt
		job.Resume = x.streamResume
		job.CanContinue = allEnginesContinue(x.caller.tree.Endpoints, x.body.Model)
	}
	end := s.parts.Owner.Run(ctx, job)
	s.parts.Recorded.Add(record.Entry{
		Arrived: c.arrived, Class: c.class, Workspace: c.workspace, Model: x.body.Model, Prompt: req.PromptTokens, Answer: end.Tokens,
	})
	x.finish(&end)
}

// allEnginesContinue reports whether any engine of a model can continue the partial answer of any other: all of them can
// continue one, and all run one version, since the answers of two versions don't fit together.
func allEnginesContinue(endpoints map[string]settings.Endpoint, model string) bool {
	versions := make(map[string]bool)
	for _, e := range endpoints {
		if e.Model != model {
			continue
		}
		if !e.Continues {
			return false
		}
		versions[e.Version] = true
	}
	return len(versions) <= 1
}

func (x *chatExchange) finish(end *owner.End) {
	s, c := x.server, x.caller
	switch end.Outcome {
	case request.OutcomeAnswered:
		duration := s.parts.Clock().Sub(c.arrived)
		if x.answer != nil {
			x.answer.Send(x.w)
		}
		s.parts.Counters.CountAnswer(c.class, end.FirstToken, metTargets(&c.policy, end, duration), end.Tokens)
	case request.OutcomeBroken:
		x.stream.abort(end.Refusal)
	case request.OutcomeCallerGone:
		panic(http.ErrAbortHandler)
	case request.OutcomeRefused:
		s.refuse(x.w, c, end.Refusal)
	}
}

// call builds the HTTP call of an attempt.
func (x *chatExchange) call(a *owner.Attempt, partial string, partialTokens int) (httpclient.Call, error) {
	c := x.caller
	data, err := x.body.engineBody(c.policy.Tier, cacheSalt(c.workspace), x.maxTokens, partial, partialTokens)
	if err != nil {
		return httpclient.Call{}, err
	}
	return httpclient.Call{
		Address: a.Endpoint.Address,
		Method:  http.MethodPost,
		Path:    chatPath,
		Header: http.Header{
			"Content-Type":  {jsonType},
			HeaderRequestID: {c.id},
			HeaderAttempt:   {strconv.Itoa(a.Number)},
		},
		Body:   bytes.NewReader(data),
		Length: int64(len(data)),
		Once:   !c.policy.Repeatable,
		OnSend: a.RecordSend,
	}, nil
}

// unary makes an attempt at a request without streaming. The answer is buffered until it is
// complete.
func (x *chatExchange) unary(ctx context.Context, a *owner.Attempt) owner.Result {
	call, err := x.call(a, "", 0)
	if err != nil {
		return owner.Result{Event: request.EventBroken, Err: err}
	}
	response, err := x.server.parts.Client.Do(ctx, call)
	if err != nil {
		return clientErrorResult(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return owner.Result{Event: request.EventBroken, Err: err}
	case len(data) > maxAnswerBytes:
		return owner.Result{Event: request.EventBroken, Err: errors.New("answer too large")}
	case response.StatusCode >= http.StatusBadRequest:
		return x.endpointError(response, data, a)
	case !gjson.ValidBytes(data):
		return owner.Result{Event: request.EventBroken, Err: errors.New("answer is no JSON")}
	case gjson.GetBytes(data, "id").String() != chatIDPrefix+x.caller.id:
		return owner.Result{Event: request.EventWrongAnswer, Err: errors.New("answer to another request")}
	}
	if !a.StartDelivery() {
		return owner.Result{Event: request.EventBroken}
	}
	a.RecordTokens(int(gjson.GetBytes(data, "usage.completion_tokens").Int()))
	x.answer = &httprelay.HeldAnswer{Status: response.StatusCode, Header: response.Header, Body: data}
	return owner.Result{Event: request.EventWhole}
}

// endpointError converts an endpoint's error response to a result. An error in the request itself
// is returned to the caller as the answer.
func (x *chatExchange) endpointError(response *http.Response, data []byte, a *owner.Attempt) owner.Result {
	status := response.StatusCode
	if gjson.GetBytes(data, "error.ran").String() == string(request.RanNo) {
		return owner.Result{Event: request.EventNotStarted, Err: errors.New("endpoint did not start it: " + response.Status)}
	}
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout {
		return owner.Result{Event: request.EventBroken, Err: errors.New("endpoint answered " + response.Status)}
	}
	if !a.StartDelivery() {
		return owner.Result{Event: request.EventBroken}
	}
	x.answer = &httprelay.HeldAnswer{Status: status, Header: response.Header, Body: data}
	return owner.Result{Event: request.EventWhole}
}

// clientErrorResult converts an error of the HTTP client to a result.
func clientErrorResult(err error) owner.Result {
	if errors.Is(err, request.ErrNotSent) {
		return owner.Result{Event: request.EventDialFailed, Err: err}
	}
	return owner.Result{Event: request.EventBroken, Err: err}
}

// streamAttempt requests a stream, or the remainder of a stream that broke off.
func (x *chatExchange) streamAttempt(ctx context.Context, a *owner.Attempt) owner.Result {
	call, err := x.call(a, x.stream.textSoFar(), x.stream.tokens)
	if err != nil {
		return owner.Result{Event: request.EventBroken, Err: err}
	}
	x.stream.beginAttempt()
	return x.relayStream(ctx, a, call)
}

// streamResume resumes a broken stream at the same engine, after the last event received.
func (x *chatExchange) streamResume(ctx context.Context, a *owner.Attempt) owner.Result {
	pause := time.NewTimer(resumeDelay)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-ctx.Done():
		return owner.Result{Event: request.EventCallerGone}
	}
	return x.relayStream(ctx, a, httpclient.Call{
		Address: a.Endpoint.Address,
		Method:  http.MethodGet,
		Path:    streamsPath + x.caller.id,
		Header:  http.Header{"Last-Event-ID": {x.stream.lastID}, HeaderRequestID: {x.caller.id}},
	})
}

// resumeDelay is the delay before a resume, in which a lost connection may recover.
const resumeDelay = 20 * time.Millisecond

func (x *chatExchange) relayStream(ctx context.Context, a *owner.Attempt, call httpclient.Call) owner.Result {
	ctx, watch := httprelay.WithIdleTimeout(ctx, stallTimeout, owner.ErrStalled)
	defer watch.Stop()
	response, err := x.server.parts.Client.Do(ctx, call)
	if err != nil {
		return clientErrorResult(err)
	}
	defer response.Body.Close()
	if !strings.HasPrefix(response.Header.Get("Content-Type"), eventType) {
		data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		if err != nil || response.StatusCode < http.StatusBadRequest || x.stream.started {
			return owner.Result{Event: request.EventBroken, Err: errors.New("endpoint answered " + response.Status + " instead of a stream")}
		}
		return x.endpointError(response, data, a)
	}
	return x.stream.copy(response.Body, a, watch)
}

package api

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"oxbowslip.dev/oxbowslip/internal/daemon/httpclient"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/intake"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// maxHeldBytes bounds how much of a call or an answer is buffered, in bytes. A call that fits can
// be sent again, and an answer that fits is passed on only when it is complete.
const maxHeldBytes = 64 << 10

// ServicePrefix is the prefix of the shard names of plain services. It separates them from models.
const ServicePrefix = "service:"

// service relays a call to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request, c *caller) *fault {
	name := mux.Vars(r)["service"]
	service, ok := c.tree.Services[name]
	if !ok {
		return &fault{reason: request.ReasonUnknownService, detail: "there is no such service", known: c.serviceNames()}
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+name)
	if path == "" {
		path = "/"
	}
	class := r.Header.Get(HeaderClass)
	if routed := service.ClassOfRoute(r.Method, path); routed != "" {
		// The route's class takes precedence: whether a call may be repeated depends on what the
		// call does, not on the caller's claim.
		class = routed
	}
	if f := c.classify(class); f != nil {
		return f
	}
	x := &serviceExchange{server: s, caller: c, w: w, r: r, name: name, path: withQuery(path, r.URL.RawQuery)}
	if f := x.readHead(); f != nil {
		return f
	}
	if !intake.Begin(r.Context()) {
		return faultOf(httprelay.NoMemory())
	}
	if f := s.claimKey(r, c); f != nil {
		return f
	}
	x.run(r.Context())
	return nil
}

func (c *caller) serviceNames() []string {
	var names []string
	for name := range c.tree.Services {
		names = append(names, name)
	}
	return sorted(names)
}

func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

// serviceExchange is a call of a plain service and its answer.
type serviceExchange struct {
	server *Server
	caller *caller
	w      http.ResponseWriter
	r      *http.Request
	name   string
	path   string
	// head is the buffered beginning of the body. complete is set if it is the entire body.
	head     []byte
	complete bool
	answer   *httprelay.HeldAnswer
}

// readHead buffers up to maxHeldBytes of the body.
func (x *serviceExchange) readHead() *fault {
	limit := int64(x.caller.policy.MaxBodyBytes)
	head, complete, refusal := httprelay.ReadHead(x.w, x.r, limit, maxHeldBytes, x.server.parts.Timeouts.Read)
	if refusal != nil {
		return faultOf(refusal)
	}
	x.head, x.complete = head, complete
	return nil
}

func (x *serviceExchange) run(ctx context.Context) {
	s, c := x.server, x.caller
	jobRules := attemptRules(&c.policy)
	if !x.complete {
		// The rest of the body can be read only once, so the call can't be sent again.
		jobRules.MaxTries = 1
	}
	job := &owner.Job{
		Request:     s.admissionRequest(c),
		Shard:       ServicePrefix + x.name,
		Rules:       jobRules,
		RetryBudget: c.policy.RetryBudget,
		Attempt:     x.attempt,
	}
	if c.policy.MaxWait > 0 {
		job.Deadline = c.arrived.Add(c.policy.MaxWait)
	}
	end := s.parts.Owner.Run(ctx, job)
	switch end.Outcome {
	case request.OutcomeAnswered:
		duration := s.parts.Clock().Sub(c.arrived)
		if x.answer != nil {
			x.answer.Send(x.w)
		}
		s.parts.Counters.CountAnswer(c.class, duration, metTargets(&c.policy, &end, duration), 0)
	case request.OutcomeBroken, request.OutcomeCallerGone:
		panic(http.ErrAbortHandler)
	case request.OutcomeRefused:
		s.refuse(x.w, c, end.Refusal)
	}
}

// attempt makes an attempt at the call.
func (x *serviceExchange) attempt(ctx context.Context, a *owner.Attempt) owner.Result {
	response, err := x.server.parts.Client.Do(ctx, x.call(a))
	if err != nil {
		return clientErrorResult(err)
	}
	defer response.Body.Close()
	head, err := io.ReadAll(io.LimitReader(response.Body, maxHeldBytes))
	if err != nil {
		return owner.Result{Event: request.EventBroken, Err: err}
	}
	if response.Header.Get("X-Ran") == string(request.RanNo) && response.StatusCode >= http.StatusBadRequest {
		return owner.Result{Event: request.EventNotStarted, Err: errors.New("service did not start it: " + response.Status)}
	}
	if x.caller.policy.Repeatable && isGatewayStatus(response.StatusCode) {
		return owner.Result{Event: request.EventBroken, Err: errors.New("service answered " + response.Status)}
	}
	if !a.StartDelivery() {
		return owner.Result{Event: request.EventBroken}
	}
	if len(head) < maxHeldBytes {
		x.answer = &httprelay.HeldAnswer{Status: response.StatusCode, Header: response.Header, Body: head}
		return owner.Result{Event: request.EventWhole}
	}
	return x.stream(response, head)
}

// isGatewayStatus reports whether a status blames the service rather than the call.
func isGatewayStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func (x *serviceExchange) call(a *owner.Attempt) httpclient.Call {
	header := make(http.Header, len(x.r.Header)+2)
	httprelay.CopyHeader(header, x.r.Header)
	header.Del("Authorization")
	header.Del(HeaderClass)
	// The header is set only by the router, and only in chat calls.
	header.Del(HeaderAttempt)
	header.Set(HeaderRequestID, x.caller.id)
	header.Set(HeaderWorkspace, x.caller.workspace)
	var body io.Reader = bytes.NewReader(x.head)
	length := int64(len(x.head))
	if !x.complete {
		body = io.MultiReader(body, x.r.Body)
		length = x.r.ContentLength
	}
	return httpclient.Call{
		Address: a.Endpoint.Address, Method: x.r.Method, Path: x.path, Header: header,
		Body: body, Length: length, Once: !x.caller.policy.Repeatable, OnSend: a.RecordSend,
	}
}

// stream relays an answer that is too large to buffer. If it breaks off, the caller's transfer is
// aborted, too.
func (x *serviceExchange) stream(response *http.Response, head []byte) owner.Result {
	httprelay.CopyHeader(x.w.Header(), response.Header)
	if length := response.Header.Get("Content-Length"); length != "" {
		x.w.Header().Set("Content-Length", length)
	}
	x.w.WriteHeader(response.StatusCode)
	control := http.NewResponseController(x.w)
	buffer := make([]byte, maxHeldBytes)
	for part, readErr := head, error(nil); ; {
		// Test writers don't support deadlines; those of net/http do.
		_ = control.SetWriteDeadline(time.Now().Add(x.server.parts.Timeouts.Write))
		if _, err := x.w.Write(part); err != nil {
			return callerGoneResult(err)
		}
		if readErr == io.EOF {
			return owner.Result{Event: request.EventWhole}
		}
		if readErr != nil {
			return owner.Result{Event: request.EventBroken, Err: readErr}
		}
		var n int
		n, readErr = response.Body.Read(buffer)
		part = buffer[:n]
	}
}

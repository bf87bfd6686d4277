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
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// heldBytes is how much of a call or an answer is held back: a call that fits can be tried again, and an answer that
// fits is passed on only when whole. In bytes.
const heldBytes = 64 << 10

// ServicePrefix begins the names of plain services' shards, which keeps them
// apart from models.
const ServicePrefix = "service:"

// service passes a call on to a plain service.
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
		// The route's class wins: whether a call may be repeated is a property
		// of what it does, not of what its caller says.
		class = routed
	}
	if f := c.classify(class); f != nil {
		return f
	}
	x := &serviceExchange{server: s, caller: c, w: w, r: r, name: name, path: withQuery(path, r.URL.RawQuery)}
	if f := x.readHead(); f != nil {
		return f
	}
	if f := s.claim(r, c); f != nil {
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

// serviceExchange is one call of a plain service.
type serviceExchange struct {
	server *Server
	caller *caller
	w      http.ResponseWriter
	r      *http.Request
	name   string
	path   string
	// head is the first part of the body. Whole says that it is all.
	head   []byte
	whole  bool
	answer *httprelay.HeldAnswer
}

// readHead reads as much of the body as is held back.
func (x *serviceExchange) readHead() *fault {
	limit := int64(x.caller.policy.MaxBodyBytes)
	head, whole, refusal := httprelay.ReadHead(x.w, x.r, limit, heldBytes, x.server.parts.Timeouts.Read)
	if refusal != nil {
		return faultOf(refusal)
	}
	x.head, x.whole = head, whole
	return nil
}

func (x *serviceExchange) run(ctx context.Context) {
	s, c := x.server, x.caller
	jobRules := rules(&c.policy)
	if !x.whole {
		// The rest of the body can be read only once.
		jobRules.MaxTries = 1
	}
	job := &owner.Job{
		Request:     s.scheduleRequest(c),
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
		whole := s.parts.Clock().Sub(c.arrived)
		if x.answer != nil {
			x.answer.Send(x.w)
		}
		s.parts.Counters.CountAnswer(c.class, whole, attained(&c.policy, &end, whole), 0)
	case request.OutcomeBroken:
		panic(http.ErrAbortHandler)
	case request.OutcomeRefused:
		s.refuse(x.w, c, end.Refusal)
	}
}

// attempt makes one try.
func (x *serviceExchange) attempt(ctx context.Context, a *owner.Attempt) owner.Result {
	response, err := x.server.parts.Client.Do(ctx, x.call(a))
	if err != nil {
		return failed(err)
	}
	defer response.Body.Close()
	head, err := io.ReadAll(io.LimitReader(response.Body, heldBytes))
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
	if len(head) < heldBytes {
		x.answer = &httprelay.HeldAnswer{Status: response.StatusCode, Header: response.Header, Body: head}
		return owner.Result{Event: request.EventWhole}
	}
	return x.stream(response, head)
}

// isGatewayStatus reports whether a status says that the service, and not the
// call, is at fault.
func isGatewayStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func (x *serviceExchange) call(a *owner.Attempt) httpclient.Call {
	header := make(http.Header, len(x.r.Header)+2)
	httprelay.CopyHeader(header, x.r.Header)
	header.Del("Authorization")
	header.Del(HeaderClass)
	// Only a host numbers attempts, and it does so in chat calls alone.
	header.Del(HeaderAttempt)
	header.Set(HeaderRequestID, x.caller.id)
	header.Set(HeaderWorkspace, x.caller.workspace)
	var body io.Reader = bytes.NewReader(x.head)
	length := int64(len(x.head))
	if !x.whole {
		body = io.MultiReader(body, x.r.Body)
		length = x.r.ContentLength
	}
	return httpclient.Call{
		Address: a.Endpoint.Address, Method: x.r.Method, Path: x.path, Header: header,
		Body: body, Length: length, Once: !x.caller.policy.Repeatable, OnSend: a.RecordSend,
	}
}

// stream passes on an answer that is too large to hold back. If it breaks, the
// caller's transfer breaks too.
func (x *serviceExchange) stream(response *http.Response, head []byte) owner.Result {
	httprelay.CopyHeader(x.w.Header(), response.Header)
	if length := response.Header.Get("Content-Length"); length != "" {
		x.w.Header().Set("Content-Length", length)
	}
	x.w.WriteHeader(response.StatusCode)
	control := http.NewResponseController(x.w)
	buffer := make([]byte, heldBytes)
	for part, readErr := head, error(nil); ; {
		// The writers of tests have no deadlines; those of net/http do.
		_ = control.SetWriteDeadline(time.Now().Add(x.server.parts.Timeouts.Write))
		if _, err := x.w.Write(part); err != nil {
			return callerLost(err)
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

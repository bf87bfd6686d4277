package relay

import (
	"net/http"
	"strings"
	"time"

	"oxbowslip.dev/oxbowslip/internal/bodies"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/intake"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// exchange is the state of a request from its arrival to its answer.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	call     Call
	revision uint64
	// age is the maximum age of the settings when they were applied to the request, or freshness.UnknownAge.
	age       time.Duration
	route     settings.HostRoute
	workspace string
	policy    settings.Policy
	job       *owner.Job
	// service is the target of the route that was picked for the request.
	service string
	body    []byte
	// key identifies the content of the request; identical requests share it.
	key   keys.Content
	blame blame
	// deadline is when the request's time limit expires.
	deadline time.Time

	stream streamState
	// isCounted is set once Meter has counted the request.
	isCounted bool
	// sentAt is when the last attempt was sent, isTunneled whether it was sent through a peer.
	sentAt     time.Time
	isTunneled bool
	// signal is the state that the endpoint of the last answer reported.
	signal pushback.Signal
	// answer is the complete answer for the caller, serverError an endpoint's server error that is forwarded if no
	// attempt gives a better answer.
	answer      *httprelay.HeldAnswer
	serverError *httprelay.HeldAnswer
	// requestMemory and answerMemory are the memory that the bodies of the request and of its answers take.
	requestMemory, answerMemory bodies.Lease
}

// prepare classifies the request, checks that it may run, and reads its body. It returns a refusal if the request may
// not run; nothing has been sent then.
func (x *exchange) prepare() *request.Refusal {
	call, err := x.server.parts.Dialect.ParseCall(x.r)
	x.call = call
	if err != nil {
		return request.Refuse(request.ReasonBadRequest, err.Error())
	}
	current := x.server.parts.Settings.Current()
	if current == nil {
		refusal := request.Refuse(request.ReasonNotReady, "this host knows no settings yet")
		refusal.RetryAfter = notReadyRetry
		return refusal
	}
	x.revision, x.age = current.Number, x.server.parts.Freshness.Age(freshness.Settings)
	x.server.parts.Counters.RecordDecisionAge(x.age)
	if refusal := x.resolveRoute(current.Tree); refusal != nil {
		return refusal
	}
	x.deadline = x.arrived.Add(timeLimit(x.policy.TimeLimit, x.call.MaxWait))
	var refusal *request.Refusal
	x.body, refusal = httprelay.ReadBody(x.w, x.r, x.server.parts.RequestBodies, &x.requestMemory, int64(x.policy.MaxBodyBytes), x.server.parts.Timeouts.Read)
	if refusal == nil && !intake.Begin(x.r.Context()) {
		refusal = httprelay.NoMemory()
	}
	x.key = keys.OfRequest(&keys.Identity{
		Workspace: x.workspace, Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Body: x.body,
	})
	x.blame.contents = append([]keys.Content{x.key}, sharedParts(x.workspace, x.call.Parts)...)
	x.server.parts.Poison.RecordRequest(x.blame.contents)
	return refusal
}

// timeLimit returns how long a request may take: the limit of its class, or the caller's maximum wait if that is
// shorter or the class has no limit.
func timeLimit(class, maxWait time.Duration) time.Duration {
	if maxWait > 0 && (maxWait < class || class == 0) {
		return maxWait
	}
	return class
}

// resolveRoute finds the route, the workspace and the policy of the request, and picks a service.
func (x *exchange) resolveRoute(tree *settings.Tree) *request.Refusal {
	host, _, _ := strings.Cut(x.r.Host, ":")
	route, ok := tree.RouteFor(host, x.r.URL.Path)
	if !ok {
		return request.Refuse(request.ReasonUnknownRoute, "no route for "+host+x.r.URL.Path)
	}
	x.route = route
	if !route.Public && len(tree.Workspaces) > 0 {
		x.workspace, ok = tree.WorkspaceOf(x.call.Key)
		if !ok {
			return request.Refuse(request.ReasonUnknownKey, "this key belongs to no workspace")
		}
	}
	x.policy, ok = tree.RoutePolicy(x.workspace, route.Class)
	if !ok {
		return request.Refuse(request.ReasonUnknownRoute, "no class "+route.Class)
	}
	x.service = route.PickService(x.server.parts.Random())
	return nil
}

// run takes the request through its attempts and answers the caller.
func (x *exchange) run() {
	p := &x.server.parts
	ctx, cancel := p.Clock.WithDeadline(x.r.Context(), x.deadline, owner.ErrTimeLimit)
	defer cancel()
	x.job = x.newJob()
	defer func() { x.blame.takeLeases()(false) }()
	end := p.Owner.Run(ctx, x.job)
	if x.stream.events > 1 && end.Sends == 1 {
		summary := x.stream.summary()
		if end.Outcome == request.OutcomeAnswered {
			summary.LengthHint = x.call.LengthHint
		}
		p.Health.RecordStream(x.service, summary)
	}
	x.logResult(&end)
	switch end.Outcome {
	case request.OutcomeAnswered:
		if x.answer != nil {
			x.answer.Send(x.w)
		}
		took := p.Clock.Now().Sub(x.arrived)
		p.Counters.CountAnswer(x.route.Class, took, x.metTargets(&end, took), 0)
	case request.OutcomeBroken, request.OutcomeCallerGone:
		// net/http closes the connection without the end of the answer, so that the caller detects that it is truncated.
		// A caller that has only closed its sending side may still read, and would get an empty 200.
		panic(http.ErrAbortHandler)
	case request.OutcomeRefused:
		if x.serverError != nil {
			x.serverError.Send(x.w)
			return
		}
		writeRefusal(x.w, x.call.ID, end.Refusal)
	}
}

// countRun counts the request with Meter, once.
func (x *exchange) countRun() {
	if !x.isCounted {
		x.isCounted = true
		x.server.parts.Meter.RecordStart(x.workspace, x.server.parts.Clock.Now())
	}
}

// metTargets reports whether an answer met the latency targets of its class.
func (x *exchange) metTargets(end *owner.End, took time.Duration) bool {
	if !x.policy.Stream {
		return x.policy.WholeAnswer == 0 || took <= x.policy.WholeAnswer
	}
	if x.policy.FirstToken == 0 {
		return true
	}
	return end.FirstToken > 0 && end.FirstToken <= x.policy.FirstToken && x.stream.longestPause <= x.policy.MaxPause
}

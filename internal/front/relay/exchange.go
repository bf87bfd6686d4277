package relay

import (
	"net/http"
	"strings"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// exchange is one request from its arrival to its answer.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	call     Call
	revision uint64
	// age is how old the settings were at most when they decided, or freshness.Unknown.
	age       time.Duration
	route     settings.HostRoute
	workspace string
	policy    settings.Policy
	// service is the one of the route's targets that gets the request.
	service string
	body    []byte
	// key is the same for each request that asks for the same.
	key keys.Request
	// limit is when the request's time is over.
	limit time.Time

	stream streamState
	// counted is set once the meter has counted the request.
	counted bool
	// sentAt is when the last attempt was sent.
	sentAt time.Time
	// signal is what the last answer said of its endpoint.
	signal pushback.Signal
	// answer is the whole answer for the caller, failure an endpoint's own failure that is
	// passed on if nothing better comes.
	answer  *httprelay.HeldAnswer
	failure *httprelay.HeldAnswer
}

// prepare finds out what the request is and whether it may run, and reads its body. It returns
// the refusal if it may not; nothing was sent then.
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
	if refusal := x.classify(current.Tree); refusal != nil {
		return refusal
	}
	x.limit = x.arrived.Add(timeLimit(x.policy.TimeLimit, x.call.MaxWait))
	var refusal *request.Refusal
	x.body, refusal = httprelay.ReadBody(x.w, x.r, int64(x.policy.MaxBodyBytes), x.server.parts.Timeouts.Read)
	x.key = keys.OfRequest(&keys.Identity{
		Workspace: x.workspace, Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Body: x.body,
	})
	return refusal
}

// timeLimit returns how long a request may take: the class's limit, or the time that the caller
// waits if that is shorter or the class has none.
func timeLimit(class, patience time.Duration) time.Duration {
	if patience > 0 && (patience < class || class == 0) {
		return patience
	}
	return class
}

// classify finds the route, the workspace and the settings that apply to them.
func (x *exchange) classify(tree *settings.Tree) *request.Refusal {
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

// run leads the request through its attempts and answers the caller.
func (x *exchange) run() {
	p := &x.server.parts
	ctx, cancel := p.Clock.WithDeadline(x.r.Context(), x.limit, owner.ErrTimeLimit)
	defer cancel()
	job := x.job()
	end := p.Owner.Run(ctx, job)
	if x.stream.events > 1 && end.Sends == 1 {
		p.Health.RecordStream(x.service, x.stream.observed())
	}
	x.logEnd(&end)
	switch end.Outcome {
	case request.OutcomeAnswered:
		if x.answer != nil {
			x.answer.Send(x.w)
		}
		whole := p.Clock.Now().Sub(x.arrived)
		p.Counters.CountAnswer(x.route.Class, whole, x.attained(&end, whole), 0)
	case request.OutcomeBroken:
		// net/http closes the connection without the end of the answer, so that the caller
		// sees that it is cut.
		panic(http.ErrAbortHandler)
	case request.OutcomeRefused:
		if x.failure != nil {
			x.failure.Send(x.w)
			return
		}
		writeRefusal(x.w, x.call.ID, end.Refusal)
	}
}

// began has the meter count the request, once.
func (x *exchange) began() {
	if !x.counted {
		x.counted = true
		x.server.parts.Meter.RecordStart(x.workspace, x.server.parts.Clock.Now())
	}
}

// attained reports whether an answer met the targets of its class.
func (x *exchange) attained(end *owner.End, whole time.Duration) bool {
	if !x.policy.Stream {
		return x.policy.WholeAnswer == 0 || whole <= x.policy.WholeAnswer
	}
	if x.policy.FirstToken == 0 {
		return true
	}
	return end.FirstToken > 0 && end.FirstToken <= x.policy.FirstToken && x.stream.longestPause <= x.policy.MaxPause
}

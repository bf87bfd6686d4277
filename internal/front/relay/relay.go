package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Health takes what requests show of endpoints.
type Health interface {
	// Failed says that an endpoint could not be reached, or was and broke a call.
	Failed(endpoint string, reached bool, cause error)
	// Answered says that an endpoint gave a whole answer.
	Answered(endpoint string)
	// Streamed says how long a stream paused, against its target.
	Streamed(service string, request *admission.Request, longest, target time.Duration)
}

// Parts are what a server works with.
type Parts struct {
	Host     string
	Zone     string
	Settings *settings.Holder
	Owner    *owner.Owner
	Client   *upstream.Client
	Health   Health
	Dialect  Dialect
	Counters *counters.Counters
	Log      *logrus.Entry
	Clock    func() time.Time
	// Random gives numbers from 0 up to 1.
	Random func() float64
	// Timeouts bound what a caller may hold up.
	Timeouts httprelay.Timeouts
}

// answeredLines bounds the log lines a second for requests that were answered at
// the first try. All others have a line each.
const answeredLines = 50

// Server answers the callers of routes. It is an http.Handler.
type Server struct {
	Parts
	answered *logging.Sampler
}

// New makes a server.
func New(parts Parts) *Server {
	return &Server{Parts: parts, answered: logging.NewSampler(answeredLines)}
}

// notReadyRetry is when to come back to a host that knows no settings yet.
const notReadyRetry = 500 * time.Millisecond

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{server: s, w: w, r: r, arrived: s.Clock()}
	if refusal := x.admit(); refusal != nil {
		s.Counters.Refused(refusal.Reason)
		s.Log.WithFields(logrus.Fields{
			"id": x.call.ID, "reason": refusal.Reason, "detail": refusal.Detail, "revision": x.revision,
			"path": r.URL.Path, "workspace": x.workspace,
		}).Warn("refused before a decision")
		writeRefusal(w, x.call.ID, refusal)
		return
	}
	x.run()
}

// exchange is one request on its way.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	call      Call
	revision  uint64
	route     settings.HostRoute
	workspace string
	policy    settings.Policy
	target    string
	body      []byte
	// limit is when the request's time is over.
	limit time.Time

	stream eventRelay
	// answer is the whole answer for the caller, failure an endpoint's own failure
	// that is passed on if nothing better comes.
	answer  *httprelay.HeldAnswer
	failure *httprelay.HeldAnswer
}

func refuse(reason request.Reason, detail string) *request.Refusal {
	return &request.Refusal{Reason: reason, Ran: request.RanNo, Detail: detail}
}

// admit finds what the request is and whether it may run, and reads its body. All
// faults end here, with nothing sent.
func (x *exchange) admit() *request.Refusal {
	call, err := x.server.Dialect.Read(x.r)
	x.call = call
	if err != nil {
		return refuse(request.ReasonBadRequest, err.Error())
	}
	current := x.server.Settings.Current()
	if current == nil {
		refusal := refuse(request.ReasonNotReady, "this host knows no settings yet")
		refusal.RetryAfter = notReadyRetry
		return refusal
	}
	x.revision = current.Number
	if refusal := x.classify(current.Tree); refusal != nil {
		return refusal
	}
	x.limit = x.arrived.Add(x.policy.TimeLimit)
	if patience := x.call.Patience; patience > 0 && (patience < x.policy.TimeLimit || x.policy.TimeLimit == 0) {
		x.limit = x.arrived.Add(patience)
	}
	var refusal *request.Refusal
	x.body, refusal = httprelay.ReadBody(x.w, x.r, int64(x.policy.MaxBodyBytes), x.server.Timeouts.Read)
	return refusal
}

// classify finds the route, the workspace and the settings that hold for them.
func (x *exchange) classify(tree *settings.Tree) *request.Refusal {
	host, _, _ := strings.Cut(x.r.Host, ":")
	route, ok := tree.RouteFor(host, x.r.URL.Path)
	if !ok {
		return refuse(request.ReasonUnknownRoute, "no route for "+host+x.r.URL.Path)
	}
	x.route = route
	if !route.Public && len(tree.Workspaces) > 0 {
		x.workspace, ok = tree.WorkspaceOf(x.call.Key)
		if !ok {
			return refuse(request.ReasonUnknownKey, "this key belongs to no workspace")
		}
	}
	x.policy, ok = tree.RoutePolicy(x.workspace, route.Class)
	if !ok {
		return refuse(request.ReasonUnknownRoute, "no class "+route.Class)
	}
	x.target = route.Pick(x.server.Random())
	return nil
}

// run takes the request through its attempts and answers the caller.
func (x *exchange) run() {
	s := x.server
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.limit, owner.ErrTimeLimit)
	defer cancel()
	job := x.job()
	end := s.Owner.Run(ctx, job)
	if x.stream.events > 1 && end.Sends == 1 {
		s.Health.Streamed(x.target, &job.Request, x.stream.longest, x.policy.MaxPause)
	}
	x.log(&end)
	switch end.Outcome {
	case request.OutcomeAnswered:
		if x.answer != nil {
			x.answer.Send(x.w)
		}
		whole := s.Clock().Sub(x.arrived)
		s.Counters.Answered(x.route.Class, whole, x.attained(&end, whole), 0)
	case request.OutcomeBroken:
		panic(http.ErrAbortHandler)
	case request.OutcomeRefused:
		if x.failure != nil {
			x.failure.Send(x.w)
			return
		}
		writeRefusal(x.w, x.call.ID, end.Refusal)
	}
}

func (x *exchange) attained(end *owner.End, whole time.Duration) bool {
	if x.policy.Stream {
		return x.policy.FirstToken == 0 || (end.FirstToken > 0 && end.FirstToken <= x.policy.FirstToken && x.stream.longest <= x.policy.MaxPause)
	}
	return x.policy.WholeAnswer == 0 || whole <= x.policy.WholeAnswer
}

// sharedPart names the last part of the prompt that other requests share.
func (x *exchange) sharedPart() string {
	if n := len(x.call.Parts); n > 1 {
		return x.call.Parts[n-2].ID
	}
	return ""
}

// log writes the request's end with the figures that decided it.
func (x *exchange) log(end *owner.End) {
	leftOut := int64(0)
	if end.Outcome == request.OutcomeAnswered && end.Tries <= 1 {
		var ok bool
		if leftOut, ok = x.server.answered.Allow(x.server.Clock()); !ok {
			return
		}
	}
	fields := logrus.Fields{
		"id": x.call.ID, "class": x.route.Class, "workspace": x.workspace, "tier": x.policy.Tier, "urgency": x.policy.Urgency,
		"service": x.target, "endpoint": end.Endpoint, "tries": end.Tries, "sends": end.Sends,
		"revision": x.revision, "took_ms": x.server.Clock().Sub(x.arrived).Milliseconds(),
		"first_ms": end.FirstToken.Milliseconds(), "events": x.stream.events, "pause_ms": x.stream.longest.Milliseconds(),
		"prompt": x.call.PromptTokens, "prefix": x.sharedPart(), "steps": end.Steps,
	}
	if leftOut > 0 {
		fields["lines_left_out"] = leftOut
	}
	log := x.server.Log.WithFields(fields)
	switch end.Outcome {
	case request.OutcomeAnswered:
		log.Info("answered")
	case request.OutcomeCallerGone:
		log.Warn("caller gone")
	default:
		log.WithFields(logrus.Fields{
			"reason": end.Refusal.Reason, "ran": end.Refusal.Ran, "detail": end.Refusal.Detail,
		}).Warn("given up")
	}
}

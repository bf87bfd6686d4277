// Package relay answers the callers of oxbowslip-front: it accepts calls by host name and path,
// looks up the route of each, and relays it to an endpoint of the route's service,
// plain calls whole and event streams event by event. The callers' interface of oxbowslipd is
// package daemon/api, which speaks the chat protocol of language models instead.
//
// It owns one exchange for each open request. Package owner takes the request through its
// attempts, package upstream sends it, and Health is notified of what the attempts show of endpoints.
// How a deployment spells in headers what callers, hosts and endpoints say is up to a Dialect.
package relay

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/poison"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Health is notified of what requests show of endpoints. Its methods must not block.
type Health interface {
	// RecordFailure is called when an endpoint could not be reached, or was reached and broke the call
	// or stayed silent.
	RecordFailure(endpoint string, reached bool, cause error)
	// RecordSuccess is called when an endpoint gave a whole answer.
	RecordSuccess(endpoint string)
	// RecordStream is called with what was seen of a whole stream.
	RecordStream(service string, stream engine.Stream)
	// UnprocessedTokens returns the prompt tokens that an endpoint has still to read, as far as is known.
	UnprocessedTokens(endpoint string) int
}

// Meter counts the requests that endpoints began to run.
type Meter interface {
	// RecordStart is called once for each request, when its first event or its answer has come.
	RecordStart(workspace string, at time.Time)
}

// Poison knows the requests that end the endpoints that run them. Its methods must not block.
type Poison interface {
	// IsPoison reports whether a request must not be sent.
	IsPoison(request keys.Request) bool
	// RecordBrokenCall is called when an endpoint broke a call.
	RecordBrokenCall(call *poison.Call)
	// RecordAnswer is called when an endpoint gave a whole answer.
	RecordAnswer(request keys.Request)
}

// Signals takes what endpoints say of themselves. Its methods must not block.
type Signals interface {
	// HandleAnswer is called with what the head of an answer says.
	HandleAnswer(answer *pushback.Answer)
}

// Clock is the host's clock.
type Clock interface {
	Now() time.Time
	// WithDeadline returns a context that ends at a time of the clock with a cause.
	WithDeadline(ctx context.Context, at time.Time, cause error) (context.Context, context.CancelFunc)
}

// Parts are what a server works with.
type Parts struct {
	// Host and Zone are this host's name and availability zone.
	Host     string
	Zone     string
	Settings *settings.Holder
	// Freshness says how old the settings may be.
	Freshness *freshness.State
	Owner     *owner.Owner
	Client    *upstream.Client
	Health    Health
	Meter     Meter
	Poison    Poison
	Signals   Signals
	Dialect   Dialect
	Counters  *counters.Counters
	Log       *logrus.Entry
	Clock     Clock
	// Random returns numbers from 0 up to 1.
	Random   func() float64
	Timeouts httprelay.Timeouts
}

// answeredLines bounds the log lines a second for requests that were answered at the first
// try; all others have a line each. Logs took 5.5 % of the hosts' processor time on a quiet day with it.
const answeredLines = 50

// Server answers the callers of routes. It is an http.Handler.
type Server struct {
	parts    Parts
	answered *logging.Sampler
}

// New returns a server.
func New(parts Parts) *Server {
	return &Server{parts: parts, answered: logging.NewSampler(answeredLines)}
}

// recover ends a request in which the program has panicked, so that all others go on: its connection is cut, which
// promises nothing about whether it ran.
func (x *exchange) recover() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		x.server.parts.Counters.CountRefusal(request.ReasonInternal)
		x.server.parts.Log.WithFields(logrus.Fields{
			"id": x.call.ID, "request_key": x.key.String(), "cause": fmt.Sprint(cause), "stack": string(debug.Stack()),
		}).Error("the program has failed in this request")
	}
	panic(http.ErrAbortHandler)
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{server: s, w: w, r: r, arrived: s.parts.Clock.Now(), age: freshness.UnknownAge}
	defer x.recover()
	if refusal := x.prepare(); refusal != nil {
		s.parts.Counters.CountRefusal(refusal.Reason)
		x.logRefused(refusal)
		writeRefusal(w, x.call.ID, refusal)
		return
	}
	x.run()
}

// Package relay serves the callers of oxbowslip-front: it accepts calls by host name and path, looks up the route of
// each, and relays it to an endpoint of the route's service. It forwards plain answers when they are complete, and
// event streams event by event. The counterpart in oxbowslipd is package daemon/api, which serves the chat protocol of
// language models instead.
//
// It owns an exchange for each open request. Package owner takes the request through its attempts, package upstream
// sends it, and Health receives the observations of endpoints. A Dialect translates the headers of the deployment.
package relay

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/bodies"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/copies"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/origin"
	"oxbowslip.dev/oxbowslip/internal/front/poison"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/silence"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Health receives the observations of endpoints that requests yield. Its methods must not block.
type Health interface {
	// RecordFailure is called when an endpoint could not be reached, or was reached and broke the call or stalled.
	RecordFailure(endpoint string, reached bool, cause error)
	// RecordSuccess is called when an endpoint has sent a complete answer.
	RecordSuccess(endpoint string)
	// RecordStream is called with the observations of a complete stream.
	RecordStream(service string, stream engine.Stream)
	// UnprocessedTokens returns the number of prompt tokens that an endpoint has yet to process, as far as this host knows.
	UnprocessedTokens(endpoint string) int
}

// Meter counts the requests that endpoints began to run.
type Meter interface {
	// RecordStart is called once for each request, when its first event or its answer arrives.
	RecordStart(workspace string, at time.Time)
}

// Poison detects the requests that crash the endpoints that run them. Its methods must not block.
type Poison interface {
	// RecordRequest is called with the contents of each request.
	RecordRequest(contents []keys.Content)
	// FindPoison returns the first of the contents of a request that must not be sent, and whether there is one. Trial holds
	// the parts of which the request is a trial; it is set if the request becomes one.
	FindPoison(contents []keys.Content, trial *[]keys.Content) (keys.Content, bool)
	// RecordBrokenCall is called when an endpoint has broken a call.
	RecordBrokenCall(call *poison.Call)
	// RecordLostCall is called when a call was given up at an endpoint that has fallen silent.
	RecordLostCall(call *poison.Call)
	// RecordAnswer is called when an endpoint with a software version has sent a complete answer to a request with some
	// contents.
	RecordAnswer(contents []keys.Content, version keys.Version)
}

// Copies keeps copies of a request that has crashed endpoints from being sent in parallel.
type Copies interface {
	// Limits returns those of a request's contents for which it is sent only with a lease. It must not block.
	Limits(contents []keys.Content) []poison.Limit
	// Acquire waits until a request with a limit on its contents and some time left may be sent, at most until a time. The lease is nil
	// if the contents need none. Otherwise it returns false and the time until the request may be sent.
	Acquire(ctx context.Context, limit poison.Limit, left time.Duration, until time.Time) (*copies.Lease, time.Duration, bool)
}

// Origins knows the software versions that began streams.
type Origins interface {
	// Begin is called before the caller receives the first event of a stream that began at a version; 0 means that the
	// version is not certain. TimeLeft is the time until the request's limit. It must not block.
	Begin(stream keys.Stream, service string, version keys.Version, timeLeft time.Duration)
	// Find returns the origin of a stream that is to be resumed at a service. It blocks for at most some 10 ms.
	Find(ctx context.Context, stream keys.Stream, service string) origin.Origin
}

// Signals receives the states that endpoints report. Its methods must not block.
type Signals interface {
	// HandleAnswer is called with the state in the head of an answer.
	HandleAnswer(answer *pushback.Answer)
}

// Clock is the host's clock.
type Clock interface {
	Now() time.Time
	// WithDeadline returns a context that is cancelled with a cause at a time of the clock.
	WithDeadline(ctx context.Context, at time.Time, cause error) (context.Context, context.CancelFunc)
}

// Parts are the dependencies of a Server.
type Parts struct {
	// Host and Zone are this host's name and availability zone.
	Host     string
	Zone     string
	Settings *settings.Holder
	// Freshness returns the age of the settings.
	Freshness *freshness.State
	Owner     *owner.Owner
	Client    *upstream.Client
	Health    Health
	Meter     Meter
	Poison    Poison
	Copies    Copies
	Signals   Signals
	Origins   Origins
	// Silence records which endpoints send something to this host.
	Silence *silence.Tracker
	// SoftwareVersion returns the software version of an endpoint, and whether the endpoint is known.
	SoftwareVersion func(endpoint string) (string, bool)
	Dialect         Dialect
	Counters        *counters.Counters
	Log             *logrus.Entry
	Clock           Clock
	// Random returns a random number in [0, 1).
	Random   func() float64
	Timeouts httprelay.Timeouts
	// RequestBodies and AnswerBodies are the memory for the bodies of all requests, and of all plain answers. They are
	// separate, so that an answer does not wait for memory that a request holds which waits for its answer.
	RequestBodies, AnswerBodies *bodies.Budget
}

// maxAnsweredLines bounds the log lines per second for requests that were answered at the first attempt; each other
// request has a line. With it, logs take 5.5 % of a host's CPU time under light load.
const maxAnsweredLines = 50

// Server serves the callers of routes. It is an http.Handler.
type Server struct {
	parts           Parts
	answeredSampler *logging.Sampler
}

// New returns a server.
func New(parts Parts) *Server {
	return &Server{parts: parts, answeredSampler: logging.NewSampler(maxAnsweredLines)}
}

// recover aborts the connection of a request whose handling has panicked, so that other requests continue. An aborted
// connection does not state whether the request ran.
func (x *exchange) recover() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		x.server.parts.Counters.CountRefusal(request.ReasonInternal)
		x.server.parts.Log.WithFields(logrus.Fields{
			"id": x.call.ID, "request_key": x.key.String(), "cause": fmt.Sprint(cause), "stack": string(debug.Stack()),
		}).Error("panic while handling the request, its connection is aborted")
	}
	panic(http.ErrAbortHandler)
}

// ServeHTTP handles a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{server: s, w: w, r: r, arrived: s.parts.Clock.Now(), age: freshness.UnknownAge}
	defer x.recover()
	defer x.requestMemory.Release()
	defer x.answerMemory.Release()
	refusal := x.prepare()
	if refusal == nil {
		refusal = x.findOrigin()
	}
	if refusal != nil {
		s.parts.Counters.CountRefusal(refusal.Reason)
		x.logRefused(refusal)
		httprelay.AnswerBeforeBody(w, r, func() { writeRefusal(w, x.call.ID, refusal) })
		return
	}
	x.run()
}

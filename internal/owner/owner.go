// Package owner drives a request from its acceptance to its end on the host that accepted it: it asks for an endpoint,
// makes the attempts, and retries or refuses by the rules of package request.
//
// The package owns the open requests of this host. An Admitter selects the endpoint, the job's functions send the
// request, and a Budget bounds the retries. Both programs use the package with their own implementations of these.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// The causes with which an attempt's context is cancelled.
var (
	// ErrStopped: the host stops and can't wait any longer.
	ErrStopped = merry.Sentinel("host stops")
	// ErrPreempted: a request of a higher tier needs the endpoint.
	ErrPreempted = merry.Sentinel("preempted")
	// ErrStalled: the endpoint sent nothing for too long.
	ErrStalled = merry.Sentinel("endpoint stalled")
	// ErrTimeLimit: the request's time limit has expired.
	ErrTimeLimit = merry.Sentinel("time limit reached")
	// ErrSlowCaller: the caller did not read the available output.
	ErrSlowCaller = merry.Sentinel("caller does not read")
)

// Admitter grants endpoints to requests.
type Admitter interface {
	// Ask waits for the decision on a request. The error is that of ctx, after which the request is withdrawn. The
	// ticket of a granted request must be finished.
	Ask(ctx context.Context, shard string, request admission.Request) (Ticket, admission.Decision, error)
}

// Ticket reports the progress of a granted request to an Admitter. Its methods are called from the goroutine of the
// request and must not block.
type Ticket interface {
	// Preempted is closed when the request has to release its endpoint. It may be nil.
	Preempted() <-chan struct{}
	// MaySend reports whether the request may still be sent. It is called immediately before Started.
	MaySend() bool
	// Started is called before bytes are written to the endpoint.
	Started()
	// FirstToken is called when the first token has arrived.
	FirstToken()
	// Progress is called with the number of tokens received so far.
	Progress(tokens int)
	// Finished ends the grant. Tokens is the length of the answer in this attempt.
	Finished(result admission.Result, tokens int)
}

// Endpoints returns the latest directory entry of an endpoint, and whether the endpoint takes new work.
type Endpoints func(id string) (settings.Endpoint, bool)

// Budget bounds retries. A group is a class or a service, depending on the implementation.
type Budget interface {
	// RecordFirstTry counts a first try; fraction is the number of retries allowed for each first try.
	RecordFirstTry(group string, fraction float64)
	// Reserve counts a retry if the group may retry once more, and reports whether it may. Silent is the endpoint that may
	// still read the try before, or empty. HasBegun is set if the caller has received a part of the answer. Each counted retry
	// ends with one of the other calls. Release takes it back: the retry was not sent.
	Reserve(group, silent string, hasBegun bool) bool
	Release(group string)
	// Settle is called when a counted retry has arrived at its endpoint, or never will.
	Settle(group string)
	// Leave is called when a request no longer waits for some of its tries, of which a number of counted retries may
	// still arrive.
	Leave(group string, retries int, sends []request.Send)
	// RecordAnswer is called when an endpoint has begun to answer a try.
	RecordAnswer(group string, send request.Send)
}

// Parts holds the dependencies of an owner.
type Parts struct {
	// Host is the name of this host.
	Host      string
	Admitter  Admitter
	Endpoints Endpoints
	Budget    Budget
	Counters  *counters.Counters
	Explained *explain.Ring
	Log       *logrus.Entry
	Clock     func() time.Time
	// Random returns numbers in [0, 1).
	Random func() float64
}

// Owner runs the jobs of this host. It is safe for concurrent use.
type Owner struct {
	parts Parts

	mu       sync.Mutex
	openJobs int
	// idle wakes Drain when no job is open.
	idle chan struct{}
	// stopped is closed when the host can't wait any longer.
	stopped chan struct{}
}

// New returns an owner without jobs.
func New(parts Parts) *Owner {
	return &Owner{parts: parts, idle: make(chan struct{}, 1), stopped: make(chan struct{})}
}

// Run runs a job to its end. Ctx is the caller's context: its end means that the caller has disconnected.
func (o *Owner) Run(ctx context.Context, job *Job) End {
	o.beginJob()
	defer o.endJob()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer o.cancelOnStop(cancel)()

	r := &run{owner: o, job: job, lifecycle: request.NewLifecycle(job.Rules), arrived: job.Request.Arrived}
	r.arrivals = arrivals{budget: o.parts.Budget, group: job.budgetGroup()}
	o.parts.Budget.RecordFirstTry(job.budgetGroup(), job.RetryBudget)
	o.parts.Explained.Begin(explain.Record{
		ID: job.Request.ID, Host: o.parts.Host, Workspace: job.Request.Workspace,
		Class: job.Request.Class, Shard: job.Shard, Tier: job.Request.Tier,
	})
	// After a panic in an attempt, the request must not keep counting at its endpoint.
	defer r.release(admission.Cancelled)
	defer r.arrivals.end()
	defer r.dropSuccessor()
	r.loop(ctx)
	return r.end()
}

// cancelOnStop cancels the job when the host can't wait any longer. The returned function stops watching.
func (o *Owner) cancelOnStop(cancel context.CancelCauseFunc) func() {
	done := make(chan struct{})
	go func() {
		select {
		case <-o.stopped:
			cancel(ErrStopped)
		case <-done:
		}
	}()
	return func() { close(done) }
}

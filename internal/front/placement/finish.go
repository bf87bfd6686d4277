package placement

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Bursts of long prompts fill engines with streams that run into their time limits: their work is lost, and it slows
// all others. By the rule in this file a stream is sent to an endpoint at which it is predicted to end in time. If there
// is none, a stream of the most urgent class is sent to the best endpoint nevertheless, and any other is refused. Requests
// whose end can't be predicted are not affected.

const (
	// leastUrgentTimeShare is the share of its time left in which a request of the least urgent class has to end:
	// predictions are uncertain, and the work of a request that is cut off is lost for all.
	leastUrgentTimeShare = 0.8
	// classOrderTime is how long less urgent classes get nothing after the refusal of a more urgent one.
	classOrderTime = time.Second
	// readingInterval is how often the endpoints that read prompts are counted: about as often as loads change.
	readingInterval = 100 * time.Millisecond
	// minLateRetry and maxLateRetry bound the Retry-After of a refusal by this rule, and lateRetryStep is its resolution.
	minLateRetry  = 250 * time.Millisecond
	maxLateRetry  = 4 * time.Second
	lateRetryStep = 250 * time.Millisecond
	// followedRetryShare is the share of the time that a caller has left up to which it follows a Retry-After.
	followedRetryShare = 1.0 / 3
)

// finishRule is the state of the rule for all services. A nil rule admits every request.
type finishRule struct {
	bounds PriorityBounds
	// eventTokens holds the number of tokens in an event for the services whose settings name it.
	eventTokens map[string]int
	// refusedAt holds the time of the last refusal of each class of a service, by the class's urgency.
	refusedAt map[string]map[int]time.Time
	// reading holds the share of each service's endpoints that read prompts.
	reading map[string]readingShare
}

// readingShare is the share of a service's endpoints that read prompts at a point in time.
type readingShare struct {
	at    time.Time
	share float64
}

func newFinishRule() *finishRule {
	return &finishRule{refusedAt: make(map[string]map[int]time.Time), reading: make(map[string]readingShare)}
}

func (r *finishRule) setSettings(bounds PriorityBounds, tree *settings.Tree) {
	if r == nil {
		return
	}
	r.bounds, r.eventTokens = bounds, make(map[string]int)
	for name, service := range tree.Services {
		if service.Engine != nil {
			r.eventTokens[name] = service.Engine.EventTokens
		}
	}
}

// admits reports whether a request is admitted to the endpoint chosen for it. A continued stream always is: its caller has
// a part of the answer, and a refusal would cut it.
func (r *finishRule) admits(now time.Time, service string, request *admission.Request, choice *Choice) bool {
	if r == nil || !r.bounds.isSheddable(request) || request.HasBegun {
		return true
	}
	return choice.CanEnd && !now.Before(r.blockedUntil(service, request.Urgency))
}

// blockedUntil returns the time until which a class gets nothing because a more urgent one was refused. Otherwise the
// less urgent one would take the capacity for which the other one is told to return.
func (r *finishRule) blockedUntil(service string, urgency int) time.Time {
	var until time.Time
	for refused, at := range r.refusedAt[service] {
		if end := at.Add(classOrderTime); refused < urgency && end.After(until) {
			until = end
		}
	}
	return until
}

// lacksCapacity reports whether a request was refused as it found no room or could not end in time. A request that could
// end in time was held up for a more urgent class; counted, such refusals would prolong each other. A retry has little time
// left and may avoid endpoints, so its refusal says little about the capacity; a stream that has begun has few endpoints.
func lacksCapacity(request *admission.Request, reason admission.Reason, choice *Choice) bool {
	lacksTime := reason == admission.ReasonTooLate && !choice.CanEnd
	return !request.Retry && !request.HasBegun && (reason == admission.ReasonNoRoom || lacksTime)
}

// recordRefusal records that a request was refused for lack of capacity.
func (r *finishRule) recordRefusal(now time.Time, service string, request *admission.Request) {
	if r == nil {
		return
	}
	if r.refusedAt[service] == nil {
		r.refusedAt[service] = make(map[int]time.Time)
	}
	r.refusedAt[service][request.Urgency] = now
}

// timeShare returns the share of its time left in which a request has to end.
func (r *finishRule) timeShare(request *admission.Request) float64 {
	if r.bounds.isSheddable(request) && request.Urgency >= r.bounds.LeastUrgent {
		return leastUrgentTimeShare
	}
	return 1
}

// ending predicts when a request ends, at any endpoint of its service. Nil predicts nothing.
type ending struct {
	figures *engine.Figures
	// timeLeft is the time in which the request has to end, and events the number of events still to come.
	timeLeft time.Duration
	events   float64
	// reading is the share of the endpoints that read prompts.
	reading float64
}

// newEnding returns the prediction for a request. Only streams with a prompt and a time limit are predicted, and only if
// an idle endpoint could read the prompt in time.
func (v *View) newEnding(now time.Time, request *admission.Request, from *pool, engines *engine.Service) *ending {
	if v.finish == nil || request.PromptTokens == 0 || request.FirstToken == 0 || request.Deadline.IsZero() {
		return nil
	}
	share, figures := v.finish.timeShare(request), engines.Figures()
	// A request that could not end even at an idle endpoint would be refused whenever it returns. The prediction is
	// probably wrong: callers' estimates are often far off, and figures are not learned from refused requests.
	idle := scale(request.Deadline.Sub(request.Arrived), share) - figures.ReadTime(request.PromptTokens)
	if idle <= 0 {
		return nil
	}
	e := &ending{
		figures: figures, timeLeft: scale(request.Deadline.Sub(now), share), reading: v.readingShare(now, from),
		events: engines.Events(keys.OfClass(request.Class), request.AnswerTokens, v.finish.eventTokens[from.service]),
	}
	if e.events > idle.Seconds()/figures.Gap(0).Seconds() {
		e.events = 0
	}
	e.events = max(e.events-float64(request.Received), 0)
	return e
}

// end returns the predicted time to the end of the request at an endpoint that reads a number of prompt tokens before its
// first event.
func (e *ending) end(tokens int, slowness float64) time.Duration {
	return scale(e.figures.ReadTime(tokens)+scale(e.figures.Gap(e.reading), e.events), slowness)
}

// readingShare returns the share of a service's endpoints that read prompts, from the loads of all hosts. The demand
// that package engine extrapolates is no measure of it: it includes refused requests, and the first request after a start
// stands for those of all hosts.
func (v *View) readingShare(now time.Time, from *pool) float64 {
	reading, ok := v.finish.reading[from.service]
	if !ok || now.Sub(reading.at) >= readingInterval {
		reading = readingShare{at: now, share: float64(v.countReading(from)) / float64(len(from.endpoints))}
		v.finish.reading[from.service] = reading
	}
	return reading.share
}

// countReading returns the number of endpoints of a pool that read prompts.
func (v *View) countReading(from *pool) int {
	if from.index == nil {
		return len(filter(from.endpoints, func(e *directory.Entry) bool { return v.loads.Total(e.ID).Tokens > 0 }))
	}
	// Loads name few of the endpoints of a large service.
	count := 0
	for _, key := range v.loads.reading() {
		count += len(from.index.LookupServing(key))
	}
	return count
}

// endpointQueue is the work at an endpoint: the prompt tokens ahead of a request and its own.
type endpointQueue struct {
	ahead, own int
	slowness   float64
	// suitability is higher if a returning request is more likely to be sent to the endpoint.
	suitability int
}

// suitability returns the suitability of an endpoint for a returning request. Most suitable are reliable endpoints of its
// partition with a free slot, since the request is sent there if it can end in time.
func (q *query) suitability(e *directory.Entry, choice *Choice) int {
	switch {
	case choice.isUnreliable():
		return 0
	case !q.isInOwnPartition(e) || !choice.hasFreeSlot():
		return 1
	}
	return 2
}

// unreadAfter returns the number of prompt tokens ahead that are left after a time if nothing else arrives.
func (q *endpointQueue) unreadAfter(after time.Duration, figures *engine.Figures) int {
	return max(q.ahead-int(after.Seconds()*1000*figures.ReadRate.Value/q.slowness), 0)
}

// lateRetryAfter returns when a refused request can return and end in time at one of the usable endpoints if nothing
// else arrives: once the prompts there have been read down far enough. If that takes longer than maxLateRetry, it returns
// maxLateRetry. If the last endpoint has left since the refusal, it returns minLateRetry. Random is in [0, 1).
func (v *View) lateRetryAfter(now time.Time, request *admission.Request, from *pool, usable []*directory.Entry, random float64) time.Duration {
	if len(from.endpoints) == 0 {
		return minLateRetry
	}
	candidates := v.candidates(now, request, usable)
	q := v.newQuery(now, request, from, candidates)
	queues := make([]endpointQueue, 0, len(candidates))
	for _, e := range candidates {
		choice := v.evaluate(q, e)
		queues = append(queues, endpointQueue{
			ahead: choice.Load.Tokens, own: choice.Tokens, slowness: choice.Slowness, suitability: q.suitability(e, &choice),
		})
	}
	canEnd := func(after time.Duration) bool {
		return q.ending == nil || q.ending.canEndAfter(after, scale(timeLimitAt(request, now.Add(after)), v.finish.timeShare(request)), queues)
	}
	first := max(v.finish.blockedUntil(from.service, request.Urgency).Sub(now), minLateRetry)
	for first < maxLateRetry && !canEnd(first) {
		first += lateRetryStep
	}
	first = min(first, maxLateRetry)
	after := spreadLateRetry(now, request, first, random)
	// A caller that stops waiting soon may be too late at the end of the spread.
	for after > first && !canEnd(after) {
		after = max(after-lateRetryStep, first)
	}
	return after
}

// spreadLateRetry is spreadRetry with two bounds: maxLateRetry, and the time up to which the caller follows Retry-After if
// it follows first.
func spreadLateRetry(now time.Time, request *admission.Request, first time.Duration, random float64) time.Duration {
	after := min(spreadRetry(first, random), maxLateRetry)
	if followed := scale(request.CallerDeadline.Sub(now), followedRetryShare); !request.CallerDeadline.IsZero() && first <= followed {
		// The spread is scaled, so that callers with the same time left don't return together at its end.
		after = min(after, first+scale(followed-first, random))
	}
	return after
}

// canEndAfter reports whether the request can return after a time and end within a time limit at one of the most suitable
// endpoints, if nothing else arrives.
func (e *ending) canEndAfter(after, limit time.Duration, queues []endpointQueue) bool {
	later, busy, best := *e, 0, 0
	for i := range queues {
		best = max(best, queues[i].suitability)
		if queues[i].unreadAfter(after, e.figures) > 0 {
			busy++
		}
	}
	later.reading = float64(busy) / float64(max(len(queues), 1))
	return slices.ContainsFunc(queues, func(q endpointQueue) bool {
		return q.suitability == best && later.end(q.unreadAfter(after, e.figures)+q.own, q.slowness) <= limit
	})
}

// timeLimitAt returns how long a request may take if its caller sends it again at a time.
func timeLimitAt(request *admission.Request, at time.Time) time.Duration {
	limit := request.Deadline.Sub(request.Arrived)
	if !request.CallerDeadline.IsZero() {
		limit = min(limit, request.CallerDeadline.Sub(at))
	}
	return limit
}

// scale multiplies a duration.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

package replay

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// fault makes one fault true.
func (w *world) fault(now time.Time, event *Event) {
	e := w.engines[event.Endpoint]
	switch event.Fault {
	case FaultCrash:
		e.crashed = true
		e.stepDue = time.Time{}
		for _, id := range e.model.Crash() {
			w.lose(now, e, w.jobs[id])
		}
	case FaultRecover:
		e.crashed = false
		e.model.SetSlow(1)
		e.model.SetStalled(now, false)
		w.schedule(e)
	case FaultSlow:
		e.model.SetSlow(event.Factor)
	case FaultStall:
		e.model.SetStalled(now, true)
		e.stepDue = time.Time{}
	case FaultOut, FaultIn:
		e.out = event.Fault == FaultOut
		e.outAt = now
		e.shard.policy.SetEndpoints(now, e.shard.usable())
		w.settle(now, e.shard)
	case FaultFreeze, FaultThaw:
		w.frozen = event.Fault == FaultFreeze
	}
}

// lose breaks the connection of a request that an engine lost.
func (w *world) lose(now time.Time, e *engineWorld, j *job) {
	if j.endpoint != e || j.state != stateSent {
		return
	}
	if j.event.Outside {
		j.state = stateFailed
		return
	}
	attempt := j.attempt
	w.at(now.Add(networkDelay), func(now time.Time) { w.attemptFailed(now, j, attempt, request.EventBroken) })
}

// report lets the engines report their load, late by one interval.
func (w *world) report(time.Time) {
	for _, e := range w.engineList {
		policy, ok := e.shard.policy.(reported)
		if ok && !w.frozen {
			load := e.model.Load()
			w.after(reportInterval, func(time.Time) { policy.Report(e.id, load) })
		}
	}
	w.after(reportInterval, w.report)
}

package replay

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// fault makes one fault true.
func (sim *simulation) fault(now time.Time, event *Event) {
	e := sim.engines[event.Endpoint]
	switch event.Fault {
	case FaultCrash:
		e.crashed = true
		e.stepDue = time.Time{}
		for _, id := range e.model.Crash() {
			sim.lose(now, e, sim.jobs[id])
		}
	case FaultRecover:
		e.crashed = false
		e.model.SetSlow(1)
		e.model.SetStalled(now, false)
		sim.schedule(e)
	case FaultSlow:
		e.model.SetSlow(event.Factor)
	case FaultStall:
		e.model.SetStalled(now, true)
		e.stepDue = time.Time{}
	case FaultOut, FaultIn:
		e.out = event.Fault == FaultOut
		e.outAt = now
		e.shard.policy.SetEndpoints(now, e.shard.usable())
		sim.settle(now, e.shard)
	case FaultFreeze, FaultThaw:
		sim.frozen = event.Fault == FaultFreeze
	}
}

// lose breaks the connection of a request that an engine lost.
func (sim *simulation) lose(now time.Time, e *simulatedEngine, j *job) {
	if j.endpoint != e || j.state != stateSent {
		return
	}
	if j.event.Outside {
		j.state = stateFailed
		return
	}
	attempt := j.attempt
	sim.at(now.Add(networkDelay), func(now time.Time) { sim.attemptFailed(now, j, attempt, request.EventBroken) })
}

// report lets the engines report their load, late by one interval.
func (sim *simulation) report(time.Time) {
	for _, e := range sim.engineList {
		policy, ok := e.shard.policy.(reported)
		if ok && !sim.frozen {
			load := e.model.Load()
			sim.after(reportInterval, func(time.Time) { policy.Report(e.id, load) })
		}
	}
	sim.after(reportInterval, sim.report)
}

package replay

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// applyFault applies a fault event of the trace.
func (sim *simulation) applyFault(now time.Time, event *Event) {
	e := sim.engines[event.Endpoint]
	switch event.Fault {
	case FaultCrash:
		e.crashed = true
		e.stepDue = time.Time{}
		for _, id := range e.model.Crash() {
			sim.breakConnection(now, e, sim.jobs[id])
		}
	case FaultRecover:
		e.crashed = false
		e.model.SetSlow(1)
		e.model.SetStalled(now, false)
		sim.scheduleStep(e)
	case FaultSlow:
		e.model.SetSlow(event.Factor)
	case FaultStall:
		e.model.SetStalled(now, true)
		e.stepDue = time.Time{}
	case FaultOut, FaultIn:
		e.out = event.Fault == FaultOut
		e.outSince = now
		e.shard.policy.SetEndpoints(now, e.shard.endpointsInUse())
		sim.applyDecisions(now, e.shard)
	case FaultFreeze, FaultThaw:
		sim.reportsFrozen = event.Fault == FaultFreeze
	}
}

// breakConnection fails the attempt of a request that was running on a crashed engine. The owner notices after the
// network delay. A request sent past the router fails immediately.
func (sim *simulation) breakConnection(now time.Time, e *simulatedEngine, j *job) {
	if j.endpoint != e || j.state != stateSent {
		return
	}
	if j.event.Outside {
		j.state = stateFailed
		return
	}
	attempt := j.attempt
	sim.at(now.Add(networkDelay), func(now time.Time) { sim.failAttempt(now, j, attempt, request.EventBroken) })
}

// reportLoads sends the engines' load reports to a policy that uses them, once per reportInterval. A report
// arrives one interval after it was made.
func (sim *simulation) reportLoads(time.Time) {
	for _, e := range sim.engineList {
		policy, ok := e.shard.policy.(loadReportReceiver)
		if ok && !sim.reportsFrozen {
			load := e.model.Load()
			sim.after(reportInterval, func(time.Time) { policy.Report(e.id, load) })
		}
	}
	sim.after(reportInterval, sim.reportLoads)
}

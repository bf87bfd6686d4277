package daemon

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/daemon/schedule"
	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/version"
)

// tree returns the settings in force for operators.
func (d *Daemon) tree() operator.SettingsAnswer {
	document := d.parts.Follower.Document()
	return operator.SettingsAnswer{Revision: document.Revision, Tree: document.Data}
}

// checkReady returns the refusal for a host that has no settings yet, or nil.
func (d *Daemon) checkReady() *request.Refusal {
	if d.configuredRevision.Load() > 0 {
		return nil
	}
	return request.Refuse(request.ReasonNotReady, d.Problem())
}

// Problem returns why the host is not ready, or "".
func (d *Daemon) Problem() string {
	switch {
	case d.draining.Load():
		return "the host is leaving"
	case d.parts.Holder.Current() == nil && d.parts.Follower.Problem() != nil:
		return "no settings yet: " + d.parts.Follower.Problem().Error()
	case d.configuredRevision.Load() == 0:
		return "no settings yet"
	case d.parts.Follower.IsStale():
		return "cut off from the platform and from all peers: the settings may be old"
	}
	return ""
}

// Status returns the host's state for operators.
func (d *Daemon) Status() operator.Status {
	problem := d.Problem()
	status := operator.Status{
		Host: d.parts.Config.Name, Zone: d.parts.Config.Zone, Version: version.Version, Revision: d.parts.Holder.Number(), Ready: problem == "",
		Problem: problem, Open: d.parts.Owner.OpenJobs(), Now: time.Now(), Schedulers: d.parts.Fleet.Schedulers(),
		Refusals: d.parts.Counters.RefusalsByReason(), Listeners: operator.ListenersOf(d.parts.Intake),
	}
	for _, name := range d.shards.Names() {
		d.shards.Inspect(name, func(scheduler *schedule.Scheduler) {
			shard := operator.ShardStatus{Name: name, Waiting: scheduler.NumWaiting(), Running: scheduler.NumRunning()}
			for _, e := range scheduler.Endpoints() {
				shard.Endpoints = append(shard.Endpoints, operator.EndpointStatus{
					ID: e.ID, InFlight: e.InFlight, Limit: e.Limit, Between: e.BetweenTokens, Ejected: string(e.Ejected), Probing: e.Probing,
				})
			}
			status.Shards = append(status.Shards, shard)
		})
	}
	return status
}

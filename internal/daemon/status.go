package daemon

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/daemon/schedule"
	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/version"
)

// tree returns the tree in force as operators see it.
func (d *Daemon) tree() operator.SettingsAnswer {
	document := d.parts.Follower.Document()
	return operator.SettingsAnswer{Revision: document.Revision, Tree: document.Data}
}

// notReady returns the refusal for a host without settings.
func (d *Daemon) notReady() *request.Refusal {
	if d.configured.Load() > 0 {
		return nil
	}
	return request.Refuse(request.ReasonNotReady, d.Problem())
}

// Problem returns why the host is not ready, or is empty.
func (d *Daemon) Problem() string {
	switch {
	case d.draining.Load():
		return "the host is leaving"
	case d.parts.Holder.Current() == nil && d.parts.Follower.Problem() != nil:
		return "no settings yet: " + d.parts.Follower.Problem().Error()
	case d.configured.Load() == 0:
		return "no settings yet"
	case d.parts.Follower.IsStale():
		return "cut off from the platform and from all peers: the settings may be old"
	}
	return ""
}

// Status returns the state of the host for operators.
func (d *Daemon) Status() operator.Status {
	problem := d.Problem()
	status := operator.Status{
		Host: d.parts.Config.Name, Zone: d.parts.Config.Zone, Version: version.Version, Revision: d.parts.Holder.Number(), Ready: problem == "",
		Problem: problem, Open: d.parts.Owner.OpenJobs(), Now: time.Now(), Schedulers: d.parts.Fleet.Schedulers(),
		Refusals: d.parts.Counters.RefusalsByReason(),
	}
	for _, name := range d.shards.Names() {
		d.shards.Inspect(name, func(core *schedule.Scheduler) {
			shard := operator.ShardStatus{Name: name, Waiting: core.NumWaiting(), Running: core.NumRunning()}
			for _, e := range core.Endpoints() {
				shard.Endpoints = append(shard.Endpoints, operator.EndpointStatus{
					ID: e.ID, InFlight: e.InFlight, Limit: e.Limit, Between: e.BetweenTokens, Ejected: string(e.Ejected), Probing: e.Probing,
				})
			}
			status.Shards = append(status.Shards, shard)
		})
	}
	return status
}

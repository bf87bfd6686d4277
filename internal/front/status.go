package front

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/daemon/change"
	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// errElsewhere: operators change the configuration in the deployment's store.
var errElsewhere = merry.Sentinel("settings are changed in the deployment's own store, not here")

// operatorSettings lets operators read the settings. They come from the deployment,
// so they can't be changed here.
func (r *Router) operatorSettings() operator.Settings {
	return operator.Settings{
		Holder: r.settings,
		Accept: func(context.Context, change.Change) (uint64, error) { return 0, merry.Wrap(errElsewhere) },
		Document: func() change.Document {
			current := r.settings.Current()
			if current == nil {
				return change.Document{}
			}
			data, err := settings.Encode(current.Tree)
			if err != nil {
				r.log.WithError(err).Error("the settings can't be shown")
				return change.Document{}
			}
			return change.Document{Revision: current.Number, Data: data}
		},
		History: func(context.Context, uint64) (change.Change, error) { return change.Change{}, merry.Wrap(errElsewhere) },
	}
}

func (r *Router) revision() uint64 {
	if current := r.settings.Current(); current != nil {
		return current.Number
	}
	return 0
}

// Status tells the state of the host.
func (r *Router) Status() operator.Status {
	problem := r.Problem()
	status := operator.Status{
		Host: r.config.Name, Zone: r.config.Zone, Revision: r.revision(), Ready: problem == "", Problem: problem,
		Open: r.owner.Open(), Now: time.Now(), Refusals: make(map[string]uint64),
		Hosts: r.gossip.Hosts(), Directory: r.directory.Revision(), Endpoints: r.directory.CountServing(),
	}
	_, paused := r.scheduler.Own()
	for endpoint := range paused {
		status.Paused = append(status.Paused, endpoint)
	}
	for _, reason := range request.Reasons {
		if n := r.counters.Refusals(reason); n > 0 {
			status.Refusals[string(reason)] = n
		}
	}
	return status
}

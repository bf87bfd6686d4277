package front

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// errElsewhere: operators change the configuration in the deployment's store.
var errElsewhere = merry.Sentinel("settings are changed in the deployment's own store, not here")

// storeChanges refuses all changes: they are made in the deployment's store. It implements
// operator.Changes.
type storeChanges struct{}

// Accept refuses a change.
func (storeChanges) Accept(context.Context, settings.Change) (uint64, error) {
	return 0, &operator.ChangeError{Cause: operator.CauseAway, Detail: errElsewhere.Error()}
}

// Find fails: this host has no list of changes.
func (storeChanges) Find(context.Context, uint64) (settings.Change, error) {
	return settings.Change{}, merry.Wrap(errElsewhere)
}

// tree returns the tree in force as operators see it.
func (r *Router) tree() operator.SettingsAnswer {
	current := r.settings.Current()
	if current == nil {
		return operator.SettingsAnswer{}
	}
	data, err := settings.Encode(current.Tree)
	if err != nil {
		r.log.WithError(err).Error("the settings can't be shown")
		return operator.SettingsAnswer{}
	}
	return operator.SettingsAnswer{Revision: current.Number, Tree: data}
}

// Status tells the state of the host.
func (r *Router) Status() operator.Status {
	problem := r.Problem()
	status := operator.Status{
		Host: r.config.Name, Zone: r.config.Zone, Revision: r.settings.Number(), Ready: problem == "", Problem: problem,
		Open: r.owner.Open(), Now: time.Now(), Refusals: r.counters.RefusalsByReason(),
		Hosts: r.gossip.Hosts(), Directory: r.directory.Revision(), Endpoints: r.directory.CountServing(),
	}
	_, paused := r.scheduler.Own()
	for endpoint := range paused {
		status.Paused = append(status.Paused, endpoint)
	}
	return status
}

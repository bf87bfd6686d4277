package front

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
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
	return 0, &operator.ChangeError{Cause: operator.CauseUnavailable, Detail: errElsewhere.Error()}
}

// Find fails: this host has no list of changes.
func (storeChanges) Find(context.Context, uint64) (settings.Change, error) {
	return settings.Change{}, merry.Wrap(errElsewhere)
}

// tree returns the tree in force as operators see it.
func (h *Host) tree() operator.SettingsAnswer {
	current := h.parts.Settings.Current()
	if current == nil {
		return operator.SettingsAnswer{}
	}
	data, err := settings.Encode(current.Tree)
	if err != nil {
		h.log.WithError(err).Error("the settings can't be shown")
		return operator.SettingsAnswer{}
	}
	return operator.SettingsAnswer{Revision: current.Number, Tree: data}
}

// Status returns the state of the host for operators.
func (h *Host) Status() operator.Status {
	problem := h.Problem()
	status := operator.Status{
		Host: h.parts.Config.Name, Zone: h.parts.Config.Zone, Revision: h.parts.Settings.Number(), Ready: problem == "", Problem: problem,
		Open: h.parts.Owner.OpenJobs(), Now: time.Now(), Refusals: h.parts.Counters.RefusalsByReason(),
		Hosts: h.parts.Gossip.Hosts(), Directory: era.Number(h.parts.Directory.Revision()), Era: h.parts.Freshness.Era(), Endpoints: h.parts.Directory.CountServing(),
		Freshness: &operator.Freshness{
			Settings: h.parts.Freshness.Age(freshness.Settings), Endpoints: h.parts.Freshness.Age(freshness.Endpoints),
			ReadsStore: h.parts.Followers.read(),
		},
	}
	_, ejected := h.parts.Placer.Snapshot()
	for endpoint := range ejected {
		status.Ejected = append(status.Ejected, endpoint)
	}
	status.Poison = h.poison()
	status.Pushback = h.pushback()
	status.Leader = h.parts.Leadership.state()
	return status
}

// poison returns the requests that the host does not send.
func (h *Host) poison() []operator.PoisonRequest {
	now, _ := h.parts.Freshness.StoreTime(h.parts.Clock())
	var requests []operator.PoisonRequest
	for _, verdict := range h.parts.Poison.Verdicts() {
		request := operator.PoisonRequest{Key: verdict.Request.String(), Left: time.Duration(verdict.Until - now)}
		for _, endpoint := range verdict.Endpoints {
			request.Endpoints = append(request.Endpoints, fmt.Sprintf("%08x", uint32(endpoint)))
		}
		requests = append(requests, request)
	}
	return requests
}

// leastShown is the share of rejected or failed requests from which operators are shown an endpoint.
const leastShown = 0.05

// pushback returns the endpoints that do not take all requests, or fail them.
func (h *Host) pushback() []operator.EndpointPushback {
	resting, rejecting, failing, limits := h.parts.Rests.Resting(), h.parts.Rejections.Shares(), h.failing(), h.limits()
	now := h.parts.Clock()
	var list []operator.EndpointPushback
	for _, id := range h.parts.Directory.IDs() {
		p := operator.EndpointPushback{
			Endpoint: id, Leaving: h.parts.Directory.IsLeaving(id), Rejects: shown(rejecting[keys.OfEndpoint(id)]), Fails: shown(failing[id]),
		}
		if until, rests := resting[id]; rests {
			p.Rest = until.Sub(now)
		}
		if limit, ok := limits[id]; ok {
			p.Limit = &limit
		}
		if p != (operator.EndpointPushback{Endpoint: id}) {
			list = append(list, p)
		}
	}
	return list
}

// shown returns a share as operators are shown it: 0 for a small one.
func shown(share float64) float64 {
	if share < leastShown {
		return 0
	}
	return math.Round(100*share) / 100
}

// failing returns the shares of requests that endpoints fail beyond what their peers fail, by ID.
func (h *Host) failing() map[string]float64 {
	failing := make(map[string]float64)
	for _, service := range h.parts.Directory.Services() {
		endpoints := h.parts.Directory.Serving(service)
		for _, e := range endpoints {
			failing[e.ID] = h.parts.Failures.WorstExcess(keys.OfEndpoint(e.ID), len(endpoints))
		}
	}
	return failing
}

// limits returns the limits that endpoints have named, in requests a second by ID.
func (h *Host) limits() map[string]float64 {
	limits := make(map[string]float64)
	for endpoint, limit := range h.parts.Limits.All() {
		limits[endpoint.ID] = limit.PerSecond
	}
	return limits
}

// lift has a poison request sent again.
func (h *Host) lift(key string) bool {
	number, err := strconv.ParseUint(key, 16, 64)
	return err == nil && h.parts.Poison.Lift(keys.Request(number))
}

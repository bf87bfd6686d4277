package front

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// errSettingsElsewhere is returned for changes of settings, which operators make in the deployment's store.
var errSettingsElsewhere = merry.Sentinel("settings are changed in the deployment's own store, not here")

// storeChanges rejects all changes, since settings are changed in the deployment's store. It implements
// operator.Changes.
type storeChanges struct{}

// Accept rejects a change.
func (storeChanges) Accept(context.Context, settings.Change) (uint64, error) {
	return 0, &operator.ChangeError{Cause: operator.CauseUnavailable, Detail: errSettingsElsewhere.Error()}
}

// Find returns an error, since this host keeps no list of changes.
func (storeChanges) Find(context.Context, uint64) (settings.Change, error) {
	return settings.Change{}, merry.Wrap(errSettingsElsewhere)
}

// tree returns the settings tree in force for operators.
func (h *Host) tree() operator.SettingsAnswer {
	current := h.parts.Settings.Current()
	if current == nil {
		return operator.SettingsAnswer{}
	}
	data, err := settings.Encode(current.Tree)
	if err != nil {
		h.log.WithError(err).Error("the settings can't be encoded, operators are shown none")
		return operator.SettingsAnswer{}
	}
	return operator.SettingsAnswer{Revision: current.Number, Tree: data}
}

// Status returns the host's state for operators.
func (h *Host) Status() operator.Status {
	problem := h.Problem()
	status := operator.Status{
		Host: h.parts.Config.Name, Zone: h.parts.Config.Zone, Revision: h.parts.Settings.Number(), Ready: problem == "", Problem: problem,
		Open: h.parts.Owner.OpenJobs(), Now: time.Now(), Refusals: h.parts.Counters.RefusalsByReason(),
		Hosts: h.parts.Gossip.Hosts(), Directory: era.Number(h.parts.Directory.Revision()), Era: h.parts.Freshness.Era(), Endpoints: h.parts.Directory.CountServing(),
		Freshness: &operator.Freshness{
			Settings: h.parts.Freshness.Age(freshness.Settings), Endpoints: h.parts.Freshness.Age(freshness.Endpoints),
			ReadsStore: h.parts.Followers.isReading(),
		},
	}
	_, ejected := h.parts.Placer.Snapshot()
	for endpoint := range ejected {
		status.Ejected = append(status.Ejected, endpoint)
	}
	status.Poison = h.poison()
	status.Pushback = h.pushback()
	status.LostPaths, status.Tunnels = h.parts.Paths.Lost(), h.parts.Tunnels.Served()
	status.MixedServices = h.mixedServices()
	status.OverShare = h.overShare()
	status.Listeners = operator.ListenersOf(h.parts.Intake)
	status.Leader = h.parts.Leadership.state()
	return status
}

// poison returns the poison requests that the host does not send.
func (h *Host) poison() []operator.PoisonRequest {
	now, _ := h.parts.Freshness.StoreTime(h.parts.Clock())
	var requests []operator.PoisonRequest
	for _, verdict := range h.parts.Poison.Verdicts() {
		request := operator.PoisonRequest{Key: verdict.Content.String(), Part: verdict.Content.IsPart(), Left: time.Duration(verdict.Until - now)}
		for _, endpoint := range verdict.Endpoints {
			request.Endpoints = append(request.Endpoints, fmt.Sprintf("%08x", uint32(endpoint)))
		}
		requests = append(requests, request)
	}
	return requests
}

// mixedServices returns the services whose endpoints run several software versions.
func (h *Host) mixedServices() []operator.MixedService {
	var mixed []operator.MixedService
	for _, service := range slices.Sorted(slices.Values(h.parts.Directory.Services())) {
		versions := h.parts.Directory.Versions(service)
		if len(versions) < 2 {
			continue
		}
		m := operator.MixedService{Service: service, Versions: make(map[string]int, len(versions))}
		for _, v := range versions {
			m.Versions[v.Version] = v.Endpoints
		}
		mixed = append(mixed, m)
	}
	return mixed
}

// minShownShare is the smallest share of rejected or failed requests that is shown to operators.
const minShownShare = 0.05

// slowEndpoints returns the slowness of the endpoints that are slow. It is nil if the host does not learn it.
func (h *Host) slowEndpoints() map[keys.Endpoint]float64 {
	if h.parts.Pace == nil {
		return nil
	}
	return h.parts.Pace.Slow()
}

// pushback returns the endpoints that leave, rest, have a limit, reject or fail requests, or are slow.
func (h *Host) pushback() []operator.EndpointPushback {
	resting, rejecting, failing, limits := h.parts.Rests.Resting(), h.parts.Rejections.Shares(), h.excessFailures(), h.endpointLimits()
	slow := h.slowEndpoints()
	now := h.parts.Clock()
	var list []operator.EndpointPushback
	for _, id := range h.parts.Directory.IDs() {
		p := operator.EndpointPushback{
			Endpoint: id, Leaving: h.parts.Directory.IsLeaving(id), Rejects: shownShare(rejecting[keys.OfEndpoint(id)]), Fails: shownShare(failing[id]),
			Slowness: math.Round(100*slow[keys.OfEndpoint(id)]) / 100,
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

// overShare returns the workspaces that ask for more than their share of a service that is short of capacity.
func (h *Host) overShare() []operator.WorkspaceShare {
	if h.parts.Shares == nil {
		return nil
	}
	var list []operator.WorkspaceShare
	for _, o := range h.parts.Shares.Over() {
		list = append(list, operator.WorkspaceShare{Service: o.Service, Workspace: o.Workspace, Asked: math.Round(o.Asked), Share: math.Round(o.Share)})
	}
	return list
}

// shownShare rounds a share to percent for operators. It returns 0 below minShownShare.
func shownShare(share float64) float64 {
	if share < minShownShare {
		return 0
	}
	return math.Round(100*share) / 100
}

// excessFailures returns, by endpoint ID, the share of requests that an endpoint fails in excess of its peers.
func (h *Host) excessFailures() map[string]float64 {
	failing := make(map[string]float64)
	for _, service := range h.parts.Directory.Services() {
		endpoints := h.parts.Directory.Serving(service)
		for _, e := range endpoints {
			failing[e.ID] = h.parts.Failures.WorstExcess(keys.OfEndpoint(e.ID), len(endpoints))
		}
	}
	return failing
}

// endpointLimits returns the limits that endpoints have named, in requests per second by endpoint ID.
func (h *Host) endpointLimits() map[string]float64 {
	limits := make(map[string]float64)
	for endpoint, limit := range h.parts.Limits.All() {
		limits[endpoint.ID] = limit.PerSecond
	}
	return limits
}

// liftVerdict removes the verdict on a poison request, so that the request is sent again.
func (h *Host) liftVerdict(key string) bool {
	number, err := strconv.ParseUint(key, 16, 64)
	return err == nil && h.parts.Poison.Lift(keys.Content(number))
}

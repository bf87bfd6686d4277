package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/operator"
)

// doctor asks hosts for their state and reports what is wrong. It fails if anything is.
func (t *tool) doctor(ctx context.Context, addresses []string) error {
	var reports []hostReport
	for _, address := range addresses {
		status, err := operator.NewClient(address, t.key).Status(ctx)
		reports = append(reports, hostReport{Address: address, Status: status, err: err})
	}
	findings := examine(reports)
	for _, finding := range findings {
		fmt.Println(finding)
	}
	if len(findings) > 0 {
		return fmt.Errorf("%d findings at %d hosts", len(findings), len(addresses))
	}
	fmt.Printf("%d hosts, nothing found\n", len(addresses))
	return nil
}

// hostReport is what one host answered.
type hostReport struct {
	Address string
	Status  operator.Status
	err     error
}

// oldAge is how long what a host knows may go unconfirmed before that is a finding: the strictest bound on a
// change of the users' deployments.
const oldAge = 2 * time.Second

// examine compares the states of hosts.
func examine(reports []hostReport) []string {
	var findings []string
	newest, newestEra, most, readers, fronts := uint64(0), uint64(0), 0, 0, 0
	for i := range reports {
		newest = max(newest, reports[i].Status.Revision)
		most = max(most, reports[i].Status.Endpoints)
		newestEra = max(newestEra, reports[i].Status.Era)
		if f := reports[i].Status.Freshness; f != nil {
			fronts++
			if f.ReadsStore {
				readers++
			}
		}
	}
	if fronts > 0 && readers == 0 {
		findings = append(findings, fmt.Sprintf("none of %d hosts that answered reads the store; is it down, or are others readers?", fronts))
	}
	findings = append(findings, examineLeaders(reports)...)
	findings = append(findings, examinePushback(reports)...)
	findings = append(findings, examineLimits(reports)...)
	for i := range reports {
		r := &reports[i]
		add := func(format string, args ...any) {
			findings = append(findings, r.Address+": "+fmt.Sprintf(format, args...))
		}
		if r.err != nil {
			add("no answer: %v; is the host up, and is the key an operator's?", r.err)
			continue
		}
		s := &r.Status
		if !s.Ready {
			add("not ready: %s", s.Problem)
		}
		if s.Revision < newest {
			add("settings revision %d, another host has %d; see its log for 'store lost'", s.Revision, newest)
		}
		if s.Freshness != nil {
			unconfirmed(add, "settings", s.Freshness.Settings)
			unconfirmed(add, "endpoints", s.Freshness.Endpoints)
		}
		if s.Era < newestEra {
			add("knows era %d of the store, another host %d; see OPERATIONS, \"The store came back from a copy\"", s.Era, newestEra)
		}
		if s.Endpoints < most {
			add("knows %d endpoints, another host %d", s.Endpoints, most)
		}
		if s.Hosts > 0 && s.Hosts < len(reports) {
			add("hears %d hosts of %d; are heartbeats (UDP, the peers' address) let through?", s.Hosts, len(reports))
		}
		for _, p := range s.Poison {
			add("does not send the request %s: %d endpoints ended under it; `oxbowslip poison lift` once they are mended", p.Key, len(p.Endpoints))
		}
		for _, endpoint := range s.Ejected {
			add("sends nothing new to %s, which failed; see its log for 'endpoint ejected'", endpoint)
		}
	}
	return findings
}

// examineLeaders finds out whether exactly one host leads, where hosts have a leader.
func examineLeaders(reports []hostReport) []string {
	var leaders []string
	known := 0
	for i := range reports {
		l := reports[i].Status.Leader
		if l == nil {
			continue
		}
		known++
		if l.Leads {
			leaders = append(leaders, reports[i].Address)
		}
	}
	switch {
	case known == 0 || len(leaders) == 1:
		return nil
	case len(leaders) == 0:
		return []string{fmt.Sprintf("none of %d hosts leads: usage is not reported, endpoints are not ordered; see their logs for 'leader:'", known)}
	}
	return []string{fmt.Sprintf("%d hosts take themselves for the leader: %v; ask again, one may just have taken over", len(leaders), leaders)}
}

// manyRejected is the share of rejected or failed requests from which an endpoint is a finding.
const manyRejected = 0.25

// examinePushback finds the endpoints that rest, or reject or fail much, each once for all hosts.
func examinePushback(reports []hostReport) []string {
	hosts, rejects, fails := make(map[string]int), make(map[string]float64), make(map[string]float64)
	for i := range reports {
		for _, p := range reports[i].Status.Pushback {
			if p.Rest > 0 || p.Rejects >= manyRejected || p.Fails >= manyRejected {
				hosts[p.Endpoint]++
				rejects[p.Endpoint] = max(rejects[p.Endpoint], p.Rejects)
				fails[p.Endpoint] = max(fails[p.Endpoint], p.Fails)
			}
		}
	}
	var findings []string
	for _, endpoint := range slices.Sorted(maps.Keys(hosts)) {
		findings = append(findings, fmt.Sprintf("endpoint %s rejects %.0f %%, fails %.0f %% or rests, as %d of %d hosts say; is it overloaded? see OPERATIONS, \"An endpoint rejects, rests or leaves\"",
			endpoint, 100*rejects[endpoint], 100*fails[endpoint], hosts[endpoint], len(reports)))
	}
	return findings
}

// examineLimits finds the endpoints that have named a limit, each once for all hosts.
func examineLimits(reports []hostReport) []string {
	limits := make(map[string]float64)
	for i := range reports {
		for _, p := range reports[i].Status.Pushback {
			if p.Limit != nil {
				limits[p.Endpoint] = *p.Limit
			}
		}
	}
	var findings []string
	for _, endpoint := range slices.Sorted(maps.Keys(limits)) {
		findings = append(findings, fmt.Sprintf("endpoint %s takes only %g requests a second from all hosts; see OPERATIONS, \"An endpoint names a limit\"", endpoint, limits[endpoint]))
	}
	return findings
}

// unconfirmed adds a finding if what a host knows is too old or was never confirmed.
func unconfirmed(add func(format string, args ...any), what string, age time.Duration) {
	const cause = "it gets no answer from the store ('store lost' in its log) and no datagram from hosts that do"
	switch {
	case age < 0:
		add("its %s were never confirmed since its start: %s", what, cause)
	case age > oldAge:
		add("its %s were last confirmed %s ago: %s", what, age.Round(time.Millisecond), cause)
	}
}

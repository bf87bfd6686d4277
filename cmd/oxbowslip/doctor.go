package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/operator"
)

// doctor queries the status of hosts and prints the problems that it finds. It returns an error if there are any.
func (t *tool) doctor(ctx context.Context, addresses []string) error {
	var reports []hostReport
	for _, address := range addresses {
		status, err := operator.NewClient(address, t.key).Status(ctx)
		reports = append(reports, hostReport{Address: address, Status: status, err: err})
	}
	findings := findProblems(reports)
	for _, finding := range findings {
		fmt.Println(finding)
	}
	if len(findings) > 0 {
		return fmt.Errorf("%d findings at %d hosts", len(findings), len(addresses))
	}
	fmt.Printf("%d hosts, nothing found\n", len(addresses))
	return nil
}

// hostReport is the status of one host, or the error of the query.
type hostReport struct {
	Address string
	Status  operator.Status
	err     error
}

// maxUnconfirmedAge is the age of the last confirmation above which a host's copy is reported as a finding. It is the
// strictest time limit for a change in the users' deployments.
const maxUnconfirmedAge = 2 * time.Second

// findProblems checks and compares the statuses of hosts, and returns a finding for each problem.
func findProblems(reports []hostReport) []string {
	var findings []string
	newestRevision, newestEra, maxEndpoints, numReaders, numFronts := uint64(0), uint64(0), 0, 0, 0
	for i := range reports {
		newestRevision = max(newestRevision, reports[i].Status.Revision)
		maxEndpoints = max(maxEndpoints, reports[i].Status.Endpoints)
		newestEra = max(newestEra, reports[i].Status.Era)
		if f := reports[i].Status.Freshness; f != nil {
			numFronts++
			if f.ReadsStore {
				numReaders++
			}
		}
	}
	if numFronts > 0 && numReaders == 0 {
		findings = append(findings, fmt.Sprintf("none of %d hosts that answered reads the store; is it down, or are others readers?", numFronts))
	}
	findings = append(findings, checkLeaders(reports)...)
	findings = append(findings, checkPushback(reports)...)
	findings = append(findings, checkLimits(reports)...)
	// shown counts the hosts with a finding of each kind. Beyond worstShown they are only counted.
	shown := make(map[string]int)
	for i := range reports {
		r := &reports[i]
		add := func(format string, args ...any) {
			if shown[format]++; shown[format] <= worstShown {
				findings = append(findings, r.Address+": "+fmt.Sprintf(format, args...))
			}
		}
		if r.err != nil {
			add("no answer: %v; is the host up, and is the key an operator's?", r.err)
			continue
		}
		s := &r.Status
		if !s.Ready {
			add("not ready: %s", s.Problem)
		}
		if s.Revision < newestRevision {
			add("settings revision %d, another host has %d; see its log for 'store lost'", s.Revision, newestRevision)
		}
		if s.Freshness != nil {
			checkConfirmation(add, "settings", s.Freshness.Settings)
			checkConfirmation(add, "endpoints", s.Freshness.Endpoints)
		}
		if s.Era < newestEra {
			add("has era %d of the store, another host has %d; see OPERATIONS, \"The store came back from a copy\"", s.Era, newestEra)
		}
		if s.Endpoints < maxEndpoints {
			add("has %d endpoints, another host has %d", s.Endpoints, maxEndpoints)
		}
		if s.Hosts > 0 && s.Hosts < len(reports) {
			add("has %d live hosts of %d in its membership; are heartbeats (UDP, the peers' address) blocked?", s.Hosts, len(reports))
		}
		if s.LostPaths > 0 {
			add("reaches %d of %d endpoints only through other hosts; see OPERATIONS, \"A host has lost its path to endpoints\"", s.LostPaths, s.Endpoints)
		}
		if refused := s.Refusals["no_version"] + s.Refusals["unknown_version"]; refused > 0 {
			add("could not resume %d streams: no endpoint of their software version takes requests, or the version is unknown; see OPERATIONS, \"Several software versions serve\"", refused)
		}
		for j := range s.Listeners {
			if l := &s.Listeners[j]; isNearlyFull(l) {
				add("the connections of %s take %s, most by %s; see OPERATIONS, \"A host closes connections of its clients\"", l.Name, memoryText(l), l.Clients[0].Address)
			}
		}
		for _, p := range s.Poison {
			add("does not send %s %s: %d endpoints crashed while running it; `oxbowslip poison lift` once they are fixed", poisonText(&p), p.Key, len(p.Endpoints))
		}
		for _, endpoint := range s.Ejected {
			add("sends no new requests to %s because it failed; see its log for 'endpoint ejected'", endpoint)
		}
	}
	for _, format := range slices.Sorted(maps.Keys(shown)) {
		if more := shown[format] - worstShown; more > 0 {
			findings = append(findings, fmt.Sprintf("%d more findings of the kind %q", more, format))
		}
	}
	return findings
}

// fullShare is the share of a listener's memory from which its connections are reported.
const fullShare = 0.8

func isNearlyFull(l *operator.Listener) bool {
	return l.MemoryLimit > 0 && float64(l.Memory) >= fullShare*float64(l.MemoryLimit) && len(l.Clients) > 0
}

// checkLeaders checks that exactly one host is the leader, if the hosts elect one.
func checkLeaders(reports []hostReport) []string {
	var leaders []string
	numElecting := 0
	for i := range reports {
		l := reports[i].Status.Leader
		if l == nil {
			continue
		}
		numElecting++
		if l.Leads {
			leaders = append(leaders, reports[i].Address)
		}
	}
	switch {
	case numElecting == 0 || len(leaders) == 1:
		return nil
	case len(leaders) == 0:
		return []string{fmt.Sprintf("none of %d hosts is the leader: usage is not reported, endpoints are not ordered; see their logs for 'leader:'", numElecting)}
	}
	return []string{fmt.Sprintf("%d hosts report that they are the leader: %v; ask again, a takeover may be in progress", len(leaders), leaders)}
}

// minReportedShare is the fraction of rejected or failed requests from which an endpoint is reported.
const minReportedShare = 0.25

// checkPushback returns one finding for each endpoint that is resting or rejects or fails many requests.
func checkPushback(reports []hostReport) []string {
	hosts, rejects, fails := make(map[string]int), make(map[string]float64), make(map[string]float64)
	for i := range reports {
		for _, p := range reports[i].Status.Pushback {
			if p.Rest > 0 || p.Rejects >= minReportedShare || p.Fails >= minReportedShare {
				hosts[p.Endpoint]++
				rejects[p.Endpoint] = max(rejects[p.Endpoint], p.Rejects)
				fails[p.Endpoint] = max(fails[p.Endpoint], p.Fails)
			}
		}
	}
	var findings []string
	for _, endpoint := range slices.Sorted(maps.Keys(hosts)) {
		findings = append(findings, fmt.Sprintf("endpoint %s rejects %.0f %%, fails %.0f %% or rests, according to %d of %d hosts; is it overloaded? see OPERATIONS, \"An endpoint rejects, rests or leaves\"",
			endpoint, 100*rejects[endpoint], 100*fails[endpoint], hosts[endpoint], len(reports)))
	}
	return findings
}

// checkLimits returns one finding for each endpoint that has named a limit.
func checkLimits(reports []hostReport) []string {
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

// checkConfirmation adds a finding if the last confirmation of a host's copy is too old or missing.
func checkConfirmation(add func(format string, args ...any), what string, age time.Duration) {
	const cause = "it gets no answer from the store ('store lost' in its log) and no datagram from hosts that do"
	switch {
	case age < 0:
		add("its %s have not been confirmed since its start: %s", what, cause)
	case age > maxUnconfirmedAge:
		add("its %s were last confirmed %s ago: %s", what, age.Round(time.Millisecond), cause)
	}
}

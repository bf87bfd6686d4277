package shares

import (
	"fmt"
	"maps"
	"math"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// shortShare is the share of the work asked for that has to be refused for a service to count as short of capacity.
	shortShare = 0.05
	// overShareFactor is the work asked for, relative to its fair share, above which a workspace is over its share.
	overShareFactor = 1.25
	// maxReduction bounds the part of the work granted by which the estimated capacity is below it.
	maxReduction = 0.1
	// refreshInterval is how often the shortage and the levels of a service are computed.
	refreshInterval = 100 * time.Millisecond
	// minInterval is the time between two messages of a host with its counts in a fleet of up to hostsPerInterval hosts.
	// It grows with a larger fleet, so that the number of messages that a host sends to all peers stays the same.
	minInterval      = time.Second
	hostsPerInterval = 120
	// firstReportShare is the share of that time within which a host sends its first message after a peer has reported
	// that a service refuses too much, and completeShare that after which the messages of all hosts have arrived.
	firstReportShare = 0.5
	completeShare    = 0.6
	// reportingShare is the share of the peers whose counts must have arrived within countTimeout: with fewer, the sums
	// say too little of the fleet.
	reportingShare = 0.5
	// maxWorkspaces bounds the workspaces counted at a service, of some 60 B each, since a faulty peer may report any.
	maxWorkspaces = 1024
	// maxExcess bounds the work beyond a share, relative to it, in the time to retry: more is beyond maxRetry anyway.
	maxExcess = 10
	// minWork is the work, in prompt tokens, below which a workspace is no longer counted.
	minWork = 1
)

// interval returns the time between two messages of a host in a fleet of a number of hosts.
func interval(hosts int) time.Duration {
	return minInterval * time.Duration(max(hosts, hostsPerInterval)) / hostsPerInterval
}

// totals is work at a service, in prompt tokens.
type totals struct {
	// asked is the work of all requests, granted that of those that got an endpoint, and overShare that of those that were
	// refused because their workspace was over its share.
	asked, granted, overShare float64
}

func (t *totals) add(other totals) {
	t.asked += other.asked
	t.granted = max(t.granted+other.granted, 0)
	t.overShare += other.overShare
}

func (t *totals) scale(factor float64) {
	t.asked *= factor
	t.granted *= factor
	t.overShare *= factor
}

// isShort reports whether too much of the work was refused, whatever refused it.
func (t *totals) isShort() bool { return t.asked-t.granted > shortShare*t.asked }

// capacity estimates the work that the service can take. It is above the work granted while less than shortShare of what
// passes this rule is refused, since no more can be granted than passes and lost capacity would never be found again. It
// is below while more is refused: queues have filled within the window, so more was granted than the service takes now.
func (t *totals) capacity() float64 {
	passed := max(t.asked-t.overShare, minWork)
	refused := (passed - t.granted) / passed
	return t.granted * (1 + max(shortShare-refused, -maxReduction))
}

// workspace is the work of one workspace at a service.
type workspace struct {
	// asked is the work of all hosts, unsent the part of this host that its peers do not know yet.
	asked, unsent float64
	weight        float64
	// tier is the lowest tier of the workspace's requests.
	tier int
	// begun is the work of its streams that this host has let pass since they had begun.
	begun begunWork
}

// service is the work at one service, with exponentially decaying weight.
type service struct {
	name string
	// leastUrgent is the highest urgency number of the service's classes. Only they are refused for shares.
	leastUrgent int

	// all is the work of all hosts, own that of this host, and unsent the part of own that its peers do not know yet.
	all, own, unsent totals
	workspaces       map[keys.Workspace]*workspace
	decayedAt        time.Time

	// Hosts report their counts from reportFrom until reportUntil, while one of them refuses too much. IsPeerShort is set
	// if a peer was the first.
	reportFrom, reportUntil time.Time
	isPeerShort             bool
	// reports holds the time of the last report of each peer.
	reports map[string]time.Time

	// isShort, and the fair level of each tier, are of refreshedAt.
	isShort     bool
	levels      map[int]float64
	refreshedAt time.Time
}

func newService(name string) *service {
	return &service{name: name, workspaces: make(map[keys.Workspace]*workspace), reports: make(map[string]time.Time), levels: make(map[int]float64)}
}

// decay reduces the weight of all counts to that at now.
func (s *service) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(s.decayedAt)) / float64(halfLife))
	s.decayedAt = now
	if factor >= 1 {
		return
	}
	for _, t := range []*totals{&s.all, &s.own, &s.unsent} {
		t.scale(factor)
	}
	for _, w := range s.workspaces {
		w.asked *= factor
		w.unsent *= factor
	}
}

// workspace returns a workspace, which is nil if there are too many.
func (s *service) workspace(key keys.Workspace) *workspace {
	w := s.workspaces[key]
	if w == nil && len(s.workspaces) < maxWorkspaces {
		w = &workspace{weight: 1}
		s.workspaces[key] = w
	}
	return w
}

// record counts work of this host.
func (s *service) record(now time.Time, ask *Ask, work totals) {
	s.decay(now)
	s.all.add(work)
	s.own.add(work)
	s.unsent.add(work)
	if w := s.workspace(keys.OfWorkspace(ask.Request.Workspace)); w != nil {
		w.asked += work.asked
		w.unsent += work.asked
		w.weight, w.tier = ask.weight(), max(w.tier, ask.Tier)
	}
	s.extendReporting(now, &s.own, false)
}

// extendReporting has this host report its counts if the work of this host, or that in a peer's report, shows too many
// refusals.
func (s *service) extendReporting(now time.Time, work *totals, isPeer bool) {
	if !work.isShort() {
		return
	}
	if now.After(s.reportUntil) {
		s.reportFrom, s.isPeerShort = now, isPeer
		clear(s.reports)
	}
	s.reportUntil = now.Add(countTimeout)
}

// refresh computes whether the service is short of capacity, if that is due. The counts must be complete: each host has
// had the time to report, and enough of them have.
func (s *service) refresh(now time.Time, hosts int) {
	if now.Sub(s.refreshedAt) < refreshInterval {
		return
	}
	s.refreshedAt = now
	clear(s.levels)
	s.isShort = false
	if now.After(s.reportUntil) || now.Sub(s.reportFrom) < time.Duration(completeShare*float64(interval(hosts))) {
		return
	}
	s.decay(now)
	maps.DeleteFunc(s.reports, func(_ string, at time.Time) bool { return now.Sub(at) > countTimeout })
	isComplete := float64(len(s.reports)) >= reportingShare*float64(hosts-1)
	// Where nothing at all is granted there is nothing to share, and no request would ever pass.
	s.isShort = s.all.isShort() && isComplete && s.all.granted >= minWork
}

// level returns the fair level of a tier. Workspaces of lower tiers don't count in it, so that no request of a higher
// tier is refused to make room for them.
func (s *service) level(tier int) float64 {
	if level, ok := s.levels[tier]; ok {
		return level
	}
	var demands []demand
	listed := 0.0
	for _, w := range s.workspaces {
		listed += w.asked
		if w.tier <= tier {
			demands = append(demands, demand{asked: w.asked, weight: w.weight})
		}
	}
	// The work of workspaces that hosts had no room to list has its part of the capacity.
	level := fairLevel(s.all.capacity()*min(listed/max(s.all.asked, minWork), 1), demands)
	s.levels[tier] = level
	return level
}

// decide decides on a request by the share of its workspace. Random is in [0, 1).
func (s *service) decide(now time.Time, hosts int, ask *Ask, random float64) Verdict {
	s.refresh(now, hosts)
	if !s.isShort || ask.Request.Urgency < s.leastUrgent {
		return Verdict{}
	}
	s.decay(now)
	asked, share := ask.work(), ask.weight()*s.level(ask.Tier)
	if w := s.workspaces[keys.OfWorkspace(ask.Request.Workspace)]; w != nil {
		if ask.Request.HasBegun && w.begun.passes(now, ask.work(), share/float64(hosts)) {
			return Verdict{}
		}
		asked += w.asked
	}
	refusedShare := 1 - share/asked
	if asked <= overShareFactor*share || random >= refusedShare || ask.HasRoom() {
		return Verdict{}
	}
	// The share allows the excess, which has passed or is refused now, at its own rate. A random number below refusedShare
	// spreads the time.
	excess := float64(window) * min((asked-share)/max(share, minWork), maxExcess)
	verdict := refuse(time.Duration(excess), random/refusedShare)
	verdict.Asked, verdict.Share = asked/window.Seconds(), share/window.Seconds()
	return verdict
}

// over returns the workspaces that are over their share.
func (s *service) over(now time.Time, hosts int, names map[keys.Workspace]string) []Over {
	s.refresh(now, hosts)
	if !s.isShort {
		return nil
	}
	var list []Over
	for key, w := range s.workspaces {
		if share := w.weight * s.level(w.tier); w.asked > overShareFactor*share {
			name, ok := names[key]
			if !ok && key != keys.OfWorkspace("") {
				name = fmt.Sprintf("%08x", uint32(key))
			}
			list = append(list, Over{Service: s.name, Workspace: name, Asked: w.asked / window.Seconds(), Share: share / window.Seconds()})
		}
	}
	return list
}

// expire removes workspaces without work.
func (s *service) expire(now time.Time) {
	s.decay(now)
	maps.DeleteFunc(s.workspaces, func(_ keys.Workspace, w *workspace) bool { return w.asked < minWork && w.begun.isForgotten(now) })
}

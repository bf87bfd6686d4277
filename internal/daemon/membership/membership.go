// Package membership decides which host of oxbowslipd schedules which shard. It starts from the platform's
// list of hosts, which lags behind, and corrects it by the observations of this host about its peers. It owns
// this host's view of the fleet and does no I/O.
package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Host is a host of the fleet.
type Host struct {
	Name string
	// Address is where peers connect to the host.
	Address string
	Zone    string
	// Leaving is set if the host accepts no more work.
	Leaving bool
}

// View is the fleet as one host sees it.
type View struct {
	self     Host
	listed   map[string]Host
	suspects map[string]bool
	leaving  map[string]bool
	// usableHosts caches the usable hosts. It is nil if they have to be determined again.
	usableHosts []Host
}

// New returns the view of a host that has not read the platform's list yet.
func New(self Host) *View {
	return &View{
		self: self, listed: make(map[string]Host), suspects: make(map[string]bool), leaving: make(map[string]bool),
	}
}

// SetList replaces the platform's list. Observations about hosts that are no longer in it are discarded.
func (v *View) SetList(hosts []Host) {
	v.usableHosts = nil
	v.listed = make(map[string]Host, len(hosts))
	for _, h := range hosts {
		v.listed[h.Name] = h
	}
	for name := range v.suspects {
		if _, ok := v.listed[name]; !ok {
			delete(v.suspects, name)
		}
	}
	for name := range v.leaving {
		if _, ok := v.listed[name]; !ok && name != v.self.Name {
			delete(v.leaving, name)
		}
	}
}

// SetSuspected records whether a peer is unreachable, and reports whether that is a change.
func (v *View) SetSuspected(name string, suspect bool) bool {
	if v.suspects[name] == suspect {
		return false
	}
	v.suspects[name] = suspect
	v.usableHosts = nil
	return true
}

// MarkLeaving records that a host, which may be this one, has announced that it is leaving.
func (v *View) MarkLeaving(name string) {
	v.leaving[name] = true
	v.usableHosts = nil
}

// Scheduler returns the host that schedules a shard, which is the usable host with the highest rendezvous
// hash. If no host is usable, it returns this host.
func (v *View) Scheduler(shard string) Host {
	best, bestWeight := v.self, uint64(0)
	for _, h := range v.usable() {
		weight := rendezvous(shard, h.Name)
		if weight > bestWeight {
			best, bestWeight = h, weight
		}
	}
	return best
}

// NumOthers returns the number of usable hosts other than this one.
func (v *View) NumOthers() int {
	n := 0
	for _, h := range v.usable() {
		if h.Name != v.self.Name {
			n++
		}
	}
	return n
}

// Hosts returns the hosts of the platform's list, sorted by name, with their known state.
func (v *View) Hosts() []Host {
	hosts := make([]Host, 0, len(v.listed))
	for _, h := range v.listed {
		h.Leaving = h.Leaving || v.leaving[h.Name]
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// usable returns the hosts that may schedule. A host that is not in the list yet is excluded, even this one,
// because the others would not send their requests to it.
func (v *View) usable() []Host {
	if v.usableHosts != nil {
		return v.usableHosts
	}
	v.usableHosts = []Host{}
	for _, h := range v.Hosts() {
		if !h.Leaving && !v.suspects[h.Name] {
			v.usableHosts = append(v.usableHosts, h)
		}
	}
	return v.usableHosts
}

// rendezvous returns the hash by which hosts are ranked for a shard.
func rendezvous(shard, host string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + host)
}

// Package membership decides which host of oxbowslipd schedules which shard. It starts from the
// platform's lagging list of hosts and corrects it by what this host sees of the peers that it works
// with. It owns this host's view of the fleet and does no input or output.
package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Host is one host of the fleet.
type Host struct {
	Name string
	// Address is where its peers reach it.
	Address string
	Zone    string
	// Leaving is set if the host takes no more work.
	Leaving bool
}

// View is what one host knows of the fleet.
type View struct {
	self     Host
	listed   map[string]Host
	suspects map[string]bool
	leaving  map[string]bool
	// candidates caches the usable hosts; nil means that it is to be made anew.
	candidates []Host
}

// New returns the view of a host that has not read the platform's list.
func New(self Host) *View {
	return &View{
		self: self, listed: make(map[string]Host), suspects: make(map[string]bool), leaving: make(map[string]bool),
	}
}

// SetList replaces the platform's list. What was seen of hosts that are gone from
// it is forgotten.
func (v *View) SetList(hosts []Host) {
	v.candidates = nil
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

// SetSuspected notes whether a peer can't be reached, and reports whether that has
// changed.
func (v *View) SetSuspected(name string, suspect bool) bool {
	if v.suspects[name] == suspect {
		return false
	}
	v.suspects[name] = suspect
	v.candidates = nil
	return true
}

// MarkLeaving notes that a host, perhaps this one, said itself that it is leaving.
func (v *View) MarkLeaving(name string) {
	v.leaving[name] = true
	v.candidates = nil
}

// Scheduler returns the host that schedules a shard: the usable host with the
// highest rendezvous hash. With no other usable, it is this host itself.
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

// NumOthers counts the usable hosts besides this one.
func (v *View) NumOthers() int {
	n := 0
	for _, h := range v.usable() {
		if h.Name != v.self.Name {
			n++
		}
	}
	return n
}

// Hosts lists the hosts of the platform's list with what is known of them,
// sorted by name.
func (v *View) Hosts() []Host {
	hosts := make([]Host, 0, len(v.listed))
	for _, h := range v.listed {
		h.Leaving = h.Leaving || v.leaving[h.Name]
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// usable lists the hosts that may schedule. A host that is not in the list yet
// is left out, this one too: the others would not send it their requests.
func (v *View) usable() []Host {
	if v.candidates != nil {
		return v.candidates
	}
	v.candidates = []Host{}
	for _, h := range v.Hosts() {
		if !h.Leaving && !v.suspects[h.Name] {
			v.candidates = append(v.candidates, h)
		}
	}
	return v.candidates
}

func rendezvous(shard, host string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + host)
}

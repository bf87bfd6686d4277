package fleet

import (
	"oxbowslip.dev/oxbowslip/internal/daemon/membership"
	"oxbowslip.dev/oxbowslip/internal/daemon/peer"
)

// link opens a link to a host if there is none. The lock is held.
func (f *Fleet) link(host membership.Host) {
	if _, ok := f.links[host.Name]; ok || f.closed {
		return
	}
	f.links[host.Name] = peer.Dial(peer.LinkParts{
		Self: f.parts.Config.Self.Name, Host: host.Name, Address: host.Address, Key: f.parts.Config.Key, Clock: f.parts.Clock,
		Events: peer.Events{
			OnUp: f.linkUp, OnDown: f.linkDown, OnLeaving: f.linkLeaving, OnDecision: f.parts.Dispatcher.Deliver,
			Revision: func() uint64 { return f.parts.Settings().Revision }, OnRevision: f.parts.OnRevision,
		},
	})
}

// linkUp announces to a scheduler all requests that are its own.
func (f *Fleet) linkUp(host string) {
	f.mu.Lock()
	changed := f.view.SetSuspected(host, false)
	f.mu.Unlock()
	if changed {
		f.reassign()
	}
	f.parts.Dispatcher.AnnounceTo(host)
}

func (f *Fleet) linkDown(host string) {
	f.mu.Lock()
	changed := f.view.SetSuspected(host, true)
	f.mu.Unlock()
	if changed {
		f.parts.Log.WithField("peer", host).Warn("lost")
		f.reassign()
	}
}

func (f *Fleet) linkLeaving(host string) {
	f.mu.Lock()
	f.view.MarkLeaving(host)
	f.mu.Unlock()
	f.reassign()
}

// idleLinks removes the links to hosts that are gone from the list and
// schedule nothing for this host. The lock is held.
func (f *Fleet) idleLinks() []*peer.Link {
	needed := make(map[string]bool)
	for _, host := range f.schedulers {
		needed[host] = true
	}
	for _, host := range f.view.Hosts() {
		needed[host.Name] = true
	}
	var idle []*peer.Link
	for name, link := range f.links {
		if !needed[name] {
			idle = append(idle, link)
			delete(f.links, name)
		}
	}
	return idle
}

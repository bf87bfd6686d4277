package fleet

import (
	"oxbowslip.dev/oxbowslip/internal/daemon/membership"
	"oxbowslip.dev/oxbowslip/internal/daemon/peer"
)

// openLink opens a link to a host unless there is one. The lock is held.
func (f *Fleet) openLink(host membership.Host) {
	if _, ok := f.links[host.Name]; ok || f.closed {
		return
	}
	f.links[host.Name] = peer.Dial(peer.LinkParts{
		Self: f.parts.Config.Self.Name, Host: host.Name, Address: host.Address, Key: f.parts.Config.Key, Clock: f.parts.Clock,
		Events: peer.Events{
			OnUp: f.handleLinkUp, OnDown: f.handleLinkDown, OnLeaving: f.handlePeerLeaving, OnDecision: f.parts.Dispatcher.Deliver,
			Revision: func() uint64 { return f.parts.Settings().Revision }, OnRevision: f.parts.OnRevision,
		},
	})
}

// handleLinkUp clears the suspicion of a host and announces to it the requests whose shards it
// schedules.
func (f *Fleet) handleLinkUp(host string) {
	f.mu.Lock()
	changed := f.view.SetSuspected(host, false)
	f.mu.Unlock()
	if changed {
		f.reassign()
	}
	f.parts.Dispatcher.AnnounceTo(host)
}

func (f *Fleet) handleLinkDown(host string) {
	f.mu.Lock()
	changed := f.view.SetSuspected(host, true)
	f.mu.Unlock()
	if changed {
		f.parts.Log.WithField("peer", host).Warn("link to peer is down, its shards move to other hosts")
		f.reassign()
	}
}

func (f *Fleet) handlePeerLeaving(host string) {
	f.mu.Lock()
	f.view.MarkLeaving(host)
	f.mu.Unlock()
	f.reassign()
}

// idleLinks removes and returns the links to hosts that are neither in the list nor the scheduler
// of a known shard. The lock is held.
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

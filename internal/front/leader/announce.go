package leader

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/lease"
)

// Announcement is what a leader sends to all hosts.
type Announcement struct {
	Token uint64 `cbor:"1,keyasint"`
	// Until is when its lease ends by the store's clock if it is not renewed, in ns. It is 0 if the lease was given up.
	Until freshness.StoreTime `cbor:"2,keyasint"`
	// TrueTime is the true time at the zero of the store's clock, in ns since 1970, or 0 if it is not agreed on.
	TrueTime int64 `cbor:"3,keyasint"`
	// Reported is the window of usage up to which all are reported.
	Reported uint64 `cbor:"4,keyasint"`
}

// announce lets all hosts know who leads.
func (l *Leader) announce() {
	now := l.parts.Clock()
	l.mu.Lock()
	row := l.lease.Row()
	a := Announcement{Token: row.Record.Token, TrueTime: l.memo.TrueTime, Reported: l.memo.Reported}
	if _, _, ok := l.lease.Holds(now); ok {
		a.Until = row.Record.Until
	}
	l.mu.Unlock()
	l.parts.Peers.Announce(a)
	l.HandleAnnouncement(l.parts.Host, a)
}

// HandleAnnouncement notes an announcement of a host. An older one than the last is ignored.
func (l *Leader) HandleAnnouncement(host string, a Announcement) {
	now := l.parts.Clock()
	l.mu.Lock()
	if a.Token < l.newest.Token || (a.Token == l.newest.Token && a.Until != 0 && a.Until < l.newest.Until) {
		l.mu.Unlock()
		return
	}
	l.newest, l.holder = a, host
	if a.Until == 0 {
		l.holder = ""
	}
	l.freeAt = now
	if at, known := l.parts.StoreTime(now); known && a.Until > at {
		l.freeAt = now.Add(time.Duration(a.Until-at) + lease.Margin)
	}
	l.mu.Unlock()
	l.parts.OnAnnouncement(a)
}

// State is what a host knows of the leader.
type State struct {
	// Holder is the host that leads, or empty if this host knows of none.
	Holder string
	// Token is the fencing token of the newest lease that this host knows of, Left how long it lasts yet; below 0 if it has
	// ended.
	Token uint64
	Left  time.Duration
	// Reported is the window of usage up to which all are reported.
	Reported uint64
	// Leads is set if this host's tasks run.
	Leads bool
}

// State returns what this host knows of the leader.
func (l *Leader) State() State {
	holder := l.Holder()
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	state := State{Holder: holder, Token: l.newest.Token, Reported: l.newest.Reported, Leads: l.mandate != nil}
	if at, known := l.parts.StoreTime(now); known && l.newest.Until > 0 {
		state.Left = time.Duration(l.newest.Until - at)
	}
	return state
}

// Holder returns the host that leads as far as this one knows, or nothing.
func (l *Leader) Holder() string {
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.freeAt) {
		return l.holder
	}
	return ""
}

package leader

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/lease"
)

// Announcement is the message in which the leader announces its lease to all hosts.
type Announcement struct {
	Token uint64 `cbor:"1,keyasint"`
	// Until is the end of the lease by the store's clock in ns, if it is not renewed. It is 0 if the lease was
	// released.
	Until freshness.StoreTime `cbor:"2,keyasint"`
	// TrueTime is the true time at the zero point of the store's clock, in ns since 1970, or 0 if the hosts have not
	// agreed on it.
	TrueTime int64 `cbor:"3,keyasint"`
	// Reported is the usage window up to which all windows have been reported.
	Reported uint64 `cbor:"4,keyasint"`
}

// announce sends an announcement of this host to all hosts.
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

// HandleAnnouncement handles an announcement of a host. It ignores one that is older than the newest.
func (l *Leader) HandleAnnouncement(host string, a Announcement) {
	now := l.parts.Clock()
	l.mu.Lock()
	if a.Token < l.latest.Token || (a.Token == l.latest.Token && a.Until != 0 && a.Until < l.latest.Until) {
		l.mu.Unlock()
		return
	}
	l.latest, l.holder = a, host
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

// State is what a host has received about the leader.
type State struct {
	// Holder is the host that leads, or empty if this host knows of no valid lease.
	Holder string
	// Token is the fencing token of the newest lease that this host knows. Left is the time until it ends, negative
	// if it has ended.
	Token uint64
	Left  time.Duration
	// Reported is the usage window up to which all windows have been reported.
	Reported uint64
	// Leads is set while this host's tasks run.
	Leads bool
}

// State returns what this host has received about the leader.
func (l *Leader) State() State {
	holder := l.Holder()
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	state := State{Holder: holder, Token: l.latest.Token, Reported: l.latest.Reported, Leads: l.mandate != nil}
	if at, known := l.parts.StoreTime(now); known && l.latest.Until > 0 {
		state.Left = time.Duration(l.latest.Until - at)
	}
	return state
}

// Holder returns the host that leads according to the announcements, or an empty string.
func (l *Leader) Holder() string {
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.freeAt) {
		return l.holder
	}
	return ""
}

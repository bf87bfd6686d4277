// Package usage counts, for each workspace and window of true time, the requests that endpoints began to run,
// and adds up what all hosts counted.
//
// Counts only grow, and each host's are kept apart: to merge them twice, or older after newer ones, changes
// nothing. So hosts send theirs again and again, and whoever holds the counts of a host that has died can bring
// them. Nothing here does input or output; package leader spreads, stores and reports the counts.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Counts are requests by workspace.
type Counts map[string]uint64

// raise merges counts of the same host: each is the higher of the two.
func (c Counts) raise(other Counts) {
	for workspace, count := range other {
		c[workspace] = max(c[workspace], count)
	}
}

// Windows are counts by window.
type Windows map[Window]Counts

// Clone returns a copy.
func (w Windows) Clone() Windows {
	windows := make(Windows, len(w))
	windows.raise(w)
	return windows
}

// raise merges counts of the same host.
func (w Windows) raise(other Windows) {
	for window, counts := range other {
		if w[window] == nil {
			w[window] = make(Counts, len(counts))
		}
		w[window].raise(counts)
	}
}

// drop forgets the windows up to one.
func (w Windows) drop(upTo Window) {
	maps.DeleteFunc(w, func(window Window, _ Counts) bool { return window <= upTo })
}

// keptWindows is how many windows a host keeps that nobody has reported: at a length of 5 s, twice as long as the
// users' platform waits for a report. What is older is too late.
const keptWindows = 8

// Meter counts the requests of this host. It is safe for concurrent use. A nil Meter counts nothing.
type Meter struct {
	clock *Clock

	mu      sync.Mutex
	windows Windows
}

// NewMeter returns a meter that has counted nothing.
func NewMeter(clock *Clock) *Meter { return &Meter{clock: clock, windows: make(Windows)} }

// RecordStart counts a request of a workspace that an endpoint began to run at a time. Calls that belong to no workspace
// are left out.
func (m *Meter) RecordStart(workspace string, at time.Time) {
	if m == nil || workspace == "" {
		return
	}
	window := m.clock.Window(at)
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.windows[window]
	if counts == nil {
		if window > keptWindows {
			m.windows.drop(window - keptWindows)
		}
		counts = make(Counts)
		m.windows[window] = counts
	}
	counts[workspace]++
}

// Drop forgets the windows up to one that was reported.
func (m *Meter) Drop(upTo Window) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.windows.drop(upTo)
}

// Windows returns a copy of the counts.
func (m *Meter) Windows() Windows {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.windows.Clone()
}

// Source is one start of a host.
type Source struct {
	Host        string
	Incarnation uint32
}

// Share is what one start of a host has counted, as of a true time.
type Share struct {
	AsOf    time.Duration
	Windows Windows
}

// Ledger holds the counts of all hosts. It is not safe for concurrent use.
type Ledger struct {
	shares map[Source]Share
}

// NewLedger returns a ledger without counts.
func NewLedger() *Ledger { return &Ledger{shares: make(map[Source]Share)} }

// Merge adds what a host has counted.
func (l *Ledger) Merge(source Source, share Share) {
	known, ok := l.shares[source]
	if !ok {
		known.Windows = make(Windows, len(share.Windows))
	}
	known.AsOf = max(known.AsOf, share.AsOf)
	known.Windows.raise(share.Windows)
	l.shares[source] = known
}

// Shares returns the counts of each host. They are shared and must not be modified.
func (l *Ledger) Shares() map[Source]Share { return l.shares }

// Drop forgets the windows up to one, and the hosts of which nothing is left, but for those that are alive.
func (l *Ledger) Drop(upTo Window, alive func(Source) bool) {
	for source, share := range l.shares {
		share.Windows.drop(upTo)
		if len(share.Windows) == 0 && !alive(source) {
			delete(l.shares, source)
		}
	}
}

// Sum returns the counts of a window over all hosts.
func (l *Ledger) Sum(window Window) Counts {
	sum := make(Counts)
	for _, share := range l.shares {
		for workspace, count := range share.Windows[window] {
			sum[workspace] += count
		}
	}
	return sum
}

// AsOf returns the true time up to which a host has reported its counts.
func (l *Ledger) AsOf(source Source) time.Duration { return l.shares[source].AsOf }

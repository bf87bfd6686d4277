// Package usage counts, for each workspace and window of true time, the requests that endpoints began to run, and
// adds up the counts of all hosts.
//
// Counts only grow, and the counts of each host are kept apart, so a merge is idempotent and does not depend on the
// order of messages. Hosts can therefore send their counts repeatedly, and any host that has received the counts of a
// crashed host can pass them on. The package does no I/O: package reporter sends, stores and reports the counts.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Counts are the numbers of requests by workspace.
type Counts map[string]uint64

// mergeMax merges other counts of the same host: the higher count of each workspace remains.
func (c Counts) mergeMax(other Counts) {
	for workspace, count := range other {
		c[workspace] = max(c[workspace], count)
	}
}

// Windows are counts by window.
type Windows map[Window]Counts

// Clone returns a deep copy.
func (w Windows) Clone() Windows {
	windows := make(Windows, len(w))
	windows.mergeMax(w)
	return windows
}

// mergeMax merges other counts of the same host.
func (w Windows) mergeMax(other Windows) {
	for window, counts := range other {
		if w[window] == nil {
			w[window] = make(Counts, len(counts))
		}
		w[window].mergeMax(counts)
	}
}

// drop deletes the windows up to and including upTo.
func (w Windows) drop(upTo Window) {
	maps.DeleteFunc(w, func(window Window, _ Counts) bool { return window <= upTo })
}

// maxUnreportedWindows is the number of unreported windows that a host keeps. With windows of 5 s, they cover
// twice the time for which the users' platform waits for a report. Older windows are too late to be reported.
const maxUnreportedWindows = 8

// Meter counts the requests of this host. It is safe for concurrent use. A nil Meter counts nothing.
type Meter struct {
	clock *Clock

	mu      sync.Mutex
	windows Windows
}

// NewMeter returns a meter without counts.
func NewMeter(clock *Clock) *Meter { return &Meter{clock: clock, windows: make(Windows)} }

// RecordStart counts a request of a workspace that an endpoint began to run at a time. It ignores calls that belong to
// no workspace.
func (m *Meter) RecordStart(workspace string, at time.Time) {
	if m == nil || workspace == "" {
		return
	}
	window := m.clock.Window(at)
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.windows[window]
	if counts == nil {
		if window > maxUnreportedWindows {
			m.windows.drop(window - maxUnreportedWindows)
		}
		counts = make(Counts)
		m.windows[window] = counts
	}
	counts[workspace]++
}

// Drop deletes the windows up to and including upTo, which have been reported.
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

// Source is one incarnation of a host.
type Source struct {
	Host        string
	Incarnation uint32
}

// Share is the counts of one incarnation of a host, complete up to a true time.
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

// Merge adds the counts of a host.
func (l *Ledger) Merge(source Source, share Share) {
	known, ok := l.shares[source]
	if !ok {
		known.Windows = make(Windows, len(share.Windows))
	}
	known.AsOf = max(known.AsOf, share.AsOf)
	known.Windows.mergeMax(share.Windows)
	l.shares[source] = known
}

// Shares returns the counts of each host. The map is shared and must not be modified.
func (l *Ledger) Shares() map[Source]Share { return l.shares }

// Drop deletes the windows up to and including upTo, and the hosts that are not alive and have no counts left.
func (l *Ledger) Drop(upTo Window, alive func(Source) bool) {
	for source, share := range l.shares {
		share.Windows.drop(upTo)
		if len(share.Windows) == 0 && !alive(source) {
			delete(l.shares, source)
		}
	}
}

// Sum returns the counts of a window, added up over all hosts.
func (l *Ledger) Sum(window Window) Counts {
	sum := make(Counts)
	for _, share := range l.shares {
		for workspace, count := range share.Windows[window] {
			sum[workspace] += count
		}
	}
	return sum
}

// AsOf returns the true time up to which the counts of a host are complete.
func (l *Ledger) AsOf(source Source) time.Duration { return l.shares[source].AsOf }

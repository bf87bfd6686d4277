package directory

import (
	"slices"
	"time"
)

// Endpoints cannot renew their entries while the store is unavailable, so that the entries lapse. When the store
// returns, it removes all lapsed entries at the same time, and the endpoints that are alive register again shortly
// after. Entries are therefore kept for LapseGrace if they are removed together with most of their service and had
// not announced that they leave. A call to such an endpoint that is really gone fails as it did before the removal.
const (
	// minLapsedEntries is the number of entries of a service that must be removed together. Single endpoints leave
	// every day.
	minLapsedEntries = 2
	// minLapsedShare is the share of the service's entries that must be removed together.
	minLapsedShare = 0.5
	// LapseGrace is how long lapsed entries are kept: longer than endpoints need to register again, and less than
	// the 2 s after which an endpoint that has left must get no new work.
	LapseGrace = 1500 * time.Millisecond
)

// isLapse reports whether entries of a service that are removed together count as lapsed rather than as leaving,
// given the number of entries that accepted new work.
func isLapse(removed, serving int) bool {
	return removed >= minLapsedEntries && float64(removed) >= minLapsedShare*float64(serving)
}

// remove removes entries, or keeps them for LapseGrace if they have lapsed. After a restore of the store all removed
// entries count as lapsed: a backup lacks entries that will be written again. The lock is held, and the directory's
// revision is that of the removal.
func (d *Directory) remove(ids []string, restored bool) {
	removed := make(map[string]int)
	for _, id := range ids {
		if entry, ok := d.entries[id]; ok && !d.isLeaving(entry) {
			removed[entry.Endpoint.Service]++
		}
	}
	for _, id := range ids {
		entry, ok := d.entries[id]
		if !ok {
			continue
		}
		service := entry.Endpoint.Service
		if !d.isLeaving(entry) && (restored || isLapse(removed[service], len(d.index(service).Serving))) {
			d.lapsed[id] = d.revision
			continue
		}
		delete(d.lapsed, id)
		d.drop(entry)
	}
}

// drop deletes an entry and records its version as removed. The lock is held.
func (d *Directory) drop(entry *Entry) {
	delete(d.returned, entry.ID)
	delete(d.entries, entry.ID)
	d.removed.add(entry.ID, entry.Endpoint.Version)
}

// CountLapsed returns the number of entries that lapsed at a revision and are still kept.
func (d *Directory) CountLapsed(revision uint64) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.lapsed.countAt(revision)
}

// DropLapsed removes the entries that lapsed at a revision or before and have not been written again. It returns
// their IDs.
func (d *Directory) DropLapsed(revision uint64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	dropped := d.lapsed.removeUpTo(revision)
	for _, id := range dropped {
		d.drop(d.entries[id])
	}
	if len(dropped) > 0 {
		d.updateIndex(dropped)
	}
	return dropped
}

// revisionByID is a set of entries, by ID, with the revision at which each was added to the set.
type revisionByID map[string]uint64

// countAt returns the number of entries that were added at a revision.
func (m revisionByID) countAt(revision uint64) int {
	count := 0
	for _, at := range m {
		if at == revision {
			count++
		}
	}
	return count
}

// removeUpTo removes the entries that were added at a revision or before, and returns their IDs, sorted.
func (m revisionByID) removeUpTo(revision uint64) []string {
	var taken []string
	for id, at := range m {
		if at <= revision {
			delete(m, id)
			taken = append(taken, id)
		}
	}
	slices.Sort(taken)
	return taken
}

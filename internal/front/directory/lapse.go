package directory

import (
	"slices"
	"time"
)

// Entries lapse while the store is away, because the endpoints can't renew them. When it is
// back, they are removed all at once, and the endpoints that are alive write them again a
// moment later. So entries that are removed together with most of their service, none of
// which said that it leaves, are kept for a while. A call to an endpoint that is really gone
// fails as it would have before.
const (
	// minLapsed is how many entries of a service must be removed at once. One endpoint alone goes every day.
	minLapsed = 2
	// lapsedShare is the share of the service's entries that must be removed at once.
	lapsedShare = 0.5
	// LapseGrace is how long lapsed entries are kept: longer than the endpoints need to write
	// them again, and less than the two seconds in which the users expect that an endpoint
	// that left gets no more work.
	LapseGrace = 1500 * time.Millisecond
)

// isLapse reports whether a number of entries of a service that are removed at once, of those
// that took new work, have lapsed rather than left.
func isLapse(removed, serving int) bool {
	return removed >= minLapsed && float64(removed) >= lapsedShare*float64(serving)
}

// remove removes entries, or keeps them for a while if they have lapsed. After a restore of the store all count as lapsed: an
// older copy lacks entries that will be written again. The lock is held; the directory's revision is the one at which they
// went.
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
		if !d.isLeaving(entry) && (restored || isLapse(removed[service], len(d.serving[service]))) {
			d.lapsed[id] = d.revision
			continue
		}
		delete(d.lapsed, id)
		d.drop(entry)
	}
}

// drop removes an entry that has gone. The lock is held.
func (d *Directory) drop(entry *Entry) {
	delete(d.doubted, entry.ID)
	delete(d.entries, entry.ID)
	d.removed.add(entry.ID, entry.Endpoint.Version)
}

// CountLapsed returns the number of entries that are kept although they went at a revision.
func (d *Directory) CountLapsed(revision uint64) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.lapsed.count(revision)
}

// DropLapsed removes the entries that lapsed at a revision or before and have not come back,
// and returns their IDs.
func (d *Directory) DropLapsed(revision uint64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	dropped := d.lapsed.take(revision)
	for _, id := range dropped {
		d.drop(d.entries[id])
	}
	if len(dropped) > 0 {
		d.index()
	}
	return dropped
}

// marks are entries that are treated in a certain way for a while, with the revision at which that began.
type marks map[string]uint64

// count returns the number of entries that were marked at a revision.
func (m marks) count(revision uint64) int {
	count := 0
	for _, at := range m {
		if at == revision {
			count++
		}
	}
	return count
}

// take removes the marks of a revision or before, and returns the entries' IDs, sorted.
func (m marks) take(revision uint64) []string {
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

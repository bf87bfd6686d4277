package directory

import "time"

// A restore of the store may bring back the entry of an endpoint that was removed. The endpoint gets no new work
// until its entry changes again, or has existed for longer than the store keeps an entry that is not renewed.

// ReturnGrace is longer than the store keeps an entry that its endpoint does not renew.
const ReturnGrace = 5 * time.Second

// markReturned records whether a restore of the store has brought back the entry that is being set. The lock is
// held.
func (d *Directory) markReturned(entry *Entry, known, restored bool) {
	_, returned := d.returned[entry.ID]
	delete(d.returned, entry.ID)
	if restored && (returned || (!known && d.removed.has(entry.ID, entry.Endpoint.Version))) {
		d.returned[entry.ID] = d.revision
	}
}

// CountReturned returns the number of entries that a restore of the store brought back at a revision.
func (d *Directory) CountReturned(revision uint64) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.returned.countAt(revision)
}

// AcceptReturned allows new work for the endpoints whose entries were brought back at a revision or before and still
// exist. It returns their IDs.
func (d *Directory) AcceptReturned(revision uint64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	accepted := d.returned.removeUpTo(revision)
	if len(accepted) > 0 {
		d.updateIndex(accepted)
	}
	return accepted
}

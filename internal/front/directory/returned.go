package directory

import "time"

// An older copy of the store may bring back the entry of an endpoint that has gone. The endpoint takes no new work until its
// entry changes again, or has lasted for longer than the store keeps entries that nobody renews.

// ReturnGrace is longer than the store keeps an entry that its endpoint does not renew.
const ReturnGrace = 5 * time.Second

// doubt notes whether an entry that is set is one that an older copy of the store has brought back. The lock is held.
func (d *Directory) doubt(entry *Entry, known, restored bool) {
	_, doubted := d.doubted[entry.ID]
	delete(d.doubted, entry.ID)
	if restored && (doubted || (!known && d.removed.has(entry.ID, entry.Endpoint.Version))) {
		d.doubted[entry.ID] = d.revision
	}
}

// CountReturned returns the number of entries that an older copy of the store has brought back at a revision.
func (d *Directory) CountReturned(revision uint64) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.doubted.count(revision)
}

// AcceptReturned has the endpoints take new work whose entries were brought back at a revision or before and are still there. It returns
// their IDs.
func (d *Directory) AcceptReturned(revision uint64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	trusted := d.doubted.take(revision)
	if len(trusted) > 0 {
		d.index()
	}
	return trusted
}

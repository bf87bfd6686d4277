package directory

import "slices"

// Entries lapse while the store is away, since the endpoints can't renew them. When it is
// back, they go all at once, and the endpoints that live write them anew a moment later.
// So entries that go together with most of their service, none of which said that it
// leaves, are kept for a while: a call that goes to an endpoint which is really gone fails
// as it would have before.

const (
	// leastLapse is how many entries of a service go at once, at the least, in a lapse,
	// lapsePart the part of those that took new work.
	leastLapse = 2
	lapsePart  = 0.5
)

// drop takes entries away, or keeps them for a while if they have lapsed. The lock is
// held; the revision is the one at which they went.
func (d *Directory) drop(gone []string) {
	going := make(map[string]int)
	for _, id := range gone {
		if entry, ok := d.entries[id]; ok && !entry.isLeaving() {
			going[entry.Endpoint.Service]++
		}
	}
	for _, id := range gone {
		entry, ok := d.entries[id]
		if !ok {
			continue
		}
		service := entry.Endpoint.Service
		count := going[service]
		if !entry.isLeaving() && count >= leastLapse && float64(count) >= lapsePart*float64(len(d.serving[service])) {
			d.lapsed[id] = d.revision
			continue
		}
		delete(d.lapsed, id)
		delete(d.entries, id)
	}
}

// Lapsed counts the entries that are kept though they went at a revision.
func (d *Directory) Lapsed(revision uint64) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	count := 0
	for _, at := range d.lapsed {
		if at == revision {
			count++
		}
	}
	return count
}

// DropLapsed takes away the entries that lapsed at a revision or before and have not come
// back, and lists them.
func (d *Directory) DropLapsed(revision uint64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var dropped []string
	for id, at := range d.lapsed {
		if at <= revision {
			delete(d.lapsed, id)
			delete(d.entries, id)
			dropped = append(dropped, id)
		}
	}
	if len(dropped) > 0 {
		d.index()
	}
	slices.Sort(dropped)
	return dropped
}

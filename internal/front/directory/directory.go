// Package directory stores the endpoints that register themselves in the deployment's store: the service and address
// of each, and whether it accepts new work. It is used by oxbowslip-front; oxbowslipd reads its endpoints from the
// settings tree instead.
//
// It owns this host's newest state of the directory, whose revision never decreases, the handling of entries that
// lapse together (lapse.go), the endpoints that report themselves as leaving (leaving.go), the entries that a
// restore of the store brings back (returned.go), and a log of the newest changes for peers (changes.go). It does no
// I/O: package peersync feeds it from the store and from peers.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Entry is an endpoint and its ID.
type Entry struct {
	ID       string            `json:"id"`
	Endpoint settings.Endpoint `json:"endpoint"`
}

// Change sets or removes the entry of an endpoint.
type Change struct {
	Entry Entry
	Gone  bool
}

// Snapshot is the whole directory at a revision.
type Snapshot struct {
	Revision uint64 `json:"revision"`
	// Changed is the revision of the newest change in the snapshot, or 0 if unknown.
	Changed uint64  `json:"changed"`
	Entries []Entry `json:"entries"`
}

// Directory is this host's newest state of the registered endpoints. Its revision only increases. It is safe for
// concurrent use.
type Directory struct {
	mu sync.RWMutex
	// revision is the revision up to which the directory is complete, changed that of the newest change.
	revision uint64
	changed  uint64
	// entries are replaced, never modified.
	entries map[string]*Entry
	// services holds the index of each service that has an endpoint; see index.go.
	services map[string]*Index
	// indexedIn is the service of each endpoint as of the last update of the indexes.
	indexedIn map[string]string
	// versions lists the software versions of the services for which they were asked since the last change; see
	// software.go.
	versions map[string][]VersionCount
	// lapsed are the entries that are kept although they were removed, with the revision of their removal; see
	// lapse.go.
	lapsed revisionByID
	// reportedLeaving are the endpoints that have reported themselves as leaving; see leaving.go.
	reportedLeaving versionSet
	// removed are the endpoints whose entries were removed. returned are those that a restore of the store has
	// brought back, with the revision of that; see returned.go.
	removed  versionSet
	returned revisionByID
	// log holds the newest changes, for peers; see changes.go.
	log changeLog
	// restarted collects the endpoints that the current change shows to have restarted under the same ID. onRestart
	// is called for each after the lock is released.
	restarted []string
	onRestart func(id string)
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		onRestart: func(string) {}, entries: make(map[string]*Entry), services: make(map[string]*Index), indexedIn: make(map[string]string), versions: make(map[string][]VersionCount),
		lapsed: make(revisionByID), returned: make(revisionByID),
	}
}

// OnRestart sets the function that is called with the ID of an endpoint that has restarted under the same ID, which
// shows in a new version of its entry. It must be called before the first change.
func (d *Directory) OnRestart(restarted func(id string)) { d.onRestart = restarted }

// Revision returns the revision of the store up to which the directory is complete, or 0.
func (d *Directory) Revision() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revision
}

// Changed returns the revision of the newest change of an entry.
func (d *Directory) Changed() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

// Apply applies changes that lead to a revision. It returns false and changes nothing if the revision is not newer.
func (d *Directory) Apply(revision uint64, changes []Change) bool {
	return d.applyAndNotify(func() bool { return d.apply(revision, changes) })
}

// applyAndNotify runs a change with the lock held, and then calls onRestart for the endpoints that have restarted.
func (d *Directory) applyAndNotify(do func() bool) bool {
	d.mu.Lock()
	done, restarted := do(), d.restarted
	d.restarted = nil
	d.mu.Unlock()
	for _, id := range restarted {
		d.onRestart(id)
	}
	return done
}

// apply implements Apply. The lock is held.
func (d *Directory) apply(revision uint64, changes []Change) bool {
	if revision <= d.revision {
		return false
	}
	restored := d.isRestore(revision)
	if restored {
		d.log.recordRestore(d.revision, revision)
	}
	d.revision = revision
	if len(changes) == 0 {
		return true
	}
	d.changed = revision
	// An entry may be set and removed in the same batch: only its last change applies.
	last := make(map[string]*Change, len(changes))
	for i := range changes {
		last[changes[i].Entry.ID] = &changes[i]
	}
	var removed []string
	for id, change := range last {
		d.logChange(change)
		if change.Gone {
			removed = append(removed, id)
		}
	}
	d.remove(removed, restored)
	for _, change := range last {
		if !change.Gone {
			d.set(change.Entry, restored)
		}
	}
	d.updateIndex(slices.Collect(maps.Keys(last)))
	return true
}

// isRestore reports whether the store was restored from backup between the current revision and the given one. The
// lock is held.
func (d *Directory) isRestore(revision uint64) bool {
	return d.revision > 0 && era.Of(revision) > era.Of(d.revision)
}

// Replace replaces the whole directory. It returns false and changes nothing if the snapshot is not newer. After a
// restore of the store, the differences from the previous state are logged for peers.
func (d *Directory) Replace(snapshot Snapshot) bool {
	return d.applyAndNotify(func() bool { return d.replace(snapshot) })
}

// replace implements Replace. The lock is held.
func (d *Directory) replace(snapshot Snapshot) bool {
	if snapshot.Revision <= d.revision {
		return false
	}
	restored := d.isRestore(snapshot.Revision)
	set, removed := d.diff(snapshot.Entries)
	if restored {
		d.log.recordRestore(d.revision, snapshot.Revision)
	}
	d.revision = snapshot.Revision
	d.changed = max(d.changed, snapshot.Changed)
	switch {
	case restored:
		// All hosts that read the table choose the same revision, so that a peer does not fetch the directory from
		// each of them.
		d.changed = max(d.changed, era.First(snapshot.Revision))
	case len(removed) > 0:
		// The snapshot's own revision of its newest change does not count removals.
		d.changed = snapshot.Revision
	}
	for _, id := range removed {
		d.logChange(&Change{Entry: Entry{ID: id}, Gone: true})
	}
	d.remove(removed, restored)
	for _, entry := range set {
		d.logChange(&Change{Entry: entry})
		d.set(entry, restored)
	}
	if !restored {
		d.log.reset(snapshot.Revision)
	}
	changed := removed
	for _, entry := range set {
		changed = append(changed, entry.ID)
	}
	d.updateIndex(changed)
	return true
}

// diff returns the listed entries that are missing here or differ, and the IDs of the entries here that are not
// listed. Lapsed entries count as missing. The lock is held.
func (d *Directory) diff(entries []Entry) (set []Entry, removed []string) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		_, lapsed := d.lapsed[entry.ID]
		if known, ok := d.entries[entry.ID]; !ok || lapsed || known.Endpoint != entry.Endpoint {
			set = append(set, entry)
		}
	}
	for id := range d.entries {
		if _, lapsed := d.lapsed[id]; !lapsed && !listed[id] {
			removed = append(removed, id)
		}
	}
	return set, removed
}

// Snapshot returns a copy of the whole directory, sorted by ID. It does not contain lapsed entries.
func (d *Directory) Snapshot() Snapshot {
	d.mu.RLock()
	defer d.mu.RUnlock()
	snapshot := Snapshot{Revision: d.revision, Changed: d.changed, Entries: make([]Entry, 0, len(d.entries))}
	for id, entry := range d.entries {
		if _, lapsed := d.lapsed[id]; !lapsed {
			snapshot.Entries = append(snapshot.Entries, *entry)
		}
	}
	slices.SortFunc(snapshot.Entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return snapshot
}

// Endpoint returns an endpoint, and whether it exists and accepts new work.
func (d *Directory) Endpoint(id string) (settings.Endpoint, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	entry, ok := d.entries[id]
	if !ok {
		return settings.Endpoint{}, false
	}
	return entry.Endpoint, !d.isLeaving(entry)
}

// Lookup returns an endpoint, and whether it exists. The endpoint may be leaving.
func (d *Directory) Lookup(id string) (settings.Endpoint, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	entry, ok := d.entries[id]
	if !ok {
		return settings.Endpoint{}, false
	}
	return entry.Endpoint, true
}

// HasAddress reports whether an endpoint has an address.
func (d *Directory) HasAddress(address string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, entry := range d.entries {
		if entry.Endpoint.Address == address {
			return true
		}
	}
	return false
}

// Serving returns the endpoints of a service that accept new work, sorted by ID. The list is shared and must not be
// modified; each change of the directory creates a new one.
func (d *Directory) Serving(service string) []*Entry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.index(service).Serving
}

// IDs returns the IDs of all endpoints, sorted.
func (d *Directory) IDs() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Sorted(maps.Keys(d.entries))
}

// Services returns the services that have an endpoint that accepts new work, in no particular order.
func (d *Directory) Services() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var services []string
	for service, x := range d.services {
		if len(x.Serving) > 0 {
			services = append(services, service)
		}
	}
	return services
}

// CountServing returns the number of endpoints, over all services, that accept new work.
func (d *Directory) CountServing() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	count := 0
	for _, x := range d.services {
		count += len(x.Serving)
	}
	return count
}

// Leaving returns the endpoints of a service that accept no new work, sorted by ID. The list is shared and must not
// be modified.
func (d *Directory) Leaving(service string) []*Entry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.index(service).Leaving
}

// set adds or replaces an entry. The flag restored is set if the entry may come from a backup of the store. The lock
// is held.
func (d *Directory) set(entry Entry, restored bool) {
	delete(d.lapsed, entry.ID)
	before, known := d.entries[entry.ID]
	if known && before.Endpoint.Version != entry.Endpoint.Version {
		d.restarted = append(d.restarted, entry.ID)
	}
	if restored && known {
		d.preserveLeaving(before, entry.Endpoint.Version)
	}
	d.markReturned(&entry, known, restored)
	d.entries[entry.ID] = &entry
}

func compareByID(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) }

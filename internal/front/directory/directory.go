// Package directory holds the endpoints that write entries of themselves into the deployment's
// store: which service each serves, where, and whether it takes new work. oxbowslip-front uses
// it; oxbowslipd has its endpoints in the settings tree.
//
// It owns this host's newest knowledge of them, which never goes back to an older revision, the rule for entries that lapse
// (lapse.go), what endpoints say themselves of their leaving (leaving.go), and the newest changes for peers that lack them
// (changes.go). It does no input or output; package
// peersync feeds it from the store and from peers.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Entry is one endpoint with its ID.
type Entry struct {
	ID       string            `json:"id"`
	Endpoint settings.Endpoint `json:"endpoint"`
}

// Change sets the entry of an endpoint, or removes it.
type Change struct {
	Entry Entry
	Gone  bool
}

// Snapshot is the whole directory at one revision.
type Snapshot struct {
	Revision uint64 `json:"revision"`
	// Changed is the revision of the newest change in it, if known.
	Changed uint64  `json:"changed"`
	Entries []Entry `json:"entries"`
}

// Directory is this host's newest knowledge of the endpoints. Its revision only goes up. It is
// safe for concurrent use.
type Directory struct {
	mu sync.RWMutex
	// revision is the state up to which all is known, changed the newest change.
	revision uint64
	changed  uint64
	// entries are never changed, only replaced.
	entries map[string]*Entry
	// serving lists the endpoints of each service that take new work, by ID.
	serving map[string][]*Entry
	// leaving lists those that do not.
	leaving map[string][]*Entry
	// lapsed are the entries that are kept although they were removed, with the revision at
	// which that was: see lapse.go.
	lapsed revisionByID
	// reportedLeaving are those that have said themselves that they leave: see leaving.go.
	reportedLeaving versionSet
	// removed are those whose entries went, doubted those of them that an older copy of the store has brought back, with the
	// revision at which that was: see returned.go.
	removed  versionSet
	returned revisionByID
	// log holds the newest changes, for peers: see changes.go.
	log changeLog
	// restarted are the endpoints that have started again under their IDs in the change at hand, onRestart is called with
	// each once the lock is free.
	restarted []string
	onRestart func(id string)
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		onRestart: func(string) {}, entries: make(map[string]*Entry), serving: make(map[string][]*Entry), leaving: make(map[string][]*Entry),
		lapsed: make(revisionByID), returned: make(revisionByID),
	}
}

// OnRestart sets what is called with the ID of an endpoint that has started again under it: its entry has another
// version. It must be set before the first change.
func (d *Directory) OnRestart(restarted func(id string)) { d.onRestart = restarted }

// Revision returns the state of the store up to which all changes are known, or 0.
func (d *Directory) Revision() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revision
}

// Changed returns the revision of the newest change of an endpoint.
func (d *Directory) Changed() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

// Apply applies changes that lead to a revision. It reports false, and changes nothing, if the
// revision is not newer.
func (d *Directory) Apply(revision uint64, changes []Change) bool {
	return d.applyAndNotify(func() bool { return d.apply(revision, changes) })
}

// applyAndNotify makes a change, and notifies of the endpoints that have started again.
func (d *Directory) applyAndNotify(do func() bool) bool {
	d.mu.Lock()
	done, again := do(), d.restarted
	d.restarted = nil
	d.mu.Unlock()
	for _, id := range again {
		d.onRestart(id)
	}
	return done
}

// apply is Apply with the lock held.
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
	// Only the last change of an entry counts: it may come and go in one batch.
	last := make(map[string]*Change, len(changes))
	for i := range changes {
		last[changes[i].Entry.ID] = &changes[i]
	}
	var gone []string
	for id, change := range last {
		d.logChange(change)
		if change.Gone {
			gone = append(gone, id)
		}
	}
	d.remove(gone, restored)
	for _, change := range last {
		if !change.Gone {
			d.set(change.Entry, restored)
		}
	}
	d.rebuildIndex()
	return true
}

// isRestore reports whether the store has come back from an older copy between what is known and a revision. The lock is held.
func (d *Directory) isRestore(revision uint64) bool {
	return d.revision > 0 && era.Of(revision) > era.Of(d.revision)
}

// Replace replaces the whole directory. It reports false, and changes nothing, if the snapshot
// is not newer. After a restore of the store, the changes that lead from what was known are kept for peers, too.
func (d *Directory) Replace(snapshot Snapshot) bool {
	return d.applyAndNotify(func() bool { return d.replace(snapshot) })
}

// replace is Replace with the lock held.
func (d *Directory) replace(snapshot Snapshot) bool {
	if snapshot.Revision <= d.revision {
		return false
	}
	restored := d.isRestore(snapshot.Revision)
	set, gone := d.diff(snapshot.Entries)
	if restored {
		d.log.recordRestore(d.revision, snapshot.Revision)
	}
	d.revision = snapshot.Revision
	d.changed = max(d.changed, snapshot.Changed)
	switch {
	case restored:
		// All hosts that read the table take the same, so that none of their peers fetches it from each.
		d.changed = max(d.changed, era.First(snapshot.Revision))
	case len(gone) > 0:
		// The removal is a change that no entry of the snapshot shows.
		d.changed = snapshot.Revision
	}
	for _, id := range gone {
		d.logChange(&Change{Entry: Entry{ID: id}, Gone: true})
	}
	d.remove(gone, restored)
	for _, entry := range set {
		d.logChange(&Change{Entry: entry})
		d.set(entry, restored)
	}
	if !restored {
		d.log.reset(snapshot.Revision)
	}
	d.rebuildIndex()
	return true
}

// diff returns the entries of a list that are not known as they are there, and the IDs of those that are known and not
// listed. Entries that have lapsed count as not known. The lock is held.
func (d *Directory) diff(entries []Entry) (set []Entry, gone []string) {
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
			gone = append(gone, id)
		}
	}
	return set, gone
}

// Snapshot returns a copy of the whole directory, without lapsed entries, sorted by ID.
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

// Endpoint returns an endpoint, and whether it is known and takes new work.
func (d *Directory) Endpoint(id string) (settings.Endpoint, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	entry, ok := d.entries[id]
	if !ok {
		return settings.Endpoint{}, false
	}
	return entry.Endpoint, !d.isLeaving(entry)
}

// Lookup returns an endpoint, and whether it is known. It may take no new work.
func (d *Directory) Lookup(id string) (settings.Endpoint, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	entry, ok := d.entries[id]
	if !ok {
		return settings.Endpoint{}, false
	}
	return entry.Endpoint, true
}

// Serving returns the endpoints of a service that take new work, sorted by ID. The list is
// shared and must not be modified; each revision has a new one.
func (d *Directory) Serving(service string) []*Entry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.serving[service]
}

// IDs returns the IDs of all endpoints, sorted.
func (d *Directory) IDs() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Sorted(maps.Keys(d.entries))
}

// Services returns the services that have endpoints that take new work, in no order.
func (d *Directory) Services() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Collect(maps.Keys(d.serving))
}

// CountServing returns the number of endpoints of all services that take new work.
func (d *Directory) CountServing() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	count := 0
	for _, entries := range d.serving {
		count += len(entries)
	}
	return count
}

// Leaving returns the endpoints of a service that take no new work any more, sorted by ID. The
// list is shared and must not be modified.
func (d *Directory) Leaving(service string) []*Entry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.leaving[service]
}

// set adds or replaces an entry. Restored is set if it may be one of an older copy of the store. The lock is held.
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

// rebuildIndex rebuilds the lists of each service. The lock is held.
func (d *Directory) rebuildIndex() {
	d.serving = make(map[string][]*Entry, len(d.serving))
	d.leaving = make(map[string][]*Entry)
	for _, entry := range d.entries {
		lists := d.serving
		if d.isLeaving(entry) {
			lists = d.leaving
		}
		service := entry.Endpoint.Service
		lists[service] = append(lists[service], entry)
	}
	for _, lists := range []map[string][]*Entry{d.serving, d.leaving} {
		for _, entries := range lists {
			slices.SortFunc(entries, compareByID)
		}
	}
}

func compareByID(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) }

package directory

import "oxbowslip.dev/oxbowslip/internal/settings"

// maxLoggedChanges bounds the changes kept for outdated peers, some 150 B each. It covers a simultaneous start or
// stop of several thousand endpoints.
const maxLoggedChanges = 8192

// loggedChange is a change and the revision that made it.
type loggedChange struct {
	revision uint64
	change   Change
	// onlyState is set if the change affects only the entry's state.
	onlyState bool
}

// changeLog holds the newest changes, oldest first.
type changeLog struct {
	// since is the revision after which the log has all changes, except for revisions within the gap.
	since   uint64
	gap     gap
	changes []loggedChange
}

// gap is an open interval of revisions in which the store was restored. The differences from the state at its start
// are logged at its end. A peer at a revision inside it may have applied changes that the restore discarded and the
// log does not contain.
type gap struct{ after, before uint64 }

// has reports whether a revision is inside the gap.
func (g *gap) has(revision uint64) bool { return revision > g.after && revision < g.before }

// covers reports whether the log has all changes after a revision.
func (l *changeLog) covers(revision uint64) bool { return revision >= l.since && !l.gap.has(revision) }

// add appends a change, and drops the oldest revision if the log is full.
func (l *changeLog) add(c loggedChange) {
	l.changes = append(l.changes, c)
	if len(l.changes) <= maxLoggedChanges {
		return
	}
	// All changes of a revision are dropped together.
	l.dropUpTo(l.changes[0].revision)
}

// reset discards the log. It is complete from the given revision on.
func (l *changeLog) reset(revision uint64) { l.since, l.changes = revision, nil }

// recordRestore records a restore of the store between two revisions. Changes before an earlier gap are dropped.
func (l *changeLog) recordRestore(after, to uint64) {
	l.dropUpTo(l.gap.before)
	l.gap = gap{after: after, before: to}
}

// dropUpTo drops the changes up to and including a revision.
func (l *changeLog) dropUpTo(revision uint64) {
	l.since = max(l.since, revision)
	first := 0
	for first < len(l.changes) && l.changes[first].revision <= l.since {
		first++
	}
	l.changes = l.changes[first:]
}

// Update is the newest change of an entry, as peers receive it.
type Update struct {
	Change
	// OnlyState is set if only the entry's state has changed; the rest of the entry is not used then.
	OnlyState bool
}

// Since returns the newest change of each entry that has changed after a revision, and the revision that these
// updates lead to. It returns false if the log no longer has all changes since then.
func (d *Directory) Since(revision uint64) (updates []Update, to uint64, ok bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if !d.log.covers(revision) {
		return nil, 0, false
	}
	newest := make(map[string]int)
	for i := range d.log.changes {
		c := &d.log.changes[i]
		if c.revision <= revision {
			continue
		}
		update := Update{Change: c.change, OnlyState: c.onlyState}
		if at, listed := newest[c.change.Entry.ID]; listed {
			update.OnlyState = update.OnlyState && updates[at].OnlyState
			updates[at] = update
			continue
		}
		newest[c.change.Entry.ID] = len(updates)
		updates = append(updates, update)
	}
	return updates, d.revision, true
}

// Update applies updates from a peer that lead to a revision. It returns false and changes nothing if the revision
// is not newer, or if an update changes only the state of an entry that this host does not have.
func (d *Directory) Update(revision uint64, updates []Update) bool {
	changes := make([]Change, 0, len(updates))
	for _, u := range updates {
		if !u.OnlyState {
			changes = append(changes, u.Change)
			continue
		}
		endpoint, known := d.Lookup(u.Entry.ID)
		if !known {
			return false
		}
		endpoint.State = u.Entry.Endpoint.State
		changes = append(changes, Change{Entry: Entry{ID: u.Entry.ID, Endpoint: endpoint}})
	}
	return d.Apply(revision, changes)
}

// logChange logs a change for peers. It must be called before the change is applied, with the lock held.
func (d *Directory) logChange(change *Change) {
	before, known := d.entries[change.Entry.ID]
	d.log.add(loggedChange{revision: d.revision, change: *change, onlyState: known && !change.Gone && differOnlyInState(&before.Endpoint, &change.Entry.Endpoint)})
}

// differOnlyInState reports whether two entries are equal apart from their state.
func differOnlyInState(a, b *settings.Endpoint) bool {
	same := *a
	same.State = b.State
	return same == *b
}

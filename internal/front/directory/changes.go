package directory

import "oxbowslip.dev/oxbowslip/internal/settings"

// maxLoggedChanges bounds the changes that are kept for peers which lack them, some 150 B each: what thousands of endpoints write
// that start or leave together.
const maxLoggedChanges = 8192

// loggedChange is a change with its revision.
type loggedChange struct {
	revision uint64
	change   Change
	// onlyState is set if nothing of the entry but its state has changed.
	onlyState bool
}

// changeLog holds the newest changes, the oldest first.
type changeLog struct {
	// since is the revision after which all changes are here, but for those within the gap.
	since   uint64
	gap     gap
	changes []loggedChange
}

// gap is a span of revisions, after one and before another, between which the store was restored. What differs from before it
// is logged at its end. A peer within it may have seen changes that were lost, and that the log does not have.
type gap struct{ after, before uint64 }

// has reports whether a revision is within the gap.
func (g *gap) has(revision uint64) bool { return revision > g.after && revision < g.before }

// covers reports whether all changes after a revision are here.
func (l *changeLog) covers(revision uint64) bool { return revision >= l.since && !l.gap.has(revision) }

// add adds a change.
func (l *changeLog) add(c loggedChange) {
	l.changes = append(l.changes, c)
	if len(l.changes) <= maxLoggedChanges {
		return
	}
	// The changes of one revision go together.
	l.dropUpTo(l.changes[0].revision)
}

// reset forgets all changes up to a revision.
func (l *changeLog) reset(revision uint64) { l.since, l.changes = revision, nil }

// recordRestore notes that the store was restored between two revisions. What is before an earlier gap is forgotten.
func (l *changeLog) recordRestore(after, to uint64) {
	l.dropUpTo(l.gap.before)
	l.gap = gap{after: after, before: to}
}

// dropUpTo forgets the changes up to a revision.
func (l *changeLog) dropUpTo(revision uint64) {
	l.since = max(l.since, revision)
	first := 0
	for first < len(l.changes) && l.changes[first].revision <= l.since {
		first++
	}
	l.changes = l.changes[first:]
}

// Update is the newest change of an entry.
type Update struct {
	Change
	// OnlyState is set if nothing of the entry but its state has changed.
	OnlyState bool
}

// Since returns the newest change of each entry that has changed after a revision, in the order of the last ones, and the
// revision up to which they lead. It reports false if not all changes since then are kept.
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
		if at, again := newest[c.change.Entry.ID]; again {
			update.OnlyState = update.OnlyState && updates[at].OnlyState
			updates[at] = update
			continue
		}
		newest[c.change.Entry.ID] = len(updates)
		updates = append(updates, update)
	}
	return updates, d.revision, true
}

// Update applies the updates of a peer that lead to a revision. It reports false, and changes nothing, if the revision is not
// newer, or the state of an entry is to change that is not known.
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

// logChange notes a change for peers that lack it. It is called before the change is made, with the lock held.
func (d *Directory) logChange(change *Change) {
	before, known := d.entries[change.Entry.ID]
	d.log.add(loggedChange{revision: d.revision, change: *change, onlyState: known && !change.Gone && differOnlyInState(&before.Endpoint, &change.Entry.Endpoint)})
}

// differOnlyInState reports whether two entries differ in nothing but their state.
func differOnlyInState(a, b *settings.Endpoint) bool {
	same := *a
	same.State = b.State
	return same == *b
}

package directory

import "oxbowslip.dev/oxbowslip/internal/settings"

// An endpoint says that it leaves in its entry, and itself in its answers. Its own word comes sooner, and also while the
// store is away. It holds for that start of the endpoint, so that neither an older entry nor one that is read again takes it
// back; an endpoint that has started again under its ID has another version and takes new work.

// maxStarts bounds the starts of endpoints that are kept; the oldest goes first. Some 100 B each. More than all
// endpoints of the largest fleet, each once.
const maxStarts = 4096

// starts is a set of starts of endpoints, the last of each endpoint.
type starts struct {
	// versions are those of the starts, by ID.
	versions map[string]string
	// order holds the IDs, the oldest first.
	order []string
}

// add adds a start, and reports whether it is new.
func (s *starts) add(id, version string) bool {
	known, again := s.versions[id]
	if again && known == version {
		return false
	}
	if s.versions == nil {
		s.versions = make(map[string]string)
	}
	s.versions[id] = version
	if again {
		return true
	}
	s.order = append(s.order, id)
	if len(s.order) > maxStarts {
		delete(s.versions, s.order[0])
		s.order = s.order[1:]
	}
	return true
}

// has reports whether a start is in the set.
func (s *starts) has(id, version string) bool {
	known, ok := s.versions[id]
	return ok && known == version
}

// keepLeaving has an endpoint that leaves by its entry go on doing so whatever an older copy of the entry says, until it
// starts again with another version. The lock is held.
func (d *Directory) keepLeaving(e *Entry, version string) {
	if e.Endpoint.State == settings.StateOut && e.Endpoint.Version == version {
		d.announced.add(e.ID, version)
	}
}

// SetLeaving notes that an endpoint has said itself that it leaves, and reports whether that was not known. The version is
// that of its entry then.
func (d *Directory) SetLeaving(id, version string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, known := d.entries[id]
	before := known && d.isLeaving(entry)
	if !d.announced.add(id, version) {
		return false
	}
	if known {
		d.index()
	}
	return !before
}

// IsLeaving reports whether an endpoint is known to take no new work any more.
func (d *Directory) IsLeaving(id string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	entry, known := d.entries[id]
	return known && d.isLeaving(entry)
}

// isLeaving reports whether an endpoint takes no new work any more, by its entry, its own word, or since the entry is doubted.
// The lock is held.
func (d *Directory) isLeaving(e *Entry) bool {
	_, doubted := d.doubted[e.ID]
	return doubted || e.Endpoint.State == settings.StateOut || d.announced.has(e.ID, e.Endpoint.Version)
}

// ReportedLeaving returns the starts of endpoints that have said themselves that they leave, the version by ID.
func (d *Directory) ReportedLeaving() map[string]string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	said := make(map[string]string)
	for id, entry := range d.entries {
		if version := entry.Endpoint.Version; d.announced.has(id, version) {
			said[id] = version
		}
	}
	return said
}

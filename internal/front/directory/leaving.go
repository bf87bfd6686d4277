package directory

import "oxbowslip.dev/oxbowslip/internal/settings"

// An endpoint announces that it leaves in its entry and in its responses. The response is seen sooner, and also
// while the store is unavailable. It applies to one version, that is one start, of the endpoint: older or repeated
// entries do not revert it, and an endpoint that restarts under the same ID has a new version and accepts new work.

// maxVersions bounds a versionSet; the oldest ID is evicted. An entry takes some 100 B. The bound exceeds the number
// of endpoints of the largest fleet.
const maxVersions = 4096

// versionSet is a set of endpoint versions, one for each ID. Each start of an endpoint has its own version.
type versionSet struct {
	// versions are the versions by endpoint ID.
	versions map[string]string
	// order lists the IDs, oldest first.
	order []string
}

// add adds a version, and reports whether it is new.
func (s *versionSet) add(id, version string) bool {
	known, exists := s.versions[id]
	if exists && known == version {
		return false
	}
	if s.versions == nil {
		s.versions = make(map[string]string)
	}
	s.versions[id] = version
	if exists {
		return true
	}
	s.order = append(s.order, id)
	if len(s.order) > maxVersions {
		delete(s.versions, s.order[0])
		s.order = s.order[1:]
	}
	return true
}

// has reports whether a version is in the set.
func (s *versionSet) has(id, version string) bool {
	known, ok := s.versions[id]
	return ok && known == version
}

// preserveLeaving keeps an endpoint leaving if its current entry says so and the new entry, which may come from a
// backup of the store, has the same version. The lock is held.
func (d *Directory) preserveLeaving(e *Entry, version string) {
	if e.Endpoint.State == settings.StateOut && e.Endpoint.Version == version {
		d.reportedLeaving.add(e.ID, version)
	}
}

// SetLeaving records that an endpoint, at the given version of its entry, has reported that it leaves. It returns
// whether this is new.
func (d *Directory) SetLeaving(id, version string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, known := d.entries[id]
	before := known && d.isLeaving(entry)
	if !d.reportedLeaving.add(id, version) {
		return false
	}
	if known {
		d.updateIndex([]string{id})
	}
	return !before
}

// IsLeaving reports whether an endpoint exists and accepts no new work.
func (d *Directory) IsLeaving(id string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	entry, known := d.entries[id]
	return known && d.isLeaving(entry)
}

// isLeaving reports whether an endpoint accepts no new work, because its entry or the endpoint itself says so, or
// because its entry returned from a backup of the store. The lock is held.
func (d *Directory) isLeaving(e *Entry) bool {
	_, returned := d.returned[e.ID]
	return returned || e.Endpoint.State == settings.StateOut || d.reportedLeaving.has(e.ID, e.Endpoint.Version)
}

// ReportedLeaving returns the versions, by ID, of the endpoints that have reported themselves as leaving.
func (d *Directory) ReportedLeaving() map[string]string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	reported := make(map[string]string)
	for id, version := range d.reportedLeaving.versions {
		if entry, known := d.entries[id]; known && entry.Endpoint.Version == version {
			reported[id] = version
		}
	}
	return reported
}

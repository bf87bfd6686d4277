package origin

import (
	"context"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// loadTimeout bounds a read of the store for a caller that waits, and loadRetry is the time after one that failed, or found
// nothing.
const (
	loadTimeout = 250 * time.Millisecond
	loadRetry   = time.Second
)

// history is what the store says of the time before this host's start.
type history struct {
	isLoaded bool
	versions map[keys.Service][]keys.Version
	// reportedAt is when peers were last informed of it.
	reportedAt time.Time
	// failedAt is when it could not be read, or was empty.
	failedAt time.Time
	// loading is closed when a read that is under way ends; nil if there is none.
	loading chan struct{}
}

// withHistory returns the origin of a stream of which no host has a record, for a host whose own knowledge, and that of the
// peers that it asked, does not go back far enough: the store may have a record of the stream, or know only one version
// that can have begun it.
func (r *Registry) withHistory(ctx context.Context, stream keys.Stream, service keys.Service, isFresh bool) Origin {
	r.loadHistory(ctx)
	now := r.parts.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if record, ok := r.table.Get(now, stream); ok {
		return originOf(&record)
	}
	if !r.history.isLoaded || !isFresh || r.table.IsMixed(now, service) {
		return Origin{Certainty: UnknownVersion}
	}
	if len(r.history.versions[service]) == 0 || len(r.possibleVersions(service)) > 1 {
		return Origin{Certainty: UnknownVersion}
	}
	return Origin{Certainty: AnyVersion}
}

// possibleVersions returns the versions of a service that are stored or that this host has seen. The lock is held.
func (r *Registry) possibleVersions(service keys.Service) map[keys.Version]bool {
	possible := make(map[keys.Version]bool)
	for _, version := range r.history.versions[service] {
		possible[version] = true
	}
	for version := range r.table.seen[service] {
		possible[version] = true
	}
	return possible
}

// add adds a version that this host has stored. The store had none if it was empty when it was read.
func (h *history) add(v ServiceVersion) {
	if h.versions == nil {
		return
	}
	h.isLoaded = true
	if !slices.Contains(h.versions[v.Service], v.Version) {
		h.versions[v.Service] = append(h.versions[v.Service], v.Version)
	}
}

// drop removes versions that are no longer stored.
func (h *history) drop(dropped []ServiceVersion) {
	for _, v := range dropped {
		h.versions[v.Service] = slices.DeleteFunc(h.versions[v.Service], func(version keys.Version) bool { return version == v.Version })
	}
}

// loadHistory reads the store, once. Callers that come while it is read wait for the result.
func (r *Registry) loadHistory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r.mu.Lock()
	h := &r.history
	switch {
	case h.isLoaded, r.parts.Clock().Sub(h.failedAt) < loadRetry:
		r.mu.Unlock()
		return
	case h.loading != nil:
		loading := h.loading
		r.mu.Unlock()
		select {
		case <-loading:
		case <-ctx.Done():
		}
		return
	}
	h.loading = make(chan struct{})
	r.mu.Unlock()

	saved, err := r.parts.Store.Load(ctx)
	storeTime := r.parts.StoreTime()
	r.mu.Lock()
	defer r.mu.Unlock()
	close(h.loading)
	h.loading = nil
	if err != nil || storeTime == 0 {
		h.failedAt = r.parts.Clock()
		r.parts.Log.WithError(err).Warn("origins of streams can't be read from the store; streams that began before this host started are refused")
		return
	}
	h.isLoaded, h.versions = len(saved.Versions) > 0, make(map[keys.Service][]keys.Version)
	if !h.isLoaded {
		h.failedAt = r.parts.Clock()
	}
	for _, v := range saved.Versions {
		h.versions[v.Service] = append(h.versions[v.Service], v.Version)
	}
	r.addSaved(&saved, storeTime)
	r.noteBatches(&saved)
}

// addSaved adds the records that have not expired. The lock is held.
func (r *Registry) addSaved(saved *Saved, storeTime freshness.StoreTime) {
	now := r.parts.Clock()
	for i := range saved.Batches {
		for _, s := range saved.Batches[i].Records {
			left := min(time.Duration(s.Until-storeTime), maxRecordTime)
			if left > 0 {
				r.table.Add(now, Record{Stream: s.Stream, Service: s.Service, Version: s.Version, Until: now.Add(left)}, false)
			}
		}
	}
}

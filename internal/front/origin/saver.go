package origin

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/coordinator"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// What all hosts know of streams ends with them, so some hosts save it in the store: the versions at which streams may have
// begun, and, while a service runs several, the records of streams. A version is stored before hosts learn of its first
// endpoint, and removed once it has not run for historyTime, so that hosts that start together can tell one version from
// one that is left. The records are saved soon after the streams have begun; those that are lost belong to streams that are
// refused.

const (
	// saversTime is how long the hosts that save records are remembered.
	saversTime = 250 * time.Millisecond
	// saveInterval is the time between two looks at what is to be saved.
	saveInterval = 500 * time.Millisecond
	// hostsPerSaver is the number of hosts whose records one host saves.
	hostsPerSaver = 128
	// maxSavedRecords bounds the records of a batch to some 30 KB.
	maxSavedRecords = 1024
	// maxSavedBatches bounds the batches that are saved at once.
	maxSavedBatches = 16
	// maxExpired bounds the batches that are removed at once.
	maxExpired = 50
	// declareTimeout bounds the time for which a new version is kept back until it is stored.
	declareTimeout = 200 * time.Millisecond
	// flushTimeout bounds the last save of a host that stops.
	flushTimeout = 250 * time.Millisecond
)

// saverMatter is the matter of which the first hosts in order save records.
const saverMatter = "saved origins of streams"

// saverState is what a host knows of the store. The registry's lock guards it.
type saverState struct {
	// declared are the versions that this host knows to be stored, and undeclared those that it could not store.
	declared   map[ServiceVersion]bool
	undeclared map[ServiceVersion]NamedVersion
	// unsaved are the streams whose records this host has to save.
	unsaved map[keys.Stream]bool
	// batches are the stored batches that this host knows, with the time at which they expire.
	batches map[string]freshness.StoreTime
	saved   int
	// hasCleaned is set once the versions of earlier starts have been compared with those that run.
	hasCleaned bool
	era        uint64
}

func newSaverState(era uint64) saverState {
	return saverState{
		declared: make(map[ServiceVersion]bool), undeclared: make(map[ServiceVersion]NamedVersion),
		unsaved: make(map[keys.Stream]bool), batches: make(map[string]freshness.StoreTime), era: era,
	}
}

// savers are the hosts that save records, the first ones in order.
type savers struct {
	self  envelope.Sender
	hosts []envelope.Sender
	// findAt is when they are to be found again.
	findAt time.Time
}

// savers returns the hosts that save records.
func (r *Registry) savers() *savers {
	now := r.parts.Clock()
	if known := r.knownSavers.Load(); known != nil && now.Before(known.findAt) {
		return known
	}
	hosts := r.parts.Peers.Senders()
	found := &savers{self: hosts[0], hosts: coordinator.First(hosts, saverMatter, 1+len(hosts)/hostsPerSaver), findAt: now.Add(saversTime)}
	r.knownSavers.Store(found)
	return found
}

// of returns the name of the host that saves the record of a stream.
func (s *savers) of(stream keys.Stream) string {
	return s.hosts[uint64(stream)%uint64(len(s.hosts))].Host
}

// isFirst reports whether this host is the first of them, which stores the versions.
func (s *savers) isFirst() bool { return s.hosts[0].Host == s.self.Host }

// includesSelf reports whether this host is one of them.
func (s *savers) includesSelf() bool { return slices.Contains(s.hosts, s.self) }

// Declare stores versions before this host uses their first endpoints, if it has seen others of their services. It blocks
// until they are stored, for declareTimeout at most; after that the host goes on trying. Versions of services that it has
// not seen before are stored by a saver.
func (r *Registry) Declare(ctx context.Context, versions []NamedVersion) {
	r.mu.Lock()
	added := slices.DeleteFunc(versions, func(v NamedVersion) bool {
		known, isSeen := r.table.seen[v.Service]
		_, isKnown := known[v.Version]
		return !isSeen || isKnown || r.saver.declared[v.ServiceVersion]
	})
	r.mu.Unlock()
	if len(added) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, declareTimeout)
	defer cancel()
	err := r.parts.Store.Save(ctx, Change{Versions: added})
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range added {
		if err != nil {
			r.saver.undeclared[v.ServiceVersion] = v
			continue
		}
		r.saver.declared[v.ServiceVersion] = true
	}
	if err != nil {
		r.parts.Log.WithError(err).WithField("versions", len(added)).Warn("new software versions can't be stored; streams may be refused after a restart of all hosts")
	}
}

// runSaver saves what is due until ctx ends.
func (r *Registry) runSaver(ctx context.Context) {
	for lifetime.Sleep(ctx, saveInterval) {
		r.save(ctx, r.savers().isFirst() && r.parts.Peers.IsSettled())
	}
}

// Flush saves what is due before the host stops.
func (r *Registry) Flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	r.save(ctx, r.savers().isFirst())
}

// save saves what is due. What fails is tried again the next time. IsFirst is set if this host stores the versions.
func (r *Registry) save(ctx context.Context, isFirst bool) {
	r.startEra()
	if isFirst {
		r.loadHistory(ctx)
		if r.mustClean() {
			r.clean(ctx)
		}
		r.reportHistory()
	}
	change := r.nextChange(isFirst)
	if change.isEmpty() {
		return
	}
	if err := r.parts.Store.Save(ctx, change); err != nil {
		r.parts.Log.WithError(err).WithField("batches", len(change.Batches)).Warn("origins of streams can't be saved; trying again")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordSaved(&change)
}

// startEra has everything stored again after the store was restored from backup.
func (r *Registry) startEra() {
	newest := r.parts.Era()
	r.mu.Lock()
	defer r.mu.Unlock()
	if newest == r.saver.era {
		return
	}
	r.saver = newSaverState(newest)
	for stream := range r.table.records {
		if r.savers().of(stream) == r.savers().self.Host {
			r.saver.unsaved[stream] = true
		}
	}
}

// nextChange returns what is due to be saved.
func (r *Registry) nextChange(isFirst bool) Change {
	now, storeTime := r.parts.Clock(), r.parts.StoreTime()
	r.mu.Lock()
	defer r.mu.Unlock()
	var change Change
	for _, v := range r.saver.undeclared {
		change.Versions = append(change.Versions, v)
	}
	if isFirst {
		for _, service := range r.parts.Services() {
			for _, v := range r.parts.Versions(service) {
				if named := NameVersion(service, v.Version); !r.saver.declared[named.ServiceVersion] {
					change.Versions = append(change.Versions, named)
				}
			}
		}
	}
	if storeTime == 0 || !r.savers().includesSelf() {
		return change
	}
	change.Batches = r.unsavedBatches(now, storeTime)
	for id, expiry := range r.saver.batches {
		if expiry < storeTime && len(change.Expired) < maxExpired {
			change.Expired = append(change.Expired, id)
		}
	}
	return change
}

// unsavedBatches returns the records that this host has to save, of services that run several versions. The lock is held.
func (r *Registry) unsavedBatches(now time.Time, storeTime freshness.StoreTime) []Batch {
	var records []SavedRecord
	for stream := range r.saver.unsaved {
		record, ok := r.table.Get(now, stream)
		if !ok {
			delete(r.saver.unsaved, stream)
			continue
		}
		if len(records) == maxSavedBatches*maxSavedRecords || !r.table.IsMixed(now, record.Service) {
			continue
		}
		records = append(records, SavedRecord{Stream: stream, Service: record.Service, Version: record.Version, Until: storeTime + freshness.StoreTime(record.Until.Sub(now))})
	}
	var batches []Batch
	host := r.savers().self
	for part := range slices.Chunk(records, maxSavedRecords) {
		id := fmt.Sprintf("%s-%08x-%d", host.Host, host.Incarnation, r.saver.saved+len(batches))
		batches = append(batches, Batch{ID: id, Records: part})
	}
	return batches
}

// recordSaved records a change that is stored. The lock is held.
func (r *Registry) recordSaved(change *Change) {
	for _, v := range change.Versions {
		r.saver.declared[v.ServiceVersion] = true
		delete(r.saver.undeclared, v.ServiceVersion)
		r.history.add(v.ServiceVersion)
	}
	for i := range change.Batches {
		batch := &change.Batches[i]
		r.saver.saved++
		r.saver.batches[batch.ID] = batch.expiry()
		for _, record := range batch.Records {
			delete(r.saver.unsaved, record.Stream)
		}
	}
	for _, id := range change.Expired {
		delete(r.saver.batches, id)
	}
}

// mustClean reports whether versions that no longer run may be stored.
func (r *Registry) mustClean() bool {
	now := r.parts.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.startedAt) >= historyTime && (!r.saver.hasCleaned || r.table.hasForgotten) && r.isFresh()
}

// clean removes the versions that have not run for historyTime from the store.
func (r *Registry) clean(ctx context.Context) {
	saved, err := r.parts.Store.Load(ctx)
	if err != nil {
		r.parts.Log.WithError(err).Warn("stored software versions can't be read; trying again")
		return
	}
	var change Change
	r.mu.Lock()
	r.noteBatches(&saved)
	for _, v := range saved.Versions {
		if _, isSeen := r.table.seen[v.Service][v.Version]; !isSeen {
			change.Dropped = append(change.Dropped, v)
			delete(r.saver.declared, v)
		}
	}
	r.mu.Unlock()
	if !change.isEmpty() {
		if err := r.parts.Store.Save(ctx, change); err != nil {
			r.parts.Log.WithError(err).Warn("software versions that no longer run can't be removed from the store; trying again")
			return
		}
	}
	r.parts.Log.WithFields(logrus.Fields{"stored": len(saved.Versions), "removed": len(change.Dropped)}).Info("stored software versions compared with those that run")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saver.hasCleaned, r.table.hasForgotten = true, false
	r.history.drop(change.Dropped)
}

// reportInterval is the time between two reports of what is stored, a part of the time for which they count.
const reportInterval = reportTime / 3

// reportHistory informs all hosts of the services at which streams may have begun at other versions than those that run,
// by what is stored. They then share the records of their streams.
func (r *Registry) reportHistory() {
	now := r.parts.Clock()
	r.mu.Lock()
	var mixed []keys.Service
	if now.Sub(r.history.reportedAt) >= reportInterval {
		for service := range r.history.versions {
			if len(r.possibleVersions(service)) > 1 {
				mixed = append(mixed, service)
				r.table.Report(now, service)
			}
		}
		r.history.reportedAt = now
	}
	r.mu.Unlock()
	if len(mixed) == 0 {
		return
	}
	for _, host := range r.parts.Peers.Senders()[1:] {
		r.parts.Peers.SendTo(host.Host, envelope.KindStreamOrigins, &Records{Mixed: mixed})
	}
}

// noteBatches records the batches of earlier starts, so that they are removed once they have expired. The lock is held.
func (r *Registry) noteBatches(saved *Saved) {
	for i := range saved.Batches {
		r.saver.batches[saved.Batches[i].ID] = saved.Batches[i].expiry()
	}
}

package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Table holds the records that a host has made or received, and the versions that it has seen of each service. It is not
// safe for concurrent use.
type Table struct {
	records map[keys.Stream]Record
	// unsent holds the streams whose records this host has made and not sent to peers.
	unsent map[keys.Stream]bool
	seen   map[keys.Service]map[keys.Version]time.Time
	// hasForgotten is set when a version has been dropped from seen.
	hasForgotten bool
	// reported is when a peer last reported that a service runs several versions.
	reported map[keys.Service]time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		records: make(map[keys.Stream]Record), unsent: make(map[keys.Stream]bool), seen: make(map[keys.Service]map[keys.Version]time.Time),
		reported: make(map[keys.Service]time.Time),
	}
}

// Add adds a record. Two records of a stream with different versions leave its version uncertain. IsOwn is set if this
// host made the record.
func (t *Table) Add(now time.Time, record Record, isOwn bool) {
	if known, ok := t.Get(now, record.Stream); ok {
		if known.Version != record.Version {
			record.Version = 0
		}
		record.Until = maxTime(known.Until, record.Until)
	}
	t.records[record.Stream] = record
	if isOwn {
		t.unsent[record.Stream] = true
	}
	t.enforceBound()
}

// Get returns the record of a stream.
func (t *Table) Get(now time.Time, stream keys.Stream) (Record, bool) {
	record, ok := t.records[stream]
	return record, ok && now.Before(record.Until)
}

// TakeUnsent returns the records of this host that belong to a service and have not been sent, and marks them as sent.
func (t *Table) TakeUnsent(now time.Time, service keys.Service) []Record {
	var taken []Record
	for stream := range t.unsent {
		if record, ok := t.Get(now, stream); ok && record.Service == service {
			delete(t.unsent, stream)
			taken = append(taken, record)
		}
	}
	return taken
}

// Observe records the versions that the endpoints of a service run.
func (t *Table) Observe(now time.Time, service keys.Service, versions []keys.Version) {
	known, ok := t.seen[service]
	if !ok {
		known = make(map[keys.Version]time.Time, len(versions))
		t.seen[service] = known
	}
	for _, version := range versions {
		known[version] = now
	}
}

// Report records that a peer has seen several versions of a service.
func (t *Table) Report(now time.Time, service keys.Service) { t.reported[service] = now }

// HasSeenSeveral reports whether this host has seen several versions of a service within historyTime.
func (t *Table) HasSeenSeveral(now time.Time, service keys.Service) bool {
	count := 0
	for _, at := range t.seen[service] {
		if now.Sub(at) < historyTime {
			count++
		}
	}
	return count > 1
}

// IsMixed reports whether a service runs several versions or has done so within historyTime, as this host or a peer has
// seen.
func (t *Table) IsMixed(now time.Time, service keys.Service) bool {
	at, isReported := t.reported[service]
	return (isReported && now.Sub(at) < reportTime) || t.HasSeenSeveral(now, service)
}

func (t *Table) has(stream keys.Stream) bool {
	_, ok := t.records[stream]
	return ok
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Expire removes what has expired.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.records, func(_ keys.Stream, r Record) bool { return !now.Before(r.Until) })
	maps.DeleteFunc(t.unsent, func(stream keys.Stream, _ bool) bool { return !t.has(stream) })
	maps.DeleteFunc(t.reported, func(_ keys.Service, at time.Time) bool { return now.Sub(at) >= reportTime })
	for service, versions := range t.seen {
		count := len(versions)
		maps.DeleteFunc(versions, func(_ keys.Version, at time.Time) bool { return now.Sub(at) >= historyTime })
		t.hasForgotten = t.hasForgotten || len(versions) < count
		if len(versions) == 0 {
			delete(t.seen, service)
		}
	}
}

// enforceBound drops the eighth of the records that expires first if there are too many.
func (t *Table) enforceBound() {
	if len(t.records) <= maxRecords {
		return
	}
	all := slices.SortedFunc(maps.Values(t.records), func(a, b Record) int {
		return cmp.Or(a.Until.Compare(b.Until), cmp.Compare(a.Stream, b.Stream))
	})
	for _, record := range all[:maxRecords/8] {
		delete(t.records, record.Stream)
		delete(t.unsent, record.Stream)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

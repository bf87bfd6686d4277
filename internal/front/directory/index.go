package directory

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Index lists the endpoints of a service so that a few of them are found without reading all. It is never modified; each
// change of the directory creates a new one.
type Index struct {
	// Serving are the endpoints that accept new work and Leaving those that accept none, sorted by ID.
	Serving []*Entry
	Leaving []*Entry
	// zones holds the serving endpoints of each availability zone, sorted by ID.
	zones map[string][]*Entry
	// ring holds the serving endpoints, and leavingRing the leaving ones, in the order of their positions.
	ring        []ringEntry
	leavingRing []ringEntry
}

// ringEntry is an endpoint at a position, a hash of its ID that begins with its key.
type ringEntry struct {
	position uint64
	entry    *Entry
}

// positionOf returns the position of an endpoint. keys.OfEndpoint is the low half of the hash.
func positionOf(id string) uint64 { return bits.RotateLeft64(xxhash.Sum64String(id), 32) }

// InZone returns the serving endpoints of an availability zone.
func (x *Index) InZone(zone string) []*Entry { return x.zones[zone] }

// Lookup returns the endpoints with a key, serving or leaving.
func (x *Index) Lookup(key keys.Endpoint) []*Entry {
	return append(x.LookupServing(key), withKey(x.leavingRing, key)...)
}

// LookupServing returns the serving endpoints with a key.
func (x *Index) LookupServing(key keys.Endpoint) []*Entry { return withKey(x.ring, key) }

// withKey returns the endpoints of a ring with a key.
func withKey(ring []ringEntry, key keys.Endpoint) []*Entry {
	var entries []*Entry
	for _, r := range ring[searchRing(ring, uint64(key)<<32):] {
		if keys.Endpoint(r.position>>32) != key {
			break
		}
		entries = append(entries, r.entry)
	}
	return entries
}

// preferredProbes is the number of points of the ring at which a hash looks for endpoints (multi-probe consistent
// hashing). With 16, the busiest of many endpoints is preferred by some 10 % more hashes than the mean.
const preferredProbes = 16

// Preferred returns the serving endpoints that are preferred for a hash, the first one first, at most preferredProbes of
// them. All hosts with the same endpoints return the same ones, and an endpoint that goes changes the order of others by
// no more than its own place.
func (x *Index) Preferred(hash uint64) []*Entry {
	if len(x.ring) == 0 {
		return nil
	}
	type probe struct {
		distance uint64
		entry    *Entry
	}
	probes := make([]probe, 0, preferredProbes)
	for range preferredProbes {
		hash = mix(hash)
		at := searchRing(x.ring, hash)
		if at == len(x.ring) {
			at = 0
		}
		probes = append(probes, probe{distance: x.ring[at].position - hash, entry: x.ring[at].entry})
	}
	slices.SortFunc(probes, func(a, b probe) int { return cmp.Compare(a.distance, b.distance) })
	var preferred []*Entry
	for _, p := range probes {
		if !slices.Contains(preferred, p.entry) {
			preferred = append(preferred, p.entry)
		}
	}
	return preferred
}

// mix returns the next of a sequence of numbers that look random (SplitMix64).
func mix(n uint64) uint64 {
	n += 0x9e3779b97f4a7c15
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

// searchRing returns the place of the first endpoint at a position or after it.
func searchRing(ring []ringEntry, position uint64) int {
	at, _ := slices.BinarySearchFunc(ring, position, comparePosition)
	return at
}

func comparePosition(r ringEntry, position uint64) int { return cmp.Compare(r.position, position) }

// edited returns a sorted list without the items of some keys and with others added. Keys and added are sorted, and the
// keys include those of added.
func edited[T, K any](list []T, keys []K, added []T, compare func(T, K) int) []T {
	result := make([]T, 0, len(list)+len(added))
	for _, key := range keys {
		at, _ := slices.BinarySearchFunc(list, key, compare)
		result, list = append(result, list[:at]...), list[at:]
		for len(list) > 0 && compare(list[0], key) == 0 {
			list = list[1:]
		}
		for len(added) > 0 && compare(added[0], key) == 0 {
			result, added = append(result, added[0]), added[1:]
		}
	}
	return append(result, list...)
}

// updated returns the index of a service after changes of some endpoints. IDs are those of all changed endpoints, serving
// and leaving those of them that are now in the service.
func (x *Index) updated(ids []string, serving, leaving []*Entry) *Index {
	compareID := func(e *Entry, id string) int { return strings.Compare(e.ID, id) }
	positions := make([]uint64, 0, len(ids))
	for _, id := range ids {
		positions = append(positions, positionOf(id))
	}
	slices.Sort(ids)
	slices.Sort(positions)
	for _, entries := range [][]*Entry{serving, leaving} {
		slices.SortFunc(entries, compareByID)
	}
	next := &Index{
		Serving: edited(x.Serving, ids, serving, compareID), Leaving: edited(x.Leaving, ids, leaving, compareID), zones: make(map[string][]*Entry, len(x.zones)),
		ring: edited(x.ring, positions, ringOf(serving), comparePosition), leavingRing: edited(x.leavingRing, positions, ringOf(leaving), comparePosition),
	}
	byZone := make(map[string][]*Entry)
	for _, e := range serving {
		byZone[e.Endpoint.Zone] = append(byZone[e.Endpoint.Zone], e)
	}
	for zone := range x.zones {
		next.zones[zone] = edited(x.zones[zone], ids, byZone[zone], compareID)
	}
	for zone, entries := range byZone {
		if _, known := x.zones[zone]; !known {
			next.zones[zone] = entries
		}
	}
	return next
}

// ringOf returns the places of endpoints on a ring.
func ringOf(entries []*Entry) []ringEntry {
	ring := make([]ringEntry, 0, len(entries))
	for _, e := range entries {
		ring = append(ring, ringEntry{position: positionOf(e.ID), entry: e})
	}
	slices.SortFunc(ring, func(a, b ringEntry) int { return cmp.Compare(a.position, b.position) })
	return ring
}

// Index returns the index of a service. It is empty if the service has no endpoint.
func (d *Directory) Index(service string) *Index {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.index(service)
}

// index is Index with the lock held.
func (d *Directory) index(service string) *Index {
	if x, ok := d.services[service]; ok {
		return x
	}
	return new(Index)
}

// updateIndex updates the indexes of the services after changes of some endpoints. The lock is held.
func (d *Directory) updateIndex(ids []string) {
	if len(ids) == 0 {
		return
	}
	serving, leaving := make(map[string][]*Entry), make(map[string][]*Entry)
	affected := make(map[string]bool)
	for _, id := range ids {
		if service, wasIndexed := d.indexedIn[id]; wasIndexed {
			affected[service] = true
		}
		entry, ok := d.entries[id]
		if !ok {
			delete(d.indexedIn, id)
			continue
		}
		service := entry.Endpoint.Service
		affected[service], d.indexedIn[id] = true, service
		if d.isLeaving(entry) {
			leaving[service] = append(leaving[service], entry)
		} else {
			serving[service] = append(serving[service], entry)
		}
		if _, known := d.services[service]; !known {
			d.services[service] = new(Index)
		}
	}
	for service := range affected {
		next := d.services[service].updated(ids, serving[service], leaving[service])
		if len(next.Serving)+len(next.Leaving) == 0 {
			delete(d.services, service)
			continue
		}
		d.services[service] = next
	}
	clear(d.versions)
}

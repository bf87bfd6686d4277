package gossip

import (
	"cmp"
	"net/netip"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The hosts of a large fleet learn of each other by Records, which any host may pass on, rather than by an announcement
// of each host to each other one. This file holds the rules by which a host's list of members changes.

const (
	// maxMembers bounds the members, and maxLostMembers those that were reported as lost. A host holds some 300 B for each.
	maxMembers     = 1 << 14
	maxLostMembers = 1 << 12
	// tombstoneTime is how long a report of a loss is remembered. By then no host passes on the Record that it ended.
	tombstoneTime = 2 * time.Minute
	// maxRefutations bounds the number of reports of a loss that one report may claim to follow.
	maxRefutations = 1 << 10
	// maxClockSkew is how far in the future a start may be by this host's wall clock.
	maxClockSkew = time.Hour
	// maxNameBytes bounds the name and the zone of a host.
	maxNameBytes = 200
	// digestBuckets is the number of groups in which hosts compare their Records. Of a list of 1,000 hosts that differs in
	// few places, 16 Records for each of them are transferred.
	digestBuckets = 64
)

// Record identifies a start of a host. Records of the same host are ordered by Start and then by Generation.
type Record struct {
	_ struct{} `cbor:",toarray"`

	Host        string
	Address     string
	Zone        string
	Incarnation uint32
	// Start is the wall clock in Unix nanoseconds at the start, as in Announcement.
	Start int64
	// Generation counts the reports of a loss that this start of the host has refuted.
	Generation uint32
	// LinkMbit is the bandwidth of the host's link in Mbit/s, or 0 if it is unknown.
	LinkMbit uint32
}

// LostRecord reports that a start of a host is lost or has left, up to a generation.
type LostRecord struct {
	_ struct{} `cbor:",toarray"`

	Host       string
	Start      int64
	Generation uint32
}

// tombstone is a loss that was reported.
type tombstone struct {
	record LostRecord
	at     time.Time
}

// isCovered reports whether a loss applies to a start of a host and its generation.
func (l *LostRecord) isCovered(start int64, generation uint32) bool {
	return cmp.Or(cmp.Compare(start, l.Start), cmp.Compare(generation, l.Generation)) <= 0
}

// isStart reports whether a host of a name may have started at a time.
func isStart(now time.Time, host string, start int64) bool {
	return host != "" && len(host) <= maxNameBytes && start <= now.Add(maxClockSkew).UnixNano()
}

// isValid reports whether a Record may describe a host: with an address that one host can have.
func (r *Record) isValid(now time.Time) bool {
	if !isStart(now, r.Host, r.Start) || len(r.Zone) > maxNameBytes {
		return false
	}
	address, err := netip.ParseAddrPort(r.Address)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
}

// recordOf returns the Record of a host.
func recordOf(member *Member) Record {
	return Record{
		Host: member.Name, Address: member.Address, Zone: member.Zone, Incarnation: member.incarnation,
		Start: member.startNanos, Generation: member.generation, LinkMbit: member.linkMbit,
	}
}

// OwnRecord returns this host's Record.
func (m *Members) OwnRecord() Record { return recordOf(&m.own) }

// Change is the effect of a Record or of a report of a loss.
type Change int

// The effects.
const (
	// Unchanged: it is outdated or not valid.
	Unchanged Change = iota
	// Refused: it is not valid, or the list of members is full.
	Refused
	// Joined: a host or a new start of one is a member.
	Joined
	// Updated: a member is the same start as before.
	Updated
	// Lost: a member is no longer one.
	Lost
	// Refuted: the report is about this host, which has a new generation.
	Refuted
)

// ApplyRecord applies a Record that any host has sent.
func (m *Members) ApplyRecord(now time.Time, r *Record) Change {
	switch {
	case !r.isValid(now):
		return Refused
	case r.Host == m.self:
		return Unchanged
	}
	if lost, ok := m.lost[r.Host]; ok && lost.record.isCovered(r.Start, r.Generation) {
		return Unchanged
	}
	member, ok := m.live[r.Host]
	switch {
	case !ok && len(m.live) >= maxMembers:
		return Refused
	case !ok || r.Start > member.startNanos:
		m.add(now, &Member{
			Name: r.Host, Address: r.Address, Zone: r.Zone, incarnation: r.Incarnation, startNanos: r.Start,
			generation: r.Generation, relays: true, linkMbit: r.LinkMbit,
		})
		return Joined
	case r.Start < member.startNanos || r.Incarnation != member.incarnation || (member.relays && r.Generation <= member.generation):
		return Unchanged
	}
	m.digest.toggle(member)
	member.generation, member.relays, member.linkMbit = r.Generation, true, r.LinkMbit
	m.digest.toggle(member)
	m.index = nil
	return Updated
}

// ApplyLost applies a report that a host is lost.
func (m *Members) ApplyLost(now time.Time, l *LostRecord) Change {
	if !isStart(now, l.Host, l.Start) {
		return Refused
	}
	if l.Host == m.self {
		if l.Start != m.own.startNanos || l.Generation < m.own.generation || l.Generation > m.own.generation+maxRefutations {
			return Unchanged
		}
		m.digest.toggle(&m.own)
		m.own.generation = l.Generation + 1
		m.digest.toggle(&m.own)
		return Refuted
	}
	if earlier, ok := m.lost[l.Host]; ok && earlier.record.isCovered(l.Start, l.Generation) {
		return Unchanged
	}
	member, ok := m.live[l.Host]
	if ok && (l.Start != member.startNanos || l.Generation < member.generation) {
		// A report for a later start than the known one could not be refuted by the host.
		return Unchanged
	}
	if len(m.lost) >= maxLostMembers {
		return Refused
	}
	m.lost[l.Host] = tombstone{record: *l, at: now}
	if !ok {
		return Unchanged
	}
	m.drop(l.Host)
	m.missing.add(member, now)
	return Lost
}

// lossOf returns the report of a loss that applies to a start of a host, if there is one.
func (m *Members) lossOf(host string, start int64) (LostRecord, bool) {
	lost, ok := m.lost[host]
	return lost.record, ok && start <= lost.record.Start
}

// expireLost forgets old reports of losses.
func (m *Members) expireLost(now time.Time) {
	for host, lost := range m.lost {
		if now.Sub(lost.at) > tombstoneTime {
			delete(m.lost, host)
		}
	}
}

// digest identifies a set of Records: equal sets have equal digests, and of different ones the buckets that differ.
type digest [digestBuckets]uint64

// toggle adds the Record of a host, or removes it.
func (d *digest) toggle(member *Member) {
	if !member.relays {
		return
	}
	hash := keys.MixBits(keys.MixBits(member.rank^uint64(member.startNanos)) ^ uint64(member.generation))
	d[bucketOf(member.rank)] ^= hash
}

// bucketOf returns the bucket of a host.
func bucketOf(rank uint64) int { return int(rank % digestBuckets) }

// sum returns a hash of the whole set.
func (d *digest) sum() uint64 {
	var sum uint64
	for _, bucket := range d {
		sum = keys.MixBits(sum ^ bucket)
	}
	return sum
}

// RecordsIn returns the Records and the reports of losses in the buckets in which a peer's digest differs from this
// host's. A peer's digest of the wrong length differs in all.
func (m *Members) RecordsIn(theirs []uint64) (records []Record, lost []LostRecord) {
	differs := func(rank uint64) bool {
		bucket := bucketOf(rank)
		return len(theirs) != digestBuckets || theirs[bucket] != m.digest[bucket]
	}
	for _, member := range m.indexed().ring {
		if differs(member.rank) {
			records = append(records, recordOf(member))
		}
	}
	for host, l := range m.lost {
		if differs(Rank(host)) {
			lost = append(lost, l.record)
		}
	}
	return records, lost
}

package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/announce"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// The members of a large fleet. A host that joins sends its Record to the hosts that it knows, which pass it on to all,
// and fetches the list of members from one of them (digest.go).

const (
	// updateDelay is how long changes of the members are collected before they are sent to all.
	updateDelay = 200 * time.Millisecond
	// lostRepeats is the number of repetitions of a report of a loss, and repeatInterval the time between them. If many
	// hosts fail together, most ways of the first message lead through failed ones.
	lostRepeats    = 2
	repeatInterval = 500 * time.Millisecond
	// maxUpdateRecords bounds the Records and reports of losses in a message of some 5 KB.
	maxUpdateRecords = 64
	// maxIntroducers is the number of contacts that a host asks to send its Record to all hosts.
	maxIntroducers = 2
)

// MemberUpdates is a message with changes of the members.
type MemberUpdates struct {
	_ struct{} `cbor:",toarray"`

	Records []Record
	Lost    []LostRecord
	// PassOn asks the receiver to send what is new to it to all hosts.
	PassOn bool
}

// membership is this host's state for exchanging Records.
type membership struct {
	// records and lost are the changes that are still to be sent to all hosts. wanted wakes the goroutine that sends them.
	records *announce.List[Record]
	lost    *announce.List[LostRecord]
	wanted  chan struct{}
	// changedAt is when the list of members last changed.
	changedAt time.Time
	// isPulling is set while members are fetched, pulledAt is when the last fetch began.
	isPulling bool
	pulledAt  time.Time
	// unlogged are the changes of the members that were not logged yet.
	unlogged memberChanges
	// wholeList is the response with all Records as of wholeListAt.
	wholeList   []byte
	wholeListAt time.Time
}

// memberChanges counts changes of the members. The names are those of one of the hosts.
type memberChanges struct {
	joined, lost         int
	joinedName, lostName string
}

func (c *memberChanges) add(joined []envelope.Sender, lost []string) {
	c.joined += len(joined)
	c.lost += len(lost)
	if len(joined) > 0 {
		c.joinedName = joined[0].Host
	}
	if len(lost) > 0 {
		c.lostName = lost[0]
	}
}

// logChanges logs the changes of the members since the last call: many hosts join or fail at a time. It reports whether
// members were lost.
func (g *Gossip) logChanges() bool {
	g.mu.Lock()
	c, hosts := g.membership.unlogged, g.members.Count()+1
	g.membership.unlogged = memberChanges{}
	g.mu.Unlock()
	if c.lost > 0 {
		g.parts.Log.WithFields(logrus.Fields{"peer": c.lostName, "lost": c.lost, "hosts": hosts}).Warn("peers lost")
	}
	if c.joined > 0 {
		g.parts.Log.WithFields(logrus.Fields{"peer": c.joinedName, "joined": c.joined, "hosts": hosts}).Info("peers joined")
	}
	return c.lost > 0
}

// maintainMembers sends changes of the members and digests, and watches some members, until done is closed.
func (g *Gossip) maintainMembers(done <-chan struct{}) {
	// updates is nil while there are none to send.
	var updates <-chan time.Time
	check := time.NewTicker(watchInterval)
	defer check.Stop()
	var repeatAt, digestAt time.Time
	for {
		select {
		case <-g.membership.wanted:
			if updates == nil {
				updates = time.After(updateDelay)
			}
		case <-updates:
			updates = nil
			g.sendUpdates((*announce.List[LostRecord]).Unsent)
		case <-check.C:
			now := g.parts.Clock()
			g.watchMembers()
			if !now.Before(repeatAt) {
				repeatAt = now.Add(repeatInterval)
				g.sendUpdates((*announce.List[LostRecord]).All)
				if g.logChanges() {
					// Reports of losses do not reach all hosts while many fail.
					g.sendDigests(digestsPerPoll)
				}
			}
			if !now.Before(digestAt) {
				digestAt = now.Add(backoff.Spread(digestInterval, digestSpread, g.parts.Random()))
				g.sendDigests(1)
			}
		case <-done:
			return
		}
	}
}

// sendUpdates sends the unsent Records and some of the reports of losses to all hosts.
func (g *Gossip) sendUpdates(take func(*announce.List[LostRecord]) []LostRecord) {
	g.mu.Lock()
	updates := MemberUpdates{Records: g.membership.records.Unsent(), Lost: take(g.membership.lost)}
	leaving := g.leaving
	g.mu.Unlock()
	for !leaving && len(updates.Records)+len(updates.Lost) > 0 {
		records := min(len(updates.Records), maxUpdateRecords)
		lost := min(len(updates.Lost), maxUpdateRecords-records)
		batch := MemberUpdates{Records: updates.Records[:records], Lost: updates.Lost[:lost]}
		updates.Records, updates.Lost = updates.Records[records:], updates.Lost[lost:]
		g.broadcastEnvelope(envelope.KindMembers, &batch, urgentCopies)
	}
}

// queueUpdate queues changes of the members for all hosts. The lock is held.
func (g *Gossip) queueUpdate(records []Record, lost []LostRecord) {
	if !g.members.IsLarge() || len(records)+len(lost) == 0 {
		return
	}
	for _, r := range records {
		g.membership.records.Add(r)
	}
	for _, l := range lost {
		g.membership.lost.Add(l)
	}
	lifetime.Wake(g.membership.wanted)
}

// watchMembers probes the silent ones of the members that this host watches, and reports the lost ones.
func (g *Gossip) watchMembers() {
	g.mu.Lock()
	now := g.parts.Clock()
	// Hosts that start together are too busy to answer each other in time.
	if !g.members.IsLarge() || g.leaving || now.Sub(g.started) < maxSettleTime {
		g.mu.Unlock()
		return
	}
	probe, lost := g.members.CheckWatched(now)
	announcement := g.newAnnouncement(true, 0)
	var addresses []string
	for i := range lost {
		address := g.members.Address(lost[i].Host)
		// The host is told as well: it refutes the report if it runs. Its address is tried until it returns.
		addresses = append(addresses, address)
		g.members.AddContact(now, address)
	}
	g.mu.Unlock()
	g.sendHeartbeat(announcement, probe)
	if len(lost) == 0 {
		return
	}
	g.sendEnvelope(envelope.KindMembers, &MemberUpdates{Lost: lost}, addresses)
	g.applyUpdates(&MemberUpdates{Lost: lost, PassOn: true})
}

// handleChanges applies changes of the directory that a reader of the store sends to all hosts.
func (g *Gossip) handleChanges(from envelope.Sender, body []byte) {
	var changes ChangesResponse
	if err := cbor.Unmarshal(body, &changes); err != nil || !changes.IsKnown {
		g.refuse(counters.RefusedMalformed, "changes of the directory can't be decoded", err)
		return
	}
	// A host that lacks earlier changes fetches them once it learns of the newest revision.
	g.parts.Host.ApplyChanges(from.Host, changes)
}

// handleUpdates handles changes of the members.
func (g *Gossip) handleUpdates(body []byte) {
	var updates MemberUpdates
	if err := cbor.Unmarshal(body, &updates); err != nil || len(updates.Records)+len(updates.Lost) > 2*maxUpdateRecords {
		g.refuse(counters.RefusedMalformed, "an update of members can't be decoded or is too long", err)
		return
	}
	g.applyUpdates(&updates)
}

// applyUpdates applies changes of the members, and sends what is new to all hosts if it is asked to.
func (g *Gossip) applyUpdates(updates *MemberUpdates) {
	var fresh MemberUpdates
	var joined []envelope.Sender
	var lost []string
	refused := 0
	g.mu.Lock()
	now := g.parts.Clock()
	for i := range updates.Lost {
		switch g.members.ApplyLost(now, &updates.Lost[i]) {
		case Lost:
			lost = append(lost, updates.Lost[i].Host)
			fresh.Lost = append(fresh.Lost, updates.Lost[i])
		case Refuted:
			g.queueUpdate([]Record{g.members.OwnRecord()}, nil)
		case Refused:
			refused++
		}
	}
	for i := range updates.Records {
		switch r := &updates.Records[i]; g.members.ApplyRecord(now, r) {
		case Joined:
			joined = append(joined, envelope.Sender{Host: r.Host, Incarnation: r.Incarnation})
			fresh.Records = append(fresh.Records, *r)
		case Updated:
			fresh.Records = append(fresh.Records, *r)
		case Refused:
			refused++
		}
	}
	if len(joined) > 0 {
		g.joinedAt, g.hasMetPeer = now, true
	}
	if len(joined)+len(lost) > 0 {
		g.membership.changedAt = now
	}
	if updates.PassOn {
		g.queueUpdate(fresh.Records, fresh.Lost)
	}
	g.membership.unlogged.add(joined, lost)
	g.mu.Unlock()
	g.notifyUpdates(joined, lost, refused)
}

// notifyUpdates informs the other parts of this host of changes of the members.
func (g *Gossip) notifyUpdates(joined []envelope.Sender, lost []string, refused int) {
	g.stats.lostMembers.Add(int64(len(lost)))
	for _, host := range lost {
		g.parts.Host.HandlePeerLoss(host)
	}
	for _, sender := range joined {
		g.sendFleetSize(sender)
		g.onJoin(sender)
	}
	if refused > 0 {
		g.refuse(counters.RefusedMember, "members can't be hosts or are too many", nil)
	}
}

// introduce sends this host's Record to contacts that may not know it, and asks some of them to send it to all hosts.
func (g *Gossip) introduce(contacts []string) {
	introducers := min(len(contacts), maxIntroducers)
	g.sendRecord(contacts[:introducers], true)
	g.sendRecord(contacts[introducers:], false)
}

// sendRecord sends this host's Record to hosts that may not know it.
func (g *Gossip) sendRecord(targets []string, passOn bool) {
	if len(targets) == 0 {
		return
	}
	g.mu.Lock()
	updates := MemberUpdates{Records: []Record{g.members.OwnRecord()}, PassOn: passOn}
	g.mu.Unlock()
	g.sendEnvelope(envelope.KindMembers, &updates, targets)
}

// reportLoss informs a host that it was reported as lost, so that it refutes that. It reports whether it was.
func (g *Gossip) reportLoss(a *Announcement) bool {
	g.mu.Lock()
	lost, ok := g.members.lossOf(a.Host, a.Start)
	g.mu.Unlock()
	if ok {
		g.sendEnvelope(envelope.KindMembers, &MemberUpdates{Lost: []LostRecord{lost}}, []string{a.Address})
	}
	return ok
}

package gossip

import (
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowslip.dev/oxbowslip/internal/counters"
)

// beat tells all members, and introduces this host to the addresses that were not heard.
func (g *Gossip) beat() {
	state := g.host.State()
	g.mu.Lock()
	if g.leaving {
		g.mu.Unlock()
		return
	}
	beat := g.newBeat(state)
	members := g.addresses()
	introduction := g.newIntroduction(true, 0)
	unheard := append(g.members.Unheard(g.clock()), g.someoneToAsk()...)
	g.mu.Unlock()
	g.send(beat, members)
	g.send(introduction, unheard)
}

// someoneToAsk picks a member to ask for hosts that this one does not know, if that is
// due. The lock is held.
func (g *Gossip) someoneToAsk() []string {
	now := g.clock()
	if now.Before(g.askAt) {
		return nil
	}
	g.askAt = now.Add(time.Duration((0.5 + g.random()) * float64(askInterval)))
	return g.someMembers(1)
}

// newBeat makes the next beat. The lock is held.
func (g *Gossip) newBeat(state State) *Beat {
	g.sequence++
	g.told = State{Settings: state.Settings, Directory: state.Directory, Reading: state.Reading}
	beat := &Beat{
		Life: g.life, Sequence: g.sequence, Settings: state.Settings, Directory: state.Directory,
		Loads: state.Loads, Pauses: state.Pauses, Reads: state.Reads, Leaving: g.leaving,
		Reading: state.Reading, Delta: state.Delta, Patch: state.Patch, Streams: state.Streams,
	}
	if g.members.Count() >= fullBeats {
		beat.Loads, beat.Reads, beat.Streams = nil, nil, nil
	}
	return beat
}

// newIntroduction makes a beat that says who this host is, and nothing of its work. Ask
// wants an introduction in return; known is how many other hosts it names. The lock is
// held.
func (g *Gossip) newIntroduction(ask bool, known int) *Beat {
	g.sequence++
	return &Beat{
		Life: g.life, Sequence: g.sequence, Settings: g.told.Settings, Directory: g.told.Directory, Reading: g.told.Reading,
		Intro: &Intro{
			Host: g.config.Name, Address: g.config.Address, Zone: g.config.Zone, Start: g.start, Ask: ask,
			Hosts: g.members.Count() + 1, Known: g.someMembers(known),
		},
	}
}

// someMembers picks addresses to hand on, at most a number of them. The lock is held.
func (g *Gossip) someMembers(most int) []string {
	if most == 0 {
		return nil
	}
	live := g.addresses()
	first := int(g.random() * float64(len(live)))
	known := slices.Concat(live[first:], live[:first])
	return known[:min(most, len(known))]
}

// addresses lists where the members are. The lock is held.
func (g *Gossip) addresses() []string {
	addresses := make([]string, 0, g.members.Count())
	for _, member := range g.members.Live() {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// answer introduces this host to one that asked.
func (g *Gossip) answer(asked *Intro) {
	g.mu.Lock()
	known := fewKnown
	switch hosts := g.members.Count() + 1; {
	case 2*asked.Hosts < hosts:
		known = manyKnown
	case asked.Hosts < hosts:
		known = someKnown
	}
	introduction := g.newIntroduction(false, known)
	g.mu.Unlock()
	g.send(introduction, []string{asked.Address})
}

func (g *Gossip) send(beat *Beat, targets []string) {
	if len(targets) == 0 {
		return
	}
	data, err := cbor.Marshal(beat)
	if err != nil {
		g.log.WithError(err).Error("a beat can't be encoded")
		return
	}
	kind := counters.PeerBeats
	if beat.Intro != nil {
		kind = counters.PeerIntroductions
	}
	g.sent(kind, len(data)*len(targets))
	for _, target := range targets {
		address, err := net.ResolveUDPAddr("udp", target)
		if err != nil {
			continue // It came from a peer or a settings file; others are right.
		}
		// A lost beat is made good by the next.
		_, _ = g.packets.WriteTo(data, address)
	}
}

package gossip

import (
	"errors"
	"net"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
)

// receive takes beats until the socket is closed.
func (g *Gossip) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.packets.ReadFrom(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var beat Beat
		if cbor.Unmarshal(buffer[:n], &beat) == nil {
			g.heard(&beat, from.String())
		}
	}
}

// heard takes a beat that came from an address.
func (g *Gossip) heard(beat *Beat, from string) {
	g.mu.Lock()
	member, isNew, counts := g.members.Heard(g.clock(), beat)
	if !counts && beat.Intro == nil && !g.members.Knows(beat.Life) {
		g.members.Stranger(g.clock(), from)
	}
	hosts := g.members.Count() + 1
	leaving := g.leaving
	g.mu.Unlock()
	if !counts {
		return
	}
	if beat.Leaving {
		g.host.Lost(member.Name)
		g.log.WithFields(logrus.Fields{"peer": member.Name, "hosts": hosts}).Info("peer leaves")
		return
	}
	if beat.Intro == nil {
		g.host.Hear(member.Name, beat)
	} else if beat.Intro.Ask && !leaving {
		g.answer(beat.Intro)
	}
	if isNew {
		g.log.WithFields(logrus.Fields{"peer": member.Name, "address": member.Address, "hosts": hosts}).Info("peer heard")
		g.Changed()
	}
	g.catchUp(member)
}

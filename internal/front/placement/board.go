// Package placement chooses endpoints on the host that owns a request, at once
// and without asking another host. It works from a board of what this host has
// sent where, what its peers have told of theirs, and which endpoints failed
// lately. Board and choice do no input or output and take the time as a
// parameter; Scheduler is the shell round them.
package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
)

// Load is the work that one host has under way at an endpoint.
type Load struct {
	// Requests counts the open requests.
	Requests int
	// Tokens counts the prompt tokens that the endpoint has still to read.
	Tokens int
}

func (l *Load) add(other Load) {
	l.Requests += other.Requests
	l.Tokens += other.Tokens
}

// ejectionBackoff is how long an endpoint is ejected; each ejection without a success in
// between lasts twice as long as the one before.
var ejectionBackoff = backoff.Doubling{First: time.Second, Longest: 8 * time.Second}

// doubtTime is how close together two broken calls must be, without a whole answer
// between them, for the endpoint to be paused. One broken call alone says little: a
// sound endpoint loses an answer now and then, and to move its prefixes is dear.
const doubtTime = 2 * time.Second

// pause keeps new work from an endpoint that failed.
type pause struct {
	until time.Time
	// failures counts the pauses so far.
	failures int
	// broken is when the last call broke.
	broken time.Time
}

// peerWord is what one peer has told of its work.
type peerWord struct {
	at      time.Time
	loads   map[gossip.EndpointKey]Load
	streams map[gossip.ServiceKey]streamCount
}

// peerLoadAge is how long a peer's word on its loads counts.
const peerLoadAge = 3 * time.Second

// Board is one host's view of the work at all endpoints.
type Board struct {
	own   map[string]*Load
	peers map[string]peerWord
	// peerTotals are the sums over all peers.
	peerTotals map[gossip.EndpointKey]Load
	// peerPauses are the pauses that peers have told of.
	peerPauses map[gossip.EndpointKey]time.Time
	pauses     map[string]*pause
	// holders are the endpoints that each prefix was sent to, by this host or a peer,
	// with the last time.
	holders map[gossip.PrefixKey]map[gossip.EndpointKey]time.Time
	// records tell how the streams of short prompts fare, by service.
	records map[string]*streamRecord
	// lanes are remembered by service.
	lanes map[string]laneMemory
}

// holderAge is how long an endpoint counts as holding a prefix after its last use.
const holderAge = time.Minute

// NewBoard makes an empty board.
func NewBoard() *Board {
	return &Board{
		own: make(map[string]*Load), peers: make(map[string]peerWord), peerTotals: make(map[gossip.EndpointKey]Load),
		peerPauses: make(map[gossip.EndpointKey]time.Time), pauses: make(map[string]*pause),
		holders: make(map[gossip.PrefixKey]map[gossip.EndpointKey]time.Time), records: make(map[string]*streamRecord),
		lanes: make(map[string]laneMemory),
	}
}

// Begin books a request that goes to an endpoint.
func (b *Board) Begin(endpoint string, tokens int) {
	load, ok := b.own[endpoint]
	if !ok {
		load = new(Load)
		b.own[endpoint] = load
	}
	load.add(Load{Requests: 1, Tokens: tokens})
}

// Hold notes that an endpoint reads a prefix, and so holds it from now on. It
// reports whether that is news.
func (b *Board) Hold(now time.Time, read gossip.PrefixRead) bool {
	held, ok := b.holders[read.Prefix]
	if !ok {
		held = make(map[gossip.EndpointKey]time.Time)
		b.holders[read.Prefix] = held
	}
	_, known := held[read.Endpoint]
	held[read.Endpoint] = now
	return !known
}

// Expire forgets what is too old to count.
func (b *Board) Expire(now time.Time) {
	for name, peer := range b.peers {
		if now.Sub(peer.at) > peerLoadAge {
			b.DropPeer(name)
		}
	}
	for endpoint, until := range b.peerPauses {
		if !now.Before(until) {
			delete(b.peerPauses, endpoint)
		}
	}
	for prefix, held := range b.holders {
		for endpoint, at := range held {
			if now.Sub(at) > holderAge {
				delete(held, endpoint)
			}
		}
		if len(held) == 0 {
			delete(b.holders, prefix)
		}
	}
}

// Read books that an endpoint has read a request's prompt.
func (b *Board) Read(endpoint string, tokens int) {
	if load, ok := b.own[endpoint]; ok {
		load.Tokens -= tokens
	}
}

// End books the end of a request; tokens is what was not read.
func (b *Board) End(endpoint string, tokens int) {
	load, ok := b.own[endpoint]
	if !ok {
		return
	}
	load.add(Load{Requests: -1, Tokens: -tokens})
	if *load == (Load{}) {
		delete(b.own, endpoint)
	}
}

// Own gives a copy of this host's loads.
func (b *Board) Own() map[string]Load {
	loads := make(map[string]Load, len(b.own))
	for endpoint, load := range b.own {
		loads[endpoint] = *load
	}
	return loads
}

// SetPeer takes a peer's loads, and how its streams fare.
func (b *Board) SetPeer(now time.Time, peer string, loads map[gossip.EndpointKey]Load, streams map[gossip.ServiceKey]streamCount) {
	b.DropPeer(peer)
	b.peers[peer] = peerWord{at: now, loads: loads, streams: streams}
	for key, load := range loads {
		total := b.peerTotals[key]
		total.add(load)
		b.peerTotals[key] = total
	}
}

// DropPeer forgets a peer that left.
func (b *Board) DropPeer(peer string) {
	for key, load := range b.peers[peer].loads {
		total := b.peerTotals[key]
		total.add(Load{Requests: -load.Requests, Tokens: -load.Tokens})
		b.peerTotals[key] = total
		if total == (Load{}) {
			delete(b.peerTotals, key)
		}
	}
	delete(b.peers, peer)
}

// Total is the load of an endpoint from this host and from all peers.
func (b *Board) Total(endpoint string) Load {
	total := b.peerTotals[gossip.KeyOf(endpoint)]
	if own, ok := b.own[endpoint]; ok {
		total.add(*own)
	}
	return total
}

// Failed pauses an endpoint that broke a connection, could not be reached or
// stayed silent. It gives the end of the pause, and whether the pause is new.
//
// An endpoint that could not be reached is paused at once, one that broke a call when
// it breaks another soon after.
func (b *Board) Failed(now time.Time, endpoint string, reached bool) (until time.Time, isNew bool) {
	p, ok := b.pauses[endpoint]
	if !ok {
		p = new(pause)
		b.pauses[endpoint] = p
	}
	alone := now.Sub(p.broken) > doubtTime
	if reached {
		p.broken = now
	}
	if reached && alone {
		return p.until, false
	}
	if now.Before(p.until) {
		// Failures of requests that were under way together are one.
		return p.until, false
	}
	p.until = now.Add(ejectionBackoff.Span(p.failures))
	p.failures++
	return p.until, true
}

// Answered ends the doubt about an endpoint, and reports whether there was one.
func (b *Board) Answered(endpoint string) bool {
	_, doubted := b.pauses[endpoint]
	delete(b.pauses, endpoint)
	return doubted
}

// samePause is how far apart two words on one pause may be: each tells the time left,
// and travels for a while.
const samePause = 100 * time.Millisecond

// Pause takes a peer's word that an endpoint failed, and reports whether it is news.
func (b *Board) Pause(endpoint gossip.EndpointKey, until time.Time) bool {
	if !until.After(b.peerPauses[endpoint].Add(samePause)) {
		return false
	}
	b.peerPauses[endpoint] = until
	return true
}

// Paused gives the endpoints that this host has paused, with the end of each pause.
func (b *Board) Paused(now time.Time) map[string]time.Time {
	paused := make(map[string]time.Time)
	for endpoint, p := range b.pauses {
		if now.Before(p.until) {
			paused[endpoint] = p.until
		}
	}
	return paused
}

func (b *Board) paused(now time.Time, endpoint string) bool {
	p, ok := b.pauses[endpoint]
	return (ok && now.Before(p.until)) || now.Before(b.peerPauses[gossip.KeyOf(endpoint)])
}

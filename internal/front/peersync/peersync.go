// Package peersync exchanges state between the hosts of oxbowslip-front: loads and ejections of endpoints, prefix
// holders, engine reports, and changes of the settings and of the directory. It decides what each heartbeat carries,
// and applies the peers' messages.
//
// It owns the configuration in force as the operator wrote it and the newest change of the directory, both
// compressed for peers. It relies on package gossip for transport, and on packages placement, settings and directory
// for the state that it reads and changes. Sync implements gossip.Host; Settings and Endpoints also receive the
// updates from the store (package follow).
package peersync

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// heartbeatsPerChange is the number of heartbeats that carry a change, because datagrams may be lost. If one in 40 is
// lost, a host misses one change in 64,000 and fetches it from a peer.
const heartbeatsPerChange = 3

// fromStore is the source of a change from the store in logs.
const fromStore = "store"

// Sync connects gossip with this host's state. It implements gossip.Host.
type Sync struct {
	parts Parts

	mu sync.Mutex
	// reportedLoads are the loads in the last heartbeat, to decide whether a change needs an extra one. direct is
	// set if heartbeats carry loads.
	reportedLoads map[string]placement.Load
	direct        bool

	sums *sums
}

// Parts are the dependencies of a Sync.
type Parts struct {
	// Host is this host's name, Zone its availability zone.
	Host string
	Zone string

	Placer    *placement.Placer
	Holder    *settings.Holder
	Directory *directory.Directory
	Settings  *Settings
	Endpoints *Endpoints
	Freshness *freshness.State
	// ReadsStore reports whether this host reads the store and gets answers.
	ReadsStore func() bool
	Log        *logrus.Entry
	Clock      func() time.Time
}

// New returns a Sync that has sent nothing.
func New(parts Parts) *Sync { return &Sync{parts: parts, sums: newSums()} }

// State returns the contents of the next heartbeat, including loads and holders if it is direct.
func (s *Sync) State(direct bool) gossip.State {
	p := &s.parts
	loads, ejected := p.Placer.Snapshot()
	s.mu.Lock()
	s.reportedLoads, s.direct = loads, direct
	s.mu.Unlock()
	state := gossip.State{
		Settings: p.Holder.Number(), Directory: p.Directory.Changed(), ReadsStore: p.ReadsStore(),
		Patch: p.Settings.documents.nextPatch(),
	}
	if direct {
		state.Delta = p.Endpoints.nextDelta()
	} else {
		state.Changes = p.Endpoints.nextBulk()
	}
	now := p.Clock()
	for endpoint, until := range ejected {
		state.Ejections = append(state.Ejections, gossip.Ejection{Endpoint: keys.OfEndpoint(endpoint), Left: until.Sub(now)})
	}
	if !direct {
		return state
	}
	for endpoint, load := range loads {
		state.Loads = append(state.Loads, gossip.EndpointLoad{
			Endpoint: keys.OfEndpoint(endpoint), Requests: load.Requests, Tokens: load.Tokens / gossip.TokenUnit,
		})
	}
	for _, h := range p.Placer.HoldersToReport() {
		state.Holders = append(state.Holders, gossip.Holder{Prefix: h.Prefix, Endpoint: h.Endpoint})
	}
	return state
}

// Revisions returns the revisions up to which this host has all changes.
func (s *Sync) Revisions() gossip.SyncRequest {
	return gossip.SyncRequest{Settings: s.parts.Holder.Number(), Directory: s.parts.Directory.Revision()}
}

// HandleHeartbeat handles a peer's heartbeat.
func (s *Sync) HandleHeartbeat(peer string, h *gossip.Heartbeat) {
	s.parts.Placer.SetPeer(peer, reportOf(h, s.parts.Clock()))
	if h.Patch != nil {
		s.parts.Settings.applyPatch(peer, h.Patch)
	}
	if h.Delta != nil {
		s.parts.Endpoints.applyDelta(peer, h.Delta)
	}
}

// reportOf converts a heartbeat into a report for placement.
func reportOf(h *gossip.Heartbeat, now time.Time) placement.PeerReport {
	report := placement.PeerReport{
		Loads: make(map[keys.Endpoint]placement.Load, len(h.Loads)), Ejected: make(map[keys.Endpoint]time.Time, len(h.Ejections)),
	}
	for _, load := range h.Loads {
		report.Loads[load.Endpoint] = placement.Load{Requests: load.Requests, Tokens: load.Tokens * gossip.TokenUnit}
	}
	for _, ejection := range h.Ejections {
		report.Ejected[ejection.Endpoint] = now.Add(ejection.Left)
	}
	for _, holder := range h.Holders {
		report.Holders = append(report.Holders, placement.Holder{Prefix: holder.Prefix, Endpoint: holder.Endpoint})
	}
	return report
}

// HandlePeerLoss discards the reports of a lost peer.
func (s *Sync) HandlePeerLoss(peer string) {
	s.parts.Placer.DropPeer(peer)
	s.sums.mu.Lock()
	defer s.sums.mu.Unlock()
	s.sums.aggregator.DropHost(peer)
	delete(s.sums.proposals, peer)
}

// Respond returns the settings and the directory if they are newer than a peer's revisions.
func (s *Sync) Respond(request gossip.SyncRequest) gossip.SyncResponse {
	var response gossip.SyncResponse
	var err error
	response.Settings, response.Base, err = s.parts.Settings.documents.compressFor(request.Settings)
	if err != nil {
		s.parts.Log.WithError(err).Error("the settings can't be compressed for a peer, the response lacks them")
	}
	if s.parts.Endpoints.hasNewerThan(request.Directory) {
		if response.Snapshot, err = s.parts.Endpoints.snapshot(); err != nil {
			s.parts.Log.WithError(err).Error("the endpoints can't be compressed for a peer, the response lacks them")
		}
	}
	return response
}

// Changes returns the changes of the directory after a peer's revision.
func (s *Sync) Changes(request gossip.ChangesRequest) gossip.ChangesResponse {
	response, err := s.parts.Endpoints.changes(request.Directory)
	if err != nil {
		s.parts.Log.WithError(err).Error("changes of endpoints can't be compressed for a peer, it has to fetch a snapshot")
	}
	return response
}

// ApplyChanges puts a peer's changes of the directory in force. It returns false if this host lacks earlier changes or
// an entry of which only the state changes, or if the changes cannot be decompressed.
func (s *Sync) ApplyChanges(peer string, response gossip.ChangesResponse) bool {
	return s.parts.Endpoints.applyChanges(peer, &response)
}

// Apply puts a peer's response in force.
func (s *Sync) Apply(peer gossip.Member, response gossip.SyncResponse) {
	if len(response.Settings) > 0 {
		s.parts.Settings.applyCompressed(peer.Name, response.Base, response.Settings, peer.Settings)
	}
	if response.Snapshot != nil {
		s.parts.Endpoints.applySnapshot(peer.Name, response.Snapshot)
	}
}

// An extra heartbeat is sent if the load of an endpoint has changed by at least one of these. A heartbeat for every
// change gives no better placement.
const (
	minTokensChange   = 2000
	minRequestsChange = 2
)

// WorthReporting reports whether this host's loads have changed enough since the last heartbeat for an extra one, if
// heartbeats carry loads.
func (s *Sync) WorthReporting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.direct {
		return false
	}
	loads, _ := s.parts.Placer.Snapshot()
	for endpoint, load := range loads {
		if differsNoticeably(load, s.reportedLoads[endpoint]) {
			return true
		}
	}
	for endpoint, load := range s.reportedLoads {
		if differsNoticeably(load, loads[endpoint]) {
			return true
		}
	}
	return false
}

func differsNoticeably(a, b placement.Load) bool {
	return abs(a.Tokens-b.Tokens) >= minTokensChange || abs(a.Requests-b.Requests) >= minRequestsChange
}

func abs(n int) int { return max(n, -n) }

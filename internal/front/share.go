package front

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// sharing joins gossip with what this host knows. It implements gossip.Host.
type sharing struct {
	scheduler *placement.Scheduler
	settings  *settings.Holder
	directory *directory.Directory
	sink      *settingsSink
	endpoints *endpointsSink
	gate      *readGate
	log       *logrus.Entry
	clock     func() time.Time

	mu sync.Mutex
	// told is what the last beat told, to see whether a change is worth one.
	told map[string]placement.Load
}

// State gives what the next beat tells.
func (s *sharing) State() gossip.State {
	loads, paused := s.scheduler.Own()
	s.mu.Lock()
	s.told = loads
	s.mu.Unlock()
	state := gossip.State{
		Settings: s.settings.Number(), Directory: s.directory.Changed(), Reads: s.scheduler.Reads(),
		Reading: s.gate.reading(), Delta: s.endpoints.nextDelta(), Patch: s.sink.documents.nextPatch(), Streams: s.scheduler.Streams(),
	}
	for endpoint, load := range loads {
		state.Loads = append(state.Loads, gossip.EndpointLoad{
			Endpoint: gossip.KeyOf(endpoint), Requests: load.Requests, Tokens: load.Tokens / gossip.TokenUnit,
		})
	}
	now := s.clock()
	for endpoint, until := range paused {
		state.Pauses = append(state.Pauses, gossip.EndpointPause{Endpoint: gossip.KeyOf(endpoint), Left: until.Sub(now)})
	}
	return state
}

// Revisions gives the revisions up to which this host knows all.
func (s *sharing) Revisions() gossip.Want {
	return gossip.Want{Settings: s.settings.Number(), Directory: s.directory.Revision()}
}

// Hear takes what a peer tells of its work.
func (s *sharing) Hear(peer string, beat *gossip.Beat) {
	translated := make(map[gossip.EndpointKey]placement.Load, len(beat.Loads))
	for _, load := range beat.Loads {
		translated[load.Endpoint] = placement.Load{Requests: load.Requests, Tokens: load.Tokens * gossip.TokenUnit}
	}
	paused := make(map[gossip.EndpointKey]time.Time, len(beat.Pauses))
	now := s.clock()
	for _, pause := range beat.Pauses {
		paused[pause.Endpoint] = now.Add(pause.Left)
	}
	s.scheduler.SetPeer(peer, translated, paused, beat.Streams)
	s.scheduler.HearReads(beat.Reads)
	if beat.Patch != nil {
		s.sink.hear(peer, beat.Patch)
	}
	if beat.Delta != nil {
		s.endpoints.hear(peer, beat.Delta)
	}
}

// Lost forgets a peer.
func (s *sharing) Lost(peer string) { s.scheduler.DropPeer(peer) }

// Newer gives what is newer than a peer's revisions.
func (s *sharing) Newer(want gossip.Want) gossip.News {
	var news gossip.News
	var err error
	news.Settings, news.Base, err = s.sink.documents.packed(want.Settings)
	if err != nil {
		s.log.WithError(err).Error("the settings can't be packed for a peer")
	}
	if s.directory.Revision() > want.Directory {
		if news.Snapshot, err = s.endpoints.packed(); err != nil {
			s.log.WithError(err).Error("the endpoints can't be packed for a peer")
		}
	}
	return news
}

// Take puts a peer's news in force.
func (s *sharing) Take(peer string, news gossip.News) {
	if len(news.Settings) > 0 {
		s.sink.take(peer, news.Base, news.Settings)
	}
	if news.Snapshot != nil {
		s.endpoints.take(peer, news.Snapshot)
	}
}

// Changes of a load that are worth a beat.
const (
	tellTokens   = 2000
	tellRequests = 2
)

// worthTelling reports whether the loads differ much from what was told last.
func (s *sharing) worthTelling() bool {
	loads, _ := s.scheduler.Own()
	s.mu.Lock()
	defer s.mu.Unlock()
	for endpoint, load := range loads {
		if differs(load, s.told[endpoint]) {
			return true
		}
	}
	for endpoint, load := range s.told {
		if differs(load, loads[endpoint]) {
			return true
		}
	}
	return false
}

func differs(a, b placement.Load) bool {
	return abs(a.Tokens-b.Tokens) >= tellTokens || abs(a.Requests-b.Requests) >= tellRequests
}

func abs(n int) int { return max(n, -n) }

package placement

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/owner"
)

const (
	// grantTime is how long a grant may be used.
	grantTime = 100 * time.Millisecond
	// noEndpointRetry is when a request comes back that found no endpoint.
	noEndpointRetry = 500 * time.Millisecond
	// noRoomRetry is when a request comes back that found no room.
	noRoomRetry = 2 * time.Second
)

// Scheduler grants endpoints to the requests of this host. It implements
// owner.Scheduler; a shard is a service.
type Scheduler struct {
	directory *directory.Directory
	log       *logrus.Entry
	clock     func() time.Time
	// changed is told when this host's loads or pauses changed.
	changed func()

	mu    sync.Mutex
	board *Board
	ranks Ranks
	reads []untold
}

// New makes a scheduler that has sent nothing. Changed is called, outside of any
// lock, when this host's loads or pauses changed; it must not block.
func New(d *directory.Directory, log *logrus.Entry, clock func() time.Time, changed func()) *Scheduler {
	return &Scheduler{directory: d, log: log, clock: clock, changed: changed, board: NewBoard()}
}

// SetRanks takes the ends of the order of requests.
func (s *Scheduler) SetRanks(ranks Ranks) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranks = ranks
}

// Ask grants an endpoint as soon as one has room, or refuses: at once if the service
// has no endpoint, and after a short wait if none has room.
func (s *Scheduler) Ask(ctx context.Context, service string, request admission.Request) (owner.Ticket, admission.Decision, error) {
	asked := s.clock()
	until := asked.Add(waitFor(&request))
	for {
		choice, reason := s.choose(service, &request)
		now := s.clock()
		if reason == "" {
			s.changed()
			return s.grant(&request, &choice, now.Sub(asked), now)
		}
		if reason == admission.ReasonNoEndpoint || !now.Before(until) {
			return nil, refusal(&request, reason, now.Sub(asked)), nil
		}
		if !lifetime.Sleep(ctx, roomCheck) {
			return nil, admission.Decision{}, ctx.Err()
		}
	}
}

// choose picks an endpoint and books the request there, or gives the reason why
// there is none.
func (s *Scheduler) choose(service string, request *admission.Request) (Choice, admission.Reason) {
	now := s.clock()
	endpoints := s.directory.Serving(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(endpoints) == 0 {
		return Choice{}, admission.ReasonNoEndpoint
	}
	candidates := s.board.candidates(now, request, endpoints)
	if !s.ranks.isLeast(request) {
		candidates = s.board.withRoom(&s.ranks, request, candidates)
	}
	choice, ok := s.board.Choose(now, service, request, endpoints, candidates, s.directory.Leaving(service))
	if !ok || !s.ranks.hasRoom(request, choice.Places, choice.Load.Requests) {
		return Choice{}, admission.ReasonNoRoom
	}
	s.board.Begin(choice.Endpoint, choice.Tokens)
	if choice.Prefix != 0 {
		s.read(now, gossip.PrefixRead{Prefix: choice.Prefix, Endpoint: gossip.KeyOf(choice.Endpoint)})
	}
	return choice, ""
}

// read notes a prefix that an endpoint is sent, to be told to the peers if it is
// news. The lock is held.
func (s *Scheduler) read(now time.Time, read gossip.PrefixRead) {
	if s.board.Hold(now, read) {
		s.reads = append(s.reads, untold{read: read, beats: beatsPerRead})
	}
}

// beatsPerRead is in how many beats a read is told.
const beatsPerRead = 3

// untold is a read that is to be told in some more beats.
type untold struct {
	read  gossip.PrefixRead
	beats int
}

// Reads gives the reads for the next beat.
func (s *Scheduler) Reads() []gossip.PrefixRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reads []gossip.PrefixRead
	left := s.reads[:0]
	for _, u := range s.reads {
		reads = append(reads, u.read)
		if u.beats--; u.beats > 0 {
			left = append(left, u)
		}
	}
	s.reads = left
	return reads
}

// HearReads takes the reads that a peer tells of.
func (s *Scheduler) HearReads(reads []gossip.PrefixRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, read := range reads {
		s.board.Hold(now, read)
	}
}

// Sweep forgets what is too old to count.
func (s *Scheduler) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.Expire(s.clock())
}

func (s *Scheduler) grant(request *admission.Request, choice *Choice, waited time.Duration, now time.Time) (owner.Ticket, admission.Decision, error) {
	var fetchFrom string
	if source, known := s.directory.Lookup(choice.FetchFrom); known {
		fetchFrom = source.Address
	}
	decision := admission.Decision{
		Kind: admission.Grant, ID: request.ID, Owner: request.Owner, Endpoint: choice.Endpoint, FetchFrom: fetchFrom,
		Reason: admission.ReasonPlaced, Until: now.Add(grantTime), UnprocessedTokens: choice.Load.Tokens + choice.Tokens,
		Figures: admission.Figures{
			Waited: waited, InFlight: choice.Load.Requests, Ahead: choice.Load.Tokens, CachedTokens: choice.Cached,
		},
	}
	return &ticket{scheduler: s, endpoint: choice.Endpoint, tokens: choice.Tokens}, decision, nil
}

func refusal(request *admission.Request, reason admission.Reason, waited time.Duration) admission.Decision {
	retryAfter := noEndpointRetry
	if reason == admission.ReasonNoRoom {
		retryAfter = noRoomRetry
	}
	return admission.Decision{
		Kind: admission.Refuse, ID: request.ID, Reason: reason, RetryAfter: retryAfter, Figures: admission.Figures{Waited: waited},
	}
}

// Own gives a copy of this host's loads, and the endpoints that it has paused.
func (s *Scheduler) Own() (loads map[string]Load, paused map[string]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Own(), s.board.Paused(s.clock())
}

// Streams tells how this host's streams of short prompts have fared lately.
func (s *Scheduler) Streams() []gossip.StreamCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counts []gossip.StreamCount
	for service, recent := range s.board.Streams(s.clock()) {
		counts = append(counts, gossip.StreamCount{
			Service: service, Late: int(math.Round(recent.late * gossip.StreamUnit)), All: int(math.Round(recent.all * gossip.StreamUnit)),
		})
	}
	return counts
}

// SetPeer takes a peer's loads and pauses, and how its streams fare.
func (s *Scheduler) SetPeer(peer string, loads map[gossip.EndpointKey]Load, paused map[gossip.EndpointKey]time.Time, streams []gossip.StreamCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.board.SetPeer(now, peer, loads, streamCounts(streams))
	for _, service := range s.board.OpenLanes(now) {
		s.log.WithField("service", service).Info("short prompts get endpoints of their own, too many streams of all hosts pause too long")
	}
	for endpoint, until := range paused {
		if s.board.Pause(endpoint, until) {
			s.log.WithFields(logrus.Fields{"endpoint_key": endpoint, "from": peer, "until": until}).Info("endpoint paused, as a peer says")
		}
	}
}

func streamCounts(told []gossip.StreamCount) map[gossip.ServiceKey]streamCount {
	counts := make(map[gossip.ServiceKey]streamCount, len(told))
	for _, count := range told {
		counts[count.Service] = streamCount{late: float64(count.Late) / gossip.StreamUnit, all: float64(count.All) / gossip.StreamUnit}
	}
	return counts
}

// DropPeer forgets a peer that left.
func (s *Scheduler) DropPeer(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.DropPeer(peer)
}

// Failed books a failure of an endpoint, which may pause it. Reached says that the
// endpoint was reached and broke the call.
func (s *Scheduler) Failed(endpoint string, reached bool, cause error) {
	s.mu.Lock()
	until, isNew := s.board.Failed(s.clock(), endpoint, reached)
	s.mu.Unlock()
	if !isNew {
		return
	}
	s.changed()
	s.log.WithError(cause).WithFields(logrus.Fields{"endpoint": endpoint, "until": until}).Warn("endpoint paused")
}

// Streamed books how long a stream paused, against its target.
func (s *Scheduler) Streamed(service string, request *admission.Request, longest, target time.Duration) {
	if _, shared := sharedPrefix(request); shared >= longPrefix || target == 0 {
		return
	}
	s.mu.Lock()
	opened := s.board.Streamed(s.clock(), service, longest, target)
	s.mu.Unlock()
	if opened {
		s.log.WithFields(logrus.Fields{
			"service": service, "pause_ms": longest.Milliseconds(), "target_ms": target.Milliseconds(),
		}).Info("short prompts get endpoints of their own, their streams pause too long")
	}
}

// Answered ends the doubt about an endpoint.
func (s *Scheduler) Answered(endpoint string) {
	s.mu.Lock()
	doubted := s.board.Answered(endpoint)
	s.mu.Unlock()
	if doubted {
		s.log.WithField("endpoint", endpoint).Info("endpoint answers again")
	}
}

// ticket is one granted request. It implements owner.Ticket.
type ticket struct {
	scheduler *Scheduler
	endpoint  string
	// tokens is what the endpoint has still to read.
	tokens int
}

// Preempted gives nil: this scheduler takes no endpoint back.
func (t *ticket) Preempted() <-chan struct{} { return nil }

// Started does nothing: the grant was booked when it was given.
func (t *ticket) Started() {}

// FirstToken books that the prompt was read.
func (t *ticket) FirstToken() {
	s := t.scheduler
	s.mu.Lock()
	s.board.Read(t.endpoint, t.tokens)
	t.tokens = 0
	s.mu.Unlock()
	s.changed()
}

// Progress does nothing: only prompts and open requests count as work.
func (t *ticket) Progress(int) {}

// Finished gives the place back.
func (t *ticket) Finished(admission.Result, int) {
	s := t.scheduler
	s.mu.Lock()
	s.board.End(t.endpoint, t.tokens)
	t.tokens = 0
	s.mu.Unlock()
	s.changed()
}

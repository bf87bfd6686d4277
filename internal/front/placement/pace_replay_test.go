package placement

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pace"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// The replay has engines of two speeds in virtual time. In the first ten seconds, long prompts arrive beside the usual
// ones, about as many as the engines can read. There are no targets for pauses, so that all endpoints get all prompts.
const (
	replayHosts   = 70
	replayEngines = 90
	burstTime     = 10 * time.Second
	// usualRate and burstRate are in streams per second.
	usualRate = 220
	burstRate = 70
	// slowEngine is the slowness of the slow engines.
	slowEngine = 1 / 0.46
	// slowdownTime is how long an engine is 2.5 times slower now and then.
	slowdownTime = 600 * time.Millisecond
	// tokensPerEvent and stepTokens are those that an engine generates for an event, and reads in a step.
	tokensPerEvent = 7
	stepTokens     = 2048
)

// replayClass is a class of streams.
type replayClass struct {
	prompt, events int
	limit, first   time.Duration
}

// replayClasses are the classes by their urgency.
var replayClasses = []replayClass{
	{1_460, 25, 8 * time.Second, 500 * time.Millisecond},
	{9_200, 7, 5 * time.Second, 800 * time.Millisecond},
	{17_000, 17, 8 * time.Second, 2 * time.Second},
}

// replayStream is an open stream.
type replayStream struct {
	replayClass
	placer   *Placer
	ticket   owner.Ticket
	urgency  int
	unread   int
	tokens   int
	reported int
	arrived  time.Time
	// firstAt, lastAt and reportedAt are the times of the first and the last event and of the last report of progress.
	firstAt, lastAt, reportedAt time.Time
}

// addToken counts a token and reports events as package owner does. It returns false at the end of the stream.
func (s *replayStream) addToken(now time.Time) bool {
	s.tokens++
	events := s.tokens / tokensPerEvent
	if s.tokens%tokensPerEvent > 0 {
		return true
	}
	s.lastAt = now
	switch {
	case events == 1:
		s.firstAt, s.reportedAt, s.reported = now, now, 1
		s.ticket.FirstToken()
	case now.Sub(s.reportedAt) >= 250*time.Millisecond || events-s.reported >= 16:
		s.reportedAt, s.reported = now, events
		s.ticket.Progress(events)
	}
	if events < s.events {
		return true
	}
	s.ticket.Finished(admission.Answered, events)
	s.placer.RecordStream("llm", engine.Stream{Events: events, Duration: s.lastAt.Sub(s.firstAt)})
	return false
}

// replayEngine reads prompts in the order of urgency, and generates a token of each stream in each step.
type replayEngine struct {
	id       string
	slowness float64

	mu        sync.Mutex
	streams   []*replayStream
	slowUntil time.Time
	// work is the time in ms that the prompts given to the engine take to read at slowness 1.
	work float64
}

// step begins a step and returns the time that it takes.
func (e *replayEngine) step(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.streams) == 0 {
		return 10 * time.Millisecond
	}
	left := stepTokens
	for _, s := range e.streams {
		read := min(left, s.unread)
		s.unread -= read
		left -= read
	}
	ms := (2.6 + 0.12*float64(len(e.streams)) + float64(stepTokens-left)/48) * e.slowness
	if now.Before(e.slowUntil) {
		ms *= 2.5
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// endStep ends a step, and returns the streams that have ended.
func (e *replayEngine) endStep(now time.Time) (ended []*replayStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams = slices.DeleteFunc(e.streams, func(s *replayStream) bool {
		isOver := now.Sub(s.arrived) > s.limit
		if isOver {
			s.ticket.Finished(admission.Cancelled, s.tokens/tokensPerEvent)
		}
		if isOver || (s.unread == 0 && !s.addToken(now)) {
			ended = append(ended, s)
			return true
		}
		return false
	})
	return ended
}

// replay is a fleet of hosts in front of engines.
type replay struct {
	engines map[string]*replayEngine
	hosts   []*Placer
	paces   []*pace.Exchanger
	done    chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	replayResult
}

// replayResult is what callers get in a replay.
type replayResult struct {
	// cut counts the streams that were refused or ran into their time limit, and late is by how much all first events
	// together missed their targets.
	cut  int
	late time.Duration
	// busiest is the ratio of the work of the busiest endpoints to the mean, by the time that it takes there.
	busiest float64
}

// float returns a number in [0, 1). It is safe for concurrent use.
func (r *replay) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

// replayPeers are the other hosts of one.
type replayPeers struct {
	*replay
	self int
}

func (p replayPeers) Neighbors() []envelope.Sender {
	var senders []envelope.Sender
	for i := 1; i < replayHosts; i++ {
		senders = append(senders, envelope.Sender{Host: strconv.Itoa((p.self + i) % replayHosts)})
	}
	return senders
}

func (p replayPeers) SendTo(host string, _ envelope.Kind, message any) {
	body, _ := cbor.Marshal(message)
	i, _ := strconv.Atoi(host)
	p.paces[i].HandleMessage(envelope.Sender{}, body)
}

func newReplay(slowEngines int, learnsPace bool) *replay {
	r := &replay{engines: make(map[string]*replayEngine), done: make(chan struct{}), random: rand.New(rand.NewPCG(1, 2))}
	var changes []directory.Change
	for i := range replayEngines {
		e := &replayEngine{id: strconv.Itoa(i), slowness: 1}
		if i < slowEngines {
			e.slowness = slowEngine
		}
		r.engines[e.id] = e
		changes = append(changes, directory.Change{Entry: *entries(e.id)[0]})
	}
	d, logger := directory.New(), logrus.New()
	d.Apply(1, changes)
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	tree := &settings.Tree{Root: settings.Root{Classes: make(map[string]settings.Class)}}
	for urgency := range replayClasses {
		name := strconv.Itoa(urgency)
		tree.Root.Classes[name] = settings.Class{Values: settings.Values{FirstToken: &replayClasses[urgency].first, Urgency: &urgency}}
		tree.Routes = append(tree.Routes, settings.HostRoute{Class: name})
	}
	for i := range replayHosts {
		parts := Parts{
			Directory: d, Rests: pushback.NewRests(time.Now, r.float), Rejections: pushback.NewRejections(time.Now), Failures: pushback.NewFailures(time.Now),
			Limiter: unlimitedLimiter(time.Now), Brittle: pushback.NewBrittle(time.Now), Log: log, Clock: time.Now, Random: r.float, Changed: func() {},
		}
		if learnsPace {
			x := pace.New(pace.Parts{Peers: replayPeers{r, i}, Directory: d, Log: log, Clock: time.Now, Random: r.float})
			r.paces = append(r.paces, x)
			parts.Pace = x
		}
		h := New(parts)
		h.SetSettings(tree)
		r.hosts = append(r.hosts, h)
	}
	return r
}

// every calls do again and again, after intervals from the function, until the replay ends.
func (r *replay) every(interval func() time.Duration, do func()) {
	for {
		select {
		case <-time.After(interval()):
			do()
		case <-r.done:
			return
		}
	}
}

// run replays a time, and calls observe once a second.
func (r *replay) run(seconds int, observe func(second int)) {
	var running sync.WaitGroup
	for _, e := range r.engines {
		running.Go(func() {
			r.every(func() time.Duration { return e.step(time.Now()) }, func() { r.count(e.endStep(time.Now())) })
		})
	}
	for i, h := range r.hosts {
		running.Go(func() {
			r.every(func() time.Duration {
				return time.Duration((0.5 + r.float()) * replayHosts * 8 * float64(time.Millisecond))
			}, func() { r.reportLoads(i, h) })
		})
	}
	for _, x := range r.paces {
		running.Go(func() { x.Run(r.done) })
	}
	running.Go(func() { r.arrivals(&running) })
	for second := range seconds {
		time.Sleep(time.Second)
		observe(second + 1)
	}
	close(r.done)
	running.Wait()
}

// arrivals has requests arrive, the same ones in each replay, and slows engines down for a moment.
func (r *replay) arrivals(running *sync.WaitGroup) {
	random, began := rand.New(rand.NewPCG(3, 4)), time.Now()
	rate := func() float64 {
		if time.Since(began) < burstTime {
			return usualRate + burstRate
		}
		return usualRate
	}
	r.every(func() time.Duration { return time.Duration(random.ExpFloat64() / rate() * float64(time.Second)) }, func() {
		urgency := random.IntN(len(replayClasses))
		if random.Float64() > usualRate/rate() {
			urgency = len(replayClasses) - 1
		}
		if random.Float64() < 2/rate() {
			e := r.engines[strconv.Itoa(random.IntN(replayEngines))]
			e.mu.Lock()
			e.slowUntil = time.Now().Add(slowdownTime)
			e.mu.Unlock()
		}
		h, class := r.hosts[random.IntN(replayHosts)], replayClasses[urgency]
		s := &replayStream{replayClass: class, placer: h, urgency: urgency, unread: int((0.5 + random.Float64()) * float64(class.prompt)), arrived: time.Now()}
		running.Go(func() { r.place(s) })
	})
}

// place asks for an endpoint for a stream and starts it there.
func (r *replay) place(s *replayStream) {
	ticket, decision, err := s.placer.Ask(context.Background(), "llm", admission.Request{
		Class: strconv.Itoa(s.urgency), Zone: "a", PromptTokens: s.unread, FirstToken: s.first, Urgency: s.urgency,
	})
	if err != nil || decision.Kind != admission.Grant {
		r.count([]*replayStream{s})
		return
	}
	s.ticket = ticket
	ticket.Started()
	e := r.engines[decision.Endpoint]
	e.mu.Lock()
	defer e.mu.Unlock()
	e.work += float64(s.unread) / 48
	e.streams = append(e.streams, s)
	slices.SortStableFunc(e.streams, func(a, b *replayStream) int { return cmp.Compare(a.urgency, b.urgency) })
}

// count counts streams that were refused or have ended.
func (r *replay) count(streams []*replayStream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range streams {
		first := time.Since(s.arrived)
		if !s.firstAt.IsZero() {
			first = s.firstAt.Sub(s.arrived)
		}
		r.late += max(first-s.first, 0)
		if s.tokens < s.events*tokensPerEvent {
			r.cut++
		}
	}
}

// reportLoads sends the loads of a host and its figures of engines to the others.
func (r *replay) reportLoads(self int, from *Placer) {
	own, _ := from.Snapshot()
	loads := make(map[keys.Endpoint]Load, len(own))
	for id, load := range own {
		loads[keys.OfEndpoint(id)] = load
	}
	figures, name := from.EngineReports(), strconv.Itoa(self)
	for i, h := range r.hosts {
		if i != self {
			h.SetPeer(name, PeerReport{Loads: loads})
			h.SetPeerEngineReports(name, figures)
		}
	}
}

// workByPace returns the work given to each engine so far, in ms that it takes there.
func (r *replay) workByPace() map[string]float64 {
	work := make(map[string]float64)
	for id, e := range r.engines {
		e.mu.Lock()
		work[id] = e.work * e.slowness
		e.mu.Unlock()
	}
	return work
}

// busiestToMean returns the ratio of the work given to the busiest endpoints since an earlier time to the mean. It is the
// mean of the three busiest, since that of the busiest alone varies by 0.05 from one replay to the next.
func busiestToMean(before, after map[string]float64) float64 {
	var given []float64
	sum := 0.0
	for id := range after {
		given = append(given, after[id]-before[id])
		sum += after[id] - before[id]
	}
	slices.Sort(given)
	busiest := given[len(given)-3:]
	return (busiest[0] + busiest[1] + busiest[2]) / 3 / (sum / float64(len(given)))
}

// shareWithin returns the share of the wanted endpoints, at all hosts, whose slowness is in a range.
func (r *replay) shareWithin(low, high float64, wanted func(e *replayEngine) bool) float64 {
	within, all := 0, 0
	for _, e := range r.engines {
		e.mu.Lock()
		isWanted := wanted(e)
		e.mu.Unlock()
		for _, x := range r.paces {
			if !isWanted {
				break
			}
			all++
			if slowness := x.Slowness(keys.OfEndpoint(e.id)); slowness >= low && slowness <= high {
				within++
			}
		}
	}
	return float64(within) / float64(max(all, 1))
}

package placement

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/front/coordinator"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/ratelimit"
	"oxbowslip.dev/oxbowslip/internal/front/slots"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// The plain service of a replay.
const (
	plainService   = "plain"
	plainEndpoints = 3
	plainSlots     = 6
	// plainQueue is the number of requests that an endpoint queues itself; it rejects further ones.
	plainQueue     = 24
	plainCallTime  = 60 * time.Millisecond
	plainTarget    = 300 * time.Millisecond
	plainLimit     = 800 * time.Millisecond
	callerDeadline = 1500 * time.Millisecond
	// calmRate is the usual number of calls a second of all workspaces. Half of it comes from the workspaces that send
	// surgeFactor times as many in the surge, which begins after calmTime.
	calmRate         = 110.0
	plainWorkspaces  = 24
	surgeWorkspaces  = 2
	surgeFactor      = 6.0
	calmTime         = 2 * time.Second
	surgeTime        = 8 * time.Second
	meanReportPeriod = time.Second
	oneWay           = time.Millisecond
)

// plainServer is an endpoint of a plain service.
type plainServer struct {
	slots chan struct{}
	open  atomic.Int32
}

// serve runs a request. It returns false if the request is rejected.
func (s *plainServer) serve(ctx context.Context, takes time.Duration) bool {
	defer s.open.Add(-1)
	if s.open.Add(1) > plainSlots+plainQueue {
		return false
	}
	s.slots <- struct{}{}
	if ctx.Err() == nil {
		time.Sleep(takes)
	}
	<-s.slots
	return true
}

// queueReplay is a fleet of hosts in front of a plain service, in virtual time (testing/synctest).
type queueReplay struct {
	c       *qt.C
	random  func() float64
	hosts   []*replayHost
	servers map[string]*plainServer
	running sync.WaitGroup
	done    chan struct{}

	mu sync.Mutex
	// lossRate is the share of messages that are lost, cutOff a host whose messages are all lost.
	lossRate float64
	cutOff   string
	// calls are the calls that have ended, attempts the number of attempts by callers, rejections that of endpoints.
	calls                []call
	attempts, rejections int
}

// call is a call of a workspace.
type call struct {
	workspace string
	// isOfSurge is set if the workspace is one of those that send more calls in the surge.
	isOfSurge, isRepeatable bool
	key                     uint64
	isAnswered              bool
	// took is the time from the first attempt to the answer.
	took time.Duration
}

// isInTarget reports whether the call was answered within its target.
func (a *call) isInTarget() bool { return a.isAnswered && a.took <= plainTarget }

// replayHost is a host of a queueReplay. It implements coordinator.Peers.
type replayHost struct {
	replay     *queueReplay
	sender     envelope.Sender
	zone       string
	placer     *Placer
	rejections *pushback.Rejections
	// client is nil if the host decides alone.
	client *slots.Client
	owner  *owner.Owner

	mu sync.Mutex
	// rejected counts the rejections since the last report.
	rejected map[keys.Endpoint]uint
	// hidden is a host that this one does not know.
	hidden string
}

// newReplay returns hosts, of which a number use the queue.
func newQueueReplay(c *qt.C, hosts, withQueue int) *queueReplay {
	r := &queueReplay{c: c, servers: make(map[string]*plainServer), done: make(chan struct{})}
	source := rand.New(rand.NewPCG(1, 2))
	r.random = func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return source.Float64()
	}
	var changes []directory.Change
	for n := range plainEndpoints {
		id := fmt.Sprint("e", n)
		r.servers[id] = &plainServer{slots: make(chan struct{}, plainSlots)}
		changes = append(changes, directory.Change{Entry: directory.Entry{ID: id, Endpoint: settings.Endpoint{
			Zone: fmt.Sprint("zone-", n%3), Service: plainService, MaxInFlight: plainSlots, State: settings.StateIn,
		}}})
	}
	for n := range hosts {
		r.addHost(n, changes, n < withQueue)
	}
	for _, h := range r.hosts {
		if h.client != nil {
			r.running.Go(func() { h.client.Run(r.done) })
		}
		r.running.Go(func() { h.report(r.done) })
	}
	return r
}

func (r *queueReplay) addHost(n int, changes []directory.Change, hasQueue bool) {
	d, limits, log := directory.New(), pushback.NewLimits(time.Now), logrus.New()
	d.Apply(1, changes)
	log.SetOutput(io.Discard)
	h := &replayHost{
		replay: r, sender: envelope.Sender{Host: fmt.Sprint("host-", n), Incarnation: uint32(n)}, zone: fmt.Sprint("zone-", n%3),
		rejections: pushback.NewRejections(time.Now), rejected: make(map[keys.Endpoint]uint),
	}
	if hasQueue {
		h.client = slots.New(slots.Parts{
			Coordinator: slots.NewCoordinator(func(service string) []slots.Endpoint { return h.placer.SlotEndpoints(service) }),
			Peers:       h, Count: counters.New().CountSlot, Log: logrus.NewEntry(log), Clock: time.Now, Random: r.random,
		})
	}
	h.placer = New(Parts{
		Directory: d, Rests: pushback.NewRests(time.Now, r.random), Rejections: h.rejections, Failures: pushback.NewFailures(time.Now),
		Brittle: pushback.NewBrittle(time.Now), Limiter: ratelimit.New(ratelimit.Parts{Limits: limits, Random: r.random}), Slots: h.client,
		Log: logrus.NewEntry(log), Clock: time.Now, Random: r.random, Changed: func() {},
	})
	h.owner = owner.New(owner.Parts{
		Host: h.sender.Host, Admitter: h.placer, Endpoints: d.Endpoint, Budget: unlimitedBudget{}, Counters: counters.New(),
		Explained: explain.New(), Clock: time.Now, Random: r.random,
	})
	r.hosts = append(r.hosts, h)
}

type unlimitedBudget struct{}

func (unlimitedBudget) RecordFirstTry(string, float64)    {}
func (unlimitedBudget) Reserve(string, string, bool) bool { return true }
func (unlimitedBudget) Release(string)                    {}
func (unlimitedBudget) Settle(string)                     {}
func (unlimitedBudget) Leave(string, int, []request.Send) {}
func (unlimitedBudget) RecordAnswer(string, request.Send) {}

// Senders returns the live hosts, which do not depend on who is cut off: gossip notices that only after seconds.
func (h *replayHost) Senders() []envelope.Sender {
	h.mu.Lock()
	defer h.mu.Unlock()
	senders := []envelope.Sender{h.sender}
	for _, other := range h.replay.hosts {
		if other != h && other.sender.Host != h.hidden {
			senders = append(senders, other.sender)
		}
	}
	return senders
}

func (h *replayHost) IsSettled() bool { return true }

func (h *replayHost) SendTo(name string, kind envelope.Kind, message any) {
	body, err := cbor.Marshal(message)
	h.replay.c.Check(err, qt.IsNil)
	for _, other := range h.replay.hosts {
		if other.sender.Host != name || other.client == nil || h.replay.isLost(h.sender.Host, name) {
			continue
		}
		handle := map[envelope.Kind]envelope.Handler{
			envelope.KindSlotRequest: other.client.HandleRequest, envelope.KindSlotReply: other.client.HandleReply, envelope.KindSlotRelease: other.client.HandleRelease,
		}[kind]
		time.AfterFunc(oneWay, func() { handle(h.sender, body) })
	}
}

func (r *queueReplay) isLost(from, to string) bool {
	lost := r.random() < r.lossRate
	r.mu.Lock()
	defer r.mu.Unlock()
	return lost || r.cutOff == from || r.cutOff == to
}

// report sends the loads and rejections of a host to all others until done is closed, in place of heartbeats.
func (h *replayHost) report(done <-chan struct{}) {
	for {
		select {
		case <-time.After(time.Duration((0.5 + h.replay.random()) * float64(meanReportPeriod))):
		case <-done:
			return
		}
		loads, _ := h.placer.Snapshot()
		report := PeerReport{Loads: make(map[keys.Endpoint]Load)}
		for id, load := range loads {
			report.Loads[keys.OfEndpoint(id)] = load
		}
		h.mu.Lock()
		rejected := h.rejected
		h.rejected = make(map[keys.Endpoint]uint)
		h.mu.Unlock()
		for _, other := range h.replay.hosts {
			if other == h || h.replay.isLost(h.sender.Host, other.sender.Host) {
				continue
			}
			other.placer.SetPeer(h.sender.Host, report)
			for endpoint, count := range rejected {
				other.rejections.Count(endpoint, count, 0)
			}
		}
	}
}

// call makes a call, whose caller returns once after a refusal if that takes at most a third of the time left.
func (r *queueReplay) call(workspace string, isOfSurge bool) {
	arrived := time.Now()
	x := call{workspace: workspace, isOfSurge: isOfSurge, isRepeatable: r.random() < 0.5, key: math.Float64bits(r.random())}
	end := r.attempt(&x)
	if end.Refusal != nil && end.Refusal.Ran == request.RanNo {
		left := callerDeadline - time.Since(arrived)
		if after := max(end.Refusal.RetryAfter, 250*time.Millisecond); after <= left/3 {
			time.Sleep(after)
			end = r.attempt(&x)
		}
	}
	x.isAnswered, x.took = end.Outcome == request.OutcomeAnswered, time.Since(arrived)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, x)
}

// attempt sends a call to a random host.
func (r *queueReplay) attempt(x *call) owner.End {
	h := r.hosts[int(r.random()*float64(len(r.hosts)))]
	r.mu.Lock()
	r.attempts++
	r.mu.Unlock()
	arrived := time.Now()
	deadline := arrived.Add(plainLimit)
	ctx, cancel := context.WithDeadlineCause(context.Background(), deadline, owner.ErrTimeLimit)
	defer cancel()
	rules := request.Rules{Repeatable: x.isRepeatable, MaxTries: 1, ResendNotStarted: true}
	if x.isRepeatable {
		rules.MaxTries = 2
	}
	takes := time.Duration((0.5 + r.random()) * float64(plainCallTime))
	return h.owner.Run(ctx, &owner.Job{
		Request: admission.Request{
			Workspace: x.workspace, Class: "plain", Arrived: arrived, WholeAnswer: plainTarget, Repeatable: x.isRepeatable, Weight: 1,
			Zone: h.zone, Deadline: deadline, ContentKey: x.key,
		},
		Shard: plainService, Deadline: deadline, Rules: rules,
		Attempt: func(ctx context.Context, a *owner.Attempt) owner.Result { return h.send(ctx, a, takes) },
	})
}

// send sends a request to an endpoint.
func (h *replayHost) send(ctx context.Context, a *owner.Attempt, takes time.Duration) owner.Result {
	if !a.MaySend() {
		return owner.Result{Event: request.EventWithheld}
	}
	a.RecordSend()
	time.Sleep(oneWay)
	isTaken := h.replay.servers[a.EndpointID].serve(ctx, takes)
	time.Sleep(oneWay)
	key := keys.OfEndpoint(a.EndpointID)
	if !isTaken {
		h.rejections.Count(key, 1, 0)
		h.mu.Lock()
		h.rejected[key]++
		h.mu.Unlock()
		h.replay.mu.Lock()
		h.replay.rejections++
		h.replay.mu.Unlock()
		return owner.Result{Event: request.EventNotStarted}
	}
	h.rejections.Count(key, 0, 1)
	if ctx.Err() != nil {
		return owner.Result{Event: request.EventBroken, Err: ctx.Err()}
	}
	return owner.Result{Event: request.EventWhole}
}

// run replays the load: two of the workspaces send surgeFactor times as many calls in the surge.
func (r *queueReplay) run(atPeak func()) {
	for n := range plainWorkspaces {
		isOfSurge := n < surgeWorkspaces
		rate := calmRate / 2 / (plainWorkspaces - surgeWorkspaces)
		surgeRate := rate
		if isOfSurge {
			rate = calmRate / 2 / surgeWorkspaces
			surgeRate = surgeFactor * rate
		}
		r.running.Go(func() {
			for began := time.Now(); ; {
				passed := time.Since(began)
				if passed > 2*calmTime+surgeTime {
					return
				}
				current := rate
				if passed > calmTime && passed < calmTime+surgeTime {
					current = surgeRate
				}
				time.Sleep(time.Duration(-math.Log(1-r.random()) / current * float64(time.Second)))
				r.running.Go(func() { r.call(fmt.Sprint("w", n), isOfSurge) })
			}
		})
	}
	time.Sleep(calmTime + surgeTime/2)
	atPeak()
	time.Sleep(calmTime + surgeTime/2 + 2*callerDeadline)
	close(r.done)
	r.running.Wait()
}

// share returns the share of calls that are counted among those that match.
func (r *queueReplay) share(matches, counts func(x *call) bool) float64 {
	all, counted := 0, 0
	for i := range r.calls {
		if x := &r.calls[i]; matches(x) {
			all++
			if counts(x) {
				counted++
			}
		}
	}
	return float64(counted) / float64(all)
}

func isAny(*call) bool { return true }

func isUsual(x *call) bool { return !x.isOfSurge }

func isOnce(x *call) bool { return !x.isRepeatable }

func isAnswered(x *call) bool { return x.isAnswered }

// isRefusedLate reports whether a call was refused after a wait that is long in relation to its target.
func isRefusedLate(x *call) bool { return !x.isAnswered && x.took > plainTarget/3 }

// replayOnce replays the load with a number of hosts that use the queue.
func replayOnce(t *testing.T, withQueue int, prepare, atPeak func(r *queueReplay)) (r *queueReplay) {
	const hosts = 70
	synctest.Test(t, func(t *testing.T) {
		r = newQueueReplay(qt.New(t), hosts, withQueue)
		prepare(r)
		r.run(func() { atPeak(r) })
	})
	t.Logf("%d hosts with the queue: %d calls, %d attempts, %d rejections; in target: usual workspaces %.2f, all %.2f; answered: once %.2f, all %.2f; refused after a wait %.3f", withQueue, len(r.calls), r.attempts, r.rejections,
		r.share(isUsual, (*call).isInTarget), r.share(isAny, (*call).isInTarget), r.share(isOnce, isAnswered), r.share(isAny, isAnswered), r.share(isAny, isRefusedLate))
	return r
}

// TestQueueServesSurge replays a surge of two workspaces at a service with 18 slots (docs/design/0015-slots.md). Without
// the queue, endpoints reject calls while others have room, and the workspaces that send as usual lose theirs. With it,
// also under faults, rejections are rare, those workspaces get almost all answers in time, calls that may not be repeated
// are answered before others, and few calls are refused after a wait. The replay without the queue has to fail these
// checks.
func TestQueueServesSurge(t *testing.T) {
	nothing := func(*queueReplay) {}
	without := replayOnce(t, 0, nothing, nothing)
	meets := func(r *queueReplay, rejectedShare float64) bool {
		return float64(r.rejections) <= rejectedShare*float64(without.rejections) &&
			r.share(isUsual, (*call).isInTarget) >= 0.85 &&
			r.share(isOnce, isAnswered) >= 0.8 && r.share(isAny, isRefusedLate) <= 0.12
	}
	qt.Check(t, meets(without, 1), qt.IsFalse)
	tests := map[string]struct {
		withQueue       int
		prepare, atPeak func(r *queueReplay)
		// maxRejected is the number of rejections in relation to those without the queue.
		maxRejected float64
	}{
		"all hosts":                        {70, nothing, nothing, 0.05},
		"1 in 40 messages is lost":         {70, func(r *queueReplay) { r.lossRate = 1.0 / 40 }, nothing, 0.05},
		"half of the hosts decide alone":   {35, nothing, nothing, 0.2},
		"the coordinator is cut off":       {70, nothing, cutOffCoordinator, 0.3},
		"two hosts coordinate at the peak": {70, nothing, splitCoordinators, 0.2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := replayOnce(t, test.withQueue, test.prepare, test.atPeak)
			qt.Check(t, meets(r, test.maxRejected), qt.IsTrue)
		})
	}
}

// pickCoordinator returns the host that coordinates the service in the view of another.
func pickCoordinator(h *replayHost) string {
	picked, _, _ := coordinator.New[int](coordinator.Parts{Peers: h, Clock: time.Now, Random: h.replay.random}).Pick(plainService)
	return picked.Host
}

// cutOffCoordinator has all messages of the coordinator be lost from now on.
func cutOffCoordinator(r *queueReplay) {
	first := pickCoordinator(r.hosts[0])
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff = first
}

// splitCoordinators has half of the hosts not know the coordinator from now on.
func splitCoordinators(r *queueReplay) {
	first := pickCoordinator(r.hosts[0])
	for _, h := range r.hosts[:len(r.hosts)/2] {
		h.mu.Lock()
		h.hidden = first
		h.mu.Unlock()
	}
}

// grantingPeer is the only peer of a host. It grants every request a slot of an endpoint, and records the releases.
type grantingPeer struct {
	c        *qt.C
	client   *slots.Client
	sender   envelope.Sender
	endpoint string
	mu       sync.Mutex
	asked    []slots.Request
	// releases holds the outcomes of each lease.
	releases map[uint64][]slots.Outcome
}

func (p *grantingPeer) Senders() []envelope.Sender {
	return []envelope.Sender{{Host: "self"}, p.sender}
}

func (p *grantingPeer) IsSettled() bool { return true }

func (p *grantingPeer) SendTo(_ string, kind envelope.Kind, message any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch kind {
	case envelope.KindSlotRequest:
		q := message.(*slots.Request)
		p.asked = append(p.asked, *q)
		body, err := cbor.Marshal(&slots.Reply{Number: q.Number, Result: slots.Granted, Endpoint: keys.OfEndpoint(p.endpoint)})
		p.c.Check(err, qt.IsNil)
		time.AfterFunc(oneWay, func() { p.client.HandleReply(p.sender, body) })
	case envelope.KindSlotRelease:
		release := message.(*slots.Release)
		p.releases[release.Number] = append(p.releases[release.Number], release.Outcome)
	}
}

// newQueuePlacer returns the placer of a host that asks a grantingPeer for the slots of a busy service with the
// endpoints e1 and e2.
func newQueuePlacer(c *qt.C) (*Placer, *grantingPeer, *directory.Directory) {
	d, log, random := directory.New(), logrus.New(), func() float64 { return 0 }
	log.SetOutput(io.Discard)
	var changes []directory.Change
	for _, id := range []string{"e1", "e2"} {
		changes = append(changes, directory.Change{Entry: directory.Entry{ID: id, Endpoint: settings.Endpoint{
			Service: plainService, MaxInFlight: 1, State: settings.StateIn, Version: "1",
		}}})
	}
	d.Apply(1, changes)
	peer := &grantingPeer{c: c, endpoint: "e1", releases: make(map[uint64][]slots.Outcome)}
	for n := 0; ; n++ {
		peer.sender = envelope.Sender{Host: fmt.Sprint("peer-", n), Incarnation: 1}
		picked, _, _ := coordinator.New[int](coordinator.Parts{Peers: peer, Clock: time.Now, Random: random}).Pick(plainService)
		if picked == peer.sender {
			break
		}
	}
	peer.client = slots.New(slots.Parts{
		Coordinator: slots.NewCoordinator(nil), Peers: peer, Count: counters.New().CountSlot, Log: logrus.NewEntry(log), Clock: time.Now, Random: random,
	})
	p := New(Parts{
		Directory: d, Rests: pushback.NewRests(time.Now, random), Rejections: pushback.NewRejections(time.Now), Failures: pushback.NewFailures(time.Now),
		Brittle: pushback.NewBrittle(time.Now), Limiter: ratelimit.New(ratelimit.Parts{Limits: pushback.NewLimits(time.Now), Random: random}), Slots: peer.client,
		Log: logrus.NewEntry(log), Clock: time.Now, Random: random, Changed: func() {},
	})
	p.view.loads.Begin("e2", 0)
	return p, peer, d
}

// plainRequest returns a request of the service of newQueuePlacer.
func plainRequest() admission.Request {
	now := time.Now()
	return admission.Request{Class: "plain", Arrived: now, WholeAnswer: plainTarget, Deadline: now.Add(plainLimit), Repeatable: true}
}

// TestLeaseIsReleasedOnce takes a granted request through every end that it can have. Its lease must be released exactly
// once (in two messages), with the outcome on which the coordinator bases its figures.
func TestLeaseIsReleasedOnce(t *testing.T) {
	errFailed := errors.New("failed")
	answered := owner.Result{Event: request.EventWhole}
	sent := func(result owner.Result) func(context.Context, *owner.Attempt, *Placer) owner.Result {
		return func(_ context.Context, a *owner.Attempt, _ *Placer) owner.Result {
			a.RecordSend()
			return result
		}
	}
	untilCancelled := func(ctx context.Context, a *owner.Attempt, _ *Placer) owner.Result {
		a.RecordSend()
		<-ctx.Done()
		return owner.Result{Event: request.EventBroken, Err: ctx.Err()}
	}
	tests := map[string]struct {
		attempt func(context.Context, *owner.Attempt, *Placer) owner.Result
		// disrupt is called 10 ms after the request arrives.
		disrupt func(leave context.CancelFunc, o *owner.Owner)
		// isGone is set if the owner finds the endpoint gone when the grant arrives.
		isGone bool
		want   slots.Outcome
	}{
		"answered": {attempt: sent(answered), want: slots.Answered},
		"rejected": {attempt: func(_ context.Context, a *owner.Attempt, p *Placer) owner.Result {
			a.RecordSend()
			p.view.rejections.Count(keys.OfEndpoint(a.EndpointID), 1, 0)
			return owner.Result{Event: request.EventNotStarted, Err: errFailed}
		}, want: slots.Rejected},
		"broken":           {attempt: sent(owner.Result{Event: request.EventBroken, Err: errFailed}), want: slots.Failed},
		"wrong answer":     {attempt: sent(owner.Result{Event: request.EventWrongAnswer, Err: errFailed}), want: slots.Failed},
		"not started, 421": {attempt: sent(owner.Result{Event: request.EventNotStarted, Err: errFailed}), want: slots.Failed},
		"not connected": {attempt: func(context.Context, *owner.Attempt, *Placer) owner.Result {
			return owner.Result{Event: request.EventDialFailed, Err: errFailed}
		}, want: slots.Unused},
		"endpoint leaves while connecting": {attempt: func(context.Context, *owner.Attempt, *Placer) owner.Result {
			return owner.Result{Event: request.EventWithheld}
		}, want: slots.Unused},
		"endpoint is gone": {isGone: true, attempt: sent(answered), want: slots.Unused},
		"caller leaves":    {attempt: untilCancelled, disrupt: func(leave context.CancelFunc, _ *owner.Owner) { leave() }, want: slots.Failed},
		"host stops": {attempt: untilCancelled, disrupt: func(_ context.CancelFunc, o *owner.Owner) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			o.Drain(ctx)
		}, want: slots.Failed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p, peer, d := newQueuePlacer(c)
				o := owner.New(owner.Parts{
					Admitter: p, Budget: unlimitedBudget{}, Counters: counters.New(), Explained: explain.New(), Clock: time.Now, Random: func() float64 { return 0 },
					Endpoints: func(id string) (settings.Endpoint, bool) {
						endpoint, ok := d.Endpoint(id)
						return endpoint, ok && !(test.isGone && id == "e1")
					},
				})
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				if test.disrupt != nil {
					time.AfterFunc(10*time.Millisecond, func() { test.disrupt(leave, o) })
				}
				o.Run(ctx, &owner.Job{
					Request: plainRequest(), Shard: plainService, Rules: request.Rules{Repeatable: true, MaxTries: 1}, Deadline: time.Now().Add(plainLimit),
					Attempt: func(ctx context.Context, a *owner.Attempt) owner.Result { return test.attempt(ctx, a, p) },
				})
				time.Sleep(time.Second)
				synctest.Wait()
				c.Check(peer.releases, qt.HasLen, len(peer.asked))
				for _, outcomes := range peer.releases {
					c.Check(outcomes, qt.DeepEquals, []slots.Outcome{test.want, test.want})
				}
				loads, _ := p.Snapshot()
				c.Check(loads, qt.DeepEquals, map[string]Load{"e2": {Requests: 1}})
			})
		})
	}
}

// TestUnusableGrant has the coordinator grant an endpoint that this host can't use. The lease is released unused, and the
// request avoids the endpoint and goes to another one.
func TestUnusableGrant(t *testing.T) {
	tests := map[string]func(p *Placer, d *directory.Directory){
		"resting": func(p *Placer, _ *directory.Directory) {
			p.parts.Rests.Begin(pushback.Instance{ID: "e1", Version: "1"}, time.Second)
		},
		"ejected": func(p *Placer, _ *directory.Directory) { p.RecordFailure("e1", false, errors.New("refused")) },
		"leaving": func(_ *Placer, d *directory.Directory) { d.SetLeaving("e1", "1") },
	}
	for name, makeUnusable := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p, peer, d := newQueuePlacer(c)
				time.AfterFunc(oneWay/2, func() { makeUnusable(p, d) })
				ticket, decision, err := p.Ask(context.Background(), plainService, plainRequest())
				c.Assert(err, qt.IsNil)
				c.Check(decision.Endpoint, qt.Equals, "e2")
				ticket.Finished(admission.Unused, 0)
				time.Sleep(time.Second)
				synctest.Wait()
				c.Assert(peer.asked, qt.HasLen, maxQueueAsks)
				c.Check(peer.asked[0].Avoid, qt.HasLen, 0)
				c.Check(peer.asked[1].Avoid, qt.Contains, keys.OfEndpoint("e1"))
				c.Check(peer.releases, qt.DeepEquals, map[uint64][]slots.Outcome{
					1: {slots.Unused, slots.Unused}, 2: {slots.Unused, slots.Unused},
				})
			})
		})
	}
}

// TestWhenQueueIsAsked checks which requests ask the coordinator. All others are granted as without the queue.
func TestWhenQueueIsAsked(t *testing.T) {
	tests := map[string]struct {
		change func(p *Placer, r *admission.Request)
		want   bool
	}{
		"half of the slots are taken": {func(*Placer, *admission.Request) {}, true},
		"the service is idle":         {func(p *Placer, _ *admission.Request) { p.view.loads.End("e2", 0) }, false},
		"idle, a recent rejection": {func(p *Placer, _ *admission.Request) {
			p.view.loads.End("e2", 0)
			p.view.rejections.Count(keys.OfEndpoint("e2"), 1, 0)
		}, true},
		"a request with a prompt": {func(_ *Placer, r *admission.Request) { r.PromptTokens = 1 }, false},
		"no known time limit":     {func(_ *Placer, r *admission.Request) { r.Deadline = time.Time{} }, false},
		"a service with engines": {func(p *Placer, _ *admission.Request) {
			p.SetSettings(&settings.Tree{Services: map[string]settings.Service{plainService: {Engine: &settings.EngineShape{}}}})
		}, false},
		"an endpoint that does not state its slots": {func(p *Placer, _ *admission.Request) {
			p.parts.Directory.Apply(2, []directory.Change{{Entry: directory.Entry{ID: "e3", Endpoint: settings.Endpoint{Service: plainService, State: settings.StateIn}}}})
		}, false},
		"all endpoints rest": {func(p *Placer, _ *admission.Request) {
			p.parts.Rests.Begin(pushback.Instance{ID: "e1", Version: "1"}, time.Second)
			p.parts.Rests.Begin(pushback.Instance{ID: "e2", Version: "1"}, time.Second)
		}, false},
		"the queue is off": {func(p *Placer, _ *admission.Request) { p.parts.Slots = nil }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p, peer, _ := newQueuePlacer(c)
				r := plainRequest()
				test.change(p, &r)
				_, _, err := p.Ask(context.Background(), plainService, r)
				c.Check(err, qt.IsNil)
				c.Check(len(peer.asked) > 0, qt.Equals, test.want)
			})
		})
	}
}

// TestSlotOfLimitedEndpointHasPermit guards against a granted slot whose permit is lost on the way: the request would
// hold a slot and a permit, and not be sent.
func TestSlotOfLimitedEndpointHasPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, _, _ := newQueuePlacer(c)
		limits := pushback.NewLimits(time.Now)
		p.parts.Limiter = limiterFor(limits, time.Now)
		done := make(chan struct{})
		defer close(done)
		go p.parts.Limiter.Run(done)
		limits.Record(pushback.Instance{ID: "e1", Version: "1"}, pushback.Limit{IsSet: true, PerSecond: 20}, time.Now())
		r := plainRequest()
		take := func() (Choice, bool) {
			return p.takeSlot(context.Background(), plainService, &r, keys.OfEndpoint("e1"))
		}
		_, ok := take()
		c.Check(ok, qt.IsFalse, qt.Commentf("no permit has accrued"))
		time.Sleep(time.Second)
		choice, ok := take()
		c.Assert(ok, qt.IsTrue)
		c.Check(p.parts.Limiter.MaySend(choice.instance(), choice.permit), qt.IsTrue)
	})
}

package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// syncWith starts a fetch of each topic of which a member has a newer revision.
func (g *Gossip) syncWith(member Member) {
	own := g.parts.Host.Revisions()
	for t := range freshness.NumTopics {
		if isBehind(t, own, &member) && g.beginFetch(t) {
			go g.syncTopic(t, member, own)
		}
	}
}

// syncTopic fetches a topic from a member that reported a newer revision, or from others that have one. It repeats
// until no member is ahead, because reports that arrive during a fetch start no other, or until a round fetches nothing
// new.
func (g *Gossip) syncTopic(t freshness.Topic, first Member, before SyncRequest) {
	defer g.endFetch(t)
	for {
		g.syncRound(t, first, before)
		after := g.parts.Host.Revisions()
		next, ok := g.memberAhead(t, nil)
		if !ok || after == before {
			return
		}
		first, before = next, after
	}
}

// syncRound fetches a topic once, after a grace period in which the change may arrive from the store or in a heartbeat.
// A host without settings or endpoints does not wait.
func (g *Gossip) syncRound(t freshness.Topic, first Member, before SyncRequest) {
	if before.Settings > 0 && before.Directory > 0 {
		// All hosts learn of a change at the same time, and few hosts have it yet.
		time.Sleep(syncGrace + time.Duration(g.parts.Random()*float64(g.Hosts())*float64(fetchSpreadPerHost)))
	}
	g.fetchTopic(&fetchRound{
		topic: t,
		next: func(asked names) (Member, bool) {
			if len(asked) >= triesBeforeReporter && !asked[first.Name] {
				return first, true
			}
			if peer, ok := g.memberToAsk(t, asked); ok {
				return peer, true
			}
			return first, len(asked) == 0
		},
		isDone: func(answered bool) bool {
			if g.UsesAggregators() {
				// An answer may be no newer than the own revision.
				return !g.isBehind(t, &first)
			}
			if _, ok := g.memberAhead(t, nil); ok && !answered {
				return false
			}
			return !g.isBehind(t, &first)
		},
	})
}

// memberAhead returns a random member that has a newer revision of a topic and has not been asked.
func (g *Gossip) memberAhead(t freshness.Topic, asked names) (Member, bool) {
	own := g.parts.Host.Revisions()
	return g.pick(func(m *Member) bool { return !asked[m.Name] && isBehind(t, own, m) })
}

// triesBeforeReporter is the number of members that are asked before the one that reported the newer revision: if all hosts
// asked it at once, its link would be the limit.
const triesBeforeReporter = 2

// memberToAsk returns a member to ask for a topic that has not been asked. In a large fleet only a few hosts are known to
// have a new revision: if all others asked these, their links would take longer than the change takes to spread. Any
// member of the own zone is asked there, as long as there are some.
func (g *Gossip) memberToAsk(t freshness.Topic, asked names) (Member, bool) {
	if !g.UsesAggregators() {
		return g.memberAhead(t, asked)
	}
	zone := g.parts.Config.Zone
	if peer, ok := g.pick(func(m *Member) bool { return m.Zone == zone && !asked[m.Name] }); ok {
		return peer, true
	}
	return g.pick(func(m *Member) bool { return !asked[m.Name] })
}

// pollWhenStale polls members for topics that have not been confirmed for too long, until done is closed: the store may
// not answer this host, and heartbeats of hosts with newer revisions may be lost.
func (g *Gossip) pollWhenStale(done <-chan struct{}) {
	var polledAt [freshness.NumTopics]time.Time
	isLarge := false
	for {
		interval := pollCheckInterval
		if isLarge {
			interval = pollInterval
		}
		select {
		case <-time.After(interval):
		case <-done:
			return
		}
		before := g.Order().Before
		now := g.parts.Clock()
		isLarge = g.UsesAggregators()
		for t := range freshness.NumTopics {
			if isLarge && now.Sub(polledAt[t]) >= pollInterval && g.parts.Host.MustAsk(t, before) {
				// A member whose state is confirmed answers with its confirmations, and changes are fetched then.
				polledAt[t] = now
				g.sendDigests(digestsPerPoll)
				continue
			}
			if now.Sub(polledAt[t]) >= pollInterval && g.parts.Host.MustAsk(t, before) && g.beginFetch(t) {
				polledAt[t] = now
				go g.poll(t)
			}
		}
	}
}

// poll fetches a topic from members at random, whatever revisions they have reported.
func (g *Gossip) poll(t freshness.Topic) {
	defer g.endFetch(t)
	g.fetchTopic(&fetchRound{
		topic: t,
		next: func(asked names) (Member, bool) {
			return g.pick(func(m *Member) bool { return !asked[m.Name] })
		},
		isDone: func(answered bool) bool { return answered },
	})
}

// beginFetch reports whether a fetch of a topic may begin, and marks it as running; a topic has one fetch at a time.
func (g *Gossip) beginFetch(t freshness.Topic) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fetching[t] {
		return false
	}
	g.fetching[t] = true
	return true
}

func (g *Gossip) endFetch(t freshness.Topic) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fetching[t] = false
}

// isBehind reports whether a member has a newer revision of a topic than this host.
func (g *Gossip) isBehind(t freshness.Topic, member *Member) bool {
	return isBehind(t, g.parts.Host.Revisions(), member)
}

// pick returns a random member that satisfies a condition.
func (g *Gossip) pick(wanted func(*Member) bool) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var members []*Member
	for _, member := range g.members.indexed().byName {
		if wanted(member) {
			members = append(members, member)
		}
	}
	if len(members) == 0 {
		return Member{}, false
	}
	return *members[int(g.parts.Random()*float64(len(members)))], true
}

// names is a set of names of members.
type names map[string]bool

// fetchRound describes a fetch of a topic: which members to ask, and when it is complete.
type fetchRound struct {
	topic freshness.Topic
	// next picks the next member to ask, and reports false if there is none at present.
	next func(asked names) (Member, bool)
	// isDone reports whether no more members need to be asked. Answered is set if a member has answered.
	isDone func(answered bool) bool
}

// fetchTopic asks members for a topic. As long as none has answered, it asks twice as many more after each fetchHedge,
// so that unresponsive members do not use up the time: with half of the members unresponsive, an answer takes more than
// two hedges in 1 of 8 cases, and more than three in 1 of 128.
func (g *Gossip) fetchTopic(r *fetchRound) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var fetches sync.WaitGroup
	defer fetches.Wait()
	var answered atomic.Bool
	asked := make(names)
	for width := 1; ctx.Err() == nil && len(asked) < maxFetchPeers && !r.isDone(answered.Load()); width *= 2 {
		ended := make(chan struct{}, width)
		for range width {
			peer, ok := r.next(asked)
			if !ok {
				break
			}
			asked[peer.Name] = true
			fetches.Go(func() {
				if g.fetchFrom(ctx, r.topic, peer) {
					answered.Store(true)
				}
				if r.isDone(answered.Load()) {
					cancel()
				}
				ended <- struct{}{}
			})
		}
		select {
		case <-ended:
		case <-time.After(fetchHedge):
		case <-ctx.Done():
		}
	}
}

// fetchFrom fetches a topic from a member and applies it. It reports whether the member answered.
func (g *Gossip) fetchFrom(ctx context.Context, t freshness.Topic, peer Member) bool {
	own := g.parts.Host.Revisions()
	if t == freshness.Endpoints && own.Directory > 0 && g.fetchChanges(ctx, peer, own.Directory) {
		g.RequestHeartbeat()
		return true
	}
	var response SyncResponse
	request := requestFor(t, own)
	err := g.call(ctx, peer.Address, rpcSync, &request, &response)
	if err == nil {
		g.parts.Host.Apply(peer, response)
		g.RequestHeartbeat()
		return true
	}
	if g.isBehind(t, &peer) {
		g.parts.Log.WithError(err).WithField("peer", peer.Name).Warn("fetching newer revisions from a peer failed")
	}
	return false
}

// fetchChanges fetches the changes of the directory after a revision from a member and applies them. It reports false
// if a snapshot has to be fetched instead: the member has an older version, or no longer has all changes since then.
func (g *Gossip) fetchChanges(ctx context.Context, peer Member, revision uint64) bool {
	var response ChangesResponse
	err := g.call(ctx, peer.Address, rpcChanges, &ChangesRequest{Directory: revision}, &response)
	if err != nil {
		g.parts.Log.WithError(err).WithField("peer", peer.Name).Debug("fetching changes of the directory from a peer failed, a snapshot is fetched instead")
		return false
	}
	return response.IsKnown && g.parts.Host.ApplyChanges(peer.Name, response)
}

// call makes a call to the peer at an address. It returns when ctx ends at the latest.
func (g *Gossip) call(ctx context.Context, address, rpc string, request, response drpc.Message) error {
	raw, err := g.parts.Network.Dial(ctx, address)
	if err != nil {
		return merry.Wrap(err)
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	return merry.Wrap(conn.Invoke(ctx, rpc, envelope.Encoding{}, request, response))
}

// ServeStream sets the handler of a call. It must be called before Start.
func (g *Gossip) ServeStream(rpc string, handler StreamHandler) { g.streams[rpc] = handler }

// OpenStream begins a call to the host at an address, on a connection of its own. The call ends with ctx. Release closes
// the connection and must be called.
func (g *Gossip) OpenStream(ctx context.Context, address, rpc string) (stream drpc.Stream, release func(), err error) {
	raw, err := g.parts.Network.Dial(ctx, address)
	if err != nil {
		return nil, nil, merry.Wrap(err)
	}
	conn := drpcconn.New(raw)
	stream, err = conn.NewStream(ctx, rpc, envelope.Encoding{})
	if err != nil {
		conn.Close()
		return nil, nil, merry.Wrap(err)
	}
	return stream, func() { conn.Close() }, nil
}

// Live returns the members.
func (g *Gossip) Live() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Live()
}

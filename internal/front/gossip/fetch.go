package gossip

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// syncWith fetches what a member has newer, unless it comes by itself first.
func (g *Gossip) syncWith(member Member) {
	own := g.parts.Host.Revisions()
	for t := range freshness.NumTopics {
		if isBehind(t, own, &member) && g.beginFetch(t) {
			go g.sync(t, member, own)
		}
	}
}

// sync fetches a topic from a member that reported a newer revision, or from others that have one, until no member is known to
// be ahead: what members report meanwhile starts no fetch. It ends as well once a round brings nothing new.
func (g *Gossip) sync(t freshness.Topic, first Member, before SyncRequest) {
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

// syncRound fetches a topic once, after a grace for the change to come by itself. A host that knows nothing at all does not
// wait.
func (g *Gossip) syncRound(t freshness.Topic, first Member, before SyncRequest) {
	if before.Settings > 0 && before.Directory > 0 {
		// All hosts learn of a change at the same moment, from few that have it.
		time.Sleep(syncGrace + time.Duration(g.parts.Random()*float64(g.Hosts())*float64(fetchSpreadPerHost)))
	}
	g.fetch(&fetchRound{
		topic: t,
		next: func(asked names) (Member, bool) {
			if peer, ok := g.memberAhead(t, asked); ok {
				return peer, true
			}
			return first, len(asked) == 0
		},
		enough: func(answered bool) bool {
			if _, ok := g.memberAhead(t, nil); ok && !answered {
				return false
			}
			return !g.isBehind(t, &first)
		},
	})
}

// memberAhead returns a member at random of those that have a newer revision of a topic and have not been asked.
func (g *Gossip) memberAhead(t freshness.Topic, asked names) (Member, bool) {
	return g.pick(func(m *Member) bool { return !asked[m.Name] && g.isBehind(t, m) })
}

// pollWhenOld polls members for what nobody has confirmed for too long, until done is closed: the store
// may not answer this host, and the heartbeats of those who know more may be lost.
func (g *Gossip) pollWhenOld(done <-chan struct{}) {
	ticker := time.NewTicker(pollCheck)
	defer ticker.Stop()
	var polledAt [freshness.NumTopics]time.Time
	for {
		select {
		case <-ticker.C:
		case <-done:
			return
		}
		before := g.Order().Before
		now := g.parts.Clock()
		for t := range freshness.NumTopics {
			if now.Sub(polledAt[t]) >= pollInterval && g.parts.Host.MustAsk(t, before) && g.beginFetch(t) {
				polledAt[t] = now
				go g.poll(t)
			}
		}
	}
}

// poll fetches a topic from some members whatever they have reported.
func (g *Gossip) poll(t freshness.Topic) {
	defer g.endFetch(t)
	g.fetch(&fetchRound{
		topic:  t,
		next:   func(asked names) (Member, bool) { return g.pick(func(m *Member) bool { return !asked[m.Name] }) },
		enough: func(answered bool) bool { return answered },
	})
}

// beginFetch reports whether fetches of a topic may begin; only one round runs at a time.
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

// pick returns a member at random of those that are wanted.
func (g *Gossip) pick(wanted func(*Member) bool) (Member, bool) {
	g.mu.Lock()
	members := g.members.Live()
	g.mu.Unlock()
	members = slices.DeleteFunc(members, func(m Member) bool { return !wanted(&m) })
	if len(members) == 0 {
		return Member{}, false
	}
	return members[int(g.parts.Random()*float64(len(members)))], true
}

// names are the names of some members.
type names map[string]bool

// fetchRound is a topic that is to be fetched, with the rule of whom to ask.
type fetchRound struct {
	topic freshness.Topic
	// next picks the next member to ask, or none for now.
	next func(asked names) (Member, bool)
	// enough reports whether no more members need to be asked, once one has answered or none has yet.
	enough func(answered bool) bool
}

// fetch asks members for a topic. If none has answered after fetchHedge, twice as many are asked beside those, so
// that silent members do not use up the time: with half of them silent, an answer takes more than two hedges once in
// eight times, and more than three once in 128.
func (g *Gossip) fetch(r *fetchRound) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var fetches sync.WaitGroup
	defer fetches.Wait()
	var answered atomic.Bool
	asked := make(names)
	for width := 1; ctx.Err() == nil && len(asked) < maxFetched && !r.enough(answered.Load()); width *= 2 {
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
				if r.enough(answered.Load()) {
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

// fetchFrom fetches a topic from a member and puts it in force. It reports whether the member answered.
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
		g.parts.Log.WithError(err).WithField("peer", peer.Name).Warn("newer revisions can't be fetched from a peer")
	}
	return false
}

// fetchChanges fetches what has changed in the directory after a revision from a member, and puts it in force. It reports
// false if the whole is to be fetched instead: the member is of an older version, or does not know all changes since then.
func (g *Gossip) fetchChanges(ctx context.Context, peer Member, revision uint64) bool {
	var response ChangesResponse
	err := g.call(ctx, peer.Address, rpcChanges, &ChangesRequest{Directory: revision}, &response)
	if err != nil {
		g.parts.Log.WithError(err).WithField("peer", peer.Name).Debug("changes can't be fetched from a peer")
		return false
	}
	return response.IsKnown && g.parts.Host.ApplyChanges(peer.Name, response)
}

// call calls the peer at an address. It blocks until ctx ends at the latest.
func (g *Gossip) call(ctx context.Context, address, rpc string, request, response drpc.Message) error {
	raw, err := g.parts.Network.Dial(ctx, address)
	if err != nil {
		return merry.Wrap(err)
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	return merry.Wrap(conn.Invoke(ctx, rpc, encoding{}, request, response))
}

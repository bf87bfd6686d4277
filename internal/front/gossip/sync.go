package gossip

import (
	"context"
	"math"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"oxbowslip.dev/oxbowslip/internal/counters"
)

// topic is one of the things that a host may lack. They are fetched separately: a change of
// the settings must not wait for a large directory.
type topic int

const (
	topicSettings topic = iota
	topicDirectory
	topics
)

// request returns a request for what is newer of a topic and of nothing else.
func (t topic) request(own SyncRequest) SyncRequest {
	if t == topicSettings {
		own.Directory = math.MaxUint64
		return own
	}
	own.Settings = math.MaxUint64
	return own
}

// isBehind reports whether a member has a newer revision of a topic than this host.
func (t topic) isBehind(own SyncRequest, member *Member) bool {
	if t == topicSettings {
		return member.Settings > own.Settings
	}
	return member.Directory > own.Directory
}

// syncWith fetches what a member has newer, unless the store brings it first.
func (g *Gossip) syncWith(member Member) {
	own := g.parts.Host.Revisions()
	for t := range topics {
		if t.isBehind(own, &member) && g.beginSync(t) {
			go g.sync(t, member.Name, own)
		}
	}
}

// beginSync reports whether a fetch of a topic may begin; only one runs at a time.
func (g *Gossip) beginSync(t topic) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.syncing[t] {
		return false
	}
	g.syncing[t] = true
	return true
}

func (g *Gossip) endSync(t topic) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncing[t] = false
}

// sync fetches a topic from a member that reported a newer revision, after a grace for the
// store to bring it. A host that knows nothing at all does not wait.
func (g *Gossip) sync(t topic, peer string, before SyncRequest) {
	defer g.endSync(t)
	if before.Settings > 0 && before.Directory > 0 {
		time.Sleep(syncGrace)
	}
	member, ok := g.member(peer)
	own := g.parts.Host.Revisions()
	if !ok || !t.isBehind(own, &member) {
		return
	}
	response, err := g.fetch(member.Address, t.request(own))
	if err != nil {
		g.parts.Log.WithError(err).WithField("peer", peer).Warn("newer revisions can't be fetched from a peer")
		return
	}
	g.parts.Host.Apply(peer, response)
	g.Changed()
}

// member returns a copy of a live member.
func (g *Gossip) member(name string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	member, ok := g.members.live[name]
	if !ok {
		return Member{}, false
	}
	return *member, true
}

// fetch asks the peer at an address for what is newer than the given revisions. It blocks for
// at most syncTimeout.
func (g *Gossip) fetch(address string, request SyncRequest) (SyncResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	raw, err := g.parts.Network.Dial(ctx, address)
	if err != nil {
		return SyncResponse{}, merry.Wrap(err)
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	var response SyncResponse
	err = conn.Invoke(ctx, rpcSync, encoding{}, &request, &response)
	return response, merry.Wrap(err)
}

// syncHandler answers peers that lack a revision.
type syncHandler struct {
	host Host
	sent func(kind counters.PeerTraffic, bytes int)
	// sending holds a token for each snapshot that is being sent.
	sending chan struct{}
}

func newSyncHandler(host Host, sent func(kind counters.PeerTraffic, bytes int)) syncHandler {
	return syncHandler{host: host, sent: sent, sending: make(chan struct{}, maxSnapshots)}
}

// HandleRPC answers one call.
func (h syncHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != rpcSync {
		return merry.Errorf("unknown call %q", rpc)
	}
	var request SyncRequest
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return merry.Wrap(err)
	}
	response := h.host.Respond(request)
	if response.Snapshot != nil {
		select {
		case h.sending <- struct{}{}:
			defer func() { <-h.sending }()
		default:
			response.Snapshot = nil
		}
	}
	h.sent(counters.PeerSyncs, response.size())
	return merry.Wrap(stream.MsgSend(&response, encoding{}))
}

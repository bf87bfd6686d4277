package gossip

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"oxbowslip.dev/oxbowslip/internal/counters"
)

// topic is one of the things that a host may lack. They are fetched apart: a change
// of the settings must not wait for a large directory.
type topic int

const (
	topicSettings topic = iota
	topicDirectory
	topics
)

// want asks for what is newer of a topic, and for nothing else.
func (t topic) want(own Want) Want {
	if t == topicSettings {
		own.Directory = math.MaxUint64
		return own
	}
	own.Settings = math.MaxUint64
	return own
}

// behind reports whether a member has a newer revision of a topic than this host.
func (t topic) behind(own Want, member *Member) bool {
	if t == topicSettings {
		return member.Settings > own.Settings
	}
	return member.Directory > own.Directory
}

// catchUp fetches what a member has newer, unless the store brings it first.
func (g *Gossip) catchUp(member Member) {
	own := g.host.Revisions()
	for t := range topics {
		if t.behind(own, &member) && g.begin(t) {
			go g.fetch(t, member.Name, own)
		}
	}
}

// begin reports whether a fetch of a topic may begin: only one does at a time.
func (g *Gossip) begin(t topic) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.catching[t] {
		return false
	}
	g.catching[t] = true
	return true
}

func (g *Gossip) end(t topic) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.catching[t] = false
}

// fetch takes a topic from a member that told of a newer revision, after a grace for
// the store to bring it. A host that knows nothing at all does not wait.
func (g *Gossip) fetch(t topic, peer string, before Want) {
	defer g.end(t)
	if before.Settings > 0 && before.Directory > 0 {
		time.Sleep(catchUpGrace)
	}
	member, ok := g.member(peer)
	own := g.host.Revisions()
	if !ok || !t.behind(own, &member) {
		return
	}
	news, err := Fetch(member.Address, t.want(own))
	if err != nil {
		g.log.WithError(err).WithField("peer", peer).Warn("newer revisions can't be fetched from a peer")
		return
	}
	g.host.Take(peer, news)
	g.Changed()
}

// member gives a copy of a live member.
func (g *Gossip) member(name string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	member, ok := g.members.live[name]
	if !ok {
		return Member{}, false
	}
	return *member, true
}

// Fetch asks a peer for what is newer than the given revisions.
func Fetch(address string, want Want) (News, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return News{}, merry.Wrap(err)
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	var news News
	err = conn.Invoke(ctx, rpcNews, encoding{}, &want, &news)
	return news, merry.Wrap(err)
}

// maxSnapshots bounds the snapshots of the directory that a host sends at a time. More
// would share its link, and none would arrive in time; those that are turned away ask
// again, and by then others have it too.
const maxSnapshots = 4

// newsHandler answers peers that lack a revision.
type newsHandler struct {
	host Host
	sent func(kind counters.PeerTraffic, bytes int)
	// sending holds a token for each snapshot that is being sent.
	sending chan struct{}
}

func newNewsHandler(host Host, sent func(kind counters.PeerTraffic, bytes int)) newsHandler {
	return newsHandler{host: host, sent: sent, sending: make(chan struct{}, maxSnapshots)}
}

// HandleRPC answers one call.
func (h newsHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != rpcNews {
		return merry.Errorf("unknown call %q", rpc)
	}
	var want Want
	if err := stream.MsgRecv(&want, encoding{}); err != nil {
		return merry.Wrap(err)
	}
	news := h.host.Newer(want)
	if news.Snapshot != nil {
		select {
		case h.sending <- struct{}{}:
			defer func() { <-h.sending }()
		default:
			news.Snapshot = nil
		}
	}
	h.sent(counters.PeerNews, news.size())
	return merry.Wrap(stream.MsgSend(&news, encoding{}))
}

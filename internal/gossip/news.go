package gossip

import (
	"context"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// behind reports whether a peer has a newer revision than this host.
func (g *Gossip) behind(member *Member) bool {
	own := g.host.Revisions()
	return member.Settings > own.Settings || member.Directory > own.Directory
}

// catchUp fetches what a peer has newer, unless the store brings it first.
func (g *Gossip) catchUp(peer, address string) {
	g.mu.Lock()
	busy := g.catching
	g.catching = true
	g.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer g.caughtUp()
		before := g.host.Revisions()
		if before.Settings > 0 && before.Directory > 0 {
			time.Sleep(catchUpGrace)
		}
		g.mu.Lock()
		member, ok := g.members.live[peer]
		g.mu.Unlock()
		if !ok || !g.behind(member) {
			return
		}
		news, err := Fetch(address, g.host.Revisions())
		if err != nil {
			g.log.WithError(err).WithField("peer", peer).Warn("newer revisions can't be fetched from a peer")
			return
		}
		g.host.Take(peer, news)
	}()
}

func (g *Gossip) caughtUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.catching = false
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

// newsHandler answers peers that lack a revision.
type newsHandler struct{ host Host }

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
	return merry.Wrap(stream.MsgSend(&news, encoding{}))
}

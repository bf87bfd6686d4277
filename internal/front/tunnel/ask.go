package tunnel

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
)

// opening is the result of asking a peer.
type opening struct {
	peer Peer
	conn *Conn
	err  error
}

// dialThrough asks peers to connect to an endpoint: another one if one can't, and twice as many as before if none answers
// in time. It returns as soon as one has connected.
func (d *Dialer) dialThrough(ctx context.Context, target upstream.Target) (io.ReadWriteCloser, error) {
	q := &query{results: make(chan opening, maxAsked), peers: d.parts.Peers.Peers(), asked: make(map[string]bool)}
	for width := 1; ; {
		d.ask(ctx, q, target, width)
		if len(q.failed) == len(q.asked) {
			d.recordUnreached(q)
			return nil, q.err()
		}
		hedge := time.NewTimer(helperHedge)
		select {
		case r := <-q.results:
			width = 1
			if r.err == nil {
				delete(q.asked, r.peer.Name)
				d.recordReached(&r.peer, q)
				go q.closeOthers()
				return r.conn, nil
			}
			q.failed = append(q.failed, r)
		case <-hedge.C:
			width *= 2
		case <-ctx.Done():
			go q.closeOthers()
			hedge.Stop()
			if err := q.err(); errors.Is(err, syscall.ECONNREFUSED) {
				// Peers that don't answer, such as those on another side of a partition, say nothing of the endpoint.
				return nil, err
			}
			return nil, merry.Wrap(errUnreached, merry.AppendMessage(ctx.Err().Error()))
		}
		hedge.Stop()
	}
}

// query asks peers for one connection.
type query struct {
	results chan opening
	peers   []Peer
	// asked are the peers that have been asked, except for the one that has connected. Failed are their failures.
	asked  map[string]bool
	failed []opening
}

// connecting returns the number of peers that have tried to connect, or may be trying.
func (q *query) connecting() int {
	number := len(q.asked)
	for i := range q.failed {
		if errors.Is(q.failed[i].err, errDeclined) {
			number--
		}
	}
	return number
}

// closeOthers closes the tunnels that are opened although they are no longer needed.
func (q *query) closeOthers() {
	for range len(q.asked) - len(q.failed) {
		if r := <-q.results; r.err == nil {
			r.conn.Close()
		}
	}
}

// err returns the error of an endpoint that none of the asked peers has reached: that of a peer that tried, or
// errDeclined if none has.
func (q *query) err() error {
	err := merry.Wrap(errNoHelper)
	for _, r := range q.failed {
		switch {
		case errors.Is(r.err, errUnreached):
			return r.err
		case errors.Is(err, errNoHelper) || errors.Is(r.err, syscall.ECONNREFUSED):
			err = r.err
		}
	}
	return err
}

// ask asks a number of further peers, or fewer if no more are to be asked.
func (d *Dialer) ask(ctx context.Context, q *query, target upstream.Target, number int) {
	for range number {
		if q.connecting() >= maxConnecting || len(q.asked) >= maxAsked {
			return
		}
		d.mu.Lock()
		peer, ok := d.helpers.choose(d.parts.Clock(), q.peers, q.asked, target.Zone, d.parts.Random)
		d.mu.Unlock()
		if !ok {
			return
		}
		q.asked[peer.Name] = true
		go func() {
			conn, err := d.open(ctx, &peer, target)
			q.results <- opening{peer, conn, err}
		}()
	}
}

// recordReached records that a peer has reached an endpoint. The others that were asked have failed or were slower.
func (d *Dialer) recordReached(peer *Peer, q *query) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened++
	now := d.parts.Clock()
	for i := range q.peers {
		if q.asked[q.peers[i].Name] {
			d.helpers.recordFailure(now, &q.peers[i])
		}
	}
	d.helpers.recordSuccess(peer)
}

// recordUnreached records the peers that did not try to connect to an endpoint. Whether the others have failed is unknown.
func (d *Dialer) recordUnreached(q *query) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range q.failed {
		if errors.Is(q.failed[i].err, errDeclined) {
			d.helpers.recordFailure(d.parts.Clock(), &q.failed[i].peer)
		}
	}
}

// open opens a tunnel through a peer.
func (d *Dialer) open(ctx context.Context, peer *Peer, target upstream.Target) (*Conn, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopWatching := context.AfterFunc(ctx, cancel)
	stream, release, err := d.parts.Peers.OpenStream(streamCtx, peer.Address, RPC)
	if err != nil {
		cancel()
		return nil, merry.Wrap(errDeclined, merry.AppendMessagef("%s: %v", peer.Name, err))
	}
	end := func() {
		cancel()
		release()
	}
	if err := exchangeOpen(stream, peer, target); err != nil {
		end()
		return nil, err
	}
	if !stopWatching() {
		end()
		return nil, merry.Wrap(ctx.Err())
	}
	return newConn(stream, end), nil
}

// exchangeOpen asks a peer for a tunnel on a new stream.
func exchangeOpen(stream drpc.Stream, peer *Peer, target upstream.Target) error {
	request := OpenRequest{Endpoint: target.ID, Address: target.Address, Timeout: target.ConnectTimeout}
	var reply OpenReply
	err := stream.MsgSend(&request, envelope.Encoding{})
	if err == nil {
		err = stream.MsgRecv(&reply, envelope.Encoding{})
	}
	if err != nil {
		return merry.Wrap(errDeclined, merry.AppendMessagef("%s: %v", peer.Name, err))
	}
	switch reply.Result {
	case Connected:
		return nil
	case Refused:
		return merry.Prependf(syscall.ECONNREFUSED, "through %s", peer.Name)
	case Unreachable:
		return merry.Wrap(errUnreached, merry.AppendMessagef("%s: %s", peer.Name, reply.Detail))
	}
	return merry.Wrap(errDeclined, merry.AppendMessagef("%s: %s", peer.Name, reply.Detail))
}

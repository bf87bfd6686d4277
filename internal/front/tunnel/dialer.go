// Package tunnel connects this host to endpoints through a peer when the host has lost its own path to them. It serves
// oxbowslip-front.
//
// A tunnel carries the bytes of one connection; the host that owns a request still places, sends and retries it, so that
// all rules on requests hold as with connections of its own. The package owns the state of this host's paths (paths.go),
// the choice of the peer (helpers.go), and the tunnels that this host serves (server.go). It relies on package gossip for
// the peers and for the streams to them, and package upstream uses it as its Dialer.
package tunnel

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/logging"
)

const (
	// maxConnecting bounds the peers that try to connect for this host, maxAsked those that are asked: a peer that has lost
	// its own path declines within a round trip. With half of the hosts cut off, one of seven helps in 127 of 128 cases.
	maxConnecting = 7
	maxAsked      = 12
	// helperHedge is the time without a result after which twice as many peers are asked as well.
	helperHedge = 40 * time.Millisecond
	// minAlertTimeout is the least time for opening a tunnel while paths are lost. Otherwise it is the connect timeout, so
	// that a request to an endpoint that nobody reaches is sent elsewhere soon.
	minAlertTimeout = 250 * time.Millisecond
	// maxPathLines bounds the log lines per second about lost and restored paths.
	maxPathLines = 5
)

var (
	// errNoHelper is the error if there is no peer to ask.
	errNoHelper = merry.Sentinel("no peer is left to connect through")
	// errDeclined is the error of a peer that did not try to connect, or could not be asked.
	errDeclined = merry.Sentinel("the peer declined")
	// errUnreached is the error of a peer that could not connect for another reason than a refusal.
	errUnreached = merry.Sentinel("the peer did not reach the endpoint")
	// errUnconfirmed is the error if this host was refused and no peer confirms that the endpoint refuses connections.
	errUnconfirmed = merry.Sentinel("refused, which no peer confirms")
)

// Peers are the other hosts. Its methods are safe for concurrent use.
type Peers interface {
	// Peers returns the live hosts, without this one.
	Peers() []Peer
	// OpenStream opens a stream to the host at an address, on a connection of its own. The stream ends with ctx. Release
	// closes the connection and must be called.
	OpenStream(ctx context.Context, address, rpc string) (stream drpc.Stream, release func(), err error)
}

// Parts are the dependencies of a Dialer.
type Parts struct {
	// Direct connects to endpoints over this host's own path.
	Direct upstream.Dialer
	Peers  Peers
	// Zone is this host's availability zone.
	Zone string
	// PathLost is called with the ID of an endpoint to which this host has lost its path, but which a peer reaches.
	PathLost func(endpoint string)
	Log      *logrus.Entry
	Clock    func() time.Time
	// Random returns numbers in [0, 1).
	Random func() float64
}

// Dialer connects to endpoints, over this host's own path or through a peer, whichever connects first. It is safe for
// concurrent use.
type Dialer struct {
	parts   Parts
	sampler *logging.Sampler

	mu      sync.Mutex
	paths   *paths
	helpers *helpers
	opened  uint64
}

// New returns a Dialer.
func New(parts Parts) *Dialer {
	return &Dialer{parts: parts, sampler: logging.NewSampler(maxPathLines), paths: newPaths(), helpers: newHelpers(parts.Zone)}
}

// attempt is the result of connecting over one path.
type attempt struct {
	conn io.ReadWriteCloser
	err  error
}

// Dial implements upstream.Dialer. The error is syscall.ECONNREFUSED only if peers were refused as well, or no peer can
// be asked.
func (d *Dialer) Dial(ctx context.Context, target upstream.Target) (io.ReadWriteCloser, error) {
	d.mu.Lock()
	now := d.parts.Clock()
	isLost, mustRecheck, headStart := d.paths.isLost(target.Address), d.paths.takeRecheck(now, target.Address), d.paths.headStart(now, target.ConnectTimeout)
	d.mu.Unlock()
	if mustRecheck {
		go d.recheck(target)
	}
	if isLost {
		return d.dialLost(ctx, target)
	}
	return d.race(ctx, target, headStart)
}

// dialLost connects to an endpoint to which the path is lost. The path may work again, so it is the last resort.
func (d *Dialer) dialLost(ctx context.Context, target upstream.Target) (io.ReadWriteCloser, error) {
	through := <-d.startTunnel(ctx, target)
	if through.err == nil {
		return through.conn, nil
	}
	conn, err := d.dialOwn(ctx, target)
	if err != nil {
		return nil, d.joinErrors(err, through.err)
	}
	return conn, nil
}

// race connects over this host's own path, and through a peer as well if that fails or takes longer than headStart.
func (d *Dialer) race(ctx context.Context, target upstream.Target, headStart time.Duration) (io.ReadWriteCloser, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	own := d.startOwn(ctx, target)
	timer := time.NewTimer(headStart)
	defer timer.Stop()
	var ownErr error
	select {
	case a := <-own:
		if a.err == nil {
			return a.conn, nil
		}
		own, ownErr = nil, a.err
	case <-timer.C:
	case <-ctx.Done():
		go discard(own)
		return nil, merry.Wrap(ctx.Err())
	}
	through := d.startTunnel(ctx, target)
	for {
		select {
		case a := <-own:
			if a.err == nil {
				go discard(through)
				return a.conn, nil
			}
			own, ownErr = nil, a.err
		case a := <-through:
			if a.err == nil {
				go d.confirmLoss(target, own)
				return a.conn, nil
			}
			if own == nil {
				return nil, d.joinErrors(ownErr, a.err)
			}
			select {
			case last := <-own:
				if last.err != nil {
					return nil, d.joinErrors(last.err, a.err)
				}
				return last.conn, nil
			case <-ctx.Done():
				go discard(own)
				return nil, merry.Wrap(ctx.Err())
			}
		}
	}
}

// confirmLoss records the loss of the path to an endpoint that a peer has reached, unless this host's own attempt, which
// is nil if it has failed, still succeeds.
func (d *Dialer) confirmLoss(target upstream.Target, own <-chan attempt) {
	if own != nil {
		if a := <-own; a.err == nil {
			a.conn.Close()
			return
		}
	}
	d.recordLost(target)
}

// joinErrors returns the error of a connection that neither this host nor a peer could open. OwnErr is nil if this host
// did not try. It is upstream.ErrPathLost if the endpoint may be sound: no peer has tried to connect to it, or connections
// were refused while paths are lost, since a cut may refuse them too, at this host as well as at a peer.
func (d *Dialer) joinErrors(ownErr, tunnelErr error) error {
	if ownErr == nil {
		ownErr = tunnelErr
	}
	isRefused := errors.Is(ownErr, syscall.ECONNREFUSED)
	switch {
	case errors.Is(tunnelErr, errNoHelper):
		return ownErr
	case errors.Is(tunnelErr, errDeclined), isRefused && d.isAlert():
		return merry.Wrap(upstream.ErrPathLost, merry.AppendMessagef("%v, %v", ownErr, tunnelErr))
	case isRefused && !errors.Is(tunnelErr, syscall.ECONNREFUSED):
		return merry.Wrap(errUnconfirmed, merry.AppendMessagef("%v, %v", ownErr, tunnelErr))
	}
	return ownErr
}

// tunnelTimeout returns how long to try to open a tunnel.
func (d *Dialer) tunnelTimeout(connectTimeout time.Duration) time.Duration {
	if d.isAlert() {
		return max(connectTimeout, minAlertTimeout)
	}
	return connectTimeout
}

func (d *Dialer) isAlert() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.isAlert(d.parts.Clock())
}

// discard closes the connection of an attempt that is no longer needed.
func discard(result <-chan attempt) {
	if a := <-result; a.err == nil {
		a.conn.Close()
	}
}

// startTunnel connects through a peer.
func (d *Dialer) startTunnel(ctx context.Context, target upstream.Target) <-chan attempt {
	result := make(chan attempt, 1)
	go func() {
		target.ConnectTimeout = d.tunnelTimeout(target.ConnectTimeout)
		ctx, cancel := context.WithTimeout(ctx, target.ConnectTimeout)
		defer cancel()
		conn, err := d.dialThrough(ctx, target)
		result <- attempt{conn, err}
	}()
	return result
}

// startOwn connects over this host's own path. It is not aborted when a tunnel is faster, since its result shows whether
// the path is lost.
func (d *Dialer) startOwn(ctx context.Context, target upstream.Target) <-chan attempt {
	result := make(chan attempt, 1)
	go func() {
		conn, err := d.dialOwn(context.WithoutCancel(ctx), target)
		result <- attempt{conn, err}
	}()
	return result
}

func (d *Dialer) dialOwn(ctx context.Context, target upstream.Target) (io.ReadWriteCloser, error) {
	conn, err := d.parts.Direct.Dial(ctx, target)
	d.mu.Lock()
	if err != nil {
		d.paths.recordOwnFailure(target.Address)
		d.mu.Unlock()
		return nil, err
	}
	restored, lostFor := d.paths.recordOwn(d.parts.Clock(), target.Address)
	left := d.paths.countLost()
	d.mu.Unlock()
	if restored {
		d.log(logrus.InfoLevel, target, logrus.Fields{"lost_ms": lostFor.Milliseconds(), "lost": left}, "this host reaches the endpoint itself again")
	}
	return conn, nil
}

// recordLost records that a peer has connected to an endpoint and this host has not.
func (d *Dialer) recordLost(target upstream.Target) {
	d.mu.Lock()
	isNew := d.paths.recordLost(d.parts.Clock(), target.Address)
	lost := d.paths.countLost()
	d.mu.Unlock()
	if !isNew {
		return
	}
	d.log(logrus.WarnLevel, target, logrus.Fields{"lost": lost}, "this host has lost its path to an endpoint that a peer reaches, calls go through peers")
	d.parts.PathLost(target.ID)
}

// log writes a line about a path, unless there are too many.
func (d *Dialer) log(level logrus.Level, target upstream.Target, fields logrus.Fields, message string) {
	leftOut, ok := d.sampler.Allow(d.parts.Clock())
	if !ok {
		return
	}
	if leftOut > 0 {
		fields["lines_left_out"] = leftOut
	}
	d.parts.Log.WithFields(logrus.Fields{"endpoint": target.ID, "address": target.Address}).WithFields(fields).Log(level, message)
}

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

// Check implements upstream.Dialer. It asks peers only if this host can't connect.
func (d *Dialer) Check(ctx context.Context, target upstream.Target) (io.ReadWriteCloser, upstream.Reach, error) {
	var ownErr error
	if !d.HasLostPath(target.Address) {
		conn, err := d.dialOwn(ctx, target)
		if err == nil {
			return conn, upstream.ReachedDirectly, nil
		}
		ownErr = err
	}
	through := <-d.startTunnel(ctx, target)
	if through.err != nil {
		return nil, upstream.Unreachable, d.joinErrors(ownErr, through.err)
	}
	d.recordLost(target)
	return through.conn, upstream.ReachedByPeer, nil
}

// MayReuse implements upstream.Dialer.
func (d *Dialer) MayReuse(conn io.ReadWriteCloser, target upstream.Target) bool {
	_, isTunnel := conn.(*Conn)
	d.mu.Lock()
	now := d.parts.Clock()
	isLost, mayReuseOwn := d.paths.isLost(target.Address), d.paths.mayReuseOwn(now, target.Address)
	mustRecheck := isTunnel && d.paths.takeRecheck(now, target.Address)
	d.mu.Unlock()
	if mustRecheck {
		go d.recheck(target)
	}
	if isTunnel {
		return isLost
	}
	return mayReuseOwn
}

// recheck finds out whether a lost path works again.
func (d *Dialer) recheck(target upstream.Target) {
	if conn, err := d.dialOwn(context.Background(), target); err == nil {
		conn.Close()
	}
}

// HasLostPath reports whether this host has lost its own path to an address.
func (d *Dialer) HasLostPath(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.isLost(address)
}

// Lost returns the number of endpoints to which this host has lost its own path.
func (d *Dialer) Lost() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.countLost()
}

// Opened returns the number of tunnels that this host has opened.
func (d *Dialer) Opened() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened
}

// Expire drops state that is no longer needed. It is called about once a second.
func (d *Dialer) Expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.parts.Clock()
	d.paths.expire(now)
	d.helpers.expire(now)
}

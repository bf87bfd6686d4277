// Package tunnel connects this host to endpoints through a peer when the host has lost its own path to them. It serves
// oxbowslip-front.
//
// A tunnel carries the bytes of one connection; the host that owns a request still places, sends and retries it, so that
// all rules on requests hold as with connections of its own. The package owns the state of this host's paths (paths.go),
// the race of the own path against a tunnel (race.go), the opening of tunnels through peers (ask.go),
// the choice of the peer (helpers.go), and the tunnels that this host serves (server.go). It relies on package gossip for
// the peers and for the streams to them, and package upstream uses it as its Dialer.
package tunnel

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"

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

package tunnel

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

const (
	endpointID = "endpoint-1"
	testZone   = "zone-a"
)

// endpoint is a TCP server that runs a function for each connection.
type endpoint struct {
	listener net.Listener
}

func startEndpoint(c *qt.C, serve func(conn *net.TCPConn)) *endpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return &endpoint{listener: listener}
}

func (e *endpoint) target() upstream.Target {
	return upstream.Target{ID: endpointID, Address: e.listener.Addr().String(), Zone: testZone, ConnectTimeout: time.Second}
}

// echo sends back what it receives.
func echo(conn *net.TCPConn) {
	defer conn.Close()
	_, _ = io.Copy(conn, conn)
}

// ownPath is a host's own path: it connects unless it has an error.
type ownPath struct {
	upstream.DirectDialer
	err   error
	dials atomic.Int32
	// release ends the wait of a path that drops packets, if it is set.
	release chan struct{}
}

// Dial implements upstream.Dialer.
func (p *ownPath) Dial(ctx context.Context, target upstream.Target) (io.ReadWriteCloser, error) {
	p.dials.Add(1)
	if p.release != nil {
		<-p.release
	}
	if p.err != nil {
		return nil, p.err
	}
	return p.DirectDialer.Dial(ctx, target)
}

// peers is a fleet of hosts that serve tunnels. It implements Peers.
type peers struct {
	mu      sync.Mutex
	names   []string
	servers map[string]*drpcserver.Server
	conns   []net.Conn
}

// callHandler serves the call RPC with a Server.
type callHandler struct{ server *Server }

// HandleRPC implements drpc.Handler.
func (h callHandler) HandleRPC(stream drpc.Stream, _ string) error { return h.server.Handle(stream) }

// add adds a host with its own path to the endpoints.
func (p *peers) add(e *endpoint, path *ownPath, hasLostPath bool) *Server {
	server := NewServer(ServerParts{
		Direct: path, HasLostPath: func(string) bool { return hasLostPath }, CountSent: func(int) {},
		Endpoint: func(id string) (settings.Endpoint, bool) {
			return settings.Endpoint{Address: e.target().Address}, id == endpointID
		},
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers == nil {
		p.servers = make(map[string]*drpcserver.Server)
	}
	name := fmt.Sprintf("host-%d", len(p.names)+2)
	p.names = append(p.names, name)
	p.servers[name] = drpcserver.New(callHandler{server})
	return server
}

// Peers implements Peers.
func (p *peers) Peers() []Peer {
	var list []Peer
	for _, name := range p.names {
		list = append(list, Peer{Name: name, Address: name, Zone: testZone})
	}
	return list
}

// OpenStream implements Peers.
func (p *peers) OpenStream(ctx context.Context, address, rpc string) (drpc.Stream, func(), error) {
	ours, theirs := net.Pipe()
	p.mu.Lock()
	p.conns = append(p.conns, theirs)
	server := p.servers[address]
	p.mu.Unlock()
	// Serving ends with an error when the connection is closed.
	go func() { _ = server.ServeOne(context.Background(), theirs) }()
	conn := drpcconn.New(ours)
	stream, err := conn.NewStream(ctx, rpc, envelope.Encoding{})
	return stream, func() { conn.Close() }, err
}

// kill closes all connections, as if the hosts had ended.
func (p *peers) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
}

// newTestDialer returns the dialer of a host with its own path. Lost receives the endpoints to which the path is lost.
func newTestDialer(p *peers, path *ownPath, lost chan<- string) *Dialer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Parts{
		Direct: path, Peers: p, Zone: testZone, PathLost: func(id string) { lost <- id }, Log: logrus.NewEntry(log), Clock: time.Now,
		Random: func() float64 { return 0 },
	})
}

// errTimeout is the error of a path on which packets are dropped.
var errTimeout = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

// openTunnel opens a connection to an endpoint through the only peer.
func openTunnel(c *qt.C, e *endpoint) (*Conn, *peers, *Server) {
	p := new(peers)
	server := p.add(e, new(ownPath), false)
	conn, err := newTestDialer(p, &ownPath{err: errTimeout}, make(chan string, 1)).Dial(context.Background(), e.target())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn.(*Conn), p, server
}

func TestTunnelCarriesBytes(t *testing.T) {
	c := qt.New(t)
	conn, _, _ := openTunnel(c, startEndpoint(c, echo))
	sent := bytes.Repeat([]byte("0123456789"), 20_000)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(sent)
		written <- err
	}()
	got := make([]byte, len(sent))
	_, err := io.ReadFull(conn, got)
	c.Assert(err, qt.IsNil)
	c.Check(<-written, qt.IsNil)
	c.Check(bytes.Equal(got, sent), qt.IsTrue)
	c.Check(conn.IsQuiet(), qt.IsTrue)
}

// TestEndOfTunnel checks that only an endpoint that closes its connection ends a tunnel without an error. Otherwise a
// truncated answer without a length would count as complete.
func TestEndOfTunnel(t *testing.T) {
	const answer = "answer"
	answered := make(chan struct{}, 1)
	tests := map[string]struct {
		serve func(conn *net.TCPConn)
		after func(p *peers)
		want  error
	}{
		"closed by the endpoint": {
			serve: func(conn *net.TCPConn) {
				_, _ = conn.Write([]byte(answer))
				conn.Close()
			},
			want: nil,
		},
		"reset by the endpoint": {
			serve: func(conn *net.TCPConn) {
				_, _ = conn.Write([]byte(answer))
				<-answered
				_ = conn.SetLinger(0)
				conn.Close()
			},
			after: func(*peers) { answered <- struct{}{} },
			want:  errReset,
		},
		"the peer ends": {
			serve: func(conn *net.TCPConn) { _, _ = conn.Write([]byte(answer)) },
			after: (*peers).kill,
			want:  upstream.ErrPathLost,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			conn, p, _ := openTunnel(c, startEndpoint(c, test.serve))
			got := make([]byte, len(answer))
			_, err := io.ReadFull(conn, got)
			c.Assert(err, qt.IsNil)
			c.Check(string(got), qt.Equals, answer)
			if test.after != nil {
				test.after(p)
			}
			_, err = io.ReadAll(conn)
			c.Check(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(conn.IsQuiet(), qt.IsFalse)
		})
	}
}

// TestEndBeforeEverythingWasForwarded checks that a tunnel does not end in order if its endpoint has closed the connection
// before the peer had forwarded everything. Peers of older versions do not say so.
func TestEndBeforeEverythingWasForwarded(t *testing.T) {
	const written = 300
	tests := map[string]struct {
		forwarded []byte
		want      error
	}{
		"everything":          {binary.AppendUvarint(nil, written), io.EOF},
		"a part":              {binary.AppendUvarint(nil, written-1), errReset},
		"nothing":             {binary.AppendUvarint(nil, 0), errReset},
		"not stated":          {nil, io.EOF},
		"not a number at all": {[]byte{0xff}, errReset},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn := new(Conn)
			conn.written.Add(written)
			qt.Check(t, errors.Is(conn.endError(test.forwarded), test.want), qt.IsTrue)
		})
	}
}

// TestClosedTunnelClosesConnection checks that an endpoint learns at once that its caller has disconnected.
func TestClosedTunnelClosesConnection(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	conn, _, server := openTunnel(c, startEndpoint(c, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}))
	c.Assert(conn.Close(), qt.IsNil)
	<-closed
	c.Check(server.Drain(context.Background()), qt.Equals, 0)
}

// TestLeavingHostEndsIdleTunnels checks that a host that stops finishes the calls that it carries, and gets no others.
func TestLeavingHostEndsIdleTunnels(t *testing.T) {
	c := qt.New(t)
	e := startEndpoint(c, echo)
	conn, p, server := openTunnel(c, e)
	server.Leave()
	for conn.IsQuiet() {
		time.Sleep(time.Millisecond)
	}
	_, err := conn.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, 1))
	c.Check(err, qt.IsNil, qt.Commentf("the current call is not cut off"))
	_, err = newTestDialer(p, &ownPath{err: errTimeout}, make(chan string, 1)).Dial(context.Background(), e.target())
	c.Check(err, qt.ErrorMatches, "(?s).*leaving.*")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Check(server.Drain(ctx), qt.Equals, 1)
	conn.Close()
	c.Check(server.Drain(context.Background()), qt.Equals, 0)
}

// TestDial checks what a host concludes from its own attempt and those of its peers.
func TestDial(t *testing.T) {
	const (
		sound = iota
		refused
		timedOut
		declines
	)
	paths := map[int]*ownPath{sound: {}, refused: {err: errRefused}, timedOut: {err: errTimeout}, declines: {}}
	tests := map[string]struct {
		own   error
		peers []int
		// tunneled is set if the connection leads through a peer, refused and lost if the error says that the endpoint has
		// exited, or that it may be sound.
		tunneled, refused, lost bool
	}{
		"own path":                               {own: nil, peers: []int{sound}},
		"own path lost":                          {own: errTimeout, peers: []int{sound}, tunneled: true},
		"own path refuses":                       {own: errRefused, peers: []int{sound}, tunneled: true},
		"a peer's path is lost too":              {own: errTimeout, peers: []int{timedOut, sound}, tunneled: true},
		"a peer is refused too":                  {own: errRefused, peers: []int{refused, refused, sound}, tunneled: true},
		"most peers decline":                     {own: errTimeout, peers: []int{declines, declines, declines, declines, sound}, tunneled: true},
		"endpoint exited":                        {own: errRefused, peers: []int{refused, refused}, refused: true},
		"endpoint exited, one host":              {own: errRefused, refused: true},
		"endpoint unreachable":                   {own: errTimeout, peers: []int{timedOut}},
		"refused, but peers time out":            {own: errRefused, peers: []int{timedOut}},
		"all peers have lost their paths":        {own: errTimeout, peers: []int{declines, declines}, lost: true},
		"refused, and peers have lost the paths": {own: errRefused, peers: []int{declines}, lost: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := startEndpoint(c, echo)
			p := new(peers)
			for _, kind := range test.peers {
				p.add(e, paths[kind], kind == declines)
			}
			lost := make(chan string, 1)
			d := newTestDialer(p, &ownPath{err: test.own}, lost)
			conn, err := d.Dial(context.Background(), e.target())
			if err == nil {
				defer conn.Close()
			}
			_, tunneled := conn.(*Conn)
			c.Check(tunneled, qt.Equals, test.tunneled)
			c.Check(err == nil, qt.Equals, test.own == nil || test.tunneled, qt.Commentf("%v", err))
			c.Check(errors.Is(err, syscall.ECONNREFUSED), qt.Equals, test.refused, qt.Commentf("%v", err))
			c.Check(errors.Is(err, upstream.ErrPathLost), qt.Equals, test.lost, qt.Commentf("%v", err))
			if test.tunneled && tunneled {
				c.Check(<-lost, qt.Equals, endpointID)
			}
			c.Check(d.HasLostPath(e.target().Address), qt.Equals, test.tunneled)
		})
	}
}

// TestDialEndsWithCaller checks that no connection is waited for once the caller has left.
func TestDialEndsWithCaller(t *testing.T) {
	c := qt.New(t)
	p, e := new(peers), startEndpoint(c, echo)
	silent := &ownPath{release: make(chan struct{})}
	p.add(e, &ownPath{err: errTimeout}, false)
	d := newTestDialer(p, silent, make(chan string, 1))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := d.Dial(ctx, e.target())
	c.Check(errors.Is(err, context.Canceled), qt.IsTrue, qt.Commentf("%v", err))
	close(silent.release)
}

// TestRefusalWhilePathsAreLost checks that refused connections are no sign of a crash while the host's paths are lost:
// the hosts may be cut off by resets.
func TestRefusalWhilePathsAreLost(t *testing.T) {
	c := qt.New(t)
	p, e := new(peers), startEndpoint(c, echo)
	p.add(e, &ownPath{err: errRefused}, false)
	d := newTestDialer(p, &ownPath{err: errRefused}, make(chan string, 1))
	d.recordLost(upstream.Target{ID: "other", Address: "10.0.0.9:80"})
	_, err := d.Dial(context.Background(), e.target())
	c.Check(errors.Is(err, upstream.ErrPathLost), qt.IsTrue, qt.Commentf("%v", err))
}

// TestPeersAreNotAskedOverSoundPath checks that tunnels cost nothing while no path is lost.
func TestPeersAreNotAskedOverSoundPath(t *testing.T) {
	c := qt.New(t)
	p, e := new(peers), startEndpoint(c, echo)
	server := p.add(e, new(ownPath), false)
	d := newTestDialer(p, new(ownPath), make(chan string, 1))
	for range 20 {
		conn, err := d.Dial(context.Background(), e.target())
		c.Assert(err, qt.IsNil)
		c.Check(d.MayReuse(conn, e.target()), qt.IsTrue)
		conn.Close()
	}
	c.Check(server.Opened(), qt.Equals, uint64(0))
	c.Check(d.paths.byAddress, qt.HasLen, 0)
}

// TestUnknownEndpointIsDeclined checks that a host does not connect peers to arbitrary addresses.
func TestUnknownEndpointIsDeclined(t *testing.T) {
	c := qt.New(t)
	p, e := new(peers), startEndpoint(c, echo)
	path := new(ownPath)
	p.add(e, path, false)
	d := newTestDialer(p, &ownPath{err: errTimeout}, make(chan string, 1))
	target := e.target()
	target.ID = "endpoint-2"
	_, err := d.Dial(context.Background(), target)
	c.Check(err, qt.ErrorMatches, "(?s).*unknown endpoint.*")
	c.Check(path.dials.Load(), qt.Equals, int32(0))
}

// TestGoldenMessages checks the encoding of the messages between hosts.
func TestGoldenMessages(t *testing.T) {
	for name, message := range map[string]any{
		"open-request": &OpenRequest{Endpoint: "i-1", Address: "10.0.0.1:80", Timeout: 250 * time.Millisecond},
		"open-reply":   &OpenReply{Result: Declined, Detail: "unknown endpoint"},
		"chunk":        &Chunk{Kind: ChunkLeaving, Data: []byte("GET / HTTP/1.1")},
		"chunk-end":    &Chunk{Kind: ChunkEnd, Data: binary.AppendUvarint(nil, 900_000)},
	} {
		t.Run(name, func(t *testing.T) { golden.Message(t, name, message) })
	}
}

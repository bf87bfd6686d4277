package tunnel

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
)

// countingConn counts the bytes that pass between two hosts.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingPeers counts the bytes of tunnels.
type countingPeers struct {
	*peers
	bytes atomic.Int64
}

// OpenStream implements Peers.
func (p *countingPeers) OpenStream(ctx context.Context, address, rpc string) (drpc.Stream, func(), error) {
	ours, theirs := net.Pipe()
	server := p.servers[address]
	// Serving ends with an error when the connection is closed.
	go func() { _ = server.ServeOne(context.Background(), theirs) }()
	conn := drpcconn.New(countingConn{ours, &p.bytes})
	stream, err := conn.NewStream(ctx, rpc, envelope.Encoding{})
	return stream, func() { conn.Close() }, err
}

// BenchmarkTunnel measures both ends of a tunnel: opening it, and a stream of 17 events of 300 B for a call of 1 KB.
// Metric peer_B/op is the bytes between the two hosts.
func BenchmarkTunnel(b *testing.B) {
	const requestBytes, eventBytes, events = 1 << 10, 300, 17
	c := qt.New(b)
	e := startEndpoint(c, func(conn *net.TCPConn) {
		defer conn.Close()
		request, event := make([]byte, requestBytes), make([]byte, eventBytes)
		for {
			if _, err := io.ReadFull(conn, request); err != nil {
				return
			}
			for range events {
				_, _ = conn.Write(event)
			}
		}
	})
	p := &countingPeers{peers: new(peers)}
	p.add(e, new(ownPath), false)
	d := newTestDialer(p.peers, &ownPath{err: errTimeout}, make(chan string, 1))
	d.parts.Peers = p
	open := func() io.ReadWriteCloser {
		conn, err := d.Dial(context.Background(), e.target())
		c.Assert(err, qt.IsNil)
		return conn
	}
	b.Run("open", func(b *testing.B) {
		p.bytes.Store(0)
		for b.Loop() {
			open().Close()
		}
		b.ReportMetric(float64(p.bytes.Load())/float64(b.N), "peer_B/op")
	})
	b.Run("call", func(b *testing.B) {
		conn := open()
		defer conn.Close()
		p.bytes.Store(0)
		request, answer := make([]byte, requestBytes), make([]byte, events*eventBytes)
		for b.Loop() {
			_, err := conn.Write(request)
			c.Assert(err, qt.IsNil)
			_, err = io.ReadFull(conn, answer)
			c.Assert(err, qt.IsNil)
		}
		b.ReportMetric(float64(p.bytes.Load())/float64(b.N), "peer_B/op")
	})
}

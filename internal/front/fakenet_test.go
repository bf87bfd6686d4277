package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// linkDelay is the latency of a datagram.
const linkDelay = time.Millisecond

// errRefused is returned by Dial if no host listens on the address.
var errRefused = errors.New("connection refused")

// fakeNetwork connects the hosts of a test in memory.
type fakeNetwork struct {
	mu          sync.Mutex
	packetConns map[string]*fakePacketConn
	listeners   map[string]*fakeListener
	// drops reports whether a datagram is lost.
	drops func(from, to string) bool
	// unresponsive contains the hosts that accept connections but never answer on them.
	unresponsive map[string]bool
	// sent counts the datagrams that each host has sent.
	sent map[string]int
	// dials holds the times of the connections to each host.
	dials map[string][]time.Time
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		packetConns: make(map[string]*fakePacketConn), listeners: make(map[string]*fakeListener),
		drops: func(string, string) bool { return false }, unresponsive: make(map[string]bool), dials: make(map[string][]time.Time), sent: make(map[string]int),
	}
}

// Listen implements gossip.Network.
func (n *fakeNetwork) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &fakeListener{address: fakeAddress(address), pending: make(chan net.Conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// ListenPacket implements gossip.Network.
func (n *fakeNetwork) ListenPacket(address string) (net.PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := &fakePacketConn{network: n, address: fakeAddress(address), received: make(chan datagram, 1<<16), closed: make(chan struct{})}
	n.packetConns[address] = p
	return p, nil
}

// Dial implements gossip.Network.
func (n *fakeNetwork) Dial(_ context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.listeners[address]
	if !ok {
		return nil, errRefused
	}
	n.dials[address] = append(n.dials[address], time.Now())
	ours, theirs := net.Pipe()
	if !n.unresponsive[address] {
		l.pending <- theirs
	}
	return ours, nil
}

// maxDials returns the largest number of connections to one host within any span that starts after a time.
func (n *fakeNetwork) maxDials(after time.Time, span time.Duration) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	result := 0
	for _, dials := range n.dials {
		for i, first := range dials {
			count := 0
			for _, at := range dials[i:] {
				if at.Sub(first) < span {
					count++
				}
			}
			if first.After(after) {
				result = max(result, count)
			}
		}
	}
	return result
}

// deliver delivers a datagram after linkDelay, unless it is lost.
func (n *fakeNetwork) deliver(data []byte, from, to string) {
	n.mu.Lock()
	n.sent[from]++
	target, ok := n.packetConns[to]
	lost := n.drops(from, to)
	n.mu.Unlock()
	if !ok || lost {
		return
	}
	time.AfterFunc(linkDelay, func() { target.received <- datagram{data: data, from: fakeAddress(from)} })
}

// update changes the network's state under its lock.
func (n *fakeNetwork) update(change func(n *fakeNetwork)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

type fakeAddress string

func (fakeAddress) Network() string  { return "memory" }
func (a fakeAddress) String() string { return string(a) }

type datagram struct {
	data []byte
	from fakeAddress
}

// fakePacketConn is the datagram socket of a host.
type fakePacketConn struct {
	network  *fakeNetwork
	address  fakeAddress
	received chan datagram
	closed   chan struct{}
}

func (p *fakePacketConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case d := <-p.received:
		return copy(buffer, d.data), d.from, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *fakePacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	p.network.deliver(append([]byte(nil), data...), string(p.address), to.String())
	return len(data), nil
}

func (p *fakePacketConn) Close() error {
	close(p.closed)
	return nil
}

func (p *fakePacketConn) LocalAddr() net.Addr                { return p.address }
func (p *fakePacketConn) SetDeadline(_ time.Time) error      { return nil }
func (p *fakePacketConn) SetReadDeadline(_ time.Time) error  { return nil }
func (p *fakePacketConn) SetWriteDeadline(_ time.Time) error { return nil }

// fakeListener accepts the connections to a host.
type fakeListener struct {
	address fakeAddress
	pending chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *fakeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.pending:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *fakeListener) Close() error {
	// Both drpc and gossip close the listener.
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *fakeListener) Addr() net.Addr { return l.address }

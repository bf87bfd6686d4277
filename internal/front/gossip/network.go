package gossip

import (
	"context"
	"net"
)

// Network connects a host to its peers: connections for syncs, datagrams for heartbeats. Addresses have the form
// IP:PORT. Its methods may be called concurrently.
type Network interface {
	Listen(address string) (net.Listener, error)
	ListenPacket(address string) (net.PacketConn, error)
	// Dial blocks until the connection is established or refused, or ctx ends.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// IPNetwork is the Network of the operating system: TCP and UDP.
type IPNetwork struct{}

// Listen listens for TCP connections.
func (IPNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// ListenPacket listens for UDP datagrams.
func (IPNetwork) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp", address)
}

// Dial opens a TCP connection.
func (IPNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

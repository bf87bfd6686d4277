package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"oxbowslip.dev/oxbowslip/internal/deadpeer"
)

// connect returns a kept connection that still works, or makes one.
func (c *Client) connect(ctx context.Context, call *Call) (*connection, error) {
	for {
		conn := c.take(call.Address)
		if conn == nil {
			return c.dial(ctx, call)
		}
		if c.clock().Before(conn.expires) && conn.quiet() {
			return conn, nil
		}
		conn.Close()
	}
}

func (c *Client) dial(ctx context.Context, call *Call) (*connection, error) {
	timeout := call.ConnectTimeout
	if timeout == 0 {
		timeout = defaultConnect
	}
	dialer := &net.Dialer{
		Timeout: timeout,
		Control: deadpeer.Control(c.config.DeadPeer),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes,
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufBytes)}, nil
}

// HasExited reports whether the process at an address has ended: the machine is there, and nothing listens. A connection
// that is made is kept for a later call. It blocks until ctx ends at the latest; the error says that it can't be known.
func (c *Client) HasExited(ctx context.Context, address string) (bool, error) {
	conn, err := c.dial(ctx, &Call{Address: address})
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return true, nil
	case err != nil:
		return false, merry.Wrap(err)
	}
	c.keepUnused(address, conn)
	return false, nil
}

// keepUnused keeps a connection on which nothing was sent for a later call.
func (c *Client) keepUnused(address string, conn *connection) {
	if conn.expires.IsZero() {
		conn.expires = c.clock().Add(c.config.KeepIdle)
	}
	c.keep(address, conn)
}

func (c *Client) take(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[address]
	if len(kept) == 0 {
		return nil
	}
	conn := kept[len(kept)-1]
	c.idle[address] = kept[:len(kept)-1]
	return conn
}

func (c *Client) keep(address string, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[address]) >= idlePerAddress {
		conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], conn)
}

// CloseExpired closes the kept connections that were idle for too long.
func (c *Client) CloseExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	for address, kept := range c.idle {
		fresh := kept[:0]
		for _, conn := range kept {
			if now.Before(conn.expires) {
				fresh = append(fresh, conn)
				continue
			}
			conn.Close()
		}
		c.idle[address] = fresh
		if len(fresh) == 0 {
			delete(c.idle, address)
		}
	}
}

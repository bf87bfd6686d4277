package upstream

import (
	"bufio"
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// connect returns an idle connection that is still usable, or opens one.
func (c *Client) connect(ctx context.Context, call *Call) (*connection, error) {
	for {
		conn := c.takeIdle(call.Target.Address)
		if conn == nil {
			return c.dial(ctx, call)
		}
		if c.clock().Before(conn.expires) && conn.isQuiet() {
			return conn, nil
		}
		conn.Close()
	}
}

func (c *Client) dial(ctx context.Context, call *Call) (*connection, error) {
	timeout := call.ConnectTimeout
	if timeout == 0 {
		timeout = defaultConnectTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.config.Dialer.Dial(ctx, call.Target)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufBytes)}, nil
}

// HasExited reports whether the process of an endpoint has exited: the machine refuses connections. If it connects, the
// connection is kept for a later call. It returns when ctx ends at the latest. An error means that the state of the
// process is unknown.
func (c *Client) HasExited(ctx context.Context, endpoint, address string) (bool, error) {
	conn, err := c.dial(ctx, &Call{Target: Target{ID: endpoint, Address: address}})
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return true, nil
	case err != nil:
		return false, merry.Wrap(err)
	}
	c.putUnused(address, conn)
	return false, nil
}

// putUnused keeps a connection on which no call was sent for a later call.
func (c *Client) putUnused(address string, conn *connection) {
	if conn.expires.IsZero() {
		conn.expires = c.clock().Add(c.config.KeepIdle)
	}
	c.putIdle(address, conn)
}

func (c *Client) takeIdle(address string) *connection {
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

func (c *Client) putIdle(address string, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[address]) >= maxIdlePerAddress {
		conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], conn)
}

// CloseExpired closes the idle connections that have expired.
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

package upstream

import (
	"bufio"
	"context"
	"io"
)

// Connection is an open connection that is kept for a certain call.
type Connection struct {
	client  *Client
	conn    *connection
	address string
}

// Close gives the connection back to the client, if no call was sent on it.
func (c *Connection) Close() error {
	c.client.putUnused(c.address, c.conn)
	return nil
}

// Connect opens a connection for a call to a target. It must be used for a call or closed. Idle connections are not used,
// since they may be dead.
func (c *Client) Connect(ctx context.Context, target Target) (*Connection, error) {
	conn, err := c.dial(ctx, &Call{Target: target})
	if err != nil {
		return nil, err
	}
	return &Connection{client: c, conn: conn, address: target.Address}, nil
}

// connect returns the connection of the call, an idle one that is still usable, or a new one.
func (c *Client) connect(ctx context.Context, call *Call) (*connection, error) {
	if call.Connection != nil {
		return call.Connection.conn, nil
	}
	for {
		conn := c.takeIdle(call.Target.Address)
		if conn == nil {
			return c.dial(ctx, call)
		}
		if conn.hasCarried(call.ID) {
			conn.Close()
			continue
		}
		if c.clock().Before(conn.expires) && c.config.Dialer.MayReuse(conn.ReadWriteCloser, call.Target) && conn.isQuiet() {
			return conn, nil
		}
		conn.Close()
	}
}

func (c *Client) dial(ctx context.Context, call *Call) (*connection, error) {
	target := call.Target
	if target.ConnectTimeout == 0 {
		target.ConnectTimeout = defaultConnectTimeout
	}
	conn, err := c.config.Dialer.Dial(ctx, target)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		// The caller left while one of several attempts succeeded.
		conn.Close()
		return nil, context.Cause(ctx)
	}
	return c.newConnection(conn), nil
}

func (c *Client) newConnection(conn io.ReadWriteCloser) *connection {
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	connection := &connection{ReadWriteCloser: conn, clock: c.clock}
	connection.source.Reader = connection
	connection.reader = bufio.NewReaderSize(&connection.source, readBufBytes)
	return connection
}

// putUnused keeps a connection on which no call was sent for a later call.
func (c *Client) putUnused(address string, conn *connection) {
	if conn.expires.IsZero() {
		conn.expires = c.clock().Add(c.config.KeepIdle)
	}
	c.putIdle(address, conn)
}

// HasIdle reports whether a connection to an address is kept for a later call.
func (c *Client) HasIdle(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[address]
	return len(kept) > 0 && c.clock().Before(kept[len(kept)-1].expires)
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

// CloseExpired closes the idle connections that have expired, and the idle tunnels that have ended.
func (c *Client) CloseExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	for address, kept := range c.idle {
		fresh := kept[:0]
		for _, conn := range kept {
			if now.Before(conn.expires) && !conn.hasEndedTunnel() {
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

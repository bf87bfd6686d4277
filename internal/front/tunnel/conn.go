package tunnel

import (
	"encoding/binary"
	"io"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
)

// chunkBytes is the maximum number of data bytes in a chunk.
const chunkBytes = 16 << 10

// errReset is the error of a tunnel whose connection to the endpoint has broken.
var errReset = merry.Sentinel("the endpoint broke the connection to the peer")

// Conn is a connection to an endpoint through a peer. One goroutine may read and another one write.
type Conn struct {
	stream drpc.Stream
	// release closes the connection to the peer.
	release func()

	// received passes data from the receiving goroutine to Read. It is closed when the tunnel has ended, after endErr was
	// set.
	received chan []byte
	endErr   error
	rest     []byte
	// written is the number of bytes that were sent to the peer for the endpoint.
	written atomic.Uint64
	// pending counts the received data that wait for Read. isEnding is set once the tunnel must not be used for another
	// call.
	pending   atomic.Int32
	isEnding  atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

func newConn(stream drpc.Stream, release func()) *Conn {
	c := &Conn{stream: stream, release: release, received: make(chan []byte), closed: make(chan struct{})}
	go c.receive()
	return c
}

// receive passes data to Read until the tunnel ends.
func (c *Conn) receive() {
	defer close(c.received)
	defer c.isEnding.Store(true)
	for {
		var chunk Chunk
		if err := c.stream.MsgRecv(&chunk, envelope.Encoding{}); err != nil {
			// Only ChunkEnd means that the endpoint has sent everything: a peer that dies ends its connections as well.
			c.endErr = merry.Wrap(upstream.ErrPathLost, merry.AppendMessage(err.Error()))
			return
		}
		switch chunk.Kind {
		case ChunkData:
			c.pending.Add(1)
			select {
			case c.received <- chunk.Data:
			case <-c.closed:
				c.endErr = merry.Wrap(io.ErrClosedPipe)
				return
			}
		case ChunkEnd:
			c.endErr = c.endError(chunk.Data)
			return
		case ChunkReset:
			c.endErr = merry.Wrap(errReset)
			return
		case ChunkLeaving:
			c.isEnding.Store(true)
		}
	}
}

// endError returns the error of a connection that the endpoint has closed when the peer had forwarded some bytes to it:
// io.EOF, unless more bytes were written. A peer of an older version does not state their number.
func (c *Conn) endError(forwarded []byte) error {
	if len(forwarded) == 0 {
		return io.EOF
	}
	if number, _ := binary.Uvarint(forwarded); number < c.written.Load() {
		return merry.Wrap(errReset)
	}
	return io.EOF
}

// Read reads bytes that the endpoint has sent. It returns io.EOF only if the endpoint has closed the connection in order
// (package tcpend).
func (c *Conn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		data, ok := <-c.received
		if !ok {
			return 0, c.endErr
		}
		c.pending.Add(-1)
		c.rest = data
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write sends bytes to the endpoint.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		size := min(len(p)-written, chunkBytes)
		c.written.Add(uint64(size))
		if err := c.stream.MsgSend(&Chunk{Data: p[written : written+size]}, envelope.Encoding{}); err != nil {
			return written, merry.Wrap(upstream.ErrPathLost, merry.AppendMessage(err.Error()))
		}
		written += size
	}
	return written, nil
}

// Close ends the tunnel, upon which the peer closes its connection to the endpoint.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.release()
	})
	return nil
}

// IsTunnel marks the connection as one through a peer, for package upstream.
func (c *Conn) IsTunnel() bool { return true }

// IsQuiet reports whether the idle tunnel may be used for another call: it has not ended, and no unread bytes have
// arrived.
func (c *Conn) IsQuiet() bool {
	return !c.isEnding.Load() && c.pending.Load() == 0 && len(c.rest) == 0
}

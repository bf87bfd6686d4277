package tunnel

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

const (
	// maxServed bounds the tunnels that a host serves at a time. Each takes two descriptors and some 50 KB.
	maxServed = 500
	// maxServedConnect bounds the time that a peer may ask this host to spend on connecting.
	maxServedConnect = time.Second
	// drainPollInterval is how often Drain looks whether tunnels are left.
	drainPollInterval = 10 * time.Millisecond
)

// ServerParts are the dependencies of a Server.
type ServerParts struct {
	// Direct connects to endpoints over this host's own path. Tunnels never lead through a third host.
	Direct upstream.Dialer
	// HasLostPath reports whether this host can't connect to an address itself.
	HasLostPath func(address string) bool
	// Endpoint returns the entry of an endpoint by its ID.
	Endpoint func(id string) (settings.Endpoint, bool)
	// CountSent counts the bytes sent to peers.
	CountSent func(bytes int)
}

// Server connects peers to endpoints. It is safe for concurrent use.
type Server struct {
	parts ServerParts

	mu        sync.Mutex
	served    map[*served]struct{}
	isLeaving bool
	opened    uint64
}

// served is a tunnel of a peer.
type served struct {
	stream drpc.Stream
	// sending serializes the messages to the peer.
	sending sync.Mutex
	// forwarded is the number of the peer's bytes that were handed to the connection to the endpoint.
	forwarded atomic.Uint64
}

// NewServer returns a Server without tunnels.
func NewServer(parts ServerParts) *Server {
	return &Server{parts: parts, served: make(map[*served]struct{})}
}

// Handle serves a tunnel until it ends.
func (s *Server) Handle(stream drpc.Stream) error {
	var request OpenRequest
	if err := stream.MsgRecv(&request, envelope.Encoding{}); err != nil {
		return merry.Wrap(err)
	}
	t := &served{stream: stream}
	if problem := s.admit(t, &request); problem != "" {
		return t.send(&OpenReply{Result: Declined, Detail: problem})
	}
	defer s.remove(t)
	conn, err := s.connect(stream.Context(), &request)
	if err != nil {
		result := Unreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			result = Refused
		}
		return t.send(&OpenReply{Result: result, Detail: err.Error()})
	}
	defer conn.Close()
	if err := t.send(&OpenReply{Result: Connected}); err != nil {
		return err
	}
	go t.forwardToEndpoint(conn)
	return s.forwardToPeer(t, conn)
}

// admit adds a tunnel, or returns the reason why this host does not connect.
func (s *Server) admit(t *served, request *OpenRequest) string {
	endpoint, ok := s.parts.Endpoint(request.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !ok || endpoint.Address != request.Address:
		return "unknown endpoint"
	case s.parts.HasLostPath(request.Address):
		return "this host has lost its path to the endpoint"
	case s.isLeaving:
		return "this host is leaving"
	case len(s.served) >= maxServed:
		return "this host serves too many tunnels"
	}
	s.served[t] = struct{}{}
	s.opened++
	return ""
}

func (s *Server) remove(t *served) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.served, t)
}

func (s *Server) connect(ctx context.Context, request *OpenRequest) (io.ReadWriteCloser, error) {
	timeout := min(request.Timeout, maxServedConnect)
	return s.parts.Direct.Dial(ctx, upstream.Target{ID: request.Endpoint, Address: request.Address, ConnectTimeout: timeout})
}

// forwardToEndpoint writes what the peer sends. It closes the connection to the endpoint when the tunnel ends, upon which
// the endpoint aborts the call.
func (t *served) forwardToEndpoint(conn io.ReadWriteCloser) {
	defer conn.Close()
	for {
		var chunk Chunk
		if err := t.stream.MsgRecv(&chunk, envelope.Encoding{}); err != nil {
			return
		}
		// Counted before the endpoint can receive them.
		t.forwarded.Add(uint64(len(chunk.Data)))
		if _, err := conn.Write(chunk.Data); err != nil {
			return
		}
	}
}

// forwardToPeer sends what the endpoint sends, until the connection or the tunnel ends.
func (s *Server) forwardToPeer(t *served, conn io.ReadWriteCloser) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			s.parts.CountSent(n)
			if sendErr := t.send(&Chunk{Data: buffer[:n]}); sendErr != nil {
				return sendErr
			}
		}
		switch {
		case err == io.EOF:
			return t.send(&Chunk{Kind: ChunkEnd, Data: binary.AppendUvarint(nil, t.forwarded.Load())})
		case err != nil:
			return t.send(&Chunk{Kind: ChunkReset})
		}
	}
}

func (t *served) send(message drpc.Message) error {
	t.sending.Lock()
	defer t.sending.Unlock()
	return merry.Wrap(t.stream.MsgSend(message, envelope.Encoding{}))
}

// Leave declines new tunnels, and asks the peers to end theirs after the current call.
func (s *Server) Leave() {
	s.mu.Lock()
	s.isLeaving = true
	var open []*served
	for t := range s.served {
		open = append(open, t)
	}
	s.mu.Unlock()
	for _, t := range open {
		// A tunnel whose peer does not read must not delay the others; one that has ended returns an error.
		go func() { _ = t.send(&Chunk{Kind: ChunkLeaving}) }()
	}
}

// Drain waits until no tunnel is left or ctx ends. It returns the number of tunnels that are left.
func (s *Server) Drain(ctx context.Context) int {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		left := s.Served()
		if left == 0 {
			return 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return left
		}
	}
}

// Served returns the number of tunnels that this host serves.
func (s *Server) Served() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.served)
}

// Opened returns the number of tunnels that this host has served so far.
func (s *Server) Opened() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

package peer

import (
	"context"
	"crypto/hmac"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/change"
	"oxbowslip.dev/oxbowslip/internal/daemon/shard"
	"oxbowslip.dev/oxbowslip/internal/intake"
)

// ownerReconnectTimeout is how long after the loss of its link an owner's requests are kept. It is
// twice receiveTimeout, which leaves time for a new link.
const ownerReconnectTimeout = 2 * time.Second

// Server accepts the links of owners on behalf of this host's schedulers.
type Server struct {
	parts ServerParts

	mu sync.Mutex
	// sessions holds the newest session of each owner, until no message of the session can be
	// applied any more.
	sessions map[string]*session
	leaving  bool
	cancel   context.CancelFunc
	ended    chan struct{}
}

// session is an owner's link.
type session struct {
	owner string
	queue chan wireDecision
	// closed is set once the queue is closed, which closes the link.
	closed  bool
	leaving chan struct{}
	// ended is closed once all messages received on this link have been applied.
	ended chan struct{}
}

// ServerParts are the dependencies of a Server.
type ServerParts struct {
	// Self is this host's name. Key is the key that all peers share.
	Self  string
	Key   string
	Clock func() time.Time
	// Apply passes an owner's message to a scheduler. DropOwner removes all requests of an owner.
	Apply     func(shard string, m *shard.Message)
	DropOwner func(owner string)
	// Settings returns the settings in force. OnRevision receives an owner's revision of them.
	Settings   func() change.Document
	OnRevision func(revision uint64)
}

// NewServer returns a server that is not listening yet.
func NewServer(parts ServerParts) *Server {
	return &Server{parts: parts, sessions: make(map[string]*session), ended: make(chan struct{})}
}

// Serve accepts links in the background until Close.
func (s *Server) Serve(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() {
		defer close(s.ended)
		calls := drpcserver.New(s)
		intake.Serve(ctx, listener, func(ctx context.Context, conn net.Conn) {
			// The error is that of the peer or of its connection, and the peer has it as well.
			_ = calls.ServeOne(ctx, conn)
		})
	}()
}

// Close closes all links.
func (s *Server) Close() {
	s.cancel()
	<-s.ended
}

// AnnounceLeaving notifies all owners that this host no longer schedules.
func (s *Server) AnnounceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for _, session := range s.sessions {
		close(session.leaving)
	}
}

// Deliver sends a decision to an owner. Without a link the decision is dropped: the owner announces
// its requests again when it reconnects, or has moved them to another scheduler.
func (s *Server) Deliver(shardName string, d admission.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	session, ok := s.sessions[d.Owner]
	if !ok || session.closed {
		return
	}
	select {
	case session.queue <- encodeDecision(s.parts.Clock(), shardName, &d):
	default:
		// An owner whose queue overflows is treated as disconnected.
		session.close()
	}
}

// close closes the link if it is open. The server's lock is held.
func (s *session) close() {
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
}

// HandleRPC authenticates the owner and serves a link or a request for the settings.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	owner, err := s.authenticate(stream)
	if err != nil {
		return err
	}
	switch rpc {
	case rpcLink:
	case rpcSettings:
		return s.sendSettings(stream)
	default:
		return merry.Errorf("unknown call %q", rpc)
	}
	session, old := s.openSession(owner)
	if old != nil {
		<-old.ended
	}
	// The owner announces all its requests on a new link. Its earlier state is dropped first, since
	// requests may have ended while there was no link.
	s.parts.DropOwner(owner)
	go s.write(stream, session)
	err = s.read(stream, owner)
	close(session.ended)
	s.endSession(session)
	return err
}

func (s *Server) authenticate(stream drpc.Stream) (string, error) {
	var hello frame
	if err := stream.MsgRecv(&hello, encoding{}); err != nil {
		return "", merry.Wrap(err)
	}
	nonce := newNonce()
	challenge := frame{Kind: kindChallenge, Host: s.parts.Self, Nonce: nonce, Proof: proof(s.parts.Key, roleScheduler, hello.Nonce)}
	if err := stream.MsgSend(&challenge, encoding{}); err != nil {
		return "", merry.Wrap(err)
	}
	var answer frame
	if err := stream.MsgRecv(&answer, encoding{}); err != nil {
		return "", merry.Wrap(err)
	}
	if !hmac.Equal(answer.Proof, proof(s.parts.Key, roleOwner, nonce)) {
		return "", merry.Wrap(ErrWrongKey)
	}
	return hello.Host, nil
}

// openSession creates a session and closes the owner's previous one, if any. No message of the
// previous session is applied after its ended channel is closed.
func (s *Server) openSession(owner string) (opened, old *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.sessions[owner]
	if ok {
		old.close()
	}
	session := &session{
		owner: owner, queue: make(chan wireDecision, queueLength), leaving: make(chan struct{}), ended: make(chan struct{}),
	}
	if s.leaving {
		close(session.leaving)
	}
	s.sessions[owner] = session
	return session, old
}

// endSession removes a session, and drops the owner's requests if it does not reconnect within
// ownerReconnectTimeout.
func (s *Server) endSession(ended *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[ended.owner] != ended {
		return
	}
	delete(s.sessions, ended.owner)
	ended.close()
	time.AfterFunc(ownerReconnectTimeout, func() {
		s.mu.Lock()
		_, back := s.sessions[ended.owner]
		s.mu.Unlock()
		if !back {
			s.parts.DropOwner(ended.owner)
			s.forceReconnect(ended.owner)
		}
	})
}

// forceReconnect closes the owner's link if it reconnected while its requests were being dropped,
// so that it announces them again on the next link.
func (s *Server) forceReconnect(owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session, ok := s.sessions[owner]; ok {
		session.close()
	}
}

func (s *Server) write(stream drpc.Stream, session *session) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	leaving := session.leaving
	for {
		f := frame{Kind: kindHeartbeat, Revision: s.parts.Settings().Revision}
		select {
		case decision, ok := <-session.queue:
			if !ok {
				// The owner has opened a newer link, or this one was lost. Closing the stream ends
				// the session in either case.
				_ = stream.Close()
				return
			}
			f = frame{Kind: kindDecisions, Decisions: batch(decision, session.queue)}
		case <-leaving:
			f = frame{Kind: kindLeaving}
			leaving = nil
		case <-ticker.C:
		case <-stream.Context().Done():
			return
		}
		if err := stream.MsgSend(&f, encoding{}); err != nil {
			return
		}
	}
}

func (s *Server) read(stream drpc.Stream, owner string) error {
	for {
		var f frame
		if err := stream.MsgRecv(&f, encoding{}); err != nil {
			return merry.Wrap(err)
		}
		if f.Kind == kindHeartbeat {
			s.parts.OnRevision(f.Revision)
		}
		now := s.parts.Clock()
		for i := range f.Messages {
			s.parts.Apply(f.Messages[i].Shard, f.Messages[i].decode(now, owner))
		}
	}
}

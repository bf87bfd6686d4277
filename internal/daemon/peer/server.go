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
)

// ownerGrace is how long an owner whose link is lost may stay away before its requests are dropped. Two silence limits,
// time for a link to be made again.
const ownerGrace = 2 * time.Second

// Server is this host's side, as a scheduler, of the links from owners.
type Server struct {
	parts ServerParts

	mu sync.Mutex
	// sessions holds the newest session of each owner, until none of its messages can be
	// applied any more.
	sessions map[string]*session
	leaving  bool
	cancel   context.CancelFunc
	ended    chan struct{}
}

// session is one owner's open link.
type session struct {
	owner string
	queue chan decisionForm
	// closed is set once the queue is closed, which breaks the link.
	closed bool
	leave  chan struct{}
	// ended is closed when no more of the owner's messages come from this link.
	ended chan struct{}
}

// ServerParts are what a server works with.
type ServerParts struct {
	// Self is this host's name, Key the one that all peers share.
	Self  string
	Key   string
	Clock func() time.Time
	// Apply hands an owner's message to a scheduler, Drop the end of an owner.
	Apply     func(shard string, m *shard.Message)
	DropOwner func(owner string)
	// Settings returns the settings in force, Newer is called with an owner's revision.
	Settings   func() change.Document
	OnRevision func(revision uint64)
}

// NewServer returns a server that does not listen yet.
func NewServer(parts ServerParts) *Server {
	return &Server{parts: parts, sessions: make(map[string]*session), ended: make(chan struct{})}
}

// Serve accepts links in the background until Close.
func (s *Server) Serve(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() {
		defer close(s.ended)
		// It ends when ctx is cancelled; its error says just that.
		_ = drpcserver.New(s).Serve(ctx, listener)
	}()
}

// Close breaks all links.
func (s *Server) Close() {
	s.cancel()
	<-s.ended
}

// AnnounceLeaving informs all owners that this host schedules no more.
func (s *Server) AnnounceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for _, session := range s.sessions {
		close(session.leave)
	}
}

// Deliver sends a decision to an owner. Without a link it is dropped: the owner
// announces its requests when it comes back, or another scheduler has them.
func (s *Server) Deliver(shardName string, d admission.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	session, ok := s.sessions[d.Owner]
	if !ok || session.closed {
		return
	}
	select {
	case session.queue <- decisionToForm(s.parts.Clock(), shardName, &d):
	default:
		// An owner that is so far behind is as good as gone.
		session.close()
	}
}

// close breaks the link if it is open. The server's lock is held.
func (s *session) close() {
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
}

// HandleRPC serves one link.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	owner, err := s.greet(stream)
	if err != nil {
		return err
	}
	switch rpc {
	case rpcLink:
	case rpcSettings:
		return s.answerSettings(stream)
	default:
		return merry.Errorf("unknown call %q", rpc)
	}
	session, old := s.enter(owner)
	if old != nil {
		<-old.ended
	}
	// The owner announces all it has on a new link. What is held of it from
	// before is dropped first: it may have ended while no link was there.
	s.parts.DropOwner(owner)
	go s.write(stream, session)
	err = s.read(stream, owner)
	close(session.ended)
	s.leave(session)
	return err
}

func (s *Server) greet(stream drpc.Stream) (string, error) {
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

// enter makes a session, and closes the owner's old one if there is one. No message of
// the old one is applied after its ended is closed.
func (s *Server) enter(owner string) (entered, old *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.sessions[owner]
	if ok {
		old.close()
	}
	session := &session{
		owner: owner, queue: make(chan decisionForm, queueLength), leave: make(chan struct{}), ended: make(chan struct{}),
	}
	if s.leaving {
		close(session.leave)
	}
	s.sessions[owner] = session
	return session, old
}

// leave ends a session, and drops the owner's requests if it does not come back
// in time.
func (s *Server) leave(ended *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[ended.owner] != ended {
		return
	}
	delete(s.sessions, ended.owner)
	ended.close()
	time.AfterFunc(ownerGrace, func() {
		s.mu.Lock()
		_, back := s.sessions[ended.owner]
		s.mu.Unlock()
		if !back {
			s.parts.DropOwner(ended.owner)
			s.renew(ended.owner)
		}
	})
}

// renew breaks an owner's link if it has come back while its requests were being
// dropped: it announces them again on the next.
func (s *Server) renew(owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session, ok := s.sessions[owner]; ok {
		session.close()
	}
}

func (s *Server) write(stream drpc.Stream, session *session) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	leave := session.leave
	for {
		f := frame{Kind: kindHeartbeat, Revision: s.parts.Settings().Revision}
		select {
		case form, ok := <-session.queue:
			if !ok {
				// The link of the same owner is open anew, or lost; either way this
				// one is over.
				_ = stream.Close()
				return
			}
			f = frame{Kind: kindDecisions, Decisions: batch(form, session.queue)}
		case <-leave:
			f = frame{Kind: kindLeaving}
			leave = nil
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
			s.parts.Apply(f.Messages[i].Shard, f.Messages[i].message(now, owner))
		}
	}
}

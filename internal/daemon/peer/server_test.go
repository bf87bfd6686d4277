package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// TestNewLinkWaitsForOldSession guards against a session that the server closed and that still
// applies a message after the owner's next link has dropped its requests. If the request had ended
// in between, its slot would never be freed.
func TestNewLinkWaitsForOldSession(t *testing.T) {
	tests := map[string]struct {
		// end ends the owner's first session.
		end  func(s *Server, first *session)
		want bool
	}{
		"replaced by a new link":         {func(*Server, *session) {}, true},
		"reconnect forced after timeout": {func(s *Server, _ *session) { s.forceReconnect("owner") }, true},
		"queue overflowed":               {func(s *Server, first *session) { overflow(s, first) }, true},
		"reconnect forced, then ended":   {func(s *Server, first *session) { s.forceReconnect("owner"); s.endSession(first) }, false},
		"closed by the owner":            {func(s *Server, first *session) { s.endSession(first) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := NewServer(ServerParts{Self: "self", Clock: time.Now, DropOwner: func(string) {}})
			first, old := s.openSession("owner")
			c.Assert(old, qt.IsNil)
			test.end(s, first)
			_, old = s.openSession("owner")
			c.Check(old == first, qt.Equals, test.want)
		})
	}
}

// overflow delivers decisions until the owner's queue overflows.
func overflow(s *Server, session *session) {
	for range cap(session.queue) + 1 {
		s.Deliver("shard", admission.Decision{Owner: session.owner})
	}
}

// TestOwnerThatFellBehindIsDropped guards against a slot leak: the requests of an owner whose queue
// overflowed, and which never reconnects, must be dropped as if the owner had closed the link
// itself.
func TestOwnerThatFellBehindIsDropped(t *testing.T) {
	c := qt.New(t)
	dropped := make(chan string, 1)
	s := NewServer(ServerParts{Self: "self", Clock: time.Now, DropOwner: func(owner string) { dropped <- owner }})
	session, _ := s.openSession("owner")
	overflow(s, session)
	s.endSession(session)
	c.Assert(<-dropped, qt.Equals, "owner")
}

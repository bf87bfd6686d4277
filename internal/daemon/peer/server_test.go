package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// TestAnEndedSessionIsWaitedFor is a fault that was found by reading, in search of the slot that
// stayed taken in TestCut (see TestAnEndedRequestStaysWithItsScheduler of package dispatch): a
// session that the server itself had ended could still apply an owner's message after the owner's
// next link had dropped its requests. If the request had ended meanwhile, nothing would ever free its
// slot.
func TestAnEndedSessionIsWaitedFor(t *testing.T) {
	tests := map[string]struct {
		// end ends the first session of the owner.
		end  func(s *Server, first *session)
		want bool
	}{
		"replaced by a new link":       {func(*Server, *session) {}, true},
		"renewed after the grace":      {func(s *Server, _ *session) { s.renew("owner") }, true},
		"too far behind":               {func(s *Server, first *session) { overflow(s, first) }, true},
		"renewed, and has ended since": {func(s *Server, first *session) { s.renew("owner"); s.leave(first) }, false},
		"left by itself":               {func(s *Server, first *session) { s.leave(first) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := NewServer(ServerParts{Self: "self", Clock: time.Now, DropOwner: func(string) {}})
			first, old := s.enter("owner")
			c.Assert(old, qt.IsNil)
			test.end(s, first)
			_, old = s.enter("owner")
			c.Check(old == first, qt.Equals, test.want)
		})
	}
}

// overflow delivers decisions until the owner counts as gone.
func overflow(s *Server, session *session) {
	for range cap(session.queue) + 1 {
		s.Deliver("shard", admission.Decision{Owner: session.owner})
	}
}

// TestAnOwnerThatFellBehindIsDropped failed while only links that the owner itself ended
// counted: an owner that fell too far behind and never came back kept its slots for good.
func TestAnOwnerThatFellBehindIsDropped(t *testing.T) {
	c := qt.New(t)
	dropped := make(chan string, 1)
	s := NewServer(ServerParts{Self: "self", Clock: time.Now, DropOwner: func(owner string) { dropped <- owner }})
	session, _ := s.enter("owner")
	overflow(s, session)
	s.leave(session)
	c.Assert(<-dropped, qt.Equals, "owner")
}

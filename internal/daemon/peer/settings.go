package peer

import (
	"context"
	"net"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"oxbowslip.dev/oxbowslip/internal/daemon/change"
)

// FetchSettings requests the settings of a peer. It returns a document of revision 0 if the peer
// has none newer than the given revision.
func FetchSettings(ctx context.Context, self, address, key string, newer uint64) (change.Document, error) {
	var none change.Document
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return none, merry.Wrap(err)
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	stream, err := conn.NewStream(ctx, rpcSettings, encoding{})
	if err != nil {
		return none, merry.Wrap(err)
	}
	defer stream.Close()
	watch := newWatchdog(raw)
	defer watch.stop()
	if err := authenticate(stream, self, key); err != nil {
		return none, err
	}
	if err := stream.MsgSend(&frame{Kind: kindSettingsRequest, Revision: newer}, encoding{}); err != nil {
		return none, merry.Wrap(err)
	}
	var answer frame
	if err := stream.MsgRecv(&answer, encoding{}); err != nil {
		return none, merry.Wrap(err)
	}
	return change.Document{Revision: answer.Revision, Data: answer.Data}, nil
}

func (s *Server) sendSettings(stream drpc.Stream) error {
	var want frame
	if err := stream.MsgRecv(&want, encoding{}); err != nil {
		return merry.Wrap(err)
	}
	answer := frame{Kind: kindSettings}
	if document := s.parts.Settings(); document.Revision > want.Revision {
		answer.Revision, answer.Data = document.Revision, document.Data
	}
	return merry.Wrap(stream.MsgSend(&answer, encoding{}))
}

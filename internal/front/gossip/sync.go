package gossip

import (
	"math"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// requestFor returns a request for newer data of one topic only. The topics are fetched separately so that a change of
// the settings does not wait for the transfer of a large directory.
func requestFor(t freshness.Topic, own SyncRequest) SyncRequest {
	if t == freshness.Settings {
		own.Directory = math.MaxUint64
		return own
	}
	own.Settings = math.MaxUint64
	return own
}

// isBehind reports whether a member has a newer revision of a topic than a host with the given revisions.
func isBehind(t freshness.Topic, own SyncRequest, member *Member) bool {
	if t == freshness.Settings {
		return member.Settings > own.Settings
	}
	return member.Directory > own.Directory
}

// StreamHandler serves a call that another package has added. It blocks until the call ends.
type StreamHandler func(stream drpc.Stream) error

// callHandler answers the calls of peers: those of hosts that lack a revision, and those that other packages have added.
type callHandler struct {
	host      Host
	streams   map[string]StreamHandler
	countSent func(kind counters.PeerTraffic, bytes int)
	// snapshotSlots holds a token for each snapshot that is being sent.
	snapshotSlots chan struct{}
}

func newCallHandler(host Host, streams map[string]StreamHandler, sent func(kind counters.PeerTraffic, bytes int)) callHandler {
	return callHandler{host: host, streams: streams, countSent: sent, snapshotSlots: make(chan struct{}, maxSnapshots)}
}

// errUnknownCall is the error for a call that this version does not have.
const errUnknownCall = "unknown call"

// HandleRPC answers one call.
func (h callHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case rpcSync:
		return h.answerSync(stream)
	case rpcChanges:
		return h.answerChanges(stream)
	}
	if handle, ok := h.streams[rpc]; ok {
		return handle(stream)
	}
	return merry.Errorf("%s %q", errUnknownCall, rpc)
}

// answerSync answers a SyncRequest.
func (h callHandler) answerSync(stream drpc.Stream) error {
	var request SyncRequest
	if err := stream.MsgRecv(&request, envelope.Encoding{}); err != nil {
		return merry.Wrap(err)
	}
	response := h.host.Respond(request)
	if response.Snapshot != nil {
		select {
		case h.snapshotSlots <- struct{}{}:
			defer func() { <-h.snapshotSlots }()
		default:
			response.Snapshot = nil
		}
	}
	h.countSent(counters.PeerSyncs, response.size())
	return merry.Wrap(stream.MsgSend(&response, envelope.Encoding{}))
}

// answerChanges answers a ChangesRequest.
func (h callHandler) answerChanges(stream drpc.Stream) error {
	var request ChangesRequest
	if err := stream.MsgRecv(&request, envelope.Encoding{}); err != nil {
		return merry.Wrap(err)
	}
	response := h.host.Changes(request)
	h.countSent(counters.PeerSyncs, len(response.Entries)+len(response.States))
	return merry.Wrap(stream.MsgSend(&response, envelope.Encoding{}))
}

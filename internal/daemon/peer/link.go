package peer

import (
	"context"
	"crypto/hmac"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/daemon/shard"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// Timeouts and bounds of a link.
const (
	heartbeatInterval = 250 * time.Millisecond
	// receiveTimeout is how long a link may receive nothing before it is closed: four heartbeat
	// intervals.
	receiveTimeout = time.Second
	// dialTimeout bounds connecting to a peer.
	dialTimeout = time.Second
	// backoffResetTime is how long a link must have been open for its back-off to be reset.
	backoffResetTime = 2 * time.Second
	// queueLength bounds the messages queued for a link. A link whose queue overflows is closed;
	// its owner announces its requests again on the next one.
	queueLength = 16384
	// maxBatch bounds the messages in a frame.
	maxBatch = 256
)

// linkBackoff is the delay between attempts to connect.
var linkBackoff = backoff.Doubling{First: 100 * time.Millisecond, Longest: 2 * time.Second}

// Events are the callbacks of a link. They must not block.
type Events struct {
	// OnUp is called when a link has opened, OnDown when it was lost or can't be opened.
	OnUp   func(host string)
	OnDown func(host string)
	// OnLeaving is called when the peer reports that it no longer schedules.
	OnLeaving func(host string)
	// Revision returns this host's revision of the settings. OnRevision receives the peer's
	// revision.
	Revision   func() uint64
	OnRevision func(revision uint64)
	// OnDecision receives a decision of the peer's scheduler.
	OnDecision func(host, shard string, decision admission.Decision)
}

// LinkParts are the dependencies of a Link.
type LinkParts struct {
	// Self is this host's name. Host and Address are the peer's name and address. Key is the key
	// that all hosts share.
	Self    string
	Host    string
	Address string
	Key     string
	Clock   func() time.Time
	Events  Events
}

// Link is the connection from this host, as an owner of requests, to the schedulers of a peer.
type Link struct {
	parts LinkParts
	done  chan struct{}
	ended chan struct{}

	mu    sync.Mutex
	open  bool
	queue chan wireMessage
}

// Dial starts a link. The link connects in the background, and reconnects when it is lost, until
// Close.
func Dial(parts LinkParts) *Link {
	l := &Link{parts: parts, done: make(chan struct{}), ended: make(chan struct{})}
	go l.run()
	return l
}

// Close closes the link and waits for its goroutine to end.
func (l *Link) Close() {
	close(l.done)
	<-l.ended
}

// Send queues a message. Messages are dropped while the link is down: the owner announces all its
// requests when the link is up again.
func (l *Link) Send(shardName string, m *shard.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open {
		return
	}
	select {
	case l.queue <- encodeMessage(l.parts.Clock(), shardName, m):
	default:
		l.open = false
		close(l.queue)
	}
}

func (l *Link) run() {
	defer close(l.ended)
	ctx, cancel := lifetime.Context(l.done)
	defer cancel()
	for failures := 0; ctx.Err() == nil; failures++ {
		start := time.Now()
		// The error only triggers the next attempt; OnDown reports the failure.
		_ = l.connect(ctx)
		l.closeQueue()
		if ctx.Err() != nil {
			return
		}
		l.parts.Events.OnDown(l.parts.Host)
		if time.Since(start) > backoffResetTime {
			failures = 0
		}
		lifetime.Sleep(ctx, linkBackoff.Span(failures))
	}
}

func (l *Link) closeQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open {
		l.open = false
		close(l.queue)
	}
}

// connect opens the link and serves it until it fails.
func (l *Link) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", l.parts.Address)
	if err != nil {
		return merry.Wrap(err)
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	stream, err := conn.NewStream(ctx, rpcLink, encoding{})
	if err != nil {
		return merry.Wrap(err)
	}
	defer stream.Close()
	watch := newWatchdog(raw)
	defer watch.stop()
	if err := authenticate(stream, l.parts.Self, l.parts.Key); err != nil {
		return err
	}
	queue := make(chan wireMessage, queueLength)
	l.mu.Lock()
	l.queue, l.open = queue, true
	l.mu.Unlock()
	l.parts.Events.OnUp(l.parts.Host)
	go l.write(stream, raw, queue)
	return l.read(stream, watch)
}

// authenticate runs the client's side of the mutual authentication with the shared key.
func authenticate(stream drpc.Stream, self, key string) error {
	nonce := newNonce()
	if err := stream.MsgSend(&frame{Kind: kindHello, Host: self, Nonce: nonce}, encoding{}); err != nil {
		return merry.Wrap(err)
	}
	var challenge frame
	if err := stream.MsgRecv(&challenge, encoding{}); err != nil {
		return merry.Wrap(err)
	}
	if !hmac.Equal(challenge.Proof, proof(key, roleScheduler, nonce)) {
		return merry.Wrap(ErrWrongKey)
	}
	return merry.Wrap(stream.MsgSend(&frame{Kind: kindProof, Proof: proof(key, roleOwner, challenge.Nonce)}, encoding{}))
}

// write sends queued messages in batches, and heartbeats at each interval.
func (l *Link) write(stream drpc.Stream, raw net.Conn, queue chan wireMessage) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		f := frame{Kind: kindHeartbeat, Revision: l.parts.Events.Revision()}
		select {
		case message, ok := <-queue:
			if !ok {
				raw.Close()
				return
			}
			f = frame{Kind: kindMessages, Messages: batch(message, queue)}
		case <-ticker.C:
		case <-stream.Context().Done():
			return
		}
		if err := stream.MsgSend(&f, encoding{}); err != nil {
			return
		}
	}
}

// batch takes queued items without waiting, up to the bound of a frame.
func batch[T any](first T, queue <-chan T) []T {
	list := []T{first}
	for len(list) < maxBatch {
		select {
		case next, ok := <-queue:
			if !ok {
				return list
			}
			list = append(list, next)
		default:
			return list
		}
	}
	return list
}

func (l *Link) read(stream drpc.Stream, watch *watchdog) error {
	for {
		var f frame
		if err := stream.MsgRecv(&f, encoding{}); err != nil {
			return merry.Wrap(err)
		}
		watch.received()
		now := l.parts.Clock()
		switch f.Kind {
		case kindDecisions:
			for i := range f.Decisions {
				l.parts.Events.OnDecision(l.parts.Host, f.Decisions[i].Shard, f.Decisions[i].decode(now))
			}
		case kindLeaving:
			l.parts.Events.OnLeaving(l.parts.Host)
		case kindHeartbeat:
			l.parts.Events.OnRevision(f.Revision)
		}
	}
}

// watchdog closes a connection on which nothing is received for receiveTimeout.
type watchdog struct {
	timer *time.Timer
}

func newWatchdog(conn net.Conn) *watchdog {
	return &watchdog{timer: time.AfterFunc(receiveTimeout, func() { conn.Close() })}
}

func (w *watchdog) received() { w.timer.Reset(receiveTimeout) }

func (w *watchdog) stop() { w.timer.Stop() }

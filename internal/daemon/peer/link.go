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

// The times and bounds of a link.
const (
	heartbeatInterval = 250 * time.Millisecond
	// silenceLimit is how long a peer may send nothing before its link is given up: four
	// heartbeats.
	silenceLimit = time.Second
	// dialTimeout bounds connecting to a peer.
	dialTimeout = time.Second
	// steadyTime is how long a link must have been open for the back-off to start again.
	steadyTime = 2 * time.Second
	// queueLength bounds the messages that wait for a link. A link that is
	// further behind is given up; its owner announces everything anew then.
	queueLength = 16384
	// maxBatch bounds the messages of one frame.
	maxBatch = 256
)

// linkBackoff is the wait between two tries to connect.
var linkBackoff = backoff.Doubling{First: 100 * time.Millisecond, Longest: 2 * time.Second}

// Events are what a link reports to the host that it belongs to. The functions must
// not block.
type Events struct {
	// OnUp is called when a link is open, Down when it is lost or can't be opened.
	OnUp   func(host string)
	OnDown func(host string)
	// OnLeaving is called when the peer says that it schedules no more.
	OnLeaving func(host string)
	// Revision returns this host's revision of the settings, Newer hands over the
	// peer's.
	Revision   func() uint64
	OnRevision func(revision uint64)
	// OnDecision hands over a decision of the peer's scheduler.
	OnDecision func(host, shard string, decision admission.Decision)
}

// LinkParts are what a link works with.
type LinkParts struct {
	// Self is this host's name, Host and Address are the peer's, Key is the one that all share.
	Self    string
	Host    string
	Address string
	Key     string
	Clock   func() time.Time
	Events  Events
}

// Link is this host's connection, as an owner of requests, to the schedulers of
// a peer.
type Link struct {
	parts LinkParts
	done  chan struct{}
	ended chan struct{}

	mu    sync.Mutex
	open  bool
	queue chan messageForm
}

// Dial starts a link. It connects, and connects again when it is lost, until
// Close.
func Dial(parts LinkParts) *Link {
	l := &Link{parts: parts, done: make(chan struct{}), ended: make(chan struct{})}
	go l.run()
	return l
}

// Close ends the link.
func (l *Link) Close() {
	close(l.done)
	<-l.ended
}

// Send queues a message. While the link is down messages are dropped: once it
// is up, the owner announces everything.
func (l *Link) Send(shardName string, m *shard.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open {
		return
	}
	select {
	case l.queue <- toForm(l.parts.Clock(), shardName, m):
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
		begun := time.Now()
		// The error is the reason for trying again; Down reports it.
		_ = l.connect(ctx)
		l.shut()
		if ctx.Err() != nil {
			return
		}
		l.parts.Events.OnDown(l.parts.Host)
		if time.Since(begun) > steadyTime {
			failures = 0
		}
		lifetime.Sleep(ctx, linkBackoff.Span(failures))
	}
}

func (l *Link) shut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open {
		l.open = false
		close(l.queue)
	}
}

// connect opens the link and serves it until it breaks.
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
	if err := greet(stream, l.parts.Self, l.parts.Key); err != nil {
		return err
	}
	queue := make(chan messageForm, queueLength)
	l.mu.Lock()
	l.queue, l.open = queue, true
	l.mu.Unlock()
	l.parts.Events.OnUp(l.parts.Host)
	go l.write(stream, raw, queue)
	return l.read(stream, watch)
}

// greet proves both sides to each other.
func greet(stream drpc.Stream, self, key string) error {
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

// write sends queued messages in batches; heartbeats go in between.
func (l *Link) write(stream drpc.Stream, raw net.Conn, queue chan messageForm) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		f := frame{Kind: kindHeartbeat, Revision: l.parts.Events.Revision()}
		select {
		case form, ok := <-queue:
			if !ok {
				raw.Close()
				return
			}
			f = frame{Kind: kindMessages, Messages: batch(form, queue)}
		case <-ticker.C:
		case <-stream.Context().Done():
			return
		}
		if err := stream.MsgSend(&f, encoding{}); err != nil {
			return
		}
	}
}

// batch collects what is queued, up to the bound of a frame.
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
				l.parts.Events.OnDecision(l.parts.Host, f.Decisions[i].Shard, f.Decisions[i].decision(now))
			}
		case kindLeaving:
			l.parts.Events.OnLeaving(l.parts.Host)
		case kindHeartbeat:
			l.parts.Events.OnRevision(f.Revision)
		}
	}
}

// watchdog closes a connection on which nothing is received.
type watchdog struct {
	timer *time.Timer
}

func newWatchdog(conn net.Conn) *watchdog {
	return &watchdog{timer: time.AfterFunc(silenceLimit, func() { conn.Close() })}
}

func (w *watchdog) received() { w.timer.Reset(silenceLimit) }

func (w *watchdog) stop() { w.timer.Stop() }

// Package poller keeps the newest accepted settings in force on a host of oxbowslipd. It polls
// the head row of the platform's table with jitter, reads the changes since the revision that it
// has, and keeps what it has while the platform is away. oxbowslip-front follows a feed instead
// (package follow).
//
// It owns the document in force, and the form of the rows that hold the settings; package commit
// writes them.
package poller

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-json-experiment/json"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/daemon/change"
	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// HeadKey is the row that names the newest revision.
const HeadKey = "settings/head"

// Head is the value of the head row.
type Head struct {
	Revision uint64 `json:"revision"`
	// Snapshot is the revision of the newest whole tree in the object store,
	// SnapshotName its object.
	Snapshot     uint64 `json:"snapshot"`
	SnapshotName string `json:"snapshot_name"`
}

// ChangeKey returns the key of the row of an accepted change.
func ChangeKey(revision uint64) string {
	return fmt.Sprintf("settings/change/%020d", revision)
}

// SnapshotName returns the name of the object that holds a whole revision.
func SnapshotName(revision uint64, changeID string) string {
	return "settings-" + strconv.FormatUint(revision, 10) + "-" + changeID
}

// Follower keeps a holder up to date.
type Follower struct {
	parts Parts

	// ctx ends with Run. nudged says that a poll for a peer's newer revision is
	// under way.
	ctx    context.Context
	cancel context.CancelFunc
	nudged atomic.Bool

	mu       sync.Mutex
	document change.Document
	// problem is why nothing newer is in force, or nil.
	problem error
	// currentAt is when the platform or a peer last showed that nothing newer is
	// known.
	currentAt time.Time
}

// FetchFromPeers asks other hosts for their settings while the platform is away. It
// returns the newest document that is newer than the revision, if any, and whether
// any peer answered.
type FetchFromPeers func(ctx context.Context, newer uint64) (document change.Document, answered bool)

// grace is how long a host that reaches neither the platform nor a peer trusts its settings. The same as maxIsolation
// of package front.
const grace = 30 * time.Second

// Parts are what a follower works with.
type Parts struct {
	Client   *tableclient.Client
	Holder   *settings.Holder
	Counters *counters.Counters
	Log      *logrus.Entry
	// Interval is the mean time between two reads of the head row.
	Interval time.Duration
	// FetchFromPeers are asked while the platform is away.
	FetchFromPeers FetchFromPeers
	Clock          func() time.Time
	// Random returns numbers from 0 up to 1.
	Random func() float64
}

// New returns a follower that has read nothing.
func New(p Parts) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	return &Follower{parts: p, ctx: ctx, cancel: cancel, currentAt: p.Clock()}
}

// IsStale reports whether the host has been cut off for so long, from the platform
// and from all peers, that it can't know whether its settings are current.
func (f *Follower) IsStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.parts.Clock().Sub(f.currentAt) > grace
}

// Problem returns why the last read brought nothing, or nil.
func (f *Follower) Problem() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.problem
}

// Document returns the revision that the host has read.
func (f *Follower) Document() change.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document
}

// Run polls until done is closed.
func (f *Follower) Run(done <-chan struct{}) {
	defer f.cancel()
	lifetime.Every(done, f.parts.Interval, f.parts.Random, f.Poll)
}

// nudgeSpread is the time over which hosts that learn of a newer revision at once spread their reads.
const nudgeSpread = 200 * time.Millisecond

// HandlePeerRevision reports that a peer has a revision. If it is newer, the platform is asked
// soon.
func (f *Follower) HandlePeerRevision(revision uint64) {
	current := f.parts.Holder.Current()
	if current == nil || revision <= current.Number || !f.nudged.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(time.Duration(f.parts.Random()*float64(nudgeSpread)), func() {
		defer f.nudged.Store(false)
		if f.ctx.Err() == nil {
			f.Poll(f.ctx)
		}
	})
}

// Poll reads the head once and puts what is new in force.
func (f *Follower) Poll(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.advance(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		f.currentAt = f.parts.Clock()
	}
	if err != nil && f.problem == nil {
		f.parts.Log.WithError(err).Warn("settings can't be read, the last ones stay in force")
	}
	f.problem = err
	if errors.Is(err, tableclient.ErrUnavailable) {
		f.askPeers(ctx)
	}
}

// askPeers adopts newer settings of a peer: one that started earlier, or that
// still reaches the platform.
func (f *Follower) askPeers(ctx context.Context) {
	document, answered := f.parts.FetchFromPeers(ctx, f.document.Revision)
	if !answered {
		return
	}
	f.currentAt = f.parts.Clock()
	if document.Revision <= f.document.Revision {
		return
	}
	if err := f.put(document); err != nil {
		f.parts.Log.WithError(err).Warn("a peer's settings can't be read")
	}
}

func (f *Follower) advance(ctx context.Context) error {
	_, head, err := ReadHead(ctx, f.parts.Client)
	if err != nil {
		return err
	}
	if head.Revision <= f.document.Revision {
		return nil
	}
	document, err := ReadDocument(ctx, f.parts.Client, head, f.document)
	if err != nil {
		return err
	}
	return f.put(document)
}

// ReadHead reads the head row.
func ReadHead(ctx context.Context, client *tableclient.Client) (tableclient.Row, Head, error) {
	var head Head
	row, err := client.Read(ctx, HeadKey)
	if errors.Is(err, tableclient.ErrNotFound) {
		return row, head, merry.New("the platform holds no settings yet")
	}
	if err != nil {
		return row, head, err
	}
	err = json.Unmarshal(row.Value, &head)
	return row, head, merry.Prepend(err, "settings head")
}

// ReadDocument reads the revision of a head, from the snapshot or from an older
// revision that is known, whichever is newer.
func ReadDocument(ctx context.Context, client *tableclient.Client, head Head, known change.Document) (change.Document, error) {
	document := known
	if document.Revision < head.Snapshot {
		data, err := client.GetObject(ctx, head.SnapshotName)
		if err != nil {
			return document, merry.Prepend(err, "settings snapshot")
		}
		canonical, err := change.Canonicalize(data)
		if err != nil {
			return document, err
		}
		document = change.Document{Revision: head.Snapshot, Data: canonical}
	}
	for document.Revision < head.Revision {
		c, err := ReadChange(ctx, client, document.Revision+1)
		if err != nil {
			return document, err
		}
		if document, err = document.Apply(&c); err != nil {
			return document, err
		}
	}
	return document, nil
}

// ReadChange reads one accepted change.
func ReadChange(ctx context.Context, client *tableclient.Client, revision uint64) (settings.Change, error) {
	var c settings.Change
	row, err := client.Read(ctx, ChangeKey(revision))
	if err != nil {
		return c, merry.Prepend(err, "settings change")
	}
	err = json.Unmarshal(row.Value, &c)
	return c, merry.Prepend(err, "settings change")
}

// put checks a revision and puts it in force. One that this program can't read
// is left out, and the last one stays in force.
func (f *Follower) put(document change.Document) error {
	tree, err := document.Tree()
	if err != nil {
		f.parts.Counters.SettingsRejected.Inc()
		return merry.Prependf(err, "revision %d can't be read by this program", document.Revision)
	}
	f.document = document
	if f.parts.Holder.SetIfNewer(&settings.Revision{Number: document.Revision, Tree: tree}) {
		f.parts.Log.WithField("revision", document.Revision).Info("settings in force")
	}
	return nil
}

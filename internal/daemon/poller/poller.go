// Package poller keeps the newest accepted settings in force on a host of oxbowslipd. It polls the
// head row of the platform's table with jitter, reads the changes since its own revision, and keeps
// its settings while the platform is unavailable. oxbowslip-front follows a feed instead (package
// follow).
//
// It owns the document in force and the format of the rows that hold the settings; package commit
// writes the rows.
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

// HeadKey is the key of the row that names the newest revision.
const HeadKey = "settings/head"

// Head is the value of the head row.
type Head struct {
	Revision uint64 `json:"revision"`
	// Snapshot is the revision of the newest whole tree in the object store, and SnapshotName the
	// name of its object.
	Snapshot     uint64 `json:"snapshot"`
	SnapshotName string `json:"snapshot_name"`
}

// ChangeKey returns the key of the row that holds the accepted change of a revision.
func ChangeKey(revision uint64) string {
	return fmt.Sprintf("settings/change/%020d", revision)
}

// SnapshotName returns the name of the object that holds the whole tree of a revision.
func SnapshotName(revision uint64, changeID string) string {
	return "settings-" + strconv.FormatUint(revision, 10) + "-" + changeID
}

// Follower keeps a settings holder up to date.
type Follower struct {
	parts Parts

	// ctx ends with Run. pollPending is set while a poll that a peer's newer revision caused is
	// scheduled or running.
	ctx         context.Context
	cancel      context.CancelFunc
	pollPending atomic.Bool

	mu       sync.Mutex
	document change.Document
	// problem is the error of the last poll, or nil.
	problem error
	// confirmedAt is when the platform or a peer last confirmed that the host has the newest
	// settings known to it.
	confirmedAt time.Time
}

// FetchFromPeers requests settings from other hosts while the platform is unavailable. It returns a
// document newer than the given revision, if any, and whether any peer answered.
type FetchFromPeers func(ctx context.Context, newer uint64) (document change.Document, answered bool)

// maxIsolation is how long a host that reaches neither the platform nor a peer trusts its settings.
// It equals maxIsolation of package front.
const maxIsolation = 30 * time.Second

// Parts are the dependencies of a Follower.
type Parts struct {
	Client   *tableclient.Client
	Holder   *settings.Holder
	Counters *counters.Counters
	Log      *logrus.Entry
	// Interval is the mean time between two reads of the head row.
	Interval time.Duration
	// FetchFromPeers is called while the platform is unavailable.
	FetchFromPeers FetchFromPeers
	Clock          func() time.Time
	// Random returns numbers in [0, 1).
	Random func() float64
}

// New returns a follower that has no settings yet.
func New(p Parts) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	return &Follower{parts: p, ctx: ctx, cancel: cancel, confirmedAt: p.Clock()}
}

// IsStale reports whether the host has reached neither the platform nor a peer for longer than
// maxIsolation, so that its settings may be outdated.
func (f *Follower) IsStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.parts.Clock().Sub(f.confirmedAt) > maxIsolation
}

// Problem returns the error of the last poll, or nil.
func (f *Follower) Problem() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.problem
}

// Document returns the settings document that the host has read.
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

// maxPollDelay bounds the random delay of a poll after a peer reports a newer revision. It spreads
// the reads of hosts that receive the report at the same time.
const maxPollDelay = 200 * time.Millisecond

// HandlePeerRevision processes the settings revision that a peer reports. If it is newer than the
// one in force, the platform is polled within maxPollDelay.
func (f *Follower) HandlePeerRevision(revision uint64) {
	current := f.parts.Holder.Current()
	if current == nil || revision <= current.Number || !f.pollPending.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(time.Duration(f.parts.Random()*float64(maxPollDelay)), func() {
		defer f.pollPending.Store(false)
		if f.ctx.Err() == nil {
			f.Poll(f.ctx)
		}
	})
}

// Poll reads the head row once and puts newer settings in force.
func (f *Follower) Poll(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.refresh(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		f.confirmedAt = f.parts.Clock()
	}
	if err != nil && f.problem == nil {
		f.parts.Log.WithError(err).Warn("settings can't be read from the platform, the last ones stay in force")
	}
	f.problem = err
	if errors.Is(err, tableclient.ErrUnavailable) {
		f.fetchFromPeers(ctx)
	}
}

// fetchFromPeers adopts newer settings from a peer, which may have started earlier or may still
// reach the platform.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	document, answered := f.parts.FetchFromPeers(ctx, f.document.Revision)
	if !answered {
		return
	}
	f.confirmedAt = f.parts.Clock()
	if document.Revision <= f.document.Revision {
		return
	}
	if err := f.apply(document); err != nil {
		f.parts.Log.WithError(err).Warn("settings from a peer can't be decoded, they are ignored")
	}
}

func (f *Follower) refresh(ctx context.Context) error {
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
	return f.apply(document)
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

// ReadDocument reads the document of a head, starting from the snapshot or the known document,
// whichever is newer.
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

// ReadChange reads the accepted change of a revision.
func ReadChange(ctx context.Context, client *tableclient.Client, revision uint64) (settings.Change, error) {
	var c settings.Change
	row, err := client.Read(ctx, ChangeKey(revision))
	if err != nil {
		return c, merry.Prepend(err, "settings change")
	}
	err = json.Unmarshal(row.Value, &c)
	return c, merry.Prepend(err, "settings change")
}

// apply validates a document and puts it in force. If this program can't decode the document, the
// previous one stays in force.
func (f *Follower) apply(document change.Document) error {
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

// Package reporter brings the counts of usage of all hosts together and reports each window to the provider,
// once.
//
// Each host sends its counts of the windows that are not reported to the leader, again and again. The leader adds
// them up, keeps them in the store with each renewal of its lease, and once a window is complete fixes its
// report there before the first call. Every later leader sends the very same report. So what a host that died
// had counted is lost only from its last message to the leader on, and of a fleet that died as a whole from the
// last renewal on.
//
// It owns the ledger of the leader and the state of each window. It relies on package usage for the counts and on
// package leader for the mandate and the records.
package reporter

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/leader"
	"oxbowslip.dev/oxbowslip/internal/front/usage"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// Provider takes the reports.
type Provider interface {
	// ReportUsage reports the counts of a window. It blocks until the provider answers, ctx ends or the fence does.
	// An error that is ErrRefused was an answer.
	ReportUsage(ctx context.Context, fence leader.Fence, window usage.Window, counts usage.Counts) error
}

// ErrRefused is returned by a Provider that answered and did not take a report.
var ErrRefused = merry.Sentinel("the provider refused")

// Peers are the other hosts.
type Peers interface {
	// Senders returns the live hosts, this one first.
	Senders() []envelope.Sender
	SendTo(host string, kind envelope.Kind, message any)
	// Broadcast sends a message to all other hosts. It may be lost.
	Broadcast(kind envelope.Kind, message any)
}

// Parts are what a Reporter works with.
type Parts struct {
	Meter      *usage.Meter
	UsageClock *usage.Clock
	// DueAfter is how long after the end of a window its report is due.
	DueAfter time.Duration
	Provider Provider
	Peers    Peers
	// Leader returns the host that leads, or nothing if this host knows of none.
	Leader func() string
	Log    *logrus.Entry
	Clock  func() time.Time
	// Random returns numbers from 0 up to 1.
	Random func() float64
}

// Reporter is a host's part in the reports. It is safe for concurrent use.
type Reporter struct {
	parts   Parts
	started time.Time

	mu     sync.Mutex
	ledger *usage.Ledger
	// zeros are what hosts offer as the true time.
	zeros map[usage.Source]usage.ClockOffset
	// reported is the window up to which all are reported, settled the reported ones after it.
	reported usage.Window
	settled  map[usage.Window]bool
	// fixed are the reports that must not change any more, inStore those that the store has, by window.
	fixed   map[usage.Window]usage.Counts
	inStore map[usage.Window]bool
	// stored is the checkpoint that was written last.
	stored []byte
	// known is what this host knows of reports, also while it does not lead.
	known known
}

// New returns a reporter that knows no counts.
func New(parts Parts) *Reporter {
	return &Reporter{
		parts: parts, started: parts.Clock(), known: known{windows: make(usage.Windows)}, ledger: usage.NewLedger(), zeros: make(map[usage.Source]usage.ClockOffset),
		settled: make(map[usage.Window]bool), fixed: make(map[usage.Window]usage.Counts), inStore: make(map[usage.Window]bool),
	}
}

// share is what a host sends to the leader.
type share struct {
	// AsOf is until when it has counted, in ns of true time.
	AsOf int64 `cbor:"1,keyasint"`
	// Zero is what its own time of day says of the store's clock, or 0.
	Zero    int64         `cbor:"2,keyasint"`
	Windows usage.Windows `cbor:"3,keyasint"`
}

// Run sends this host's counts to the leader until done is closed.
func (r *Reporter) Run(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	for {
		hosts := len(r.parts.Peers.Senders())
		if !lifetime.Sleep(ctx, backoff.Spread(shareInterval(hosts), shareSpread, r.parts.Random())) {
			return
		}
		self := r.parts.Peers.Senders()[0].Host
		if to := r.parts.Leader(); to != "" && to != self {
			r.parts.Peers.SendTo(to, envelope.KindUsage, r.ownShare())
		}
	}
}

// ownShare returns what this host has counted.
func (r *Reporter) ownShare() share {
	now := r.parts.Clock()
	s := share{AsOf: int64(r.parts.UsageClock.TrueTime(now)), Windows: r.parts.Meter.Windows()}
	if zero, known := r.parts.UsageClock.LocalOffset(now); known {
		s.Zero = int64(zero)
	}
	return s
}

// HandleCounts handles a peer's counts.
func (r *Reporter) HandleCounts(from envelope.Sender, body []byte) {
	var s share
	if err := cbor.Unmarshal(body, &s); err != nil {
		r.parts.Log.WithError(err).WithField("peer", from.Host).Warn("a peer's counts can't be read")
		return
	}
	r.merge(usage.Source(from), &s)
}

// merge adds what a host has counted.
func (r *Reporter) merge(source usage.Source, s *share) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Merge(source, usage.Share{AsOf: time.Duration(s.AsOf), Windows: s.Windows})
	if s.Zero != 0 {
		r.zeros[source] = usage.ClockOffset(s.Zero)
	}
}

// HandleAnnouncement takes what a leader announces.
func (r *Reporter) HandleAnnouncement(a leader.Announcement) {
	if a.TrueTime != 0 {
		r.parts.UsageClock.SetOffset(usage.ClockOffset(a.TrueTime))
	}
	if a.Reported != 0 {
		r.parts.Meter.Drop(usage.Window(a.Reported))
		r.mu.Lock()
		defer r.mu.Unlock()
		r.known.reported = max(r.known.reported, usage.Window(a.Reported))
	}
}

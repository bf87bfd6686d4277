// Package reporter collects the usage counts of all hosts and reports each window to the provider once.
//
// Each host repeatedly sends the leader its counts of the windows that have not been reported. The leader adds them
// up and writes them to the store with each renewal of its lease. Once a window is complete, the leader fixes its
// report: it stores the report before the first call to the provider, and every later leader sends the identical
// report. So if a host crashes, only the counts since its last message to the leader are lost, and if the whole fleet
// crashes, only those since the last renewal.
//
// The package owns the leader's ledger and the state of each window. It relies on package usage for the counts, and
// on package leader for the mandate and the records.
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

// Provider receives the reports.
type Provider interface {
	// ReportUsage reports the counts of a window. It blocks until the provider answers, ctx ends or the time of the
	// fence has passed. An error that is ErrRefused means that the provider answered.
	ReportUsage(ctx context.Context, fence leader.Fence, window usage.Window, counts usage.Counts) error
}

// ErrRefused is returned by a Provider that answered but did not accept a report.
var ErrRefused = merry.Sentinel("the provider rejected the usage report")

// Peers sends messages to the other hosts.
type Peers interface {
	// Senders returns the live hosts, starting with this one.
	Senders() []envelope.Sender
	SendTo(host string, kind envelope.Kind, message any)
	// Broadcast sends a message to all other hosts, without a guarantee of delivery.
	Broadcast(kind envelope.Kind, message any)
}

// Parts are the dependencies of a Reporter.
type Parts struct {
	Meter      *usage.Meter
	UsageClock *usage.Clock
	// DueAfter is the time from the end of a window until its report is due.
	DueAfter time.Duration
	Provider Provider
	Peers    Peers
	// Leader returns the host that leads, or an empty string if it is not known.
	Leader func() string
	Log    *logrus.Entry
	Clock  func() time.Time
	// Random returns random numbers in [0, 1).
	Random func() float64
}

// Reporter sends this host's counts to the leader, and reports the counts of all hosts while this host leads. It is
// safe for concurrent use.
type Reporter struct {
	parts   Parts
	started time.Time

	mu     sync.Mutex
	ledger *usage.Ledger
	// offsets are the offsets of the store's clock to true time as hosts determined them by their time of day.
	offsets map[usage.Source]usage.ClockOffset
	// reported is the window up to which all windows have been reported. reportedLater marks the windows after it
	// that have been reported or are left out.
	reported      usage.Window
	reportedLater map[usage.Window]bool
	// fixed holds, by window, the reports that must not change any more. inStore marks the windows whose fixed report
	// is in the store.
	fixed   map[usage.Window]usage.Counts
	inStore map[usage.Window]bool
	// lastCheckpoint is the checkpoint that was returned last.
	lastCheckpoint []byte
	// known holds the reports that this host has received. It is maintained also while this host does not lead.
	known knownReports
}

// New returns a reporter without counts.
func New(parts Parts) *Reporter {
	return &Reporter{
		parts: parts, started: parts.Clock(), known: knownReports{windows: make(usage.Windows)},
		ledger: usage.NewLedger(), offsets: make(map[usage.Source]usage.ClockOffset),
		reportedLater: make(map[usage.Window]bool), fixed: make(map[usage.Window]usage.Counts), inStore: make(map[usage.Window]bool),
	}
}

// share is the message in which a host sends its counts to the leader.
type share struct {
	// AsOf is the true time in ns up to which the counts are complete.
	AsOf int64 `cbor:"1,keyasint"`
	// Zero is the offset of the store's clock to true time according to the host's time of day, or 0 if it is not
	// known.
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

// ownShare returns the counts of this host.
func (r *Reporter) ownShare() share {
	now := r.parts.Clock()
	s := share{AsOf: int64(r.parts.UsageClock.TrueTime(now)), Windows: r.parts.Meter.Windows()}
	if offset, known := r.parts.UsageClock.LocalOffset(now); known {
		s.Zero = int64(offset)
	}
	return s
}

// HandleCounts handles a peer's counts.
func (r *Reporter) HandleCounts(from envelope.Sender, body []byte) {
	var s share
	if err := cbor.Unmarshal(body, &s); err != nil {
		r.parts.Log.WithError(err).WithField("peer", from.Host).Warn("a peer's usage counts can't be decoded; they are dropped")
		return
	}
	r.merge(usage.Source(from), &s)
}

// merge adds the counts of a host to the ledger.
func (r *Reporter) merge(source usage.Source, s *share) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Merge(source, usage.Share{AsOf: time.Duration(s.AsOf), Windows: s.Windows})
	if s.Zero != 0 {
		r.offsets[source] = usage.ClockOffset(s.Zero)
	}
}

// HandleAnnouncement applies a leader's announcement.
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

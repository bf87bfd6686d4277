package shares

import (
	"math"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Peers reaches the other hosts. Messages may be lost.
type Peers interface {
	// Broadcast sends a message to all peers.
	Broadcast(kind envelope.Kind, message any)
	// Hosts returns the number of live hosts, this one included.
	Hosts() int
}

// Parts are the dependencies of an Exchange.
type Parts struct {
	Peers Peers
	Log   *logrus.Entry
	Clock func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
}

// Exchange decides on the requests of this host by a ledger, and exchanges counts with peers. It is safe for concurrent
// use.
type Exchange struct {
	parts Parts

	mu     sync.Mutex
	ledger *Ledger
	// over is the number of successive calls of Expire at which a workspace was over its share.
	over map[overKey]int
	// counted wakes Run after counts have changed.
	counted chan struct{}
}

// loggedAfter is the number of successive calls of Expire at which a workspace is over its share before that is logged.
// Many are over it for a moment, by the chance of their arrivals.
const loggedAfter = 2

// overKey identifies a workspace at a service.
type overKey struct{ service, workspace string }

// New returns an exchange without counts.
func New(parts Parts) *Exchange {
	return &Exchange{parts: parts, ledger: NewLedger(), over: make(map[overKey]int), counted: make(chan struct{}, 1)}
}

// SetSettings applies the parts of the settings that the rules use.
func (e *Exchange) SetSettings(tree *settings.Tree) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.SetSettings(tree)
}

// Admit decides whether a request may ask for an endpoint. If it may, one of Granted, Refused and Cancelled must follow.
func (e *Exchange) Admit(ask *Ask) Verdict {
	hosts := e.parts.Peers.Hosts()
	defer lifetime.Wake(e.counted)
	e.mu.Lock()
	defer e.mu.Unlock()
	verdict := e.ledger.Decide(e.parts.Clock(), hosts, ask, e.parts.Random())
	if !verdict.IsRefused {
		e.ledger.RecordWait(ask)
	}
	return verdict
}

// Granted counts a request that got an endpoint. Ended must follow.
func (e *Exchange) Granted(ask *Ask) {
	e.record(func(now time.Time) { e.ledger.RecordGrant(now, ask) })
}

// Refused counts a request that got no endpoint.
func (e *Exchange) Refused(ask *Ask, reason admission.Reason) {
	e.record(func(now time.Time) { e.ledger.RecordRefusal(now, ask, reason) })
}

// Cancelled counts a request whose caller left before it got an endpoint.
func (e *Exchange) Cancelled(ask *Ask) { e.record(func(time.Time) { e.ledger.RecordCancel(ask) }) }

// Ended counts the end of a granted request.
func (e *Exchange) Ended(ask *Ask) { e.record(func(now time.Time) { e.ledger.RecordEnd(now, ask) }) }

// record changes the ledger and wakes Run.
func (e *Exchange) record(change func(now time.Time)) {
	e.mu.Lock()
	change(e.parts.Clock())
	e.mu.Unlock()
	lifetime.Wake(e.counted)
}

// DropPeer removes the uses of limits of a peer that left.
func (e *Exchange) DropPeer(peer string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.DropPeer(peer)
}

// HandleCounts handles a peer's Counts, encoded as CBOR.
func (e *Exchange) HandleCounts(peer string, body []byte) {
	var message Counts
	if err := cbor.Unmarshal(body, &message); err != nil {
		e.parts.Log.WithError(err).WithField("from", peer).Warn("peer's message can't be decoded; dropped")
		return
	}
	e.record(func(now time.Time) { e.ledger.Add(now, peer, &message) })
}

// Run sends counts to peers until done is closed: soon after there are some to send, and then once in each interval
// while there are.
func (e *Exchange) Run(done <-chan struct{}) {
	// due is nil while there is nothing to send and no message was sent within the last interval.
	var due <-chan time.Time
	for {
		select {
		case <-e.counted:
			if wait, ok := e.hasReport(); ok && due == nil {
				due = time.After(backoff.Jitter(wait, 0, e.parts.Random()))
			}
		case <-due:
			due = nil
			if e.sendReport() {
				due = time.After(interval(e.parts.Peers.Hosts()))
			}
		case <-done:
			return
		}
	}
}

func (e *Exchange) hasReport() (wait time.Duration, ok bool) {
	hosts := e.parts.Peers.Hosts()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.HasReport(e.parts.Clock(), hosts)
}

// sendReport sends the counts that peers do not know yet, and reports whether there were any.
func (e *Exchange) sendReport() bool {
	e.mu.Lock()
	message := e.ledger.Report(e.parts.Clock())
	e.mu.Unlock()
	if message == nil {
		return false
	}
	e.parts.Peers.Broadcast(envelope.KindShares, message)
	return true
}

// Over returns the workspaces that are over their shares.
func (e *Exchange) Over() []Over {
	hosts := e.parts.Peers.Hosts()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Over(e.parts.Clock(), hosts)
}

// Expire removes expired counts, and logs the workspaces that have gone over their shares or are back. It is called
// about once a second.
func (e *Exchange) Expire() {
	list := e.Over()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.Expire(e.parts.Clock())
	current := make(map[overKey]int, len(list))
	for _, o := range list {
		key := overKey{o.Service, o.Workspace}
		current[key] = e.over[key] + 1
		if current[key] == loggedAfter {
			e.parts.Log.WithFields(logrus.Fields{
				"service": o.Service, "workspace": o.Workspace, "asked_per_s": math.Round(o.Asked), "share_per_s": math.Round(o.Share),
			}).Warn("workspace is over its share of a service that is short of capacity; its least urgent requests beyond the share are refused")
		}
	}
	for key, times := range e.over {
		if current[key] == 0 && times >= loggedAfter {
			e.parts.Log.WithFields(logrus.Fields{"service": key.service, "workspace": key.workspace}).Info("workspace is within its share again; its requests are no longer refused for it")
		}
	}
	e.over = current
}

package precedence

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

const (
	// maxReceivers is the number of peers that get a report. In a larger fleet they are drawn at random each time, and what
	// arrives stands for the rest.
	maxReceivers = 64
	// minInterval is the time between two reports of a host. It is timePerReceiver for each receiver if that is longer, so
	// that a host sends no more than 64 messages a second.
	minInterval     = 250 * time.Millisecond
	timePerReceiver = time.Second / maxReceivers
	// firstReportShare is the share of that time within which a host sends its first report.
	firstReportShare = 0.25
)

// interval returns the time between two reports of a host to a number of peers.
func interval(peers int) time.Duration {
	return max(time.Duration(min(peers, maxReceivers))*timePerReceiver, minInterval)
}

// sampleFactor returns how many hosts a report stands for in a fleet of a number of peers.
func sampleFactor(peers int) float64 { return max(float64(peers)/maxReceivers, 1) }

// Peers reaches the other hosts. Messages may be lost.
type Peers interface {
	// Senders returns the live hosts, this one first.
	Senders() []envelope.Sender
	// SendTo sends a message to a host.
	SendTo(host string, kind envelope.Kind, message any)
}

// Parts are the dependencies of an Exchange.
type Parts struct {
	Peers Peers
	Log   *logrus.Entry
	Clock func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
}

// Exchange counts the requests of this host and exchanges the counts with peers. It is safe for concurrent use.
type Exchange struct {
	parts Parts

	mu    sync.Mutex
	table *Table
	// isHolding is set while this host holds back requests of some class, for the log.
	isHolding bool
	// counted wakes Run after a refusal.
	counted chan struct{}
}

// New returns an exchange without counts.
func New(parts Parts) *Exchange {
	return &Exchange{parts: parts, table: NewTable(), counted: make(chan struct{}, 1)}
}

// RecordAsk counts a request that asks for an endpoint for the first time.
func (e *Exchange) RecordAsk(service string, urgency int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.RecordAsk(e.parts.Clock(), keys.OfService(service), urgency)
}

// RecordRefusal counts a request that was refused for lack of capacity.
func (e *Exchange) RecordRefusal(service string, urgency int) {
	e.mu.Lock()
	e.table.RecordRefusal(e.parts.Clock(), keys.OfService(service), urgency)
	e.mu.Unlock()
	lifetime.Wake(e.counted)
}

// IsHeld reports whether a request of a class is held back for more urgent classes. Hosts is the number of live hosts, and
// draw a number in [0, 1) that belongs to the request.
func (e *Exchange) IsHeld(hosts int, service string, urgency int, draw float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.table.Held(e.parts.Clock(), hosts, keys.OfService(service), urgency)
	if held > 0 && !e.isHolding {
		e.parts.Log.WithFields(logrus.Fields{"service": service, "urgency": urgency, "held_share": held}).Info("a more urgent class is refused; less urgent requests are held back at all hosts")
		e.isHolding = true
	}
	return draw < held
}

// HandleCounts handles a peer's Counts, encoded as CBOR.
func (e *Exchange) HandleCounts(peer string, body []byte) {
	var message Counts
	if err := cbor.Unmarshal(body, &message); err != nil {
		e.parts.Log.WithError(err).WithField("from", peer).Warn("peer's message can't be decoded; dropped")
		return
	}
	factor := sampleFactor(e.peers())
	e.mu.Lock()
	e.table.Add(e.parts.Clock(), &message, factor)
	e.mu.Unlock()
	lifetime.Wake(e.counted)
}

// Run sends counts to peers until done is closed: soon after there are some to send, and then once in each interval while
// there are.
func (e *Exchange) Run(done <-chan struct{}) {
	// due is nil while there is nothing to send and no message was sent within the last interval.
	var due <-chan time.Time
	for {
		select {
		case <-e.counted:
			if due == nil && e.hasReport() {
				due = time.After(backoff.Jitter(time.Duration(firstReportShare*float64(interval(e.peers()))), 0, e.parts.Random()))
			}
		case <-due:
			due = nil
			e.sendReport()
			if e.hasReport() {
				due = time.After(interval(e.peers()))
			}
		case <-done:
			return
		}
	}
}

func (e *Exchange) hasReport() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.HasReport(e.parts.Clock())
}

func (e *Exchange) sendReport() {
	e.mu.Lock()
	message := e.table.Report(e.parts.Clock())
	e.mu.Unlock()
	if message == nil {
		return
	}
	peers := e.parts.Peers.Senders()[1:]
	first := int(e.parts.Random() * float64(len(peers)))
	for n := range min(len(peers), maxReceivers) {
		e.parts.Peers.SendTo(peers[(first+n)%len(peers)].Host, envelope.KindClassCounts, message)
	}
}

// peers returns the number of live peers.
func (e *Exchange) peers() int { return len(e.parts.Peers.Senders()) - 1 }

// Expire removes the classes without recent requests. It is called about once a second.
func (e *Exchange) Expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.parts.Clock()
	e.table.Expire(now)
	e.isHolding = e.isHolding && e.table.HasReport(now)
}

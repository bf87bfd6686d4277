package poison

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// Peers are the other hosts.
type Peers interface {
	Broadcast(kind envelope.Kind, message any)
	SendTo(host string, kind envelope.Kind, message any)
	Hosts() int
	// Order returns this host's place among its peers.
	Order() gossip.Order
	// IsSettled reports whether this host knows its peers.
	IsSettled() bool
}

// Prober finds out whether endpoints are still there.
type Prober interface {
	// HasExited reports whether the process at an address has ended: nothing listens there. It blocks until ctx ends at
	// the latest; the error says that it can't be known.
	HasExited(ctx context.Context, address string) (bool, error)
}

// Store keeps verdicts.
type Store interface {
	// Verdicts returns all that are kept, also those that are over.
	Verdicts(ctx context.Context) ([]Verdict, error)
	// WriteVerdicts adds verdicts and removes others.
	WriteVerdicts(ctx context.Context, verdicts []Verdict, remove []keys.Request) error
}

// Parts are what a Detector works with.
type Parts struct {
	Peers  Peers
	Prober Prober
	Store  Store
	// StoreTime returns the store's clock, or 0 while this host doesn't know it.
	StoreTime func() freshness.StoreTime
	// Era returns the newest era of the store that is known.
	Era   func() uint64
	Log   *logrus.Entry
	Clock func() time.Time
	// Random returns numbers from 0 up to 1.
	Random func() float64
}

// Call is a call that an endpoint broke.
type Call struct {
	Request keys.Request
	// Endpoint is the ID of the endpoint, Address where it was reached.
	Endpoint string
	Address  string
	// Begun means what End.Begun means.
	Begun bool
}

// Detector decides for one host which requests are poison. It is safe for concurrent use; none of the methods that
// requests call blocks.
type Detector struct {
	parts Parts
	// known is the number of suspects and verdicts: while it is 0 a request costs no more than to look at it.
	known atomic.Int64
	// wake has Run send a report, lookUp has keep look for what to read and write.
	wake   chan struct{}
	lookUp chan struct{}

	mu     sync.Mutex
	table  *Table
	probes map[string]*probe
	outbox outbox
	// sawEnd is set once an endpoint has ended under a request of this host.
	sawEnd bool
	// unsaved are verdicts that are not in the store yet, outdated those to remove from it.
	unsaved  []Verdict
	outdated []keys.Request
}

// New returns a detector without evidence.
func New(parts Parts) *Detector {
	return &Detector{parts: parts, wake: make(chan struct{}, 1), lookUp: make(chan struct{}, 1), table: NewTable(), probes: make(map[string]*probe)}
}

// IsPoison reports whether a request must not be sent to any endpoint.
func (d *Detector) IsPoison(request keys.Request) bool {
	if d.known.Load() == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.IsPoison(request)
}

// RecordAnswer is called when an endpoint has answered a request to its end.
func (d *Detector) RecordAnswer(request keys.Request) {
	if d.known.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.answered(request) {
		d.reportAnswered(request)
	}
}

// answered clears a request, and reports whether there was something against it. The lock is held.
func (d *Detector) answered(request keys.Request) bool {
	suspected, condemned := d.table.RecordAnswer(d.parts.StoreTime(), request)
	if condemned {
		d.parts.Log.WithField("request_key", request.String()).Info("request answered or lifted, it is not given up any more")
		d.outdated = append(d.outdated, request)
	}
	return suspected || condemned
}

// RecordBrokenCall is called when an endpoint broke a call. Whether it has ended is found out in the background.
func (d *Detector) RecordBrokenCall(call *Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.probes[call.Endpoint]
	if !ok || p.isOver(d.parts.Clock()) {
		p = &probe{at: d.parts.Clock()}
		d.probes[call.Endpoint] = p
		go d.probe(p, call.Endpoint, call.Address)
	}
	if !p.done {
		p.waiting = append(p.waiting, *call)
		return
	}
	if p.ended {
		d.ended(call)
	}
}

// ended notes that an endpoint has ended while it had a call. The lock is held.
func (d *Detector) ended(call *Call) {
	end := Crash{Endpoint: keys.OfEndpoint(call.Endpoint), At: d.parts.StoreTime(), Begun: call.Begun}
	verdict, proved := d.table.RecordCrash(call.Request, end)
	d.outbox.ended(call.Request, end)
	d.sawEnd = true
	lifetime.Wake(d.lookUp)
	if proved {
		d.parts.Log.WithFields(logrus.Fields{
			"request_key": call.Request.String(), "endpoint": call.Endpoint, "endpoint_keys": verdict.Endpoints, "until": time.Duration(verdict.Until).String(),
		}).Warn("request given up, endpoints end under it")
		d.unsaved = append(d.unsaved, verdict)
		d.outbox.verdict(verdict)
	}
	d.changed()
}

// HandleReport handles a peer's report.
func (d *Detector) HandleReport(from envelope.Sender, body []byte) {
	var r Report
	if err := cbor.Unmarshal(body, &r); err != nil {
		d.parts.Log.WithError(err).WithField("peer", from.Host).Warn("a report can't be read")
		return
	}
	d.answer(from.Host, &r)
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range r.Verdicts {
		d.adopt(r.Verdicts[i].verdict(), from.Host)
	}
	for i := range r.Ends {
		if verdict, proved := d.table.RecordCrash(r.Ends[i].Request, r.Ends[i].end()); proved {
			d.logAdopted(verdict, from.Host)
			d.saveIfAnnouncer(verdict)
		}
	}
	for _, request := range r.Answered {
		d.answered(request)
	}
	d.count()
}

// answer sends the verdicts that a peer lacks: it reports an end under a request that was given up before. Some hosts do,
// picked at random, so that it does not hang on those that announce.
func (d *Detector) answer(peer string, r *Report) {
	var known []ReportedVerdict
	d.mu.Lock()
	for i := range r.Ends {
		verdict, ok := d.table.verdicts[r.Ends[i].Request]
		if ok && !slices.ContainsFunc(known, func(v ReportedVerdict) bool { return v.Request == verdict.Request }) {
			known = append(known, reportedVerdict(verdict))
		}
	}
	d.mu.Unlock()
	if len(known) == 0 || d.parts.Random() > answerers/float64(d.parts.Peers.Hosts()) {
		return
	}
	d.parts.Peers.SendTo(peer, envelope.KindPoison, &Report{Verdicts: known})
}

// adopt notes a verdict from a peer or the store, unless it is over, and reports whether it is news. The lock is held.
func (d *Detector) adopt(verdict Verdict, from string) bool {
	isNews := verdict.Until >= d.parts.StoreTime() && d.table.Adopt(verdict)
	if isNews {
		d.logAdopted(verdict, from)
	}
	return isNews
}

// saveIfAnnouncer has a verdict saved that follows from what several hosts have seen, none of which may have known all.
// The lock is held.
func (d *Detector) saveIfAnnouncer(verdict Verdict) {
	if d.announces() {
		d.unsaved = append(d.unsaved, verdict)
	}
}

func (d *Detector) logAdopted(verdict Verdict, from string) {
	d.parts.Log.WithFields(logrus.Fields{"request_key": verdict.Request.String(), "endpoint_keys": verdict.Endpoints, "from": from}).Info("request given up")
}

// changed counts, and has Run report. The lock is held.
func (d *Detector) changed() {
	d.count()
	lifetime.Wake(d.wake)
}

// count updates known. The lock is held.
func (d *Detector) count() { d.known.Store(int64(d.table.SuspectCount() + len(d.table.verdicts))) }

// Lift clears a request by an operator's word, at all hosts, and reports whether there was a verdict on it.
func (d *Detector) Lift(request keys.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.table.IsPoison(request) {
		return false
	}
	d.answered(request)
	d.reportAnswered(request)
	return true
}

// reportAnswered has peers drop what they know of a request. The lock is held.
func (d *Detector) reportAnswered(request keys.Request) {
	d.outbox.answered(request)
	d.changed()
}

// Verdicts returns the requests that are poison.
func (d *Detector) Verdicts() []Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Verdicts()
}

// Run sends reports and keeps verdicts until done is closed.
func (d *Detector) Run(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	var keeping sync.WaitGroup
	defer keeping.Wait()
	keeping.Go(func() { d.keep(ctx) })
	announce := time.NewTicker(announceInterval)
	defer announce.Stop()
	for {
		select {
		case <-d.wake:
			d.report()
			if !lifetime.Sleep(ctx, reportPace(d.parts.Peers.Hosts())) {
				return
			}
		case <-announce.C:
			d.expire()
			d.announce()
		case <-done:
			return
		}
	}
}

package poison

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// Peers reaches the other hosts.
type Peers interface {
	Broadcast(kind envelope.Kind, message any)
	SendTo(host string, kind envelope.Kind, message any)
	Hosts() int
	// Order returns the place of this host in the order of hosts.
	Order() gossip.Order
	// Side returns the part of the fleet that this host reaches, and HasTurn whether that part has a turn in some matter.
	Side() gossip.Side
	HasTurn(matter string, turn uint64) bool
	// RequestHeartbeat has this host send a heartbeat. ExpectHeartbeats has peers that send none count as unseen.
	RequestHeartbeat()
	ExpectHeartbeats()
	// IsSettled reports whether this host knows its peers. Before that, MustReadFirst reports whether it is among the hosts
	// that read the store first.
	IsSettled() bool
	MustReadFirst() bool
}

// Prober finds out whether endpoints are still running.
type Prober interface {
	// HasExited reports whether the process of the endpoint at an address has ended, so that nothing listens there. It
	// blocks until ctx ends at the latest, and returns an error if it can't tell.
	HasExited(ctx context.Context, endpoint, address string) (bool, error)
}

// Store keeps verdicts, and the ends of endpoints that sides of a partition exchange.
type Store interface {
	// Load returns all that is stored, including what has expired.
	Load(ctx context.Context) (Stored, error)
	// WriteVerdicts adds some verdicts and removes others.
	WriteVerdicts(ctx context.Context, verdicts []Verdict, remove []keys.Content) error
	// WriteEnds adds some ends and removes others.
	WriteEnds(ctx context.Context, ends, remove []ReportedCrash) error
}

// Stored is what a Store keeps.
type Stored struct {
	Verdicts []Verdict
	Ends     []ReportedCrash
}

// Parts are the dependencies of a Detector.
type Parts struct {
	Peers  Peers
	Prober Prober
	Store  Store
	// Version returns the software version of an endpoint, or 0 if the endpoint is not known.
	Version func(endpoint keys.Endpoint) keys.Version
	// Presence returns whether the directory has an endpoint, or another one at its address.
	Presence func(endpoint, address string) Presence
	// StoreTime returns the time of the store's clock, or 0 while this host does not know it.
	StoreTime func() freshness.StoreTime
	// Era returns the newest known era of the store.
	Era   func() uint64
	Log   *logrus.Entry
	Clock func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	// CountRefused counts parts and messages of peers that are refused.
	CountRefused func(reason counters.RefusedPeerMessage)
}

// Call is a call that an endpoint broke.
type Call struct {
	// Contents are the request and the shared parts of its prompt, from the last one on.
	Contents []keys.Content
	// Endpoint is the ID of the endpoint, Address its network address.
	Endpoint string
	Address  string
	// Begun and Version have the meaning of those of Crash.
	Begun   bool
	Version keys.Version
	// Judged is called once it is known whether the endpoint has crashed, and counted, or if that can't be found out; nil if
	// nobody waits for that.
	Judged func()
	// isLost is set if the call was given up at a silent endpoint.
	isLost bool
}

// judged calls Judged.
func (c *Call) judged() {
	if c.Judged != nil {
		c.Judged()
	}
}

// Detector decides for one host which contents are poison. It is safe for concurrent use; none of the methods that
// requests call blocks.
type Detector struct {
	parts Parts
	// size is the number of suspects and verdicts. While it is 0, a request costs one atomic load.
	size atomic.Int64
	// reportWake has Run send a report, storeWake has syncStore read and write verdicts, judgeWake has judgeAgain run.
	reportWake chan struct{}
	storeWake  chan struct{}
	judgeWake  chan struct{}
	// removalWake has watchRemovals run.
	removalWake chan struct{}

	mu     sync.Mutex
	table  *Table
	probes map[string]*probe
	// unsettled are the calls of which it is not known whether their endpoint has crashed, by endpoint.
	unsettled map[string]*unsettled
	outbox    outbox
	// sawCrash is set once an endpoint has crashed while it had a request of this host.
	sawCrash bool
	// unsaved are verdicts that are still to be written to the store, outdated are those to be removed from it.
	unsaved  []Verdict
	outdated []keys.Content
	exchange exchange
}

// New returns a detector without evidence.
func New(parts Parts) *Detector {
	return &Detector{parts: parts, reportWake: make(chan struct{}, 1), storeWake: make(chan struct{}, 1), judgeWake: make(chan struct{}, 1), removalWake: make(chan struct{}, 1), table: NewTable(), probes: make(map[string]*probe), unsettled: make(map[string]*unsettled)}
}

// RecordRequest is called with the contents of each request that arrives.
func (d *Detector) RecordRequest(contents []keys.Content) {
	if len(contents) < 2 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.RecordRequest(contents)
}

// FindPoison returns the first of the contents of a request that must not be sent to any endpoint, and whether there is
// one. Trial holds the parts of which the request is a trial; it is set if the request becomes one.
func (d *Detector) FindPoison(contents []keys.Content, trial *[]keys.Content) (keys.Content, bool) {
	if d.size.Load() == 0 {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var due []keys.Content
	for _, content := range contents {
		switch {
		case !d.table.IsPoison(content) || slices.Contains(*trial, content):
		case len(*trial) == 0 && !d.hasEnds(contents) && d.mayTry(content, contents):
			due = append(due, content)
		default:
			return content, true
		}
	}
	for _, part := range due {
		d.recordTrial(part)
	}
	*trial = append(*trial, due...)
	return 0, false
}

// hasEnds reports whether endpoints have ended under a request with some contents. Such a request is no trial of a verdict on
// a part, since its own crash would tell nothing. The caller holds the lock.
func (d *Detector) hasEnds(contents []keys.Content) bool {
	_, isLimited := d.table.CopyWait(0, contents[0], false)
	return isLimited
}

// CopyWait reports whether requests with some contents are sent one at a time, and the time until the next one may be sent;
// isApart is set for one by which two parts of prompts can be distinguished.
func (d *Detector) CopyWait(content keys.Content, isApart bool) (wait time.Duration, isLimited bool) {
	if d.size.Load() == 0 {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.CopyWait(d.parts.StoreTime(), content, isApart)
}

// Limit is a part of the contents of a request for which it is sent only while no other one with it is.
type Limit struct {
	Content keys.Content
	// IsApart is set if the request distinguishes it from another part of prompts.
	IsApart bool
}

// Limits returns those of the contents of a request that are sent one at a time.
func (d *Detector) Limits(contents []keys.Content) []Limit {
	if d.size.Load() == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var limits []Limit
	for _, content := range contents {
		if _, isLimited := d.table.CopyWait(0, content, false); isLimited {
			limits = append(limits, Limit{Content: content, IsApart: content.IsPart() && d.table.LacksSuspect(content, contents)})
		}
	}
	return limits
}

// mayTry reports whether this host may send a request with some contents as a trial of the verdict on one of them now. The
// caller holds the lock.
func (d *Detector) mayTry(content keys.Content, contents []keys.Content) bool {
	now := d.parts.StoreTime()
	if !content.IsPart() || now == 0 || !d.parts.Peers.IsSettled() {
		return false
	}
	order := d.parts.Peers.Order()
	return d.table.MayTry(now, content, contents, order.Before, order.Hosts) && d.maySend(content, false)
}

// recordTrial records that this host sends a request as a trial, and has peers know. The caller holds the lock.
func (d *Detector) recordTrial(part keys.Content) {
	now := d.parts.StoreTime()
	d.table.RecordTrial(now, part)
	d.outbox.addTrial(part, now)
	d.evidenceChanged()
	d.parts.Log.WithFields(keyFields(part)).Info("a request is sent as a trial of the verdict")
}

// RecordAnswer is called when an endpoint with a software version has answered a request with some contents completely.
func (d *Detector) RecordAnswer(contents []keys.Content, version keys.Version) {
	if d.size.Load() == 0 && len(contents) < 2 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, content := range contents {
		if d.clear(content, version) {
			d.queueAnswered(content)
		}
	}
}

// clear removes the evidence and the verdict on some contents that a software version has answered, or all versions if it
// is 0, and reports whether there was any. The caller holds the lock.
func (d *Detector) clear(content keys.Content, version keys.Version) bool {
	d.table.answerInterval = answerIntervalOf(d.parts.Peers.Hosts())
	wasSuspect, hadVerdict := d.table.RecordAnswer(d.parts.StoreTime(), content, version)
	if hadVerdict {
		d.parts.Log.WithFields(keyFields(content)).Info("request answered or lifted by an operator; its verdict is removed")
		d.outdated = append(d.outdated, content)
	}
	if len(d.exchange.stored) > 0 {
		d.removeStored(content)
	}
	return wasSuspect || hadVerdict
}

// RecordBrokenCall is called when an endpoint broke a call. A probe in the background finds out whether the endpoint
// has crashed.
func (d *Detector) RecordBrokenCall(call *Call) {
	if d.awaitProbe(call) {
		return
	}
	call.judged()
}

// awaitProbe adds a call to those that wait for the probe of its endpoint, and starts a probe if there is none. If there is a
// result, it records the crash, if it is one, and returns false.
func (d *Detector) awaitProbe(call *Call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.probes[call.Endpoint]
	if !ok || p.isOutdated(d.parts.Clock()) {
		p = &probe{startedAt: d.parts.Clock()}
		d.probes[call.Endpoint] = p
		go d.probe(p, call.Endpoint, call.Address)
	}
	if !p.done {
		p.waiting = append(p.waiting, *call)
		return true
	}
	if p.exited {
		d.recordCrash(call)
	}
	return false
}

// recordCrash records that an endpoint has crashed while it had a call. The caller holds the lock.
func (d *Detector) recordCrash(call *Call) {
	crash := Crash{Endpoint: keys.OfEndpoint(call.Endpoint), At: d.parts.StoreTime(), Begun: call.Begun, Version: call.Version}
	for _, content := range call.Contents {
		verdict, proved := d.table.RecordCrash(content, crash)
		d.outbox.addCrash(content, crash)
		if proved {
			d.logProved(verdict, call.Endpoint)
			d.unsaved = append(d.unsaved, verdict)
			d.outbox.addVerdict(verdict)
		}
	}
	for _, content := range call.Contents {
		if suspicion, ok := d.table.suspicion(content); ok {
			d.unsaved = append(d.unsaved, suspicion)
		}
	}
	d.sawCrash = true
	lifetime.Wake(d.storeWake)
	d.judge()
	d.evidenceChanged()
}

// judge records the verdicts on parts that follow from the evidence, and lifts those that are proved wrong. It is repeated
// until the last crash has counted. The caller holds the lock.
func (d *Detector) judge() {
	now := d.parts.StoreTime()
	for _, verdict := range d.table.Judge(now) {
		d.logProved(verdict, "")
		d.unsaved = append(d.unsaved, verdict)
		d.outbox.addVerdict(verdict)
		lifetime.Wake(d.storeWake)
		d.evidenceChanged()
	}
	for _, part := range d.table.Acquit(now) {
		d.parts.Log.WithFields(keyFields(part)).Warn("endpoints crash as often without the part; its verdict is lifted")
		d.clear(part, 0)
		d.queueAnswered(part)
	}
	lifetime.Wake(d.judgeWake)
}

// judgeAgain judges the evidence again until the reports of all peers on the last crash must have arrived and counted, or
// ctx ends.
func (d *Detector) judgeAgain(ctx context.Context) {
	for {
		select {
		case <-d.judgeWake:
		case <-ctx.Done():
			return
		}
		if !lifetime.Sleep(ctx, judgeDelay) {
			return
		}
		d.mu.Lock()
		if d.table.lastCrashAt()+freshness.StoreTime(judgeDelay+crashReportTime) > d.parts.StoreTime() {
			d.judge()
		}
		d.mu.Unlock()
	}
}

// logProved logs a verdict that this host has found. The caller holds the lock.
func (d *Detector) logProved(verdict Verdict, endpoint string) {
	fields := logrus.Fields{
		"endpoint_keys": verdict.Endpoints, "until": time.Duration(verdict.Until).String(),
		"crashes": verdict.Proof.Crashes, "other_crashes": verdict.Proof.Others,
	}
	if endpoint != "" {
		fields["endpoint"] = endpoint
	}
	if at := verdict.Proof.AnsweredAt; at != 0 {
		fields["answered_ms"] = time.Duration(d.parts.StoreTime() - at).Milliseconds()
	}
	d.parts.Log.WithFields(keyFields(verdict.Content)).WithFields(fields).Warn("request given up, endpoints end under it")
}

// keyFields returns the log fields that name the contents of a verdict: request_key, or part_key for a part of a prompt.
func keyFields(content keys.Content) logrus.Fields {
	if content.IsPart() {
		return logrus.Fields{"part_key": content.String()}
	}
	return logrus.Fields{"request_key": content.String()}
}

// HandleReport handles a peer's Report, encoded as CBOR.
func (d *Detector) HandleReport(from envelope.Sender, body []byte) {
	var r Report
	if err := cbor.Unmarshal(body, &r); err != nil {
		d.parts.Log.WithError(err).WithField("peer", from.Host).Warn("peer's report can't be decoded; dropped")
		return
	}
	if len(r.Ends) > 0 {
		d.parts.Peers.RequestHeartbeat()
	}
	d.sendKnown(from.Host, &r)
	versions := make(map[keys.Endpoint]keys.Version)
	for i := range r.Ends {
		if endpoint := r.Ends[i].Endpoint; versions[endpoint] == 0 {
			versions[endpoint] = d.parts.Version(endpoint)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range r.Verdicts {
		d.adopt(r.Verdicts[i].verdict(), from.Host)
	}
	for i := range r.Ends {
		crash := r.Ends[i].crash()
		crash.Version = versions[crash.Endpoint]
		if verdict, proved := d.table.RecordCrash(r.Ends[i].Content, crash); proved {
			d.logAdopted(verdict, from.Host)
			d.saveIfAnnouncer(verdict)
		}
	}
	for _, content := range r.Answered {
		d.clear(content, 0)
	}
	if len(r.Ends) > 0 {
		d.judge()
	}
	d.count()
}

// sendKnown sends a peer the verdicts and the ends that it lacks: those on contents that it reports a crash for although
// they are poison, or sent one at a time. About replierCount hosts, chosen at random, reply, so that the peer does not depend
// on the announcers.
func (d *Detector) sendKnown(peer string, r *Report) {
	if len(r.Ends) == 0 || d.parts.Random() > replierCount/float64(d.parts.Peers.Hosts()) {
		return
	}
	verdicts, ends := d.known(r.Ends)
	if len(verdicts) > 0 {
		d.parts.Peers.SendTo(peer, envelope.KindPoison, &Report{Verdicts: verdicts})
	}
	if len(ends) > 0 {
		d.parts.Peers.SendTo(peer, envelope.KindPoisonEnds, &Ends{Ends: ends[:min(len(ends), maxReported)]})
	}
}

// known returns the verdicts on the contents of some crashes, and the ends for which such contents are sent one at a time.
func (d *Detector) known(crashes []ReportedCrash) (verdicts []ReportedVerdict, ends []ReportedCrash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := make(map[keys.Content]bool)
	for i := range crashes {
		content := crashes[i].Content
		if seen[content] {
			continue
		}
		seen[content] = true
		if verdict, ok := d.table.verdicts[content]; ok {
			verdicts = append(verdicts, reportedVerdict(verdict))
		}
		for _, end := range d.table.limitingEnds(content) {
			ends = append(ends, reportedCrash(content, end))
		}
	}
	return verdicts, ends
}

// adopt records a verdict from a peer or the store unless it has expired, and reports whether it is new. The caller
// holds the lock.
func (d *Detector) adopt(verdict Verdict, from string) bool {
	if d.table.Refutes(verdict) {
		d.queueAnswered(verdict.Content)
		return false
	}
	isNew := verdict.Until >= d.parts.StoreTime() && d.table.Adopt(verdict)
	if isNew {
		d.logAdopted(verdict, from)
		d.table.SetVersions(verdict.Content, d.versionsOf(verdict.Endpoints))
	}
	return isNew
}

// versionsOf returns the software versions of the endpoints that are known.
func (d *Detector) versionsOf(endpoints []keys.Endpoint) []keys.Version {
	var versions []keys.Version
	for _, endpoint := range endpoints {
		if version := d.parts.Version(endpoint); version != 0 {
			versions = append(versions, version)
		}
	}
	return versions
}

// saveIfAnnouncer queues a verdict for the store if this host is an announcer. The verdict follows from crashes at
// several hosts, none of which may have received all of them. The caller holds the lock.
func (d *Detector) saveIfAnnouncer(verdict Verdict) {
	if d.isAnnouncer() {
		d.unsaved = append(d.unsaved, verdict)
	}
}

func (d *Detector) logAdopted(verdict Verdict, from string) {
	d.parts.Log.WithFields(keyFields(verdict.Content)).WithFields(logrus.Fields{"endpoint_keys": verdict.Endpoints, "from": from}).Info("request given up, verdict adopted")
}

// evidenceChanged updates size and wakes Run to send a report. The caller holds the lock.
func (d *Detector) evidenceChanged() {
	d.count()
	lifetime.Wake(d.reportWake)
}

// count sets size. The caller holds the lock.
func (d *Detector) count() {
	d.size.Store(int64(d.table.SuspectCount() + len(d.table.tallies) + len(d.table.verdicts)))
}

// Lift clears contents at all hosts at an operator's request, and reports whether there was a verdict on them.
func (d *Detector) Lift(content keys.Content) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.table.IsPoison(content) {
		return false
	}
	d.clear(content, 0)
	delete(d.table.tallies, content)
	d.queueAnswered(content)
	return true
}

// queueAnswered has peers clear contents. The caller holds the lock.
func (d *Detector) queueAnswered(content keys.Content) {
	d.outbox.addAnswered(content)
	d.evidenceChanged()
}

// Verdicts returns the current verdicts.
func (d *Detector) Verdicts() []Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Verdicts()
}

// Run sends reports and announcements, and syncs verdicts with the store, until done is closed.
func (d *Detector) Run(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	var syncing sync.WaitGroup
	defer syncing.Wait()
	syncing.Go(func() { d.syncStore(ctx) })
	syncing.Go(func() { d.judgeAgain(ctx) })
	syncing.Go(func() { d.watchRemovals(ctx) })
	announce := time.NewTicker(announceInterval)
	defer announce.Stop()
	for {
		select {
		case <-d.reportWake:
			d.sendReport()
			if !lifetime.Sleep(ctx, reportInterval(d.parts.Peers.Hosts())) {
				return
			}
		case <-announce.C:
			d.expire()
			d.announceVerdicts()
		case <-done:
			return
		}
	}
}

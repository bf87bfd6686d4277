package reporter

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/leader"
	"oxbowslip.dev/oxbowslip/internal/front/lease"
	"oxbowslip.dev/oxbowslip/internal/front/usage"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

const (
	window    = 5 * time.Second
	reportDue = 10 * time.Second
)

// network is a fleet of hosts with the records of its leaders and a provider.
type network struct {
	mu      sync.Mutex
	started time.Time
	hosts   map[string]*host
	records map[string][]byte
	memo    lease.Memo
	leading string
	// received are the reports that reached the provider, in order.
	received []report
	// nextErrors are the errors with which the next calls of the provider end.
	nextErrors []error
	// lostAnswers is the number of next answers of the provider that are lost.
	lostAnswers int
	// era is the era of the store.
	era uint64
	log *logrus.Entry
}

// report is a report that the provider received.
type report struct {
	window usage.Window
	counts usage.Counts
}

// host is one host of the network. It also implements the peers and the mandate of its reporter.
type host struct {
	*Reporter
	network *network
	name    string
	meter   *usage.Meter
	clock   *usage.Clock
	// skew is the error of its time of day.
	skew time.Duration
	done chan struct{}
	// sendsNothing is set for a host that the others know but that sends no messages.
	sendsNothing bool
	cancel       context.CancelFunc
	ended        chan struct{}
}

func newNetwork(names ...string) *network {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &network{started: time.Now(), hosts: make(map[string]*host), records: make(map[string][]byte), log: logrus.NewEntry(log)}
	for _, name := range names {
		n.add(name)
	}
	return n
}

// add starts a host.
func (n *network) add(name string) *host {
	h := &host{network: n, name: name, done: make(chan struct{})}
	// Only the time of day is wrong; the monotonic clock is right.
	store := func(now time.Time) (freshness.StoreTime, bool) {
		return freshness.StoreTime(now.Sub(n.started) - h.skew + time.Minute), true
	}
	h.clock = usage.NewClock(window, store, func(at time.Time) time.Time { return at })
	h.meter = usage.NewMeter(h.clock)
	h.Reporter = New(Parts{
		Meter: h.meter, UsageClock: h.clock, DueAfter: reportDue, Provider: n, Peers: h, Leader: func() string { return n.leader() },
		Log: n.log, Clock: func() time.Time { return time.Now().Add(h.skew) }, Random: func() float64 { return 0.5 },
	})
	n.mu.Lock()
	n.hosts[name] = h
	n.mu.Unlock()
	go h.Run(h.done)
	return h
}

func (n *network) leader() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leading
}

// kill stops a host without a message. The other hosts detect it immediately.
func (n *network) kill(name string) {
	n.mu.Lock()
	h := n.hosts[name]
	delete(n.hosts, name)
	n.mu.Unlock()
	close(h.done)
	if h.cancel != nil {
		n.depose(h)
	}
}

// lead makes a host the leader until depose is called.
func (n *network) lead(name string) *host {
	h := n.hosts[name]
	n.mu.Lock()
	n.leading = name
	n.mu.Unlock()
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	h.ended = make(chan struct{})
	go func() {
		defer close(h.ended)
		h.lead(ctx, h)
	}()
	return h
}

func (n *network) depose(h *host) {
	h.cancel()
	<-h.ended
	h.cancel = nil
	n.mu.Lock()
	n.leading = ""
	n.mu.Unlock()
}

func (n *network) stop() {
	for _, name := range slices.Sorted(maps.Keys(n.hosts)) {
		n.kill(name)
	}
}

// The host as the peers of its reporter.

func (h *host) Senders() []envelope.Sender {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	senders := []envelope.Sender{{Host: h.name, Incarnation: 1}}
	for _, name := range slices.Sorted(maps.Keys(h.network.hosts)) {
		if name != h.name {
			senders = append(senders, envelope.Sender{Host: name, Incarnation: 1})
		}
	}
	return senders
}

func (h *host) SendTo(to string, kind envelope.Kind, message any) {
	h.network.mu.Lock()
	receiver := h.network.hosts[to]
	h.network.mu.Unlock()
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	if receiver == nil || h.sendsNothing {
		return
	}
	handle := map[envelope.Kind]envelope.Handler{
		envelope.KindUsage: receiver.HandleCounts, envelope.KindFixedReports: receiver.HandleFixedReports, envelope.KindFixedReportsRequest: receiver.HandleFixedReportsRequest,
	}[kind]
	handle(envelope.Sender{Host: h.name, Incarnation: 1}, body)
}

// The host as the mandate of its reporter.

// Broadcast delivers a message to all other hosts and runs their handlers before it returns.
func (h *host) Broadcast(kind envelope.Kind, message any) {
	for _, to := range h.Senders()[1:] {
		h.SendTo(to.Host, kind, message)
	}
}

func (h *host) Fence() (uint64, time.Duration, bool) {
	token, err := era.Revision(h.network.era, 1)
	return token, time.Second, err == nil
}

// lostWindows is the number of windows whose reports the store loses in a restore.
const lostWindows = 3

// restore deletes the records and sets the memo back, as a restore of the store from an older backup does.
func (n *network) restore() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.records)
	n.memo.Reported = uint64(n.hosts[slices.Min(slices.Collect(maps.Keys(n.hosts)))].clock.Window(time.Now())) - lostWindows
	n.era++
}

// setErrors sets the errors with which the next calls of the provider end. errorsLeft returns the number of those
// that have not been used.
func (n *network) setErrors(errs ...error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextErrors = errs
}

func (n *network) errorsLeft() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.nextErrors)
}

// dropKnownReports deletes the reports that a host has received from leaders.
func (h *host) dropKnownReports() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.known.windows)
}

// awaitReports waits until the provider has received a number of reports.
func (n *network) awaitReports(number int) {
	for n.numReports() < number {
		time.Sleep(100 * time.Millisecond)
	}
}

func (h *host) WriteRecords(_ context.Context, records ...leader.Record) error {
	time.Sleep(5 * time.Millisecond)
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	for _, r := range records {
		if r.Delete {
			delete(h.network.records, r.Key)
			continue
		}
		h.network.records[r.Key] = r.Value
	}
	return nil
}

func (h *host) Records(context.Context) ([]leader.Record, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	var records []leader.Record
	for key, value := range h.network.records {
		records = append(records, leader.Record{Key: key, Value: value})
	}
	return records, nil
}

func (h *host) Memo() lease.Memo {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return h.network.memo
}

func (h *host) UpdateMemo(change func(*lease.Memo)) {
	h.network.mu.Lock()
	change(&h.network.memo)
	a := leader.Announcement{TrueTime: h.network.memo.TrueTime, Reported: h.network.memo.Reported}
	hosts := slices.Collect(maps.Values(h.network.hosts))
	h.network.mu.Unlock()
	for _, other := range hosts {
		other.HandleAnnouncement(a)
	}
}

func (h *host) RecordAnswer()   {}
func (h *host) RecordNoAnswer() {}

// storeCheckpoint writes the checkpoint of the leader to the store.
func (h *host) storeCheckpoint() {
	for _, r := range h.Checkpoint() {
		h.network.mu.Lock()
		h.network.records[r.Key] = r.Value
		h.network.mu.Unlock()
	}
}

// ReportUsage implements Provider.
func (n *network) ReportUsage(_ context.Context, _ leader.Fence, w usage.Window, counts usage.Counts) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.nextErrors) > 0 {
		err := n.nextErrors[0]
		n.nextErrors = n.nextErrors[1:]
		return err
	}
	n.received = append(n.received, report{w, maps.Clone(counts)})
	if n.lostAnswers > 0 {
		n.lostAnswers--
		return merry.New("no answer")
	}
	return nil
}

// totalCounts returns the sum of the counts of all reported windows, and checks that no window was reported with
// different counts.
func (n *network) totalCounts(c *qt.C) usage.Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	windows := make(map[usage.Window]usage.Counts)
	sum := make(usage.Counts)
	for _, r := range n.received {
		if before, ok := windows[r.window]; ok {
			c.Check(r.counts, qt.DeepEquals, before, qt.Commentf("window %d was reported with different counts", r.window))
			continue
		}
		windows[r.window] = r.counts
		for workspace, count := range r.counts {
			sum[workspace] += count
		}
	}
	return sum
}

// numReports returns the number of reports that the provider has received.
func (n *network) numReports() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.received)
}

// countRequests counts a number of requests at a host.
func (h *host) countRequests(workspace string, number int) {
	for range number {
		h.meter.RecordStart(workspace, time.Now().Add(h.skew))
	}
}

// TestGoldenFixedReports checks the encoded form of the message, which hosts of other versions decode.
func TestGoldenFixedReports(t *testing.T) {
	golden.Message(t, "fixed-reports", &fixedReports{Since: 1, Reported: 2, Windows: usage.Windows{3: usage.Counts{"x": 4}}})
}

func TestReports(t *testing.T) {
	tests := map[string]struct {
		play func(n *network)
		want usage.Counts
	}{
		"counts of all hosts": {func(n *network) {
			n.lead("a")
			n.hosts["a"].countRequests("x", 2)
			n.hosts["b"].countRequests("x", 3)
			n.hosts["c"].countRequests("y", 4)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 5, "y": 4}},
		"a host is killed after it has sent its counts": {func(n *network) {
			n.lead("a")
			n.hosts["b"].countRequests("x", 3)
			time.Sleep(time.Second)
			n.kill("b")
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3}},
		"the leader changes within a window": {func(n *network) {
			n.lead("a")
			n.hosts["b"].countRequests("x", 3)
			n.hosts["a"].countRequests("x", 1)
			time.Sleep(time.Second)
			n.depose(n.hosts["a"])
			n.lead("b")
			n.hosts["c"].countRequests("x", 1)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 5}},
		"the leader is killed after a checkpoint": {func(n *network) {
			h := n.lead("a")
			n.hosts["a"].countRequests("x", 2)
			time.Sleep(time.Second)
			h.storeCheckpoint()
			n.kill("a")
			n.lead("b")
			time.Sleep(3 * window)
		}, usage.Counts{"x": 2}},
		"all hosts are killed and replaced by another host": {func(n *network) {
			h := n.lead("a")
			n.hosts["a"].countRequests("x", 2)
			n.hosts["b"].countRequests("y", 3)
			time.Sleep(time.Second)
			h.storeCheckpoint()
			n.kill("a")
			n.kill("b")
			n.kill("c")
			n.add("d").clock.SetOffset(usage.ClockOffset(n.memo.TrueTime))
			n.lead("d")
			n.hosts["d"].countRequests("x", 1)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3, "y": 3}},
		"answers of the provider are lost": {func(n *network) {
			n.lead("a")
			n.lostAnswers = 2
			n.hosts["b"].countRequests("x", 3)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3}},
		"an answer is lost, and the next leader has fewer counts": {func(n *network) {
			n.lead("a")
			n.hosts["a"].countRequests("x", 3)
			n.lostAnswers = 1
			n.awaitReports(1)
			n.kill("a")
			n.lead("b")
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3}},
		"the store loses an unanswered report, and the leader changes": {func(n *network) {
			n.lead("a")
			n.hosts["a"].countRequests("x", 3)
			n.lostAnswers = 1
			n.awaitReports(1)
			n.kill("a")
			n.restore()
			n.lead("b")
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3}},
		"a leader is killed after it has fixed a report, the next one sends it, and the store loses it": {func(n *network) {
			n.lead("a")
			n.awaitReports(1)
			n.hosts["a"].countRequests("x", 3)
			n.setErrors(merry.New("no answer"), merry.New("no answer"))
			for n.errorsLeft() == 2 {
				time.Sleep(100 * time.Millisecond)
			}
			n.kill("a")
			n.hosts["b"].dropKnownReports()
			n.hosts["c"].dropKnownReports()
			n.setErrors()
			n.lostAnswers = 1
			n.lead("b")
			n.awaitReports(2)
			n.kill("b")
			n.restore()
			n.lead("c")
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3}},
		"the store loses reports, and the next leader has just started": {func(n *network) {
			n.lead("a")
			n.hosts["a"].countRequests("x", 3)
			n.awaitReports(2)
			n.kill("a")
			n.restore()
			zero := usage.ClockOffset(n.memo.TrueTime)
			n.add("d").clock.SetOffset(zero)
			n.lead("d")
			n.hosts["b"].countRequests("x", 2)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 5}},
		"the store loses reports, and all hosts are replaced": {func(n *network) {
			h := n.lead("a")
			n.hosts["a"].countRequests("x", 2)
			h.storeCheckpoint()
			counts := n.records[checkpointKey]
			n.hosts["a"].countRequests("x", 1)
			n.awaitReports(1)
			n.add("d").clock.SetOffset(usage.ClockOffset(n.memo.TrueTime))
			for _, name := range []string{"a", "b", "c"} {
				n.kill(name)
			}
			n.restore()
			n.records[checkpointKey] = counts
			time.Sleep(joinTime)
			n.lead("d")
			time.Sleep(window)
			n.hosts["d"].countRequests("y", 1)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3, "y": 1}},
		"the provider rejects the first calls": {func(n *network) {
			n.lead("a")
			n.nextErrors = []error{merry.Wrap(ErrRefused), merry.Wrap(ErrRefused), merry.New("no answer")}
			n.hosts["b"].countRequests("x", 3)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3}},
		"a host's time of day is wrong": {func(n *network) {
			n.hosts["c"].skew = 20 * time.Second
			n.lead("a")
			time.Sleep(time.Second)
			n.hosts["c"].countRequests("x", 3)
			time.Sleep(4 * window)
		}, usage.Counts{"x": 3}},
		"a host that sends nothing does not delay a report for long": {func(n *network) {
			n.hosts["c"].sendsNothing = true
			n.lead("a")
			n.hosts["b"].countRequests("x", 3)
			time.Sleep(window + 8*time.Second)
		}, usage.Counts{"x": 3}},
		"requests are counted once over many windows": {func(n *network) {
			n.lead("a")
			for range 40 {
				n.hosts["b"].countRequests("x", 3)
				time.Sleep(time.Second)
			}
			time.Sleep(3 * window)
		}, usage.Counts{"x": 120}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := newNetwork("a", "b", "c")
				test.play(n)
				n.stop()
				c.Check(n.totalCounts(c), qt.DeepEquals, test.want)
			})
		})
	}
}

// TestOldReportsAreRemoved checks that the number of records in the store stays bounded.
func TestOldReportsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork("a", "b")
		n.lead("a")
		time.Sleep(40 * window)
		n.stop()
		c.Check(len(n.records) <= keptReports+3, qt.IsTrue, qt.Commentf("%d records", len(n.records)))
	})
}

// TestUnreadableRecords checks that records which no leader wrote are ignored and the others are used.
func TestUnreadableRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork("a")
		now := n.hosts["a"].clock.Window(time.Now())
		n.memo.Reported = uint64(now) - 2
		n.records["usage/x"] = []byte("{}")
		n.records[fmt.Sprintf("usage/%d", now)] = []byte("not JSON")
		n.records[fmt.Sprintf("usage/%d", now-1)] = []byte(`{"x":7}`)
		n.records[checkpointKey] = []byte("\xff\xff")
		n.records["another"] = nil
		n.lead("a")
		time.Sleep(2 * window)
		n.stop()
		c.Check(n.totalCounts(c), qt.DeepEquals, usage.Counts{"x": 7})
	})
}

func TestShareInterval(t *testing.T) {
	c := qt.New(t)
	c.Check(shareInterval(8), qt.Equals, minShareInterval)
	c.Check(shareInterval(380), qt.Equals, 1900*time.Millisecond)
	c.Check(time.Duration(lateFraction*float64(reportDue)) > window, qt.IsTrue, qt.Commentf("a report waits for hosts that are suspended for some seconds"))
}

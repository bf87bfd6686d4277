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
	window = 5 * time.Second
	due    = 10 * time.Second
)

// network is some hosts, the records that leaders keep, and a provider.
type network struct {
	mu      sync.Mutex
	started time.Time
	hosts   map[string]*host
	records map[string][]byte
	memo    lease.Memo
	leading string
	// received are the reports that reached the provider, in order.
	received []report
	// fails is how the provider ends the next calls.
	fails []error
	// lost are the answers of the provider that are lost.
	lost int
	// era is that of the store.
	era uint64
	log *logrus.Entry
}

// report is one that the provider received.
type report struct {
	window usage.Window
	counts usage.Counts
}

// host is one host.
type host struct {
	*Reporter
	network *network
	name    string
	meter   *usage.Meter
	clock   *usage.Clock
	// ahead is how wrong its time of day is.
	ahead time.Duration
	done  chan struct{}
	// silent hosts are known to the others but send nothing.
	silent bool
	cancel context.CancelFunc
	ended  chan struct{}
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
	// The monotonic clock is not wrong.
	store := func(now time.Time) (freshness.StoreTime, bool) {
		return freshness.StoreTime(now.Sub(n.started) - h.ahead + time.Minute), true
	}
	h.clock = usage.NewClock(window, store, func(at time.Time) time.Time { return at })
	h.meter = usage.NewMeter(h.clock)
	h.Reporter = New(Parts{
		Meter: h.meter, UsageClock: h.clock, DueAfter: due, Provider: n, Peers: h, Leader: func() string { return n.leader() },
		Log: n.log, Clock: func() time.Time { return time.Now().Add(h.ahead) }, Random: func() float64 { return 0.5 },
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

// kill ends a host without a word; the others know at once.
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

// lead makes a host the leader until depose.
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

// The peers of a host.

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
	if receiver == nil || h.silent {
		return
	}
	handle := map[envelope.Kind]envelope.Handler{
		envelope.KindUsage: receiver.HandleCounts, envelope.KindFixedReports: receiver.HandleFixedReports, envelope.KindFixedReportsRequest: receiver.HandleFixedReportsRequest,
	}[kind]
	handle(envelope.Sender{Host: h.name, Incarnation: 1}, body)
}

// The mandate of a host that leads.

// Broadcast reaches all hosts, whose handlers run at once.
func (h *host) Broadcast(kind envelope.Kind, message any) {
	for _, to := range h.Senders()[1:] {
		h.SendTo(to.Host, kind, message)
	}
}

func (h *host) Fence() (uint64, time.Duration, bool) {
	token, err := era.Revision(h.network.era, 1)
	return token, time.Second, err == nil
}

// lostWindows is how many windows the store loses when it is restored.
const lostWindows = 3

// restore has the store lose the records, and come back with an older memo.
func (n *network) restore() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.records)
	n.memo.Reported = uint64(n.hosts[slices.Min(slices.Collect(maps.Keys(n.hosts)))].clock.Window(time.Now())) - lostWindows
	n.era++
}

// fail has the next calls of the provider end with errors, failures returns how many are left of them.
func (n *network) fail(errs ...error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fails = errs
}

func (n *network) failures() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.fails)
}

// forget has a host have missed all that leaders sent.
func (h *host) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.known.windows)
}

// awaitReports waits until the provider has received a number of reports.
func (n *network) awaitReports(number int) {
	for n.reports() < number {
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

// renew stores the checkpoint of the leader.
func (h *host) renew() {
	for _, r := range h.Checkpoint() {
		h.network.mu.Lock()
		h.network.records[r.Key] = r.Value
		h.network.mu.Unlock()
	}
}

// ReportUsage is the provider.
func (n *network) ReportUsage(_ context.Context, _ leader.Fence, w usage.Window, counts usage.Counts) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.fails) > 0 {
		err := n.fails[0]
		n.fails = n.fails[1:]
		return err
	}
	n.received = append(n.received, report{w, maps.Clone(counts)})
	if n.lost > 0 {
		n.lost--
		return merry.New("no answer")
	}
	return nil
}

// counts returns the counts of all windows together, and checks that no window was reported differently.
func (n *network) counts(c *qt.C) usage.Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	windows := make(map[usage.Window]usage.Counts)
	sum := make(usage.Counts)
	for _, r := range n.received {
		if before, ok := windows[r.window]; ok {
			c.Check(r.counts, qt.DeepEquals, before, qt.Commentf("window %d was reported differently", r.window))
			continue
		}
		windows[r.window] = r.counts
		for workspace, count := range r.counts {
			sum[workspace] += count
		}
	}
	return sum
}

// reports returns how many reports the provider has received.
func (n *network) reports() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.received)
}

// count counts a number of requests at a host.
func (h *host) count(workspace string, number int) {
	for range number {
		h.meter.RecordStart(workspace, time.Now().Add(h.ahead))
	}
}

// TestGoldenFixedReports holds the encoded form of the message: hosts of other versions read it.
func TestGoldenFixedReports(t *testing.T) {
	golden.Message(t, "fixed-reports", &fixedReports{Since: 1, Reported: 2, Windows: usage.Windows{3: usage.Counts{"x": 4}}})
}

func TestReports(t *testing.T) {
	tests := map[string]struct {
		play func(n *network)
		want usage.Counts
	}{
		"all hosts": {func(n *network) {
			n.lead("a")
			n.hosts["a"].count("x", 2)
			n.hosts["b"].count("x", 3)
			n.hosts["c"].count("y", 4)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 5, "y": 4}},
		"a host that was killed after it sent": {func(n *network) {
			n.lead("a")
			n.hosts["b"].count("x", 3)
			time.Sleep(time.Second)
			n.kill("b")
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3}},
		"another leader": {func(n *network) {
			n.lead("a")
			n.hosts["b"].count("x", 3)
			n.hosts["a"].count("x", 1)
			time.Sleep(time.Second)
			n.depose(n.hosts["a"])
			n.lead("b")
			n.hosts["c"].count("x", 1)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 5}},
		"the leader is killed, its counts are in the store": {func(n *network) {
			h := n.lead("a")
			n.hosts["a"].count("x", 2)
			time.Sleep(time.Second)
			h.renew()
			n.kill("a")
			n.lead("b")
			time.Sleep(3 * window)
		}, usage.Counts{"x": 2}},
		"all hosts are killed, and others come": {func(n *network) {
			h := n.lead("a")
			n.hosts["a"].count("x", 2)
			n.hosts["b"].count("y", 3)
			time.Sleep(time.Second)
			h.renew()
			n.kill("a")
			n.kill("b")
			n.kill("c")
			n.add("d").clock.SetOffset(usage.ClockOffset(n.memo.TrueTime))
			n.lead("d")
			n.hosts["d"].count("x", 1)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3, "y": 3}},
		"an answer is lost": {func(n *network) {
			n.lead("a")
			n.lost = 2
			n.hosts["b"].count("x", 3)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3}},
		"an answer is lost, and the next leader knows less": {func(n *network) {
			n.lead("a")
			n.hosts["a"].count("x", 3)
			n.lost = 1
			n.awaitReports(1)
			n.kill("a")
			n.lead("b")
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3}},
		"the store loses a report of which no answer came, another leads": {func(n *network) {
			n.lead("a")
			n.hosts["a"].count("x", 3)
			n.lost = 1
			n.awaitReports(1)
			n.kill("a")
			n.restore()
			n.lead("b")
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3}},
		"a leader ends once it has fixed a report, the next one sends it and the store loses it": {func(n *network) {
			n.lead("a")
			n.awaitReports(1)
			n.hosts["a"].count("x", 3)
			n.fail(merry.New("no answer"), merry.New("no answer"))
			for n.failures() == 2 {
				time.Sleep(100 * time.Millisecond)
			}
			n.kill("a")
			n.hosts["b"].forget()
			n.hosts["c"].forget()
			n.fail()
			n.lost = 1
			n.lead("b")
			n.awaitReports(2)
			n.kill("b")
			n.restore()
			n.lead("c")
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3}},
		"the store loses reports, and who leads next has just started": {func(n *network) {
			n.lead("a")
			n.hosts["a"].count("x", 3)
			n.awaitReports(2)
			n.kill("a")
			n.restore()
			zero := usage.ClockOffset(n.memo.TrueTime)
			n.add("d").clock.SetOffset(zero)
			n.lead("d")
			n.hosts["b"].count("x", 2)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 5}},
		"the store loses reports, and all hosts were killed": {func(n *network) {
			h := n.lead("a")
			n.hosts["a"].count("x", 2)
			h.renew()
			counts := n.records[keyCheckpoint]
			n.hosts["a"].count("x", 1)
			n.awaitReports(1)
			n.add("d").clock.SetOffset(usage.ClockOffset(n.memo.TrueTime))
			for _, name := range []string{"a", "b", "c"} {
				n.kill(name)
			}
			n.restore()
			n.records[keyCheckpoint] = counts
			time.Sleep(joinTime)
			n.lead("d")
			time.Sleep(window)
			n.hosts["d"].count("y", 1)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3, "y": 1}},
		"the provider refuses for a while": {func(n *network) {
			n.lead("a")
			n.fails = []error{merry.Wrap(ErrRefused), merry.Wrap(ErrRefused), merry.New("no answer")}
			n.hosts["b"].count("x", 3)
			time.Sleep(3 * window)
		}, usage.Counts{"x": 3}},
		"a host whose time of day is wrong": {func(n *network) {
			n.hosts["c"].ahead = 20 * time.Second
			n.lead("a")
			time.Sleep(time.Second)
			n.hosts["c"].count("x", 3)
			time.Sleep(4 * window)
		}, usage.Counts{"x": 3}},
		"a host that sends nothing is not waited for too long": {func(n *network) {
			n.hosts["c"].silent = true
			n.lead("a")
			n.hosts["b"].count("x", 3)
			time.Sleep(window + 8*time.Second)
		}, usage.Counts{"x": 3}},
		"nothing was counted twice over many windows": {func(n *network) {
			n.lead("a")
			for range 40 {
				n.hosts["b"].count("x", 3)
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
				c.Check(n.counts(c), qt.DeepEquals, test.want)
			})
		})
	}
}

// TestOldReportsAreRemoved checks that the store does not fill up.
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

// TestUnreadableRecords has records that no leader wrote: they are left out, the others count.
func TestUnreadableRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork("a")
		now := n.hosts["a"].clock.Window(time.Now())
		n.memo.Reported = uint64(now) - 2
		n.records["usage/x"] = []byte("{}")
		n.records[fmt.Sprintf("usage/%d", now)] = []byte("not JSON")
		n.records[fmt.Sprintf("usage/%d", now-1)] = []byte(`{"x":7}`)
		n.records[keyCheckpoint] = []byte("\xff\xff")
		n.records["another"] = nil
		n.lead("a")
		time.Sleep(2 * window)
		n.stop()
		c.Check(n.counts(c), qt.DeepEquals, usage.Counts{"x": 7})
	})
}

func TestShareInterval(t *testing.T) {
	c := qt.New(t)
	c.Check(shareInterval(8), qt.Equals, leastShareInterval)
	c.Check(shareInterval(380), qt.Equals, 1900*time.Millisecond)
	c.Check(time.Duration(latePart*float64(due)) > window, qt.IsTrue, qt.Commentf("hosts that freeze for some seconds are waited for"))
}

package leader

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/lease"
)

const leaseTime = 3 * time.Second

// errUnreachable is the error of a store that does not answer.
var errUnreachable = merry.Sentinel("away")

// memoryStore is a store in memory, for a bubble of testing/synctest.
type memoryStore struct {
	mu       sync.Mutex
	started  time.Time
	revision uint64
	row      lease.Row
	records  map[string][]byte
	calls    int
	// unreachable are the hosts that get no answer. lossy are those whose writes are applied but not answered.
	unreachable map[string]bool
	lossy       map[string]bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{started: time.Now(), revision: 5, records: make(map[string][]byte), unreachable: make(map[string]bool), lossy: make(map[string]bool)}
}

func (s *memoryStore) at() freshness.StoreTime {
	return freshness.StoreTime(time.Since(s.started)) + 1e9
}

// hostStore is the store as one host reaches it.
type hostStore struct {
	*memoryStore
	host string
}

// answerDelay waits as long as an answer takes, or until ctx ends if the store is unreachable for the host.
func (s hostStore) answerDelay(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	unreachable := s.unreachable[s.host]
	s.mu.Unlock()
	if !unreachable {
		time.Sleep(4 * time.Millisecond)
		return nil
	}
	<-ctx.Done()
	return merry.Wrap(errUnreachable)
}

func (s hostStore) ReadLease(ctx context.Context) (lease.Answer, error) {
	sent := time.Now()
	if err := s.answerDelay(ctx); err != nil {
		return lease.Answer{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return lease.Answer{Sent: sent, Received: time.Now(), At: s.at(), Revision: s.revision, Row: s.row}, nil
}

func (s hostStore) WriteLease(ctx context.Context, w *lease.Write, beside []Record) (lease.Answer, error) {
	sent := time.Now()
	if err := s.answerDelay(ctx); err != nil {
		return lease.Answer{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := lease.Answer{Sent: sent, Received: time.Now(), At: s.at(), Revision: s.revision, Row: s.row}
	if s.row.Version != w.Expected {
		return answer, merry.Wrap(ErrConflict)
	}
	s.revision++
	record := w.Record
	s.row = lease.Row{Version: s.revision, Record: &record}
	for _, r := range beside {
		if r.Delete {
			delete(s.records, r.Key)
		} else {
			s.records[r.Key] = r.Value
		}
	}
	if s.lossy[s.host] {
		return lease.Answer{}, merry.Wrap(errUnreachable)
	}
	answer.Revision = s.revision
	return answer, nil
}

func (s hostStore) Records(ctx context.Context) ([]Record, error) {
	if err := s.answerDelay(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []Record
	for key, value := range s.records {
		records = append(records, Record{Key: key, Value: value})
	}
	return records, nil
}

// testFleet is a fleet of hosts that share a store and a provider.
type testFleet struct {
	store         *memoryStore
	leaders       []*Leader
	done          []chan struct{}
	running       sync.WaitGroup
	mu            sync.Mutex
	providerCalls []providerCall
	// noAnnouncements are the hosts that receive no announcements.
	noAnnouncements map[string]bool
	// noProviderAnswers are the hosts whose calls the provider does not answer.
	noProviderAnswers map[string]bool
}

// providerCall is a call that reached the provider.
type providerCall struct {
	at    time.Duration
	host  string
	token uint64
}

// hostPeers are the peers of one host.
type hostPeers struct {
	all    *testFleet
	name   string
	before int
}

func (p hostPeers) IsSettled() bool  { return true }
func (p hostPeers) HostsBefore() int { return p.before }
func (p hostPeers) Announce(a Announcement) {
	for _, l := range p.all.leaders {
		if l.parts.Host != p.name && !p.all.noAnnouncements[l.parts.Host] {
			l.HandleAnnouncement(p.name, a)
		}
	}
}

// providerCaller is a task that calls the provider every 50 ms.
type providerCaller struct {
	all  *testFleet
	name string
}

func (c *providerCaller) Lead(ctx context.Context, m *Mandate) {
	for ctx.Err() == nil {
		if token, _, ok := m.Fence(); ok {
			c.all.mu.Lock()
			c.all.providerCalls = append(c.all.providerCalls, providerCall{at: time.Since(c.all.store.started), host: c.name, token: token})
			unanswered := c.all.noProviderAnswers[c.name]
			c.all.mu.Unlock()
			if unanswered {
				m.RecordNoAnswer()
			} else {
				m.RecordAnswer()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// startFleet starts a fleet of a number of hosts.
func startFleet(number int) *testFleet {
	all := &testFleet{store: newMemoryStore(), noAnnouncements: make(map[string]bool), noProviderAnswers: make(map[string]bool)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for n := range number {
		name := string(rune('a' + n))
		random := rand.New(rand.NewPCG(uint64(n), 1))
		all.leaders = append(all.leaders, New(Parts{
			Host: name, Start: int64(n + 1), Duration: leaseTime, Store: hostStore{all.store, name}, Peers: hostPeers{all, name, n},
			Tasks: []Task{&providerCaller{all, name}}, Log: logrus.NewEntry(log), Clock: time.Now, Random: random.Float64,
			StoreTime:      func(time.Time) (freshness.StoreTime, bool) { return all.store.at(), true },
			OnAnnouncement: func(Announcement) {},
		}))
	}
	for _, l := range all.leaders {
		done := make(chan struct{})
		all.done = append(all.done, done)
		all.running.Go(func() { l.Run(done) })
	}
	return all
}

// kill stops a host without a resignation.
func (h *testFleet) kill(n int) {
	close(h.done[n])
	h.done[n] = nil
}

func (h *testFleet) stop() {
	for _, done := range h.done {
		if done != nil {
			close(done)
		}
	}
	h.running.Wait()
}

// checkCalls checks the rules of the lease on the calls that the provider received, and returns the order in which
// hosts made them.
func (h *testFleet) checkCalls(c *qt.C) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var order []string
	holders := make(map[uint64]string)
	last := make(map[string]time.Duration)
	for i, a := range h.providerCalls {
		if i > 0 {
			c.Check(a.token >= h.providerCalls[i-1].token, qt.IsTrue, qt.Commentf("a call with a lower token after one with a higher token: %v", h.providerCalls[i-1:i+1]))
		}
		if holder, ok := holders[a.token]; ok {
			c.Check(holder, qt.Equals, a.host, qt.Commentf("two hosts used the same token"))
		}
		holders[a.token] = a.host
		if len(order) == 0 || order[len(order)-1] != a.host {
			if before, ok := last[a.host]; ok {
				c.Check(a.at-before > leaseTime, qt.IsTrue, qt.Commentf("%s made a call %s after its previous one, and another host called in between", a.host, a.at-before))
			}
			order = append(order, a.host)
		}
		last[a.host] = a.at
	}
	return order
}

// lastCalls returns the time of the last call of each host.
func (h *testFleet) lastCalls() map[string]time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := make(map[string]time.Duration)
	for _, a := range h.providerCalls {
		last[a.host] = a.at
	}
	return last
}

func (h *testFleet) setFault(faults map[string]bool, host string, is bool) {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	faults[host] = is
}

func TestLeadershipChanges(t *testing.T) {
	tests := map[string]struct {
		play func(h *testFleet)
		want []string
	}{
		"no faults": {func(*testFleet) { time.Sleep(time.Minute) }, []string{"a"}},
		"the leader is killed": {func(h *testFleet) {
			time.Sleep(10 * time.Second)
			h.kill(0)
			time.Sleep(10 * time.Second)
		}, []string{"a", "b"}},
		"the leader resigns": {func(h *testFleet) {
			time.Sleep(10 * time.Second)
			h.leaders[0].Resign()
			time.Sleep(2 * time.Second)
		}, []string{"a", "b"}},
		"leaders resign one after the other": {func(h *testFleet) {
			time.Sleep(10 * time.Second)
			h.leaders[0].Resign()
			time.Sleep(time.Second)
			h.leaders[1].Resign()
			time.Sleep(2 * time.Second)
		}, []string{"a", "b", "c"}},
		"the store does not answer the leader": {func(h *testFleet) {
			time.Sleep(10 * time.Second)
			h.setFault(h.store.unreachable, "a", true)
			time.Sleep(20 * time.Second)
			h.setFault(h.store.unreachable, "a", false)
			time.Sleep(10 * time.Second)
		}, []string{"a", "b"}},
		"the store answers no host for 20 s": {func(h *testFleet) {
			time.Sleep(10 * time.Second)
			for _, host := range []string{"a", "b", "c"} {
				h.setFault(h.store.unreachable, host, true)
			}
			time.Sleep(20 * time.Second)
			h.setFault(h.store.unreachable, "b", false)
			time.Sleep(10 * time.Second)
		}, []string{"a", "b"}},
		"the leader's writes are applied but not answered": {func(h *testFleet) {
			time.Sleep(10 * time.Second)
			h.setFault(h.store.lossy, "a", true)
			time.Sleep(20 * time.Second)
		}, []string{"a"}},
		"another writer overwrites the row": {func(h *testFleet) {
			time.Sleep(10 * time.Second)
			h.store.mu.Lock()
			h.store.revision++
			h.store.row = lease.Row{Version: h.store.revision}
			h.store.mu.Unlock()
			time.Sleep(20 * time.Second)
		}, []string{"a"}},
		"a host receives no announcements": {func(h *testFleet) {
			h.setFault(h.noAnnouncements, "c", true)
			time.Sleep(30 * time.Second)
		}, []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := startFleet(3)
				test.play(h)
				h.stop()
				c.Check(h.checkCalls(c), qt.DeepEquals, test.want)
			})
		})
	}
}

// TestLeaderMakesOneStoreCallPerSecond checks the load on the store without faults: the leader calls it once a
// second, and the other hosts do not call it.
func TestLeaderMakesOneStoreCallPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := startFleet(20)
		time.Sleep(time.Minute)
		h.stop()
		c.Check(h.store.calls <= 62, qt.IsTrue, qt.Commentf("%d calls in a minute", h.store.calls))
		c.Check(h.store.calls >= 55, qt.IsTrue, qt.Commentf("%d calls in a minute", h.store.calls))
	})
}

// TestNoCallNearLeaseEnd isolates the leader from the store: its last call starts while at least minTimeLeft of the
// lease is left, and the first call of the next leader comes after the end of the lease.
func TestNoCallNearLeaseEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := startFleet(2)
		time.Sleep(10 * time.Second)
		h.setFault(h.store.unreachable, "a", true)
		lost := time.Since(h.store.started)
		time.Sleep(20 * time.Second)
		h.stop()
		c.Check(h.checkCalls(c), qt.DeepEquals, []string{"a", "b"})
		c.Check(h.lastCalls()["a"] <= lost+leaseTime-minTimeLeft, qt.IsTrue)
		first := slices.IndexFunc(h.providerCalls, func(a providerCall) bool { return a.host == "b" })
		c.Check(h.providerCalls[first].at-h.lastCalls()["a"] >= minTimeLeft, qt.IsTrue)
		c.Check(minTimeLeft > lease.MaxFlightTime, qt.IsTrue, qt.Commentf("a call has time before it must end"))
		c.Check(renewInterval+storeTimeout+minTimeLeft <= leaseTime, qt.IsTrue, qt.Commentf("one renewal may be lost without a gap in leadership"))
	})
}

// TestLeaseIsReleasedWithoutProviderAnswers has the provider answer only some hosts, or none: leaders that get no
// answer release the lease.
func TestLeaseIsReleasedWithoutProviderAnswers(t *testing.T) {
	for _, unanswered := range []int{1, 2, 3} {
		t.Run(fmt.Sprintf("%d of 3", unanswered), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := startFleet(3)
				for n := range unanswered {
					h.setFault(h.noProviderAnswers, string(rune('a'+n)), true)
				}
				time.Sleep(2 * time.Minute)
				h.stop()
				order := h.checkCalls(c)
				if unanswered < 3 {
					c.Check(order[len(order)-1], qt.Equals, string(rune('a'+unanswered)), qt.Commentf("%q", order))
					c.Check(len(order), qt.Equals, unanswered+1)
				} else {
					c.Check(len(order) <= 7, qt.IsTrue, qt.Commentf("%q: if the provider answers no host, leaders change less and less often", order))
				}
			})
		})
	}
}

// currentMandate returns the mandate of the running tasks.
func (l *Leader) currentMandate() *Mandate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mandate
}

// TestWriteRecords checks the result of WriteRecords when the records are written, when the lease ends before they
// are, and after its end.
func TestWriteRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := startFleet(2)
		time.Sleep(10 * time.Second)
		m := h.leaders[0].currentMandate()
		c.Assert(m.WriteRecords(t.Context(), Record{Key: "k", Value: []byte("v")}), qt.IsNil)
		c.Check(string(h.store.records["k"]), qt.Equals, "v")
		h.setFault(h.store.unreachable, "a", true)
		err := m.WriteRecords(t.Context(), Record{Key: "k", Value: []byte("w")})
		c.Check(err, qt.ErrorIs, ErrLeadershipLost, qt.Commentf("the lease ended before the records were written"))
		c.Check(string(h.store.records["k"]), qt.Equals, "v")
		c.Check(m.WriteRecords(t.Context(), Record{Key: "k"}), qt.ErrorIs, ErrLeadershipLost)
		h.stop()
	})
}

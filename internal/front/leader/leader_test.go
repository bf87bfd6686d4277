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

// errAway is what a store that is away answers.
var errAway = merry.Sentinel("away")

// memoryStore is a store in memory, in a bubble of testing/synctest.
type memoryStore struct {
	mu       sync.Mutex
	started  time.Time
	revision uint64
	row      lease.Row
	records  map[string][]byte
	calls    int
	// away are the hosts whose calls it does not answer; lossy ones get no answers to writes that are done.
	away  map[string]bool
	lossy map[string]bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{started: time.Now(), revision: 5, records: make(map[string][]byte), away: make(map[string]bool), lossy: make(map[string]bool)}
}

func (s *memoryStore) at() freshness.StoreTime {
	return freshness.StoreTime(time.Since(s.started)) + 1e9
}

// hostStore is the store as one host reaches it.
type hostStore struct {
	*memoryStore
	host string
}

// silence blocks like a store that does not answer, if it is away for the host.
func (s hostStore) silence(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	away := s.away[s.host]
	s.mu.Unlock()
	if !away {
		time.Sleep(4 * time.Millisecond)
		return nil
	}
	<-ctx.Done()
	return merry.Wrap(errAway)
}

func (s hostStore) ReadLease(ctx context.Context) (lease.Answer, error) {
	sent := time.Now()
	if err := s.silence(ctx); err != nil {
		return lease.Answer{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return lease.Answer{Sent: sent, Received: time.Now(), At: s.at(), Revision: s.revision, Row: s.row}, nil
}

func (s hostStore) WriteLease(ctx context.Context, w *lease.Write, beside []Record) (lease.Answer, error) {
	sent := time.Now()
	if err := s.silence(ctx); err != nil {
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
		return lease.Answer{}, merry.Wrap(errAway)
	}
	answer.Revision = s.revision
	return answer, nil
}

func (s hostStore) Records(ctx context.Context) ([]Record, error) {
	if err := s.silence(ctx); err != nil {
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

// hosts are some hosts that share a store.
type hosts struct {
	store   *memoryStore
	leaders []*Leader
	done    []chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	acts    []act
	// deaf are the hosts that get no announcements.
	deaf map[string]bool
	// unable are the hosts that the provider does not answer.
	unable map[string]bool
}

// act is a call that reached the provider.
type act struct {
	at    time.Duration
	host  string
	token uint64
}

// hostPeers are the peers of one host.
type hostPeers struct {
	all    *hosts
	name   string
	before int
}

func (p hostPeers) IsSettled() bool  { return true }
func (p hostPeers) HostsBefore() int { return p.before }
func (p hostPeers) Announce(a Announcement) {
	for _, l := range p.all.leaders {
		if l.parts.Host != p.name && !p.all.deaf[l.parts.Host] {
			l.HandleAnnouncement(p.name, a)
		}
	}
}

// caller is a task that calls the provider all the time.
type caller struct {
	all  *hosts
	name string
}

func (c *caller) Lead(ctx context.Context, m *Mandate) {
	for ctx.Err() == nil {
		if token, _, ok := m.Fence(); ok {
			c.all.mu.Lock()
			c.all.acts = append(c.all.acts, act{at: time.Since(c.all.store.started), host: c.name, token: token})
			unable := c.all.unable[c.name]
			c.all.mu.Unlock()
			if unable {
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

// start starts a number of hosts.
func start(number int) *hosts {
	all := &hosts{store: newMemoryStore(), deaf: make(map[string]bool), unable: make(map[string]bool)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for n := range number {
		name := string(rune('a' + n))
		random := rand.New(rand.NewPCG(uint64(n), 1))
		all.leaders = append(all.leaders, New(Parts{
			Host: name, Start: int64(n + 1), Duration: leaseTime, Store: hostStore{all.store, name}, Peers: hostPeers{all, name, n},
			Tasks: []Task{&caller{all, name}}, Log: logrus.NewEntry(log), Clock: time.Now, Random: random.Float64,
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

// kill ends a host without a word.
func (h *hosts) kill(n int) {
	close(h.done[n])
	h.done[n] = nil
}

func (h *hosts) stop() {
	for _, done := range h.done {
		if done != nil {
			close(done)
		}
	}
	h.running.Wait()
}

// check checks what must hold of the calls, and returns the hosts that acted, in order.
func (h *hosts) check(c *qt.C) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var order []string
	holders := make(map[uint64]string)
	last := make(map[string]time.Duration)
	for i, a := range h.acts {
		if i > 0 {
			c.Check(a.token >= h.acts[i-1].token, qt.IsTrue, qt.Commentf("a lower token after a higher one: %v", h.acts[i-1:i+1]))
		}
		if holder, ok := holders[a.token]; ok {
			c.Check(holder, qt.Equals, a.host, qt.Commentf("the same token"))
		}
		holders[a.token] = a.host
		if len(order) == 0 || order[len(order)-1] != a.host {
			if before, ok := last[a.host]; ok {
				c.Check(a.at-before > leaseTime, qt.IsTrue, qt.Commentf("%s acts %s after it did, and another one between", a.host, a.at-before))
			}
			order = append(order, a.host)
		}
		last[a.host] = a.at
	}
	return order
}

// lastActs returns when each host acted last.
func (h *hosts) lastActs() map[string]time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := make(map[string]time.Duration)
	for _, a := range h.acts {
		last[a.host] = a.at
	}
	return last
}

func (h *hosts) set(faults map[string]bool, host string, is bool) {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	faults[host] = is
}

func TestHostsTakeTurns(t *testing.T) {
	tests := map[string]struct {
		play func(h *hosts)
		want []string
	}{
		"all is well": {func(*hosts) { time.Sleep(time.Minute) }, []string{"a"}},
		"the leader is killed": {func(h *hosts) {
			time.Sleep(10 * time.Second)
			h.kill(0)
			time.Sleep(10 * time.Second)
		}, []string{"a", "b"}},
		"the leader stops as planned": {func(h *hosts) {
			time.Sleep(10 * time.Second)
			h.leaders[0].Resign()
			time.Sleep(2 * time.Second)
		}, []string{"a", "b"}},
		"leaders stop one after the other": {func(h *hosts) {
			time.Sleep(10 * time.Second)
			h.leaders[0].Resign()
			time.Sleep(time.Second)
			h.leaders[1].Resign()
			time.Sleep(2 * time.Second)
		}, []string{"a", "b", "c"}},
		"the store does not answer the leader": {func(h *hosts) {
			time.Sleep(10 * time.Second)
			h.set(h.store.away, "a", true)
			time.Sleep(20 * time.Second)
			h.set(h.store.away, "a", false)
			time.Sleep(10 * time.Second)
		}, []string{"a", "b"}},
		"the store answers nobody for a while": {func(h *hosts) {
			time.Sleep(10 * time.Second)
			for _, host := range []string{"a", "b", "c"} {
				h.set(h.store.away, host, true)
			}
			time.Sleep(20 * time.Second)
			h.set(h.store.away, "b", false)
			time.Sleep(10 * time.Second)
		}, []string{"a", "b"}},
		"the leader's writes are done and not answered": {func(h *hosts) {
			time.Sleep(10 * time.Second)
			h.set(h.store.lossy, "a", true)
			time.Sleep(20 * time.Second)
		}, []string{"a"}},
		"another writer spoils the row": {func(h *hosts) {
			time.Sleep(10 * time.Second)
			h.store.mu.Lock()
			h.store.revision++
			h.store.row = lease.Row{Version: h.store.revision}
			h.store.mu.Unlock()
			time.Sleep(20 * time.Second)
		}, []string{"a"}},
		"a host that gets no announcements": {func(h *hosts) {
			h.set(h.deaf, "c", true)
			time.Sleep(30 * time.Second)
		}, []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := start(3)
				test.play(h)
				h.stop()
				c.Check(h.check(c), qt.DeepEquals, test.want)
			})
		})
	}
}

// TestTheLeaderRenews checks what leading costs while all is well: a call a second, and nothing for the others.
func TestTheLeaderRenews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := start(20)
		time.Sleep(time.Minute)
		h.stop()
		c.Check(h.store.calls <= 62, qt.IsTrue, qt.Commentf("%d calls in a minute", h.store.calls))
		c.Check(h.store.calls >= 55, qt.IsTrue, qt.Commentf("%d calls in a minute", h.store.calls))
	})
}

// TestNoCallNearTheEndOfALease has a leader lose the store: its last call begins while leastLeft is left, and the
// next leader's first one comes after the lease.
func TestNoCallNearTheEndOfALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := start(2)
		time.Sleep(10 * time.Second)
		h.set(h.store.away, "a", true)
		lost := time.Since(h.store.started)
		time.Sleep(20 * time.Second)
		h.stop()
		c.Check(h.check(c), qt.DeepEquals, []string{"a", "b"})
		c.Check(h.lastActs()["a"] <= lost+leaseTime-leastLeft, qt.IsTrue)
		first := slices.IndexFunc(h.acts, func(a act) bool { return a.host == "b" })
		c.Check(h.acts[first].at-h.lastActs()["a"] >= leastLeft, qt.IsTrue)
		c.Check(leastLeft > lease.MaxFlightTime, qt.IsTrue, qt.Commentf("a call has some time"))
		c.Check(renewInterval+storeTimeout+leastLeft <= leaseTime, qt.IsTrue, qt.Commentf("one renewal may be lost without a gap"))
	})
}

// TestALeaderThatGetsNoAnswerGivesUp has the provider answer only some hosts, or none.
func TestALeaderThatGetsNoAnswerGivesUp(t *testing.T) {
	for _, unable := range []int{1, 2, 3} {
		t.Run(fmt.Sprintf("%d of 3", unable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := start(3)
				for n := range unable {
					h.set(h.unable, string(rune('a'+n)), true)
				}
				time.Sleep(2 * time.Minute)
				h.stop()
				order := h.check(c)
				if unable < 3 {
					c.Check(order[len(order)-1], qt.Equals, string(rune('a'+unable)), qt.Commentf("%q", order))
					c.Check(len(order), qt.Equals, unable+1)
				} else {
					c.Check(len(order) <= 7, qt.IsTrue, qt.Commentf("%q: where the provider answers nobody, leaders change ever less often", order))
				}
			})
		})
	}
}

// mandateNow returns the mandate of the tasks that run.
func (l *Leader) mandateNow() *Mandate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mandate
}

// TestRecordsAreKept checks what a task learns of records that it wants to have in the store.
func TestRecordsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := start(2)
		time.Sleep(10 * time.Second)
		m := h.leaders[0].mandateNow()
		c.Assert(m.WriteRecords(t.Context(), Record{Key: "k", Value: []byte("v")}), qt.IsNil)
		c.Check(string(h.store.records["k"]), qt.Equals, "v")
		h.set(h.store.away, "a", true)
		err := m.WriteRecords(t.Context(), Record{Key: "k", Value: []byte("w")})
		c.Check(err, qt.ErrorIs, ErrLeadershipLost, qt.Commentf("the lease ended meanwhile"))
		c.Check(string(h.store.records["k"]), qt.Equals, "v")
		c.Check(m.WriteRecords(t.Context(), Record{Key: "k"}), qt.ErrorIs, ErrLeadershipLost)
		h.stop()
	})
}

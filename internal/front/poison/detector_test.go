package poison

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// fleet is the detectors of some hosts, with a network, endpoints and a store in memory. It runs in a bubble of
// testing/synctest.
type fleet struct {
	c     *qt.C
	start time.Time

	mu    sync.Mutex
	hosts []*host
	// there are the addresses at which an endpoint listens, silent those that say nothing.
	there, silent map[string]bool
	// loss is the part of the datagrams that are lost.
	loss   float64
	random *rand.Rand
	rows   map[keys.Request]Verdict
	// down is set while the store does not answer.
	down   bool
	writes int
	// era is that of the store.
	era uint64
}

// host is one detector. It implements Peers.
type host struct {
	*Detector
	fleet *fleet
	place int
	// cut is set while nothing reaches the host or comes from it, dropped once its peers know that it has ended.
	cut     bool
	dropped bool
	done    chan struct{}
	over    sync.WaitGroup
}

func newFleet(c *qt.C, hosts int) *fleet {
	f := &fleet{
		c: c, start: time.Now(), there: make(map[string]bool), silent: make(map[string]bool),
		random: rand.New(rand.NewPCG(42, 0)), rows: make(map[keys.Request]Verdict),
	}
	for range hosts {
		f.add()
	}
	c.Cleanup(func() {
		for _, h := range f.hosts {
			h.stop()
		}
	})
	return f
}

func (f *fleet) add() *host {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &host{fleet: f, done: make(chan struct{})}
	h.Detector = New(Parts{
		Peers: h, Prober: f, Store: f, StoreTime: func() freshness.StoreTime { return freshness.StoreTime(time.Since(f.start)) }, Era: f.newestEra,
		Log: logrus.NewEntry(log), Clock: time.Now, Random: f.number,
	})
	f.mu.Lock()
	h.place = len(f.hosts)
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	h.over.Go(func() { h.Run(h.done) })
	return h
}

func (f *fleet) newestEra() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// number returns a random number.
func (f *fleet) number() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// stop ends the host, which is killed: it says nothing any more.
func (h *host) stop() {
	h.fleet.mu.Lock()
	h.cut, h.dropped = true, true
	h.fleet.mu.Unlock()
	select {
	case <-h.done:
	default:
		close(h.done)
	}
	h.over.Wait()
}

// Broadcast sends a message to all other hosts.
func (h *host) Broadcast(_ envelope.Kind, message any) {
	f := h.fleet
	body, err := cbor.Marshal(message)
	f.c.Check(err, qt.IsNil)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.hosts {
		if other != h && !h.cut && !other.cut && f.random.Float64() >= f.loss {
			go other.HandleReport(envelope.Sender{Host: fmt.Sprint(h.place)}, body)
		}
	}
}

// SendTo sends a message to one host, named by its place.
func (h *host) SendTo(name string, _ envelope.Kind, message any) {
	f := h.fleet
	body, err := cbor.Marshal(message)
	f.c.Check(err, qt.IsNil)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.hosts {
		if fmt.Sprint(other.place) == name && !h.cut && !other.cut {
			go other.HandleReport(envelope.Sender{Host: fmt.Sprint(h.place)}, body)
		}
	}
}

// Hosts, Order and Settled are as in a fleet in which each host knows all others.
func (h *host) Hosts() int      { return h.Order().Hosts }
func (h *host) IsSettled() bool { return true }
func (h *host) Order() gossip.Order {
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	order := gossip.Order{Hosts: len(f.hosts)}
	for _, other := range f.hosts[:h.place] {
		if !other.dropped {
			order.Before++
		}
	}
	return order
}

// HasExited is the prober of all hosts.
func (f *fleet) HasExited(_ context.Context, address string) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent[address] {
		return false, errors.New("no answer")
	}
	return !f.there[address], nil
}

var errDown = errors.New("the store is down")

// Verdicts and Keep are the store of all hosts.
func (f *fleet) Verdicts(context.Context) ([]Verdict, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errDown
	}
	var verdicts []Verdict
	for _, v := range f.rows {
		verdicts = append(verdicts, v)
	}
	return verdicts, nil
}

func (f *fleet) WriteVerdicts(_ context.Context, verdicts []Verdict, remove []keys.Request) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errDown
	}
	f.writes++
	for _, v := range verdicts {
		f.rows[v.Request] = v
	}
	for _, request := range remove {
		delete(f.rows, request)
	}
	return nil
}

// ends has an endpoint end while a host has a request there.
func (f *fleet) ends(h *host, request keys.Request, endpoint string) {
	h.RecordBrokenCall(&Call{Request: request, Endpoint: endpoint, Address: endpoint, Begun: true})
}

// know returns how many of the live hosts know that a request is poison.
func (f *fleet) know(request keys.Request) (know, live int) {
	for _, h := range f.hosts {
		if !h.cut {
			live++
			if h.IsPoison(request) {
				know++
			}
		}
	}
	return know, live
}

func (f *fleet) allKnow(request keys.Request) {
	know, live := f.know(request)
	f.c.Check(know, qt.Equals, live)
}

// spread is longer than a report takes to reach all hosts of a small fleet, contact the time after which a host that is
// reached again has to know what others do.
const (
	spread  = 200 * time.Millisecond
	contact = 3 * time.Second
)

// TestTheFleetLearnsTogether has each of three endpoints end at another host.
func TestTheFleetLearnsTogether(t *testing.T) {
	tests := map[string]struct {
		hosts int
		loss  float64
		// within is when all have to know.
		within time.Duration
	}{
		"3 hosts":                                {3, 0, spread},
		"8 hosts":                                {8, 0, spread},
		"87 hosts":                               {87, 0, spread},
		"8 hosts, 1 datagram in 10 is lost":      {8, 0.1, contact},
		"87 hosts, 1 datagram in 10 is lost":     {87, 0.1, contact},
		"300 hosts, 3 datagrams in 100 are lost": {300, 0.03, contact},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(qt.New(t), test.hosts)
				for n := range 3 {
					know, _ := f.know(poisonous)
					f.c.Check(know, qt.Equals, 0)
					f.ends(f.hosts[n], poisonous, fmt.Sprint("e", n))
					f.ends(f.hosts[n], beside, "e0")
					time.Sleep(spread)
				}
				time.Sleep(test.within)
				f.allKnow(poisonous)
				know, _ := f.know(beside)
				f.c.Check(know, qt.Equals, 0)
			})
		})
	}
}

// TestThreeEndsAtOnce has three hosts see one end each at the same moment: none of them knows of the others' then.
func TestThreeEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(qt.New(t), 8)
		for n := range 3 {
			f.ends(f.hosts[5-n], poisonous, fmt.Sprint("e", n))
		}
		time.Sleep(spread)
		f.allKnow(poisonous)
		time.Sleep(contact)
		f.c.Check(f.rows, qt.HasLen, 1)
	})
}

// TestVerdictsAreLostWithTheHostsThatAnnounce guards against verdicts that a restored store has lost and nobody writes again,
// since the hosts that were to end before they could.
func TestVerdictsAreLostWithTheHostsThatAnnounce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(qt.New(t), 5)
		for n := range 3 {
			f.ends(f.hosts[4], poisonous, fmt.Sprint("e", n))
		}
		time.Sleep(contact)
		f.c.Assert(f.rows, qt.HasLen, 1)
		f.mu.Lock()
		f.down = true
		f.era++
		clear(f.rows)
		f.mu.Unlock()
		time.Sleep(contact)
		for _, h := range f.hosts[:announcers] {
			h.stop()
		}
		f.mu.Lock()
		f.down = false
		f.mu.Unlock()
		time.Sleep(contact)
		f.c.Check(f.rows, qt.HasLen, 1)
	})
}

// TestABrokenCallAloneProvesNothing has endpoints break calls and go on.
func TestABrokenCallAloneProvesNothing(t *testing.T) {
	tests := map[string]func(f *fleet, endpoint string){
		"an endpoint that is there":       func(f *fleet, endpoint string) { f.there[endpoint] = true },
		"one of which nothing is reached": func(f *fleet, endpoint string) { f.silent[endpoint] = true },
	}
	for name, state := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(qt.New(t), 3)
				for n := range 12 {
					endpoint := fmt.Sprint("e", n)
					f.mu.Lock()
					state(f, endpoint)
					f.mu.Unlock()
					f.ends(f.hosts[n%3], poisonous, endpoint)
					time.Sleep(spread)
				}
				know, _ := f.know(poisonous)
				f.c.Check(know, qt.Equals, 0)
			})
		})
	}
}

// TestAnEndpointThatBrokeACallBeforeMayHaveEndedSince has each endpoint break a call of another request and go on, and end
// under the poison one right after that.
func TestAnEndpointThatBrokeACallBeforeMayHaveEndedSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(qt.New(t), 3)
		for n := range 3 {
			endpoint := fmt.Sprint("e", n)
			f.setThere(endpoint, true)
			f.ends(f.hosts[n], beside, endpoint)
			time.Sleep(spread / 2)
			f.setThere(endpoint, false)
			f.ends(f.hosts[n], poisonous, endpoint)
			time.Sleep(spread)
		}
		f.allKnow(poisonous)
	})
}

func (f *fleet) setThere(endpoint string, there bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.there[endpoint] = there
}

// TestARequestThatIsAnsweredIsNoPoison has a request that many send: endpoints end now and then while they have it, and
// others answer it.
func TestARequestThatIsAnsweredIsNoPoison(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(qt.New(t), 4)
		for n := range 12 {
			f.ends(f.hosts[n%4], beside, fmt.Sprint("e", n))
			time.Sleep(spread)
			f.hosts[(n+1)%4].RecordAnswer(beside)
			time.Sleep(spread)
		}
		know, _ := f.know(beside)
		f.c.Check(know, qt.Equals, 0)
	})
}

// TestAnAnswerLiftsAVerdict has a request answered that was already on its way when it was given up.
func TestAnAnswerLiftsAVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(qt.New(t), 4)
		f.condemn()
		f.hosts[2].RecordAnswer(poisonous)
		time.Sleep(contact)
		know, _ := f.know(poisonous)
		f.c.Check(know, qt.Equals, 0)
		f.c.Check(f.rows, qt.HasLen, 0)
	})
}

// condemn brings a verdict about at the last host.
func (f *fleet) condemn() {
	for n := range 3 {
		f.ends(f.hosts[len(f.hosts)-1], poisonous, fmt.Sprint("e", n))
	}
	time.Sleep(contact)
	f.allKnow(poisonous)
}

// TestHostsThatComeLateLearn has hosts that were not there when a request was given up.
func TestHostsThatComeLateLearn(t *testing.T) {
	tests := map[string]func(f *fleet){
		"one joins": func(f *fleet) { f.add() },
		"all but the last are killed and start again": func(f *fleet) { f.restart(len(f.hosts) - 1) },
		"all are killed and start again":              func(f *fleet) { f.restart(len(f.hosts)) },
		"all are killed, the store is away for 5 s": func(f *fleet) {
			f.setDown(true)
			f.restart(len(f.hosts))
			time.Sleep(5 * time.Second)
			f.setDown(false)
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(qt.New(t), 4)
				f.condemn()
				happens(f)
				time.Sleep(contact)
				f.allKnow(poisonous)
			})
		})
	}
}

// TestOneEndIsEnoughAfterAllWereKilled has all hosts killed, and one more endpoint end before they know their places.
func TestOneEndIsEnoughAfterAllWereKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(qt.New(t), 4)
		f.condemn()
		f.restart(len(f.hosts))
		last := f.hosts[len(f.hosts)-1]
		f.c.Check(last.IsPoison(poisonous), qt.IsFalse)
		f.ends(last, poisonous, "one more")
		time.Sleep(spread)
		f.allKnow(poisonous)
	})
}

func (f *fleet) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// restart kills the first hosts and starts as many.
func (f *fleet) restart(hosts int) {
	killed := slices.Clone(f.hosts[:hosts])
	for _, h := range killed {
		h.stop()
	}
	for range killed {
		f.add()
	}
}

// TestAHostThatWasCutOffLearns cuts a host off before the first end, for longer than a host is waited for.
func TestAHostThatWasCutOffLearns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(qt.New(t), 4)
		// By then the hosts have read the store.
		time.Sleep(contact)
		cut := f.hosts[0]
		f.mu.Lock()
		cut.cut = true
		f.mu.Unlock()
		f.condemn()
		f.c.Check(cut.IsPoison(poisonous), qt.IsFalse)
		f.mu.Lock()
		cut.cut = false
		f.mu.Unlock()
		time.Sleep(contact)
		f.c.Check(cut.IsPoison(poisonous), qt.IsTrue)
	})
}

// TestAHostThatReportsAKnownPoisonIsTold has the announcers silent, as when they have just been killed, and a host that
// missed the verdict see one more end.
func TestAHostThatReportsAKnownPoisonIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(qt.New(t), 8)
		time.Sleep(contact)
		late := f.hosts[5]
		f.mu.Lock()
		late.cut = true
		f.mu.Unlock()
		f.condemn()
		f.mu.Lock()
		late.cut, f.hosts[0].cut, f.hosts[1].cut, f.down = false, true, true, true
		f.mu.Unlock()
		f.ends(late, poisonous, "one more")
		time.Sleep(spread)
		f.c.Check(late.IsPoison(poisonous), qt.IsTrue)
	})
}

// TestVerdictsReachTheStoreOnceItIsBack has the store away when a request is given up.
func TestVerdictsReachTheStoreOnceItIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(qt.New(t), 3)
		f.setDown(true)
		f.condemn()
		f.c.Check(f.rows, qt.HasLen, 0)
		f.setDown(false)
		time.Sleep(contact)
		f.c.Check(f.rows, qt.HasLen, 1)
	})
}

// TestACalmFleetIsQuiet has nothing happen: no message, no write.
func TestACalmFleetIsQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(qt.New(t), 4)
		time.Sleep(time.Minute)
		f.c.Check(f.writes, qt.Equals, 0)
		f.c.Check(f.hosts[0].known.Load(), qt.Equals, int64(0))
	})
}

// newTestDetector returns a detector of a host without peers, at the start of the store's clock.
func newTestDetector(t testing.TB) *Detector {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Parts{
		Peers: &host{fleet: &fleet{c: qt.New(t)}}, StoreTime: func() freshness.StoreTime { return 0 }, Era: func() uint64 { return 0 }, Log: logrus.NewEntry(log), Clock: time.Now,
		Random: func() float64 { return 0 },
	})
}

var testSender = envelope.Sender{Host: "peer", Incarnation: 1}

// BenchmarkIsPoison asks about a request on a host that knows of no poison, and on one that knows of many.
func BenchmarkIsPoison(b *testing.B) {
	for name, verdicts := range map[string]int{"none known": 0, "4096 known": maxVerdicts} {
		b.Run(name, func(b *testing.B) {
			d := New(Parts{})
			for n := range verdicts {
				d.table.Adopt(Verdict{Request: keys.Request(n + 2)})
			}
			d.count()
			b.ReportAllocs()
			for b.Loop() {
				d.IsPoison(poisonous)
			}
		})
	}
}

package front

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// fleet is some hosts without callers: those parts of each that learn of changes, joined by a network
// and a store in memory. It runs in a bubble of testing/synctest, so that its times are exact.
type fleet struct {
	store   *fakeStore
	network *fakeNetwork
	hosts   []*fleetHost
	done    chan struct{}
	running sync.WaitGroup
	seed    uint64
}

// fleetHost is one host of a fleet.
type fleetHost struct {
	name      string
	address   string
	settings  *settings.Holder
	directory *directory.Directory
	freshness *freshness.State
	gossip    *gossip.Gossip
	counters  *counters.Counters
}

var manyHosts = flag.Int("front.hosts", 40, "how many hosts a large fleet has")

// settleTime is how long a fleet is left to itself before something happens to it.
const settleTime = 6 * time.Second

// fetchTime is longer than a fetch from a peer takes.
const fetchTime = 10 * time.Second

// startFleet starts hosts with a configuration and two endpoints, and waits until they have settled.
func startFleet(c *qt.C, hosts int, seed uint64) *fleet {
	f := &fleet{store: newFakeStore(), network: newFakeNetwork(), done: make(chan struct{}), seed: seed}
	f.store.configure(1)
	f.store.put("e1", settings.StateIn)
	f.store.put("e2", settings.StateIn)
	for n := range hosts {
		f.addHost(c, n)
	}
	c.Cleanup(f.stop)
	time.Sleep(settleTime)
	for _, h := range f.hosts {
		c.Assert(h.settings.Number(), qt.Equals, uint64(1), qt.Commentf("%s", h.name))
		c.Assert(h.directory.Serving("llm"), qt.HasLen, 2, qt.Commentf("%s", h.name))
		c.Assert(h.gossip.Hosts(), qt.Equals, hosts, qt.Commentf("%s", h.name))
	}
	return f
}

func (f *fleet) stop() {
	close(f.done)
	f.running.Wait()
	for _, h := range f.hosts {
		h.gossip.Close()
	}
	// Fetches that were under way end by themselves.
	time.Sleep(fetchTime)
}

func (f *fleet) addHost(c *qt.C, n int) {
	config := hostconfig.Host{
		Name: fmt.Sprintf("host-%d", n+1), Zone: "zone-a", Peers: fmt.Sprintf("10.0.%d.%d:7000", n/200, n%200+1),
		FirstPeers: []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, count, holder, endpoints := new(late), counters.New(), settings.NewHolder(), directory.New()
	random := f.random(uint64(n))
	placer := newPlacer(placerParts{
		Directory: endpoints, Rests: pushback.NewRests(time.Now, random), Rejections: pushback.NewRejections(time.Now), Failures: pushback.NewFailures(time.Now), Log: log, Clock: time.Now, Random: random, Late: l,
	})
	deployment := Deployment{Settings: configsOf(f.store, config.Name), Endpoints: endpointsOf(f.store, config.Name), Decode: decode}
	state := newFreshness(holder, endpoints, time.Now)
	settingsSink := newSettingsSink(settingsParts{Deployment: deployment, Holder: holder, Freshness: state, Placer: placer, Counters: count, Log: log, Late: l})
	endpointsSink := newEndpointsSink(endpoints, log, l)
	g := newGossip(gossipParts{
		Config: config, Placer: placer, Holder: holder, Directory: endpoints, Settings: settingsSink, Endpoints: endpointsSink,
		Freshness: state, Network: f.network, Counters: count, Log: log, Clock: time.Now, Random: random, Late: l,
	})
	followers := newFollowers(followerParts{
		Deployment: deployment, Settings: settingsSink, Endpoints: endpointsSink, Directory: endpoints, Freshness: state, Counters: count, Log: log,
		Clock: time.Now, Random: random, Late: l,
	})
	c.Assert(g.Start(), qt.IsNil)
	f.running.Go(func() { g.Run(f.done) })
	f.running.Go(func() { followers.settings.Run(f.done) })
	f.running.Go(func() { followers.endpoints.Run(f.done) })
	f.hosts = append(f.hosts, &fleetHost{name: config.Name, address: config.Peers, settings: holder, directory: endpoints, freshness: state, gossip: g, counters: count})
}

// random returns a host's source of random numbers.
func (f *fleet) random(host uint64) func() float64 {
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(f.seed, host))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return source.Float64()
	}
}

// decode reads a configuration of a fakeStore.
func decode(document settings.Raw) (*settings.Revision, error) {
	var config struct{ Number uint64 }
	if err := json.Unmarshal(document, &config); err != nil {
		return nil, merry.Wrap(err)
	}
	return &settings.Revision{Number: config.Number, Tree: &settings.Tree{}}, nil
}

// names returns the names of those hosts for which chosen is true.
func (f *fleet) names(chosen func(n int, h *fleetHost) bool) []string {
	var names []string
	for n, h := range f.hosts {
		if chosen(n, h) {
			names = append(names, h.name)
		}
	}
	return names
}

// readers returns the names of the hosts that read the store.
func (f *fleet) readers() []string {
	return f.names(func(_ int, h *fleetHost) bool {
		return h.gossip.Order().IsReader()
	})
}

// propagation is a fleet to which something happens, and a burst of changes some time later.
type propagation struct {
	hosts int
	// bound is the promise: how long after the last change all hosts must have it.
	bound time.Duration
	harm  func(f *fleet)
}

// The bounds on a change: those of the users' deployments.
const (
	boundOfSmall = 2 * time.Second
	boundOfLarge = 3 * time.Second
)

// run plays the fleet. A first change of settings and endpoints lets the readers' calls begin anew, and the
// harm comes half a second later. Some time after that the changes come that must be in force in time, 60 ms
// apart: configurations 3, 4 and 5, and then e1 leaves.
func (p propagation) run(c *qt.C, after time.Duration, seed uint64) {
	f := startFleet(c, p.hosts, seed)
	f.store.configure(2)
	f.store.put("e2", settings.StateIn)
	time.Sleep(500 * time.Millisecond)
	p.harm(f)
	time.Sleep(after)
	for number := range uint64(3) {
		f.store.configure(number + 3)
		time.Sleep(60 * time.Millisecond)
	}
	f.store.put("e1", settings.StateOut)
	time.Sleep(p.bound)
	for _, h := range f.hosts {
		c.Check(era.Number(h.settings.Number()), qt.Equals, uint64(5), qt.Commentf("settings of %s", h.name))
		c.Check(h.directory.Serving("llm"), qt.HasLen, 1, qt.Commentf("endpoints of %s", h.name))
	}
}

// runAll plays fleets with the changes at different times: a call that the store holds is in a
// different state each time.
func runAll(t *testing.T, tests map[string]propagation) {
	for name, test := range tests {
		for _, after := range []time.Duration{0, 700 * time.Millisecond, 2900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%s", name, after), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { test.run(qt.New(t), after, 28) })
			})
		}
	}
}

func TestChangesAreInForceInTime(t *testing.T) {
	runAll(t, map[string]propagation{
		"nothing happens, 8 hosts":  {8, boundOfSmall, func(*fleet) {}},
		"nothing happens, 71 hosts": {71, boundOfLarge, func(*fleet) {}},
		"one reader is answered no more": {9, boundOfSmall, func(f *fleet) {
			f.store.harm(storeSilent, f.readers()[0])
		}},
		"all readers are told that the store is busy": {9, boundOfSmall, func(f *fleet) {
			f.store.harm(storeBusy, f.readers()...)
		}},
		"a third of the datagrams get lost": {9, boundOfSmall, func(f *fleet) {
			random := f.random(0)
			f.network.set(func(n *fakeNetwork) { n.loses = func(string, string) bool { return random() < 0.33 } })
		}},
	})
}

// lostChanges is how many changes a restore loses.
const lostChanges = 100

// restoreStore has the store lose versions that all hosts know.
func restoreStore(f *fleet) {
	for range lostChanges {
		f.store.change(func() {})
	}
	f.store.put("e2", settings.StateIn)
	time.Sleep(500 * time.Millisecond)
	f.store.restore(lostChanges)
}

// restoreSettings has the store lose a configuration whose number is above those that come after it.
func restoreSettings(f *fleet) {
	f.store.configure(9)
	for range lostChanges - 1 {
		f.store.change(func() {})
	}
	time.Sleep(500 * time.Millisecond)
	f.store.restore(lostChanges)
}

// TestACopysConfigurationIsNotTaken has the store come back without the newest configuration, which nobody writes again.
func TestACopysConfigurationIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(c, 8, 28)
		f.store.configure(2)
		time.Sleep(time.Second)
		restoreSettings(f)
		time.Sleep(5 * time.Second)
		for _, h := range f.hosts {
			c.Check(h.settings.Number(), qt.Equals, uint64(9), qt.Commentf("settings of %s", h.name))
		}
	})
}

// TestChangesAfterARestoreOfTheStore has changes come in a new era, at every size.
func TestChangesAfterARestoreOfTheStore(t *testing.T) {
	runAll(t, map[string]propagation{
		"one host":   {1, boundOfSmall, restoreStore},
		"8 hosts":    {8, boundOfSmall, restoreStore},
		"many hosts": {*manyHosts, boundOfLarge, restoreStore},
		"configurations' numbers are lower, one host":   {1, boundOfSmall, restoreSettings},
		"configurations' numbers are lower, 8 hosts":    {8, boundOfSmall, restoreSettings},
		"configurations' numbers are lower, many hosts": {*manyHosts, boundOfLarge, restoreSettings},
		"configurations' numbers are lower, all readers are silent": {9, boundOfSmall, func(f *fleet) {
			restoreSettings(f)
			silenceReaders(f)
		}},
		"restored again and again": {8, boundOfSmall, func(f *fleet) {
			for range 3 {
				restoreStore(f)
				time.Sleep(700 * time.Millisecond)
			}
		}},
		"all readers are silent": {9, boundOfSmall, func(f *fleet) {
			restoreStore(f)
			silenceReaders(f)
		}},
		"nobody hears half of the hosts for a while": {9, boundOfSmall, func(f *fleet) {
			muteHalf(f)
			restoreStore(f)
			time.Sleep(2 * time.Second)
			f.network.set(func(n *fakeNetwork) { clear(n.mute) })
		}},
	})
}

// TestARestoreOfTheStoreCostsLittle guards against peers that fetch thousands of endpoints which are the same in a new era.
func TestARestoreOfTheStoreCostsLittle(t *testing.T) {
	const (
		hosts     = 30
		endpoints = 3000
		// mostBytes is what the fleet may cost, mostCalls how often the store may be called in the time.
		mostBytes = 1000
		span      = 3 * time.Second
		mostCalls = 60
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(c, hosts, 28)
		f.store.putAll(endpoints, settings.StateIn)
		time.Sleep(2 * fetchTime)
		restoreStore(f)
		bytes, calls := f.syncBytes(), f.store.count()
		time.Sleep(span)
		for _, h := range f.hosts {
			c.Check(era.Of(h.directory.Revision()), qt.Equals, uint64(1), qt.Commentf("%s", h.name))
		}
		c.Check(f.syncBytes()-bytes <= mostBytes, qt.IsTrue, qt.Commentf("%d B", f.syncBytes()-bytes))
		c.Check(f.store.count()-calls <= mostCalls, qt.IsTrue, qt.Commentf("%d calls", f.store.count()-calls))
	})
}

// TestManyEndpointsLeaveAtOnce has some hundred of many endpoints leave together. A change that is too large to go with a
// heartbeat had every host fetch the whole directory, from few that had it: with 300 hosts and 3,000 endpoints the busiest
// sent and got 2.6 MB a second, most of a day's worth went for bytes between zones, hosts learned of endpoints that leave up to
// 5.0 s later, and requests reached some 4.0 s after they had said so, where 3.7 s are allowed.
func TestManyEndpointsLeaveAtOnce(t *testing.T) {
	const (
		hosts     = 30
		endpoints = 3000
		leaving   = 900
		// mostBytes is what one host may cost: 16 B for each endpoint that leaves.
		mostBytes = 16 * leaving
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(c, hosts, 28)
		f.store.putAll(endpoints, settings.StateIn)
		time.Sleep(2 * fetchTime)
		for _, h := range f.hosts {
			c.Assert(h.directory.Serving("llm"), qt.HasLen, endpoints+2, qt.Commentf("%s", h.name))
		}
		before := f.syncBytes()
		f.store.putAll(leaving, settings.StateOut)
		time.Sleep(boundOfLarge)
		for _, h := range f.hosts {
			c.Check(h.directory.Serving("llm"), qt.HasLen, endpoints-leaving+2, qt.Commentf("%s", h.name))
		}
		bytes := f.syncBytes() - before
		c.Check(bytes <= hosts*mostBytes, qt.IsTrue, qt.Commentf("%d B for each host", bytes/hosts))
	})
}

// TestFetchesAreSpread has a change that all hosts fetch reach them at the same moment. They all connected to the one host that
// they had first received it from, at once: a host that can't take them drops some, and those are tried again after a second
// or three.
func TestFetchesAreSpread(t *testing.T) {
	const (
		hosts = 100
		span  = 20 * time.Millisecond
		// mostAtOnce is how many hosts may connect to one host in that span.
		mostAtOnce = hosts / 10
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(c, hosts, 28)
		before := time.Now()
		f.store.putAll(300, settings.StateIn)
		time.Sleep(boundOfLarge)
		for _, h := range f.hosts {
			c.Check(h.directory.Serving("llm"), qt.HasLen, 302, qt.Commentf("%s", h.name))
		}
		most := f.network.mostDials(before, span)
		c.Check(most <= mostAtOnce, qt.IsTrue, qt.Commentf("%d of %d hosts connect to one in %s", most, hosts, span))
	})
}

// syncBytes returns how many bytes the hosts have sent to those that fetched something.
func (f *fleet) syncBytes() int {
	sum := 0
	for _, h := range f.hosts {
		var text strings.Builder
		h.counters.Write(&text)
		for line := range strings.Lines(text.String()) {
			if value, ok := strings.CutPrefix(line, `oxbowslip_peer_sent_bytes_total{kind="news"} `); ok {
				bytes, err := strconv.Atoi(strings.TrimSpace(value))
				if err != nil {
					panic(err) // The line is one of this program's own.
				}
				sum += bytes
			}
		}
	}
	return sum
}

// TestConfirmationsWhileNothingHappens checks what hosts know while all is well, and what it costs.
func TestConfirmationsWhileNothingHappens(t *testing.T) {
	for _, hosts := range []int{1, 3, 7, 9, 40} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFleet(c, hosts, 28)
				readers := min(hosts, freshness.Readers)
				c.Check(f.readers(), qt.HasLen, readers)
				before := f.store.count()
				const span = 20 * time.Second
				oldest := f.oldest(span)
				c.Check(f.store.count()-before <= 2*int(span/freshness.Phase), qt.IsTrue, qt.Commentf("%d calls", f.store.count()-before))
				c.Check(oldest < freshness.Phase+50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", oldest))
			})
		})
	}
}

// TestAFleetThatStartsTogether is the first start of a fleet, or one after all its hosts were killed: each reads the
// store once, and then a few read for all.
func TestAFleetThatStartsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const hosts = 40
		f := startFleet(c, hosts, 28)
		const afterThat = 2 * int(settleTime/freshness.Phase)
		calls := f.store.count() - afterThat
		// Each host reads both tables, and those that may be readers begin to, until they know of each other.
		const mayRead = 12
		c.Check(calls <= 2*hosts+5*mayRead, qt.IsTrue, qt.Commentf("%d calls of %d hosts at their start", calls, hosts))
	})
}

// TestOneReaderConfirmsAsOftenAsFour is a store that answers a single host: the others must not be left to ask it in
// vain while that one reads.
func TestOneReaderConfirmsAsOftenAsFour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(c, 10, 28)
		f.store.harm(storeSilent, f.names(func(n int, _ *fleetHost) bool { return n != 4 })...)
		time.Sleep(10 * time.Second)
		oldest := f.oldest(10 * time.Second)
		c.Check(oldest < freshness.AskAfter, qt.IsTrue, qt.Commentf("%s", oldest))
	})
}

// oldest returns the greatest age of what any host knows in a span of time.
func (f *fleet) oldest(span time.Duration) time.Duration {
	var oldest time.Duration
	for range span / (10 * time.Millisecond) {
		time.Sleep(10 * time.Millisecond)
		for _, h := range f.hosts {
			oldest = max(oldest, h.freshness.Age(freshness.Settings), h.freshness.Age(freshness.Endpoints))
		}
	}
	return oldest
}

// TestSilentStoreConnections is incident 28: calls that the store holds fall silent.
func TestSilentStoreConnections(t *testing.T) {
	runAll(t, map[string]propagation{
		"all readers are answered no more, 9 hosts":  {9, boundOfSmall, silenceReaders},
		"all readers are answered no more, 71 hosts": {71, boundOfLarge, silenceReaders},
		"only one host of 40 is still answered": {40, boundOfLarge, func(f *fleet) {
			f.store.harm(storeSilent, f.names(func(n int, _ *fleetHost) bool { return n != 17 })...)
		}},
		"all calls that are held fall silent, new ones work": {9, boundOfSmall, func(f *fleet) {
			f.store.harm(storeSilentHeld, f.names(func(int, *fleetHost) bool { return true })...)
		}},
	})
}

func silenceReaders(f *fleet) { f.store.harm(storeSilent, f.readers()...) }

// TestSilentPeers is the same cause among hosts: peers that accept a fetch and don't answer it.
func TestSilentPeers(t *testing.T) {
	runAll(t, map[string]propagation{
		"half of the peers don't answer": {20, boundOfLarge, muteHalf},
		"half of the peers don't answer, and no reader reaches one host": {20, boundOfLarge, func(f *fleet) {
			muteHalf(f)
			f.losesFrom(f.readers(), f.hosts[19].address)
		}},
		"the store answers readers only, half of the peers don't answer, and no reader reaches one host": {20, boundOfLarge, func(f *fleet) {
			muteHalf(f)
			readers := f.readers()
			f.losesFrom(readers, f.hosts[19].address)
			f.store.harm(storeSilent, f.names(func(_ int, h *fleetHost) bool { return !slices.Contains(readers, h.name) })...)
		}},
	})
}

// TestTwoFaultsAtOnce is a host that the store turns away and that no datagram of those reaches who read the
// change: it polls its peers.
func TestTwoFaultsAtOnce(t *testing.T) {
	runAll(t, map[string]propagation{
		"9 hosts":  {9, boundOfSmall, isolateFromReaders},
		"71 hosts": {71, boundOfLarge, isolateFromReaders},
	})
}

// isolateFromReaders lets the last host that does not read get nothing from those that read, nor from the store.
func isolateFromReaders(f *fleet) {
	readers := f.readers()
	others := f.names(func(_ int, h *fleetHost) bool { return !slices.Contains(readers, h.name) })
	alone := others[len(others)-1]
	f.store.harm(storeSilent, alone)
	f.losesFrom(readers, f.addressOf(alone))
}

// muteHalf lets every second host accept connections and answer nothing on them.
func muteHalf(f *fleet) {
	f.network.set(func(n *fakeNetwork) {
		for i, h := range f.hosts {
			n.mute[h.address] = i%2 == 0
		}
	})
}

// addressOf returns where a host is.
func (f *fleet) addressOf(name string) string {
	for _, h := range f.hosts {
		if h.name == name {
			return h.address
		}
	}
	return ""
}

// losesFrom lets the datagrams of some hosts to an address get lost.
func (f *fleet) losesFrom(hosts []string, address string) {
	lost := make(map[string]bool)
	for _, h := range f.hosts {
		lost[h.address] = slices.Contains(hosts, h.name)
	}
	f.network.set(func(n *fakeNetwork) {
		n.loses = func(from, to string) bool { return to == address && lost[from] }
	})
}

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

// fleet is a number of hosts without callers: the components that propagate changes, connected by a network and a store
// in memory. It runs in a bubble of testing/synctest, so that times are exact.
type fleet struct {
	store   *fakeStore
	network *fakeNetwork
	hosts   []*fleetHost
	done    chan struct{}
	running sync.WaitGroup
	seed    uint64
	// zones is the number of availability zones.
	zones int
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

var largeFleetSize = flag.Int("front.hosts", 40, "how many hosts a large fleet has")

// settleTime is the time in which a started fleet settles.
const settleTime = 6 * time.Second

// maxFetchTime exceeds the duration of a fetch from a peer.
const maxFetchTime = 10 * time.Second

// startFleet starts hosts with a configuration and two endpoints, and waits until they have settled.
func startFleet(c *qt.C, hosts int, seed uint64) *fleet {
	return startFleetIn(c, hosts, 1, seed)
}

// startFleetIn is startFleet with a number of availability zones.
func startFleetIn(c *qt.C, hosts, zones int, seed uint64) *fleet {
	f := &fleet{store: newFakeStore(), network: newFakeNetwork(), done: make(chan struct{}), seed: seed, zones: zones}
	f.store.putSettings(1)
	f.store.putEndpoint("e1", settings.StateIn)
	f.store.putEndpoint("e2", settings.StateIn)
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
	// Fetches in progress can't be aborted.
	time.Sleep(maxFetchTime)
}

func (f *fleet) addHost(c *qt.C, n int) {
	config := hostconfig.Host{
		Name: fmt.Sprintf("host-%d", n+1), Zone: fmt.Sprintf("zone-%c", 'a'+n%f.zones), Peers: fmt.Sprintf("10.0.%d.%d:7000", n/200, n%200+1),
		FirstPeers: []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, count, holder, endpoints := new(lateParts), counters.New(), settings.NewHolder(), directory.New()
	random := f.random(uint64(n))
	placer := newPlacer(placerParts{
		Directory: endpoints, Rests: pushback.NewRests(time.Now, random), Rejections: pushback.NewRejections(time.Now), Failures: pushback.NewFailures(time.Now), Log: log, Clock: time.Now, Random: random, Late: l,
	})
	deployment := Deployment{Settings: settingsSource(f.store, config.Name), Endpoints: endpointsSource(f.store, config.Name), Decode: decode}
	state := newFreshness(holder, endpoints, time.Now)
	settingsSink := newSettingsSink(settingsSinkParts{Deployment: deployment, Holder: holder, Freshness: state, Placer: placer, Counters: count, Log: log, Late: l})
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

// random returns a seeded source of random numbers for a host.
func (f *fleet) random(host uint64) func() float64 {
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(f.seed, host))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return source.Float64()
	}
}

// decode decodes a configuration of a fakeStore.
func decode(document settings.Raw) (*settings.Revision, error) {
	var config struct{ Number uint64 }
	if err := json.Unmarshal(document, &config); err != nil {
		return nil, merry.Wrap(err)
	}
	return &settings.Revision{Number: config.Number, Tree: &settings.Tree{}}, nil
}

// hostNames returns the names of the hosts for which chosen returns true.
func (f *fleet) hostNames(chosen func(n int, h *fleetHost) bool) []string {
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
	return f.hostNames(func(_ int, h *fleetHost) bool {
		return h.gossip.Order().IsReader()
	})
}

// propagation is a test of a fleet that suffers a fault and some time later a burst of changes.
type propagation struct {
	hosts int
	// bound is the time after the last change within which all hosts must have applied it.
	bound   time.Duration
	disrupt func(f *fleet)
}

// The bounds on the propagation of a change in the users' deployments.
const (
	smallFleetBound = 2 * time.Second
	largeFleetBound = 3 * time.Second
)

// run runs the fleet. A first change of settings and endpoints restarts the readers' held calls, and disrupt is called
// half a second later. After a further delay come the changes that must be applied within the bound, 60 ms apart:
// configurations 3, 4 and 5, and then e1 leaves.
func (p propagation) run(c *qt.C, after time.Duration, seed uint64) {
	f := startFleet(c, p.hosts, seed)
	f.store.putSettings(2)
	f.store.putEndpoint("e2", settings.StateIn)
	time.Sleep(500 * time.Millisecond)
	p.disrupt(f)
	time.Sleep(after)
	for number := range uint64(3) {
		f.store.putSettings(number + 3)
		time.Sleep(60 * time.Millisecond)
	}
	f.store.putEndpoint("e1", settings.StateOut)
	time.Sleep(p.bound)
	for _, h := range f.hosts {
		c.Check(era.Number(h.settings.Number()), qt.Equals, uint64(5), qt.Commentf("settings of %s", h.name))
		c.Check(h.directory.Serving("llm"), qt.HasLen, 1, qt.Commentf("endpoints of %s", h.name))
	}
}

// runAtDifferentTimes runs each test with several delays between disruption and changes, so that a held call is in a
// different state each time.
func runAtDifferentTimes(t *testing.T, tests map[string]propagation) {
	for name, test := range tests {
		for _, after := range []time.Duration{0, 700 * time.Millisecond, 2900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%s", name, after), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { test.run(qt.New(t), after, 28) })
			})
		}
	}
}

func TestChangesPropagateInTime(t *testing.T) {
	runAtDifferentTimes(t, map[string]propagation{
		"no fault, 8 hosts":  {8, smallFleetBound, func(*fleet) {}},
		"no fault, 71 hosts": {71, largeFleetBound, func(*fleet) {}},
		"the store does not respond to one reader": {9, smallFleetBound, func(f *fleet) {
			f.store.setFault(storeUnresponsive, f.readers()[0])
		}},
		"the store is busy for all readers": {9, smallFleetBound, func(f *fleet) {
			f.store.setFault(storeBusy, f.readers()...)
		}},
		"a third of the datagrams are lost": {9, smallFleetBound, func(f *fleet) {
			random := f.random(0)
			f.network.update(func(n *fakeNetwork) { n.drops = func(string, string) bool { return random() < 0.33 } })
		}},
	})
}

// lostChanges is the number of changes that a restore loses.
const lostChanges = 100

// restoreStore restores the store from a backup that lacks revisions which all hosts have received.
func restoreStore(f *fleet) {
	for range lostChanges {
		f.store.change(func() {})
	}
	f.store.putEndpoint("e2", settings.StateIn)
	time.Sleep(500 * time.Millisecond)
	f.store.restore(lostChanges)
}

// restoreSettings restores the store from a backup that lacks a configuration with a higher number than those written
// after the restore.
func restoreSettings(f *fleet) {
	f.store.putSettings(9)
	for range lostChanges - 1 {
		f.store.change(func() {})
	}
	time.Sleep(500 * time.Millisecond)
	f.store.restore(lostChanges)
}

// TestOldConfigurationFromBackupIsIgnored guards against a host that replaces the configuration in force by an older
// one from a backup. The newest configuration is lost by the restore and not written again.
func TestOldConfigurationFromBackupIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(c, 8, 28)
		f.store.putSettings(2)
		time.Sleep(time.Second)
		restoreSettings(f)
		time.Sleep(5 * time.Second)
		for _, h := range f.hosts {
			c.Check(h.settings.Number(), qt.Equals, uint64(9), qt.Commentf("settings of %s", h.name))
		}
	})
}

// TestChangesPropagateAfterStoreRestore writes changes in a new era of the store, in fleets of all sizes.
func TestChangesPropagateAfterStoreRestore(t *testing.T) {
	runAtDifferentTimes(t, map[string]propagation{
		"one host":                                {1, smallFleetBound, restoreStore},
		"8 hosts":                                 {8, smallFleetBound, restoreStore},
		"many hosts":                              {*largeFleetSize, largeFleetBound, restoreStore},
		"lower configuration numbers, one host":   {1, smallFleetBound, restoreSettings},
		"lower configuration numbers, 8 hosts":    {8, smallFleetBound, restoreSettings},
		"lower configuration numbers, many hosts": {*largeFleetSize, largeFleetBound, restoreSettings},
		"lower configuration numbers, the store does not respond to readers": {9, smallFleetBound, func(f *fleet) {
			restoreSettings(f)
			blockReaders(f)
		}},
		"restored repeatedly": {8, smallFleetBound, func(f *fleet) {
			for range 3 {
				restoreStore(f)
				time.Sleep(700 * time.Millisecond)
			}
		}},
		"the store does not respond to readers": {9, smallFleetBound, func(f *fleet) {
			restoreStore(f)
			blockReaders(f)
		}},
		"half of the peers do not respond for 2 s": {9, smallFleetBound, func(f *fleet) {
			blockHalfOfPeers(f)
			restoreStore(f)
			time.Sleep(2 * time.Second)
			f.network.update(func(n *fakeNetwork) { clear(n.unresponsive) })
		}},
	})
}

// TestStoreRestoreCausesLittleTraffic guards against peers that fetch thousands of unchanged endpoints in a new era.
func TestStoreRestoreCausesLittleTraffic(t *testing.T) {
	const (
		hosts     = 30
		endpoints = 3000
		// maxBytes bounds the bytes that all hosts send to fetching peers in span, maxCalls the calls to the store.
		maxBytes = 1000
		span     = 3 * time.Second
		maxCalls = 60
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(c, hosts, 28)
		f.store.putEndpoints(endpoints, settings.StateIn)
		time.Sleep(2 * maxFetchTime)
		restoreStore(f)
		bytes, calls := f.syncBytes(), f.store.callCount()
		time.Sleep(span)
		for _, h := range f.hosts {
			c.Check(era.Of(h.directory.Revision()), qt.Equals, uint64(1), qt.Commentf("%s", h.name))
		}
		c.Check(f.syncBytes()-bytes <= maxBytes, qt.IsTrue, qt.Commentf("%d B", f.syncBytes()-bytes))
		c.Check(f.store.callCount()-calls <= maxCalls, qt.IsTrue, qt.Commentf("%d calls", f.store.callCount()-calls))
	})
}

// TestMassDrainCausesLittleTraffic guards against hosts that all fetch the whole directory from the few hosts that have
// it, when a change is too large for a heartbeat: with 300 hosts and 3,000 endpoints the busiest host transferred 2.6
// MB a second, hosts learned of a leaving endpoint up to 5.0 s late, and endpoints got requests up to 4.0 s after they
// had reported that they leave, where 3.7 s are allowed.
func TestMassDrainCausesLittleTraffic(t *testing.T) {
	const (
		hosts     = 30
		endpoints = 3000
		leaving   = 900
		// maxBytesPerHost bounds the bytes sent per host: 16 B for each endpoint that leaves.
		maxBytesPerHost = 16 * leaving
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(c, hosts, 28)
		f.store.putEndpoints(endpoints, settings.StateIn)
		time.Sleep(2 * maxFetchTime)
		for _, h := range f.hosts {
			c.Assert(h.directory.Serving("llm"), qt.HasLen, endpoints+2, qt.Commentf("%s", h.name))
		}
		before := f.syncBytes()
		f.store.putEndpoints(leaving, settings.StateOut)
		time.Sleep(largeFleetBound)
		for _, h := range f.hosts {
			c.Check(h.directory.Serving("llm"), qt.HasLen, endpoints-leaving+2, qt.Commentf("%s", h.name))
		}
		bytes := f.syncBytes() - before
		c.Check(bytes <= hosts*maxBytesPerHost, qt.IsTrue, qt.Commentf("%d B for each host", bytes/hosts))
	})
}

// TestFetchesAreSpreadOverPeers guards against hosts that all fetch a change from the host that announced it first, at
// the same moment: an overloaded host drops connections, and these are retried only after 1 to 3 s.
func TestFetchesAreSpreadOverPeers(t *testing.T) {
	const (
		hosts = 100
		span  = 20 * time.Millisecond
		// maxConcurrent bounds the connections to one host within span.
		maxConcurrent = hosts / 10
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(c, hosts, 28)
		before := time.Now()
		f.store.putEndpoints(300, settings.StateIn)
		time.Sleep(largeFleetBound)
		for _, h := range f.hosts {
			c.Check(h.directory.Serving("llm"), qt.HasLen, 302, qt.Commentf("%s", h.name))
		}
		maxDials := f.network.maxDials(before, span)
		c.Check(maxDials <= maxConcurrent, qt.IsTrue, qt.Commentf("%d of %d hosts connect to one in %s", maxDials, hosts, span))
	})
}

// syncBytes returns the number of bytes that all hosts have sent to fetching peers.
func (f *fleet) syncBytes() int {
	sum := 0
	for _, h := range f.hosts {
		var text strings.Builder
		h.counters.Write(&text)
		for line := range strings.Lines(text.String()) {
			if value, ok := strings.CutPrefix(line, `oxbowslip_peer_sent_bytes_total{kind="news"} `); ok {
				bytes, err := strconv.Atoi(strings.TrimSpace(value))
				if err != nil {
					panic(err) // The line was written by this program.
				}
				sum += bytes
			}
		}
	}
	return sum
}

// TestConfirmationsInSteadyState bounds the age of hosts' state and the number of calls to the store without faults.
func TestConfirmationsInSteadyState(t *testing.T) {
	for _, hosts := range []int{1, 3, 7, 9, 40} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFleet(c, hosts, 28)
				readers := min(hosts, freshness.Readers)
				c.Check(f.readers(), qt.HasLen, readers)
				before := f.store.callCount()
				const span = 20 * time.Second
				oldest := f.maxAge(span)
				c.Check(f.store.callCount()-before <= 2*int(span/freshness.Phase), qt.IsTrue, qt.Commentf("%d calls", f.store.callCount()-before))
				c.Check(oldest < freshness.Phase+50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", oldest))
			})
		})
	}
}

// TestFleetStartCausesFewStoreCalls guards against hosts that all keep reading the store after the fleet has started:
// each host reads it once, and then a few readers read it for their peers.
func TestFleetStartCausesFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const hosts = 40
		f := startFleet(c, hosts, 28)
		const settledCalls = 2 * int(settleTime/freshness.Phase)
		calls := f.store.callCount() - settledCalls
		// Each host reads both tables. The hosts that may be readers read on until they know each other.
		const maxInitialReaders = 12
		c.Check(calls <= 2*hosts+5*maxInitialReaders, qt.IsTrue, qt.Commentf("%d calls of %d hosts at their start", calls, hosts))
	})
}

// TestSingleReaderConfirmsInTime has the store answer only one host. That host must confirm the state of its peers in
// time, so that they do not call the store in vain.
func TestSingleReaderConfirmsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(c, 10, 28)
		f.store.setFault(storeUnresponsive, f.hostNames(func(n int, _ *fleetHost) bool { return n != 4 })...)
		time.Sleep(10 * time.Second)
		oldest := f.maxAge(10 * time.Second)
		c.Check(oldest < freshness.AskAfter, qt.IsTrue, qt.Commentf("%s", oldest))
	})
}

// maxAge returns the maximum age of any host's state during a span of time.
func (f *fleet) maxAge(span time.Duration) time.Duration {
	var oldest time.Duration
	for range span / (10 * time.Millisecond) {
		time.Sleep(10 * time.Millisecond)
		for _, h := range f.hosts {
			oldest = max(oldest, h.freshness.Age(freshness.Settings), h.freshness.Age(freshness.Endpoints))
		}
	}
	return oldest
}

// TestUnresponsiveStoreConnections guards against hosts that wait for calls which the store holds and never answers.
func TestUnresponsiveStoreConnections(t *testing.T) {
	runAtDifferentTimes(t, map[string]propagation{
		"the store does not respond to readers, 9 hosts":  {9, smallFleetBound, blockReaders},
		"the store does not respond to readers, 71 hosts": {71, largeFleetBound, blockReaders},
		"the store responds to one host of 40": {40, largeFleetBound, func(f *fleet) {
			f.store.setFault(storeUnresponsive, f.hostNames(func(n int, _ *fleetHost) bool { return n != 17 })...)
		}},
		"the store drops held calls and answers new calls": {9, smallFleetBound, func(f *fleet) {
			f.store.setFault(storeDropsHeld, f.hostNames(func(int, *fleetHost) bool { return true })...)
		}},
	})
}

func blockReaders(f *fleet) { f.store.setFault(storeUnresponsive, f.readers()...) }

// TestUnresponsivePeers guards against hosts that wait for peers which accept a fetch and never answer it.
func TestUnresponsivePeers(t *testing.T) {
	runAtDifferentTimes(t, map[string]propagation{
		"half of the peers do not respond": {20, largeFleetBound, blockHalfOfPeers},
		"half of the peers do not respond, no reader reaches one host": {20, largeFleetBound, func(f *fleet) {
			blockHalfOfPeers(f)
			f.dropDatagrams(f.readers(), f.hosts[19].address)
		}},
		"the store responds to readers only, half of the peers do not respond, no reader reaches one host": {20, largeFleetBound, func(f *fleet) {
			blockHalfOfPeers(f)
			readers := f.readers()
			f.dropDatagrams(readers, f.hosts[19].address)
			f.store.setFault(storeUnresponsive, f.hostNames(func(_ int, h *fleetHost) bool { return !slices.Contains(readers, h.name) })...)
		}},
	})
}

// TestIsolatedHostPollsPeers has a host that gets no answers from the store and no datagrams from readers. It must
// receive changes by polling its other peers.
func TestIsolatedHostPollsPeers(t *testing.T) {
	runAtDifferentTimes(t, map[string]propagation{
		"9 hosts":  {9, smallFleetBound, isolateFromReaders},
		"71 hosts": {71, largeFleetBound, isolateFromReaders},
	})
}

// isolateFromReaders isolates the last host that is not a reader from the readers and from the store.
func isolateFromReaders(f *fleet) {
	readers := f.readers()
	others := f.hostNames(func(_ int, h *fleetHost) bool { return !slices.Contains(readers, h.name) })
	isolated := others[len(others)-1]
	f.store.setFault(storeUnresponsive, isolated)
	f.dropDatagrams(readers, f.addressOf(isolated))
}

// blockHalfOfPeers lets every second host accept connections and never answer on them.
func blockHalfOfPeers(f *fleet) {
	f.network.update(func(n *fakeNetwork) {
		for i, h := range f.hosts {
			n.unresponsive[h.address] = i%2 == 0
		}
	})
}

// addressOf returns the address of a host.
func (f *fleet) addressOf(name string) string {
	for _, h := range f.hosts {
		if h.name == name {
			return h.address
		}
	}
	return ""
}

// dropDatagrams drops the datagrams from some hosts to an address.
func (f *fleet) dropDatagrams(hosts []string, address string) {
	lost := make(map[string]bool)
	for _, h := range f.hosts {
		lost[h.address] = slices.Contains(hosts, h.name)
	}
	f.network.update(func(n *fakeNetwork) {
		n.drops = func(from, to string) bool { return to == address && lost[from] }
	})
}

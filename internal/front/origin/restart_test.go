package origin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// restartModel is a fleet whose service changes its versions, and all of whose hosts end together now and then.
type restartModel struct {
	*network
	random *rand.Rand
	count  int
	// running are the versions that run.
	running []string
	open    []modelStream
	last    keys.Stream
	// joined, refused and taken count the streams that callers take up; gone those whose version no longer runs.
	joined, refused, gone, taken int
}

type modelStream struct {
	id      keys.Stream
	version string
	returns time.Time
}

const (
	modelStep    = 250 * time.Millisecond
	modelReaders = 4
	// modelReturn is the longest time after which a caller returns.
	modelReturn = 8 * time.Second
	// modelStreams is the number of streams that begin in a step.
	modelStreams = 4
)

// change has the versions that run change, and all hosts learn of it. Readers store a new version first.
func (m *restartModel) change() {
	next := fmt.Sprintf("v%d", 1+m.random.IntN(4))
	switch at := slices.Index(m.running, next); {
	case at < 0:
		m.running = append(m.running, next)
	case len(m.running) > 1:
		m.running = slices.Delete(m.running, at, at+1)
	}
	m.learn()
}

// learn has all hosts read the versions.
func (m *restartModel) learn() {
	var named []NamedVersion
	for _, version := range m.running {
		named = append(named, NameVersion(service, version))
	}
	for n, name := range m.names {
		h := m.hosts[name]
		if n < modelReaders {
			h.registry.Declare(context.Background(), slices.Clone(named))
		}
		h.versions = slices.Clone(m.running)
		h.registry.observe(time.Now(), service)
	}
}

// end ends all hosts without notice, and starts others.
func (m *restartModel) end() {
	m.hosts, m.names = make(map[string]*testHost), nil
	for i := range m.count {
		m.add(fmt.Sprintf("host-%d", i))
	}
	for _, h := range m.hosts {
		h.versions = slices.Clone(m.running)
	}
}

func (m *restartModel) randomHost() *testHost { return m.hosts[m.names[m.random.IntN(len(m.names))]] }

func (m *restartModel) begin() {
	m.last++
	version := m.running[m.random.IntN(len(m.running))]
	stream := keys.Stream(keys.MixBits(uint64(m.last)))
	m.randomHost().registry.Begin(stream, service, keys.OfVersion(version), 10*time.Second)
	m.open = append(m.open, modelStream{stream, version, time.Now().Add(time.Duration(m.random.Int64N(int64(modelReturn))))})
}

// takeUp has the callers return whose time has come.
func (m *restartModel) takeUp() {
	m.open = slices.DeleteFunc(m.open, func(s modelStream) bool {
		if time.Now().Before(s.returns) {
			return false
		}
		found := m.randomHost().registry.Find(context.Background(), s.id, service)
		m.taken++
		isOther := func(version string) bool { return version != s.version }
		switch found.Certainty {
		case UnknownVersion:
			m.refused++
		case KnownVersion:
			if found.Version != keys.OfVersion(s.version) {
				m.joined++
			}
			if !slices.Contains(m.running, s.version) {
				m.gone++
			}
		case AnyVersion:
			if slices.ContainsFunc(m.running, isOther) {
				m.joined++
			}
		}
		return true
	})
}

func (m *restartModel) save() {
	for _, saver := range m.randomHost().registry.savers().hosts {
		r := m.hosts[saver.Host].registry
		r.save(context.Background(), r.savers().isFirst())
	}
}

// TestStreamsAreNotJoinedWhenAllHostsEnd changes versions at random while all hosts end again and again. No stream may go
// on at another version, and a stream is refused only if its record was not saved when its host ended.
func TestStreamsAreNotJoinedWhenAllHostsEnd(t *testing.T) {
	const (
		length = 4 * time.Minute
		// maxRefusedShare allows for the streams of the last moments before each end of all hosts.
		maxRefusedShare = 0.05
	)
	tests := map[string]struct {
		// ends is the mean time between two ends of all hosts, changes that between two changes of a version.
		ends, changes time.Duration
		// away is the share of the time for which the store is away.
		away float64
	}{
		"ends and changes":             {ends: 20 * time.Second, changes: 5 * time.Second},
		"rare ends, many changes":      {ends: time.Minute, changes: 2 * time.Second},
		"many ends":                    {ends: 5 * time.Second, changes: 5 * time.Second},
		"the store is away at times":   {ends: 20 * time.Second, changes: 5 * time.Second, away: 0.2},
		"one version for long periods": {ends: 20 * time.Second, changes: 100 * time.Second},
	}
	for name, test := range tests {
		for _, hosts := range []int{1, 8, 78, 985} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					m := &restartModel{network: newNetwork(0), random: rand.New(rand.NewPCG(uint64(hosts), 1)), count: hosts, running: []string{"v1"}}
					m.end()
					m.learn()
					m.save()
					span := length
					if hosts > 100 {
						span /= 8
					}
					happens := func(mean time.Duration) bool { return m.random.Float64() < float64(modelStep)/float64(mean) }
					for passed, wasAway := time.Duration(0), false; passed < span; passed += modelStep {
						// What hosts learn of the endpoints comes from the store, so nothing changes for them while it is away.
						if test.away > 0 && happens(5*time.Second) {
							m.store.isAway = m.random.Float64() < test.away
						}
						if !m.store.isAway {
							if wasAway {
								m.learn()
							}
							if happens(test.changes) {
								m.change()
							}
							if happens(test.ends) {
								m.end()
								m.learn()
							}
							m.save()
						}
						wasAway = m.store.isAway
						for range modelStreams {
							m.begin()
						}
						m.takeUp()
						time.Sleep(modelStep)
					}
					c.Check(m.joined, qt.Equals, 0)
					if test.away == 0 && test.ends >= 20*time.Second {
						c.Check(float64(m.refused) <= maxRefusedShare*float64(m.taken), qt.IsTrue)
					}
					c.Logf("%d taken up: %d joined, %d refused, %d known whose version is gone; %d saves, %d loads", m.taken, m.joined, m.refused, m.gone, m.store.saves, m.store.loads)
				})
			})
		}
	}
}

// TestUnsavedRecordsAreBounded has a host that saves records receive them while the store is away.
func TestUnsavedRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1)
		r := n.hosts["host-0"].registry
		n.see("v1", "v2")
		n.store.isAway = true
		for stream := range keys.Stream(100) {
			r.Begin(stream, service, keys.OfVersion("v1"), time.Second)
		}
		r.save(context.Background(), false)
		qt.Check(t, len(r.saver.unsaved), qt.Equals, 100)
		time.Sleep(returnTime + 2*time.Second)
		r.Expire()
		qt.Check(t, len(r.saver.unsaved), qt.Equals, 0)
	})
}

// TestOneVersionIsStoredOnce counts the calls of the store while one version runs.
func TestOneVersionIsStoredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := &restartModel{network: newNetwork(0), random: rand.New(rand.NewPCG(1, 1)), count: 8, running: []string{"v1"}}
		m.end()
		m.learn()
		m.save()
		for range 400 {
			m.begin()
			m.takeUp()
			m.save()
			time.Sleep(modelStep)
		}
		c.Check(m.store.saves, qt.Equals, 1)
		c.Check(m.store.loads <= 8+1, qt.IsTrue, qt.Commentf("%d reads, one a host that has started and one of the empty store are allowed", m.store.loads))
		c.Check(m.refused, qt.Equals, 0)
		c.Check(len(m.store.batches), qt.Equals, 0)
	})
}

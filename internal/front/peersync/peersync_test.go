package peersync

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// configuration returns a document of a revision, some KB in size.
func configuration(number int) settings.Raw {
	names := make([]string, 500)
	for n := range names {
		names[n] = fmt.Sprintf("workspace-%x", n*7919)
	}
	return settings.Raw(fmt.Sprintf(`{"Number":%d,"Names":"%s"}`, number, strings.Join(names, " ")))
}

func decodeConfiguration(document settings.Raw) (*settings.Revision, error) {
	var revision struct{ Number uint64 }
	if err := json.Unmarshal(document, &revision); err != nil {
		return nil, merry.Wrap(err)
	}
	return &settings.Revision{Number: revision.Number, Tree: &settings.Tree{}}, nil
}

// newSync returns a host without state. The counter sent counts the changes that must reach peers immediately.
func newSync(readsStore bool) (host *Sync, sent *int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	entry := logrus.NewEntry(log)
	sent = new(int)
	changed := func() { *sent++ }
	reads := func() bool { return readsStore }
	d, holder := directory.New(), settings.NewHolder()
	has := func(topic freshness.Topic) uint64 {
		if topic == freshness.Settings {
			return holder.Number()
		}
		return d.Revision()
	}
	return New(Parts{
		Placer: placement.New(placement.Parts{
			Directory: d, Rests: pushback.NewRests(time.Now, func() float64 { return 0 }), Rejections: pushback.NewRejections(time.Now),
			Failures: pushback.NewFailures(time.Now), Log: entry, Clock: time.Now, Random: func() float64 { return 0 }, Changed: func() {},
		}), Holder: holder, Directory: d, ReadsStore: reads,
		Freshness: freshness.New(freshness.Parts{Clock: time.Now, KnownRevision: has, Newest: has}), Log: entry, Clock: time.Now,
		Endpoints: NewEndpoints(EndpointsParts{Directory: d, Log: entry, NotifyPeers: changed, After: func(time.Duration, func()) {}}),
		Settings: NewSettings(SettingsParts{
			Decode: decodeConfiguration, Holder: holder, Counters: counters.New(), Log: entry, InForce: func(*settings.Tree) {},
			NotifyPeers: changed, ReadsStore: reads, Age: func() time.Duration { return 0 }, After: func(time.Duration, func()) {},
		}),
	}), sent
}

func (s *Sync) applySettings(numbers ...int) {
	for _, number := range numbers {
		s.parts.Settings.Apply(follow.Batch[settings.Raw]{Items: []settings.Raw{configuration(number)}})
	}
}

// deliverHeartbeat delivers a peer's heartbeat.
func (s *Sync) deliverHeartbeat(peer string, state *gossip.State) {
	s.HandleHeartbeat(peer, &gossip.Heartbeat{Settings: state.Settings, Directory: state.Directory, Delta: state.Delta, Patch: state.Patch})
}

// TestSettingsChangeIsSentWithHeartbeats guards against slow propagation in large fleets: when every host of 300
// fetched the whole configuration from one of four readers, the last had it after 3.7 s.
func TestSettingsChangeIsSentWithHeartbeats(t *testing.T) {
	tests := map[string]struct {
		// has are the configurations that the host had before. received is the number of the reader's heartbeats
		// that it misses after the second configuration.
		has    []int
		missed int
		want   uint64
	}{
		"the first heartbeat":                     {[]int{3}, 0, 5},
		"the last heartbeat with the patch":       {[]int{3}, heartbeatsPerChange - 1, 5},
		"after the last heartbeat with the patch": {[]int{3}, heartbeatsPerChange, 3},
		"the host has another base":               {[]int{2}, 0, 2},
		"the host has no base":                    {nil, 0, 0},
		"the host has it already":                 {[]int{3, 5}, 0, 5},
		"the host has a newer one":                {[]int{3, 9}, 0, 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			reader, sent := newSync(true)
			reader.applySettings(3, 5)
			c.Check(*sent, qt.Equals, 2)
			host, _ := newSync(false)
			host.applySettings(test.has...)
			for range test.missed {
				reader.State(true)
			}
			state := reader.State(true)
			host.deliverHeartbeat("reader", &state)
			c.Check(host.parts.Holder.Number(), qt.Equals, test.want)
		})
	}
}

// TestPeerConfigurationOlderThanOwnReadIsRejected has a host read a configuration that was written after another one
// in the same era, which it receives from a peer later.
func TestPeerConfigurationOlderThanOwnReadIsRejected(t *testing.T) {
	c := qt.New(t)
	revision := func(storeEra, number uint64) uint64 {
		revision, err := era.Revision(storeEra, number)
		c.Assert(err, qt.IsNil)
		return revision
	}
	batch := func(storeEra uint64, number int) follow.Batch[settings.Raw] {
		return follow.Batch[settings.Raw]{Revision: revision(storeEra, 50), Items: []settings.Raw{configuration(number)}}
	}
	peer, _ := newSync(true)
	host, _ := newSync(true)
	for _, s := range []*Sync{peer, host} {
		s.parts.Settings.Replace(batch(0, 10))
	}
	peer.parts.Settings.Replace(batch(1, 10))
	peer.parts.Settings.Apply(batch(1, 5))
	host.parts.Settings.Replace(batch(1, 11))
	host.Apply(gossip.Member{Name: "peer", Settings: peer.Revisions().Settings}, peer.Respond(gossip.SyncRequest{}))
	c.Check(host.Revisions().Settings, qt.Equals, revision(1, 11))
	peer.Apply(gossip.Member{Name: "host", Settings: host.Revisions().Settings}, host.Respond(peer.Revisions()))
	c.Check(peer.Revisions().Settings, qt.Equals, revision(1, 11))
}

func TestOnlyReadersForwardPeerChanges(t *testing.T) {
	tests := map[string]struct {
		reading bool
		want    int
	}{
		"a reader that the peer reaches before the store": {true, 1},
		"a host that does not read the store":             {false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			reader, _ := newSync(true)
			reader.applySettings(3, 5)
			host, sent := newSync(test.reading)
			host.applySettings(3)
			*sent = 0
			state := reader.State(true)
			host.deliverHeartbeat("reader", &state)
			c.Check(host.parts.Holder.Number(), qt.Equals, uint64(5))
			c.Check(*sent, qt.Equals, test.want)
			c.Check(host.State(true).Patch != nil, qt.Equals, test.reading)
		})
	}
}

func TestResponsesAreCompressed(t *testing.T) {
	whole := len(configuration(5))
	tests := map[string]struct {
		has []int
		// maxBytes is the maximum number of bytes of settings in the response; 0 means none.
		maxBytes int
	}{
		"nothing":          {nil, whole / 2},
		"the previous one": {[]int{3}, 200},
		"an older one":     {[]int{2}, whole / 2},
		"the newest":       {[]int{5}, 0},
		"a newer one":      {[]int{9}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			peer, _ := newSync(true)
			peer.applySettings(3, 5)
			host, _ := newSync(false)
			host.applySettings(test.has...)
			before := host.parts.Holder.Number()
			response := peer.Respond(host.Revisions())
			c.Check(len(response.Settings) <= test.maxBytes, qt.IsTrue, qt.Commentf("%d bytes", len(response.Settings)))
			host.Apply(gossip.Member{Name: "peer"}, response)
			c.Check(host.parts.Holder.Number(), qt.Equals, max(before, 5))
		})
	}
}

func TestSnapshotIsCompressed(t *testing.T) {
	c := qt.New(t)
	peer, _ := newSync(true)
	entry := directory.Entry{ID: "e1", Endpoint: settings.Endpoint{Service: "llm", Address: "10.0.0.1:1", MaxInFlight: 4, State: settings.StateIn}}
	left := directory.Entry{ID: "e2", Endpoint: settings.Endpoint{Service: "llm", Address: "10.0.0.2:1", State: settings.StateOut}}
	peer.parts.Endpoints.Replace(follow.Batch[directory.Change]{Revision: 7, Changed: 5, Items: []directory.Change{{Entry: entry}, {Entry: left}}})
	for range 2 { // The second response uses the cached entries.
		host, _ := newSync(false)
		host.Apply(gossip.Member{Name: "peer"}, peer.Respond(host.Revisions()))
		c.Check(host.parts.Directory.Snapshot(), qt.DeepEquals, peer.parts.Directory.Snapshot())
	}
	peer.parts.Endpoints.Apply(follow.Batch[directory.Change]{Revision: 8, Items: []directory.Change{{Entry: entry, Gone: true}}})
	host, _ := newSync(false)
	host.Apply(gossip.Member{Name: "peer"}, peer.Respond(host.Revisions()))
	c.Check(host.parts.Directory.Snapshot(), qt.DeepEquals, peer.parts.Directory.Snapshot())
	host.Apply(gossip.Member{Name: "peer"}, gossip.SyncResponse{Snapshot: &gossip.DirectorySnapshot{Revision: 9, Entries: []byte("damaged")}})
	c.Check(host.parts.Directory.Revision(), qt.Equals, uint64(8))
}

func TestSnapshotIsSentToOutdatedPeers(t *testing.T) {
	in := directory.Change{Entry: directory.Entry{ID: "e1", Endpoint: settings.Endpoint{Service: "llm", State: settings.StateIn}}}
	tests := map[string]struct {
		changed      uint64
		peerRevision uint64
		want         bool
	}{
		"one that lacks the newest change":            {5, 4, true},
		"one that has it":                             {5, 5, false},
		"one that has more":                           {5, 9, false},
		"one without a directory":                     {5, 0, true},
		"one without a directory, for an empty table": {0, 0, true},
		"one with a directory, for an empty table":    {0, 3, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			peer, _ := newSync(true)
			if test.changed > 0 {
				peer.parts.Endpoints.Apply(follow.Batch[directory.Change]{Revision: test.changed, Items: []directory.Change{in}})
			}
			peer.parts.Endpoints.Apply(follow.Batch[directory.Change]{Revision: 7})
			response := peer.Respond(gossip.SyncRequest{Settings: 9, Directory: test.peerRevision})
			qt.Check(t, response.Snapshot != nil, qt.Equals, test.want)
		})
	}
}

// TestLapsedEndpointIsDroppedAfterGrace covers a lapse of two endpoints, of which one has stopped.
func TestLapsedEndpointIsDroppedAfterGrace(t *testing.T) {
	c := qt.New(t)
	host, _ := newSync(true)
	var due []func()
	host.parts.Endpoints.parts.After = func(span time.Duration, run func()) {
		c.Check(span, qt.Equals, directory.LapseGrace)
		due = append(due, run)
	}
	in := func(id string) directory.Change {
		return directory.Change{Entry: directory.Entry{ID: id, Endpoint: settings.Endpoint{Service: "llm", State: settings.StateIn}}}
	}
	host.parts.Endpoints.Apply(follow.Batch[directory.Change]{Revision: 3, Items: []directory.Change{in("a"), in("b")}})
	gone := []directory.Change{{Entry: directory.Entry{ID: "a"}, Gone: true}, {Entry: directory.Entry{ID: "b"}, Gone: true}}
	host.parts.Endpoints.Apply(follow.Batch[directory.Change]{Revision: 7, Items: gone})
	c.Check(host.parts.Directory.Serving("llm"), qt.HasLen, 2)
	host.parts.Endpoints.Apply(follow.Batch[directory.Change]{Revision: 8, Items: []directory.Change{in("b")}})
	c.Assert(due, qt.HasLen, 1)
	due[0]()
	c.Check(host.parts.Directory.Serving("llm"), qt.HasLen, 1)
}

// TestLapseIsCheckedAfterLaterChange guards against lapsed entries that are kept forever because a peer's change
// arrives between the lapse and the scheduling of its check.
func TestLapseIsCheckedAfterLaterChange(t *testing.T) {
	c := qt.New(t)
	host, _ := newSync(true)
	in := func(id string) directory.Change {
		return directory.Change{Entry: directory.Entry{ID: id, Endpoint: settings.Endpoint{Service: "llm", State: settings.StateIn}}}
	}
	gone := func(id string) directory.Change {
		return directory.Change{Entry: directory.Entry{ID: id}, Gone: true}
	}
	var due []func()
	host.parts.Endpoints.parts.After = func(_ time.Duration, run func()) { due = append(due, run) }
	host.parts.Directory.Apply(3, []directory.Change{in("a"), in("b")})
	host.parts.Directory.Apply(7, []directory.Change{gone("a"), gone("b")})
	host.parts.Directory.Apply(8, []directory.Change{in("c")})
	host.parts.Endpoints.scheduleLapseCheck(7)
	c.Assert(due, qt.HasLen, 1)
	due[0]()
	c.Check(host.parts.Directory.Serving("llm"), qt.HasLen, 1)
}

func TestEngineReportRoundTrip(t *testing.T) {
	report := engine.Report{
		Figures: engine.Figures{
			ReadRate: engine.Figure{Value: 37.5, Samples: 4}, EventTime: engine.Figure{Value: 20, Samples: 5},
			EventRead: engine.Figure{Value: 250, Samples: 6},
		},
		Traffic: engine.Traffic{
			7: {Requests: 1.5, Prompt: 6400, Unread: 640, Open: 3},
			8: {Requests: 0.01, Prompt: 10},
		},
	}
	sent := toEngineReport(5, &report)
	qt.Check(t, sent.Service, qt.Equals, keys.Service(5))
	delete(report.Traffic, 8) // Less than a unit is not reported.
	qt.Check(t, fromEngineReport(&sent), qt.DeepEquals, report)
}

// TestChangesOfEmptyDirectory guards against a crash ("assignment to entry in nil map") when a peer requests changes
// from a host whose directory has never had an entry.
func TestChangesOfEmptyDirectory(t *testing.T) {
	c := qt.New(t)
	host, _ := newSync(false)
	for revision := range uint64(3) {
		response := host.Changes(gossip.ChangesRequest{Directory: revision})
		for _, compressed := range [][]byte{response.Entries, response.States} {
			changes, err := decompressChanges(compressed)
			c.Check(err, qt.IsNil)
			c.Check(changes, qt.HasLen, 0)
		}
	}
}

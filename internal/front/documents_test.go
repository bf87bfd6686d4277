package front

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
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// configuration makes a document of a revision, some kilobytes long.
func configuration(number int) Document {
	names := make([]string, 500)
	for n := range names {
		names[n] = fmt.Sprintf("workspace-%x", n*7919)
	}
	return Document(fmt.Sprintf(`{"Number":%d,"Names":"%s"}`, number, strings.Join(names, " ")))
}

func decodeConfiguration(document Document) (*settings.Revision, error) {
	var revision struct{ Number uint64 }
	if err := json.Unmarshal(document, &revision); err != nil {
		return nil, merry.Wrap(err)
	}
	return &settings.Revision{Number: revision.Number, Tree: &settings.Tree{}}, nil
}

// newSharing makes a host that knows nothing. Told counts the beats that do not wait.
func newSharing(reading bool) (host *sharing, told *int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	told = new(int)
	tell := func() { *told++ }
	d := directory.New()
	scheduler := placement.New(d, logrus.NewEntry(log), time.Now, func() {})
	host = &sharing{
		scheduler: scheduler, settings: settings.NewHolder(), directory: d, gate: new(readGate), log: logrus.NewEntry(log), clock: time.Now,
		endpoints: &endpointsSink{directory: d, log: logrus.NewEntry(log), changed: tell, after: func(time.Duration, func()) {}},
	}
	host.sink = &settingsSink{
		decode: decodeConfiguration, holder: host.settings, counters: counters.New(), log: logrus.NewEntry(log),
		inForce: func(*settings.Tree) {}, changed: tell, reading: func() bool { return reading },
	}
	return host, told
}

func (s *sharing) read(numbers ...int) {
	for _, number := range numbers {
		s.sink.Apply(follow.Batch[Document]{Items: []Document{configuration(number)}})
	}
}

// hearBeat carries one host's beat to another.
func (s *sharing) hearBeat(peer string, state *gossip.State) {
	s.Hear(peer, &gossip.Beat{Settings: state.Settings, Directory: state.Directory, Delta: state.Delta, Patch: state.Patch})
}

// TestAChangeOfTheSettingsGoesWithTheBeats is the sweep at 300 hosts: each fetched the
// whole configuration from one of four readers, the last after 3.7 s (CONFIG).
func TestAChangeOfTheSettingsGoesWithTheBeats(t *testing.T) {
	tests := map[string]struct {
		// has is what the listening host knew before, heard in which of the reader's
		// beats after its second configuration it hears.
		has   []int
		heard int
		want  uint64
	}{
		"the first beat":           {[]int{3}, 0, 5},
		"the last that carries it": {[]int{3}, beatsPerPatch - 1, 5},
		"told no more":             {[]int{3}, beatsPerPatch, 3},
		"on another base":          {[]int{2}, 0, 2},
		"no base at all":           {nil, 0, 0},
		"known already":            {[]int{3, 5}, 0, 5},
		"newer than that":          {[]int{3, 9}, 0, 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			reader, told := newSharing(true)
			reader.read(3, 5)
			c.Check(*told, qt.Equals, 2)
			host, _ := newSharing(false)
			host.read(test.has...)
			for range test.heard {
				reader.State()
			}
			state := reader.State()
			host.hearBeat("reader", &state)
			c.Check(host.settings.Number(), qt.Equals, test.want)
		})
	}
}

func TestWhoTellsOfAChangeAtOnce(t *testing.T) {
	tests := map[string]struct {
		reading bool
		want    int
	}{
		"a reader that hears of it before the store answers": {true, 1},
		"a host that does not read the store":                {false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			reader, _ := newSharing(true)
			reader.read(3, 5)
			host, told := newSharing(test.reading)
			host.read(3)
			*told = 0
			state := reader.State()
			host.hearBeat("reader", &state)
			c.Check(host.settings.Number(), qt.Equals, uint64(5))
			c.Check(*told, qt.Equals, test.want)
			c.Check(host.State().Patch != nil, qt.Equals, test.reading)
		})
	}
}

func TestNewsArePacked(t *testing.T) {
	whole := len(configuration(5))
	tests := map[string]struct {
		has []int
		// most is the most bytes of settings that are sent; 0 means none.
		most int
	}{
		"nothing":         {nil, whole / 2},
		"the one before":  {[]int{3}, 200},
		"an older one":    {[]int{2}, whole / 2},
		"the newest":      {[]int{5}, 0},
		"a newer one yet": {[]int{9}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			peer, _ := newSharing(true)
			peer.read(3, 5)
			host, _ := newSharing(false)
			host.read(test.has...)
			before := host.settings.Number()
			news := peer.Newer(host.Revisions())
			c.Check(len(news.Settings) <= test.most, qt.IsTrue, qt.Commentf("%d bytes", len(news.Settings)))
			host.Take("peer", news)
			c.Check(host.settings.Number(), qt.Equals, max(before, 5))
		})
	}
}

func TestTheDirectoryIsPacked(t *testing.T) {
	c := qt.New(t)
	peer, _ := newSharing(true)
	entry := directory.Entry{ID: "e1", Endpoint: settings.Endpoint{Service: "llm", Address: "10.0.0.1:1", MaxInFlight: 4, State: settings.StateIn}}
	left := directory.Entry{ID: "e2", Endpoint: settings.Endpoint{Service: "llm", Address: "10.0.0.2:1", State: settings.StateOut}}
	peer.endpoints.Replace(follow.Batch[directory.Change]{Revision: 7, Changed: 5, Items: []directory.Change{{Entry: entry}, {Entry: left}}})
	for range 2 { // The second time, the entries are packed already.
		host, _ := newSharing(false)
		host.Take("peer", peer.Newer(host.Revisions()))
		c.Check(host.directory.Snapshot(), qt.DeepEquals, peer.directory.Snapshot())
	}
	peer.endpoints.Apply(follow.Batch[directory.Change]{Revision: 8, Items: []directory.Change{{Entry: entry, Gone: true}}})
	host, _ := newSharing(false)
	host.Take("peer", peer.Newer(host.Revisions()))
	c.Check(host.directory.Snapshot(), qt.DeepEquals, peer.directory.Snapshot())
	host.Take("peer", gossip.News{Snapshot: &gossip.DirectorySnapshot{Revision: 9, Entries: []byte("damaged")}})
	c.Check(host.directory.Revision(), qt.Equals, uint64(8))
}

// TestWhatDoesNotComeBackIsDropped is a lapse in which one of two endpoints has ended.
func TestWhatDoesNotComeBackIsDropped(t *testing.T) {
	c := qt.New(t)
	host, _ := newSharing(true)
	var due []func()
	host.endpoints.after = func(span time.Duration, run func()) {
		c.Check(span, qt.Equals, lapseGrace)
		due = append(due, run)
	}
	in := func(id string) directory.Change {
		return directory.Change{Entry: directory.Entry{ID: id, Endpoint: settings.Endpoint{Service: "llm", State: settings.StateIn}}}
	}
	host.endpoints.Apply(follow.Batch[directory.Change]{Revision: 3, Items: []directory.Change{in("a"), in("b")}})
	gone := []directory.Change{{Entry: directory.Entry{ID: "a"}, Gone: true}, {Entry: directory.Entry{ID: "b"}, Gone: true}}
	host.endpoints.Apply(follow.Batch[directory.Change]{Revision: 7, Items: gone})
	c.Check(host.directory.Serving("llm"), qt.HasLen, 2)
	host.endpoints.Apply(follow.Batch[directory.Change]{Revision: 8, Items: []directory.Change{in("b")}})
	c.Assert(due, qt.HasLen, 1)
	due[0]()
	c.Check(host.directory.Serving("llm"), qt.HasLen, 1)
}

// TestALapseIsWatchedThoughTheDirectoryMovedOn is a lapse from the store with a peer's
// change right behind it, before the lapse was looked for: nothing would have ended it.
func TestALapseIsWatchedThoughTheDirectoryMovedOn(t *testing.T) {
	c := qt.New(t)
	host, _ := newSharing(true)
	in := func(id string) directory.Change {
		return directory.Change{Entry: directory.Entry{ID: id, Endpoint: settings.Endpoint{Service: "llm", State: settings.StateIn}}}
	}
	gone := func(id string) directory.Change {
		return directory.Change{Entry: directory.Entry{ID: id}, Gone: true}
	}
	var due []func()
	host.endpoints.after = func(_ time.Duration, run func()) { due = append(due, run) }
	host.directory.Apply(3, []directory.Change{in("a"), in("b")})
	host.directory.Apply(7, []directory.Change{gone("a"), gone("b")})
	host.directory.Apply(8, []directory.Change{in("c")})
	host.endpoints.watchLapse(7)
	c.Assert(due, qt.HasLen, 1)
	due[0]()
	c.Check(host.directory.Serving("llm"), qt.HasLen, 1)
}

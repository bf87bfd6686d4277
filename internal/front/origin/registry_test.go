package origin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

const service = "engines"

// network connects the registries of a fleet.
type network struct {
	hosts map[string]*testHost
	names []string
	// bytes and messages count what hosts send.
	bytes, messages int
	store           *fakeStore
}

// fakeStore implements Store.
type fakeStore struct {
	versions map[ServiceVersion]bool
	batches  map[string]Batch
	isAway   bool
	loads    int
	saves    int
}

var errAway = errors.New("the store is away")

func newFakeStore() *fakeStore {
	return &fakeStore{versions: make(map[ServiceVersion]bool), batches: make(map[string]Batch)}
}

func (s *fakeStore) Load(context.Context) (Saved, error) {
	s.loads++
	if s.isAway {
		return Saved{}, errAway
	}
	return Saved{Versions: slices.Collect(maps.Keys(s.versions)), Batches: slices.Collect(maps.Values(s.batches))}, nil
}

func (s *fakeStore) Save(_ context.Context, change Change) error {
	s.saves++
	if s.isAway {
		return errAway
	}
	for _, v := range change.Versions {
		s.versions[v.ServiceVersion] = true
	}
	for _, v := range change.Dropped {
		delete(s.versions, v)
	}
	for _, b := range change.Batches {
		s.batches[b.ID] = b
	}
	for _, id := range change.Expired {
		delete(s.batches, id)
	}
	return nil
}

// storeTime returns the time of the store's clock.
func storeTime() freshness.StoreTime { return freshness.StoreTime(time.Now().UnixNano()) }

// testHost is a host with a registry. It implements coordinator.Peers.
type testHost struct {
	network  *network
	name     string
	registry *Registry
	// versions are those that its directory shows, age is that of its directory.
	versions []string
	age      time.Duration
	// isCut is set while its messages are lost.
	isCut bool
}

func newNetwork(count int) *network {
	n := &network{hosts: make(map[string]*testHost), store: newFakeStore()}
	for i := range count {
		n.add(fmt.Sprintf("host-%d", i))
	}
	return n
}

func (n *network) add(name string) *testHost {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &testHost{network: n, name: name, versions: []string{"v1"}}
	h.registry = New(Parts{
		Peers: h, Services: func() []string { return []string{service} }, Versions: h.directory, DirectoryAge: func() time.Duration { return h.age },
		PeerAge: func(host string) time.Duration { return time.Since(n.hosts[host].registry.startedAt) },
		Store:   n.store, StoreTime: storeTime, Era: func() uint64 { return 0 },
		Count: func(counters.OriginResult) {}, Log: logrus.NewEntry(log), Clock: time.Now, Random: func() float64 { return 0 },
	})
	n.hosts[name] = h
	n.names = append(n.names, name)
	return h
}

func (h *testHost) directory(string) []directory.VersionCount {
	var counts []directory.VersionCount
	for _, version := range h.versions {
		counts = append(counts, directory.VersionCount{Version: version, Endpoints: 1})
	}
	return counts
}

func (h *testHost) Senders() []envelope.Sender {
	senders := []envelope.Sender{{Host: h.name}}
	for _, name := range h.network.names {
		if name != h.name {
			senders = append(senders, envelope.Sender{Host: name})
		}
	}
	return senders
}

func (h *testHost) IsSettled() bool { return true }

func (h *testHost) SendTo(host string, kind envelope.Kind, message any) {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // The messages of the package always marshal.
	}
	h.network.bytes += len(body)
	h.network.messages++
	to := h.network.hosts[host]
	if h.isCut || to.isCut {
		return
	}
	handle := map[envelope.Kind]envelope.Handler{
		envelope.KindStreamOrigins: to.registry.HandleRecords, envelope.KindStreamOriginQuestion: to.registry.HandleQuestion,
		envelope.KindStreamOriginReply: to.registry.HandleReply,
	}[kind]
	handle(envelope.Sender{Host: h.name}, body)
}

// see sets the versions that the directories of all hosts show.
func (n *network) see(versions ...string) {
	for _, h := range n.hosts {
		h.versions = versions
		h.registry.observe(time.Now(), service)
	}
}

// age sets the age of the directories of all hosts.
func (n *network) age(age time.Duration) {
	for _, h := range n.hosts {
		h.age = age
	}
}

const stream = keys.Stream(7)

func (h *testHost) begin(version string) {
	h.registry.Begin(stream, service, keys.OfVersion(version), time.Second)
}

// TestFindOrigin begins a stream at host-0, or nowhere, and finds its origin at host-1.
func TestFindOrigin(t *testing.T) {
	known := Origin{Certainty: KnownVersion, Service: keys.OfService(service), Version: keys.OfVersion("v1")}
	anyVersion, unknown := Origin{}, Origin{Certainty: UnknownVersion}
	tests := map[string]struct {
		happen func(n *network)
		want   Origin
	}{
		"two versions": {func(n *network) {
			n.see("v1", "v2")
			n.hosts["host-0"].begin("v1")
		}, known},
		"two versions, the beginning is not recorded": {func(n *network) { n.see("v1", "v2") }, unknown},
		"the second version came after the beginning": {func(n *network) {
			n.hosts["host-0"].begin("v1")
			n.see("v1", "v2")
		}, known},
		"the second version has gone": {func(n *network) {
			n.see("v1", "v2")
			n.see("v1")
			time.Sleep(historyTime - time.Second)
		}, unknown},
		"the second version has gone long ago": {func(n *network) {
			n.see("v1", "v2")
			n.see("v1")
			time.Sleep(historyTime + reportTime)
		}, anyVersion},
		"only the other hosts know of the second version": {func(n *network) {
			n.see("v1", "v2")
			n.hosts["host-1"].versions = []string{"v1"}
			n.hosts["host-1"].registry.table = NewTable()
			n.hosts["host-1"].registry.startedAt = time.Now()
		}, unknown},
		"host-1 is cut off": {func(n *network) {
			n.hosts["host-1"].isCut, n.hosts["host-1"].age = true, maxDirectoryAge+1
		}, unknown},
		"host-0 is cut off when the stream begins": {func(n *network) {
			n.see("v1", "v2")
			n.hosts["host-0"].isCut = true
			n.hosts["host-0"].begin("v2")
		}, unknown},
		"the store is away": {func(n *network) { n.age(maxDirectoryAge + 1) }, unknown},
		"the stream began while the store was away": {func(n *network) {
			n.age(maxDirectoryAge + 1)
			n.hosts["host-0"].begin("v1")
		}, known},
		"host-1 alone doesn't hear of the store": {func(n *network) { n.hosts["host-1"].age = maxDirectoryAge + 1 }, anyVersion},
		"the version is not certain": {func(n *network) {
			n.see("v1", "v2")
			n.hosts["host-0"].registry.Begin(stream, service, 0, time.Second)
		}, unknown},
		"two beginnings": {func(n *network) {
			n.see("v1", "v2")
			n.hosts["host-0"].begin("v1")
			n.hosts["host-2"].begin("v2")
		}, unknown},
		"the record has expired": {func(n *network) {
			n.see("v1", "v2")
			n.hosts["host-0"].begin("v1")
			time.Sleep(returnTime + time.Second)
		}, unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := newNetwork(4)
				time.Sleep(historyTime)
				test.happen(n)
				found := n.hosts["host-1"].registry.Find(context.Background(), stream, service)
				c.Assert(found, qt.Equals, test.want)
			})
		})
	}
}

// TestRecordsAreBounded adds more records than a table keeps.
func TestRecordsAreBounded(t *testing.T) {
	table, now := NewTable(), time.Now()
	for n := range 2 * maxRecords {
		table.Add(now, Record{Stream: keys.Stream(n), Until: now.Add(time.Duration(n+1) * time.Millisecond)}, true)
	}
	qt.Check(t, table.Len() <= maxRecords && table.has(2*maxRecords-1), qt.IsTrue)
}

// TestRecordBytes logs what streams cost a fleet: nothing with one version, two messages a stream with several.
func TestRecordBytes(t *testing.T) {
	c := qt.New(t)
	const streams = 500
	for _, hosts := range []int{7, 78, 380} {
		n := newNetwork(hosts)
		for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
			n.see(versions...)
			started := time.Now()
			for i := range streams {
				n.hosts["host-0"].registry.Begin(keys.Stream(i+len(versions)*streams), service, keys.OfVersion("v1"), 5*time.Second)
			}
			c.Logf("%d hosts, %d versions: %d messages, %d bytes, %s a stream", hosts, len(versions), n.messages/streams, n.bytes/streams, time.Since(started)/streams)
			c.Check(n.messages <= 4*(len(versions)-1)*streams, qt.IsTrue)
		}
	}
}

// TestGoldenMessages pins the encoded forms, which hosts of other versions read.
func TestGoldenMessages(t *testing.T) {
	record := SentRecord{Stream: 1, Service: 2, Version: 3, LeftMs: 4}
	golden.Message(t, "records", &Records{Records: []SentRecord{record}, Mixed: []keys.Service{5}})
	golden.Message(t, "question", &Question{Number: 1, Stream: 2, Service: 3})
	golden.Message(t, "reply", &Reply{Number: 1, IsKnown: true, Record: record, IsMixed: true, IsFresh: true})
}

package front

import (
	"encoding/hex"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// newDatagramHandler returns the gossip of a host for which incarnation 1 is a peer.
func newDatagramHandler(t testing.TB) *gossip.Gossip {
	log := logrus.New()
	log.SetOutput(io.Discard)
	random := func() float64 { return 0.5 }
	l, count, holder, endpoints := new(lateParts), counters.New(), settings.NewHolder(), directory.New()
	placer := newPlacer(placerParts{Directory: endpoints, Rests: pushback.NewRests(time.Now, random), Rejections: pushback.NewRejections(time.Now), Failures: pushback.NewFailures(time.Now), Log: log, Clock: time.Now, Random: random, Late: l})
	state := newFreshness(holder, endpoints, time.Now)
	sink := newSettingsSink(settingsSinkParts{Deployment: Deployment{Decode: decode}, Holder: holder, Freshness: state, Placer: placer, Counters: count, Log: log, Late: l})
	g := newGossip(gossipParts{
		Config: hostconfig.Host{Name: "self", Zone: "zone-a", Peers: "10.0.0.1:7000"}, Placer: placer, Holder: holder, Directory: endpoints,
		Settings: sink, Endpoints: newEndpointsSink(endpoints, log, l), Freshness: state, Network: newFakeNetwork(), Counters: count, Log: log,
		Clock: time.Now, Random: random, Late: l,
	})
	qt.Assert(t, g.Start(), qt.IsNil)
	announcement, err := cbor.Marshal(&gossip.Heartbeat{Incarnation: 1, Sequence: 1, Announcement: &gossip.Announcement{
		Host: "peer", Address: "10.0.0.2:7000", Zone: "zone-a", Start: 1, Hosts: 2,
	}})
	qt.Assert(t, err, qt.IsNil)
	g.HandleDatagram(announcement, "10.0.0.2:7000")
	return g
}

// FuzzArrived passes arbitrary datagrams to a host, from the address of a peer and from another address. The seeds are
// one message of each kind.
func FuzzArrived(f *testing.F) {
	paths, err := filepath.Glob(filepath.Join("gossip", "testdata", "golden", "*.cbor.hex"))
	qt.Assert(f, err, qt.IsNil)
	qt.Assert(f, len(paths) > 5, qt.IsTrue)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		qt.Assert(f, err, qt.IsNil)
		data, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := newDatagramHandler(t)
		defer g.Close()
		g.HandleDatagram(data, "10.0.0.2:7000")
		g.HandleDatagram(data, "10.0.0.3:7000")
	})
}

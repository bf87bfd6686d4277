package poller_test

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/daemon/change"
	"oxbowslip.dev/oxbowslip/internal/daemon/poller"
	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/proof/standin"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// TestIsolatedHostKeepsSettings takes down the platform and then the peers. The last settings must
// stay in force, and IsStale must report true once neither has answered for a minute.
func TestIsolatedHostKeepsSettings(t *testing.T) {
	c := qt.New(t)
	p := standin.NewPlatform(standin.PlatformConfig{})
	c.Assert(p.Start("127.0.0.1:0"), qt.IsNil)
	defer p.Close()
	tree, err := settings.Decode("seed", []byte(`{"root": {}, "workspaces": {"w": {}}}`))
	c.Assert(err, qt.IsNil)
	c.Assert(p.Seed(tree), qt.IsNil)

	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	offered, answers := change.Document{}, true
	peers := func(context.Context, uint64) (change.Document, bool) { return offered, answers }
	log := logrus.New()
	log.SetOutput(io.Discard)
	holder := settings.NewHolder()
	f := poller.New(poller.Parts{
		Client: tableclient.New(p.Address(), time.Minute, nil), Holder: holder, Counters: counters.New(), Log: logrus.NewEntry(log),
		Interval: time.Second, FetchFromPeers: peers, Clock: func() time.Time { return now }, Random: func() float64 { return 0 },
	})
	steps := []struct {
		name     string
		down     bool
		answers  bool
		offered  change.Document
		revision uint64
		stale    bool
	}{
		{name: "platform available", revision: 1},
		{name: "peer has nothing newer", down: true, answers: true, revision: 1},
		{name: "peer has a newer revision", down: true, answers: true, offered: change.Document{Revision: 4, Data: []byte(`{"root":{}}`)}, revision: 4},
		{name: "peer has an older revision", down: true, answers: true, offered: change.Document{Revision: 2, Data: []byte(`{"root":{}}`)}, revision: 4},
		{name: "peer has a newer revision that can't be decoded", down: true, answers: true, offered: change.Document{Revision: 9, Data: []byte(`{"stem":{}}`)}, revision: 4},
		{name: "neither platform nor peers answer", down: true, revision: 4, stale: true},
		{name: "platform is back with an older revision", revision: 4},
	}
	for _, s := range steps {
		p.SetFaults(standin.PlatformFaults{Down: s.down})
		offered, answers = s.offered, s.answers
		now = now.Add(time.Minute)
		f.Poll(context.Background())
		c.Assert(holder.Current().Number, qt.Equals, s.revision, qt.Commentf(s.name))
		c.Assert(f.IsStale(), qt.Equals, s.stale, qt.Commentf(s.name))
	}
}

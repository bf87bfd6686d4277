package commit_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/daemon/change"
	"oxbowslip.dev/oxbowslip/internal/daemon/commit"
	"oxbowslip.dev/oxbowslip/internal/daemon/poller"
	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/proof/standin"
	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

const seed = `{"root": {"classes": {"a": {}, "b": {}}}, "workspaces": {"w": {}}}`

func start(c *qt.C) (*standin.Platform, *tableclient.Client, *commit.Committer) {
	p := standin.NewPlatform(standin.PlatformConfig{})
	c.Assert(p.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(p.Close)
	tree, err := settings.Decode("seed", []byte(seed))
	c.Assert(err, qt.IsNil)
	c.Assert(p.Seed(tree), qt.IsNil)
	client := tableclient.New(p.Address(), time.Minute, nil)
	return p, client, commit.New(client, time.Now)
}

func patch(id string, base uint64, text string) settings.Change {
	return settings.Change{ID: id, Base: base, Patch: []byte(text), Who: "op"}
}

const (
	tierOfA = `{"root":{"classes":{"a":{"values":{"tier":1}}}}}`
	tierOfB = `{"root":{"classes":{"b":{"values":{"tier":1}}}}}`
	zeroOfA = `{"root":{"classes":{"a":{"values":{"tier":0}}}}}`
	dropA   = `{"root":{"classes":{"a":null}}}`
	badTier = `{"root":{"classes":{"a":{"values":{"tier":9}}}}}`
)

func TestAccept(t *testing.T) {
	type step struct {
		change   settings.Change
		faults   standin.PlatformFaults
		revision uint64
		// The kinds of failure.
		conflict, invalid, away, bad bool
	}
	tests := map[string][]step{
		"one":                       {{change: patch("1", 1, tierOfA), revision: 2}},
		"the same ID again":         {{change: patch("1", 1, tierOfA), revision: 2}, {change: patch("1", 1, tierOfA), revision: 2}},
		"another part, same base":   {{change: patch("1", 1, tierOfA), revision: 2}, {change: patch("2", 1, tierOfB), revision: 3}},
		"the same value, same base": {{change: patch("1", 1, tierOfA), revision: 2}, {change: patch("2", 1, zeroOfA), conflict: true}},
		"a node that was removed":   {{change: patch("1", 1, dropA), revision: 2}, {change: patch("2", 1, zeroOfA), conflict: true}},
		"the same value, new base":  {{change: patch("1", 1, tierOfA), revision: 2}, {change: patch("2", 2, zeroOfA), revision: 3}},
		"not valid":                 {{change: patch("1", 1, badTier), invalid: true}, {change: patch("1", 1, tierOfA), revision: 2}},
		"no object":                 {{change: patch("1", 1, `7`), bad: true}},
		"the platform is down":      {{change: patch("1", 1, tierOfA), faults: standin.PlatformFaults{Down: true}, away: true}, {change: patch("1", 1, tierOfA), revision: 2}},
		"the answer is lost":        {{change: patch("1", 1, tierOfA), faults: standin.PlatformFaults{LoseAnswers: true}, revision: 2}, {change: patch("1", 1, tierOfA), revision: 2}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p, _, acceptor := start(c)
			for i, s := range steps {
				p.SetFaults(s.faults)
				revision, err := acceptor.Commit(context.Background(), s.change)
				var conflict *commit.Conflict
				var faults *strictjson.Error
				note := qt.Commentf("step %d: %v", i, err)
				c.Assert(revision, qt.Equals, s.revision, note)
				c.Assert(errors.As(err, &conflict), qt.Equals, s.conflict, note)
				c.Assert(errors.As(err, &faults), qt.Equals, s.invalid, note)
				c.Assert(errors.Is(err, commit.ErrUnavailable), qt.Equals, s.away, note)
				c.Assert(errors.Is(err, change.ErrBadPatch), qt.Equals, s.bad, note)
			}
		})
	}
}

func noPeers(context.Context, uint64) (change.Document, bool) { return change.Document{}, false }

// TestRace has many operators change different classes at four hosts at once.
// Every change is accepted once, and hosts that follow, one from the start and
// one only at the end, hold the same bytes. No revision in force goes down.
func TestRace(t *testing.T) {
	c := qt.New(t)
	p, client, _ := start(c)
	log := logrus.New()
	log.SetOutput(io.Discard)
	follow := func() (*poller.Follower, *settings.Holder) {
		holder := settings.NewHolder()
		return poller.New(poller.Parts{
			Client: client, Holder: holder, Counters: counters.New(), Log: logrus.NewEntry(log), Interval: time.Second,
			Random: func() float64 { return 0 }, FetchFromPeers: noPeers, Clock: time.Now,
		}), holder
	}
	early, holder := follow()
	ctx := context.Background()
	early.Poll(ctx)
	var group sync.WaitGroup
	var mu sync.Mutex
	revisions := make(map[uint64]string)
	const operators, each = 4, 12
	for host := range operators {
		acceptor := commit.New(tableclient.New(p.Address(), time.Minute, nil), time.Now)
		group.Go(func() {
			for i := range each {
				id := fmt.Sprintf("op%d-%d", host, i)
				text := fmt.Sprintf(`{"root":{"classes":{"c%s":{"values":{"tier":%d}}}}}`, id, i%4)
				var revision uint64
				for revision == 0 {
					// Losing the race too often is told as not accepted; coming back
					// with the same ID is what an operator does then.
					var err error
					revision, err = acceptor.Commit(ctx, patch(id, 1, text))
					if err != nil && !errors.Is(err, commit.ErrUnavailable) {
						c.Errorf("%s: %v", id, err)
						return
					}
				}
				mu.Lock()
				revisions[revision] = id
				mu.Unlock()
				before := holder.Current().Number
				early.Poll(ctx)
				c.Check(holder.Current().Number >= max(before, revision), qt.IsTrue)
			}
		})
	}
	group.Wait()
	c.Assert(revisions, qt.HasLen, operators*each)
	late, _ := follow()
	late.Poll(ctx)
	c.Assert(late.Document().Revision, qt.Equals, uint64(1+operators*each))
	c.Assert(string(late.Document().Data), qt.Equals, string(early.Document().Data))
	_, head, err := poller.ReadHead(ctx, client)
	c.Assert(err, qt.IsNil)
	c.Assert(head.Snapshot > 1, qt.IsTrue)
}

func TestTouched(t *testing.T) {
	tests := map[string]struct {
		a, b string
		want bool
	}{
		"the same value":        {tierOfA, zeroOfA, true},
		"siblings":              {tierOfA, tierOfB, false},
		"a node and its parent": {dropA, tierOfA, true},
		"names that begin alike": {
			`{"root":{"classes":{"ab":{"values":{"tier":1}}}}}`, tierOfA, false,
		},
		"a slash in a name": {`{"x":{"a/b":1}}`, `{"x":{"a":{"b":1}}}`, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a, err := change.TouchedPaths([]byte(test.a))
			c.Assert(err, qt.IsNil)
			b, err := change.TouchedPaths([]byte(test.b))
			c.Assert(err, qt.IsNil)
			c.Assert(len(change.OverlappingPaths(a, b)) > 0, qt.Equals, test.want)
			c.Assert(len(change.OverlappingPaths(b, a)) > 0, qt.Equals, test.want)
		})
	}
}

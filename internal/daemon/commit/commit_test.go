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

func TestCommitOutcomes(t *testing.T) {
	type step struct {
		change   settings.Change
		faults   standin.PlatformFaults
		revision uint64
		// The expected kinds of failure.
		conflict, invalid, unavailable, badPatch bool
	}
	tests := map[string][]step{
		"one":                          {{change: patch("1", 1, tierOfA), revision: 2}},
		"the same ID twice":            {{change: patch("1", 1, tierOfA), revision: 2}, {change: patch("1", 1, tierOfA), revision: 2}},
		"another part, same base":      {{change: patch("1", 1, tierOfA), revision: 2}, {change: patch("2", 1, tierOfB), revision: 3}},
		"the same value, same base":    {{change: patch("1", 1, tierOfA), revision: 2}, {change: patch("2", 1, zeroOfA), conflict: true}},
		"a node that has been removed": {{change: patch("1", 1, dropA), revision: 2}, {change: patch("2", 1, zeroOfA), conflict: true}},
		"the same value, new base":     {{change: patch("1", 1, tierOfA), revision: 2}, {change: patch("2", 2, zeroOfA), revision: 3}},
		"invalid tree":                 {{change: patch("1", 1, badTier), invalid: true}, {change: patch("1", 1, tierOfA), revision: 2}},
		"patch is not an object":       {{change: patch("1", 1, `7`), badPatch: true}},
		"the platform is down":         {{change: patch("1", 1, tierOfA), faults: standin.PlatformFaults{Down: true}, unavailable: true}, {change: patch("1", 1, tierOfA), revision: 2}},
		"the response is lost":         {{change: patch("1", 1, tierOfA), faults: standin.PlatformFaults{LoseAnswers: true}, revision: 2}, {change: patch("1", 1, tierOfA), revision: 2}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p, _, committer := start(c)
			for i, s := range steps {
				p.SetFaults(s.faults)
				revision, err := committer.Commit(context.Background(), s.change)
				var conflict *commit.Conflict
				var faults *strictjson.Error
				note := qt.Commentf("step %d: %v", i, err)
				c.Assert(revision, qt.Equals, s.revision, note)
				c.Assert(errors.As(err, &conflict), qt.Equals, s.conflict, note)
				c.Assert(errors.As(err, &faults), qt.Equals, s.invalid, note)
				c.Assert(errors.Is(err, commit.ErrUnavailable), qt.Equals, s.unavailable, note)
				c.Assert(errors.Is(err, change.ErrBadPatch), qt.Equals, s.badPatch, note)
			}
		})
	}
}

// noPeers is a poller.FetchFromPeers that gets no answer.
func noPeers(context.Context, uint64) (change.Document, bool) { return change.Document{}, false }

// TestConcurrentChangesAreAcceptedOnce lets several operators change different classes at different hosts
// concurrently. Every change must be accepted exactly once. A follower that polls throughout and one that
// starts at the end must hold the same bytes, and the revision in force must never decrease.
func TestConcurrentChangesAreAcceptedOnce(t *testing.T) {
	c := qt.New(t)
	p, client, _ := start(c)
	log := logrus.New()
	log.SetOutput(io.Discard)
	newFollower := func() (*poller.Follower, *settings.Holder) {
		holder := settings.NewHolder()
		return poller.New(poller.Parts{
			Client: client, Holder: holder, Counters: counters.New(), Log: logrus.NewEntry(log), Interval: time.Second,
			Random: func() float64 { return 0 }, FetchFromPeers: noPeers, Clock: time.Now,
		}), holder
	}
	follower, holder := newFollower()
	ctx := context.Background()
	follower.Poll(ctx)
	var group sync.WaitGroup
	var mu sync.Mutex
	revisions := make(map[uint64]string)
	const operators, each = 4, 12
	for host := range operators {
		committer := commit.New(tableclient.New(p.Address(), time.Minute, nil), time.Now)
		group.Go(func() {
			for i := range each {
				id := fmt.Sprintf("op%d-%d", host, i)
				text := fmt.Sprintf(`{"root":{"classes":{"c%s":{"values":{"tier":%d}}}}}`, id, i%4)
				var revision uint64
				for revision == 0 {
					// A change that loses too many transactions is not accepted. Operators send it again with the
					// same ID.
					var err error
					revision, err = committer.Commit(ctx, patch(id, 1, text))
					if err != nil && !errors.Is(err, commit.ErrUnavailable) {
						c.Errorf("%s: %v", id, err)
						return
					}
				}
				mu.Lock()
				revisions[revision] = id
				mu.Unlock()
				before := holder.Current().Number
				follower.Poll(ctx)
				c.Check(holder.Current().Number >= max(before, revision), qt.IsTrue)
			}
		})
	}
	group.Wait()
	c.Assert(revisions, qt.HasLen, operators*each)
	lateFollower, _ := newFollower()
	lateFollower.Poll(ctx)
	c.Assert(lateFollower.Document().Revision, qt.Equals, uint64(1+operators*each))
	c.Assert(string(lateFollower.Document().Data), qt.Equals, string(follower.Document().Data))
	_, head, err := poller.ReadHead(ctx, client)
	c.Assert(err, qt.IsNil)
	c.Assert(head.Snapshot > 1, qt.IsTrue)
}

func TestOverlappingPathsOfChanges(t *testing.T) {
	tests := map[string]struct {
		a, b string
		want bool
	}{
		"the same value":        {tierOfA, zeroOfA, true},
		"siblings":              {tierOfA, tierOfB, false},
		"a node and its parent": {dropA, tierOfA, true},
		"names with a common prefix": {
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

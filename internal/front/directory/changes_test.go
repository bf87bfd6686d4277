package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

// TestPeersFollowByChanges applies random changes to a directory. Peers that are behind by any number of changes
// follow it by the log, or by a snapshot if the log no longer reaches back far enough, and end with the same
// entries.
func TestPeersFollowByChanges(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	first := New()
	peers := []*Directory{New(), New(), New()}
	bySnapshot, byChanges := 0, 0
	for revision := range uint64(2000) {
		if random.IntN(400) == 0 {
			first.Replace(Snapshot{Revision: revision + 1, Entries: first.Snapshot().Entries})
		}
		first.Apply(revision+1, randomChanges(random))
		peer := peers[random.IntN(len(peers))]
		updates, to, ok := first.Since(peer.Revision())
		if ok && peer.Revision() > 0 && peer.Update(to, updates) {
			byChanges++
		} else if peer.Replace(first.Snapshot()) {
			bySnapshot++
		}
		c.Assert(peer.Revision(), qt.Equals, first.Revision())
	}
	c.Check(byChanges > 10*bySnapshot, qt.IsTrue, qt.Commentf("%d by changes, %d by snapshot", byChanges, bySnapshot))
	for _, peer := range peers {
		updates, to, ok := first.Since(peer.Revision())
		c.Assert(ok, qt.IsTrue)
		if to > peer.Revision() {
			c.Assert(peer.Update(to, updates), qt.IsTrue)
		}
		c.Check(peer.Snapshot().Entries, qt.DeepEquals, first.Snapshot().Entries)
	}
}

// randomChanges returns changes of a few of 100 endpoints. Each endpoint has its own service, so that none lapses.
func randomChanges(random *rand.Rand) []Change {
	var changes []Change
	for range 1 + random.IntN(5) {
		n := random.IntN(100)
		state := settings.StateIn
		if random.IntN(2) == 0 {
			state = settings.StateOut
		}
		changes = append(changes, Change{Gone: random.IntN(5) == 0, Entry: Entry{ID: fmt.Sprint("e", n), Endpoint: settings.Endpoint{
			Service: fmt.Sprint("s", n), Address: fmt.Sprint("10.0.0.1:", random.IntN(2)), State: state,
		}}})
	}
	return changes
}

// TestOnlyStateMarksStateChanges checks that an update is marked OnlyState exactly if the peer already has the rest
// of the entry.
func TestOnlyStateMarksStateChanges(t *testing.T) {
	c := qt.New(t)
	d := New()
	put := func(revision uint64, version string, state settings.EndpointState) {
		d.Apply(revision, []Change{{Entry: Entry{ID: "e", Endpoint: settings.Endpoint{Service: "s", Version: version, State: state}}}})
	}
	put(1, "v1", settings.StateIn)
	put(2, "v1", settings.StateOut)
	put(3, "v2", settings.StateOut)
	put(4, "v2", settings.StateIn)
	for revision, want := range map[uint64]bool{0: false, 1: false, 2: false, 3: true} {
		updates, to, ok := d.Since(revision)
		c.Assert(ok, qt.IsTrue)
		c.Check(to, qt.Equals, uint64(4))
		c.Assert(updates, qt.HasLen, 1)
		c.Check(updates[0].OnlyState, qt.Equals, want, qt.Commentf("since %d", revision))
	}
	c.Check(New().Update(4, []Update{{Change: Change{Entry: Entry{ID: "e"}}, OnlyState: true}}), qt.IsFalse)
}

// TestChangeLogIsBounded checks that the log keeps the newest changes, and that Since returns false to a peer that
// lacks more.
func TestChangeLogIsBounded(t *testing.T) {
	c := qt.New(t)
	d := New()
	for revision := range uint64(maxLoggedChanges + 10) {
		d.Apply(revision+1, []Change{{Entry: Entry{ID: fmt.Sprint("e", revision), Endpoint: settings.Endpoint{Service: fmt.Sprint("s", revision)}}}})
	}
	c.Check(len(d.log.changes) <= maxLoggedChanges, qt.IsTrue)
	_, _, ok := d.Since(5)
	c.Check(ok, qt.IsFalse)
	updates, _, ok := d.Since(10)
	c.Check(ok, qt.IsTrue)
	c.Check(updates, qt.HasLen, maxLoggedChanges)
}

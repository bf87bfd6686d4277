package directory

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// inEra returns the revision of a number in an era.
func inEra(storeEra, number uint64) uint64 {
	revision, err := era.Revision(storeEra, number)
	if err != nil {
		panic(err) // The tests' numbers are small.
	}
	return revision
}

// TestOlderCopyDoesNotRevertLeaving guards against new work for a leaving endpoint that is ready in a backup of the
// store.
func TestOlderCopyDoesNotRevertLeaving(t *testing.T) {
	in := entry("a", "s", settings.StateIn)
	other := entry("b", "s", settings.StateIn)
	restarted := in
	restarted.Endpoint.Version = "v1 of 2"
	tests := map[string]struct {
		entries []Entry
		after   []Change
		want    []string
	}{
		"the backup has it ready":                   {[]Entry{in, other}, nil, []string{"b"}},
		"its entry is ready later, too":             {[]Entry{in, other}, []Change{{Entry: in}}, []string{"b"}},
		"it has restarted":                          {[]Entry{restarted, other}, nil, []string{"a", "b"}},
		"it restarts later":                         {[]Entry{in, other}, []Change{{Entry: restarted}}, []string{"a", "b"}},
		"the backup lacks another endpoint":         {[]Entry{in}, nil, []string{"b"}},
		"the other endpoint is written again":       {[]Entry{in}, []Change{{Entry: other}}, []string{"b"}},
		"the backup lacks both, and one is removed": {nil, []Change{{Entry: Entry{ID: "b"}, Gone: true}}, []string{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for which, follow := range map[string]func(from, to *Directory){
				"reads the table": func(_, to *Directory) {
					to.Replace(Snapshot{Revision: inEra(1, 4), Changed: inEra(1, 2), Entries: test.entries})
				},
				"follows a peer": func(from, to *Directory) {
					known := to.Revision()
					from.Replace(Snapshot{Revision: inEra(1, 4), Changed: inEra(1, 2), Entries: test.entries})
					updates, revision, ok := from.Since(known)
					qt.Check(t, ok, qt.IsTrue)
					qt.Check(t, to.Update(revision, updates), qt.IsTrue)
				},
			} {
				c := qt.New(t)
				from, to := New(), New()
				for _, d := range []*Directory{from, to} {
					d.Apply(8, []Change{{Entry: in}, {Entry: other}})
					d.Apply(9, []Change{{Entry: entry("a", "s", settings.StateOut)}})
				}
				follow(from, to)
				to.Apply(inEra(1, 5), test.after)
				c.Check(ids(to.Serving("s")), qt.DeepEquals, test.want, qt.Commentf(which))
			}
		})
	}
}

// TestOlderCopyDoesNotReviveRemovedEndpoint guards against new work for an endpoint that was removed and whose entry
// is in a backup of the store.
func TestOlderCopyDoesNotReviveRemovedEndpoint(t *testing.T) {
	in, other := entry("a", "s", settings.StateIn), entry("b", "s", settings.StateIn)
	restarted := in
	restarted.Endpoint.Version = "v1 of 2"
	remove := []Change{{Entry: Entry{ID: "a"}, Gone: true}}
	tests := map[string]struct {
		after []Change
		// now are the endpoints that serve after the change, later those after AcceptReturned.
		now, later []string
	}{
		"the entry remains":           {nil, []string{"b"}, []string{"a", "b"}},
		"it is removed":               {remove, []string{"b"}, []string{"b"}},
		"it is written again":         {[]Change{{Entry: in}}, []string{"a", "b"}, []string{"a", "b"}},
		"it has another version":      {[]Change{{Entry: restarted}}, []string{"a", "b"}, []string{"a", "b"}},
		"it is removed and set again": {append(remove, Change{Entry: in}), []string{"a", "b"}, []string{"a", "b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := New()
			d.Apply(8, []Change{{Entry: in}, {Entry: other}, {Entry: entry("c", "s", settings.StateIn)}})
			d.Apply(9, remove)
			d.Replace(Snapshot{Revision: inEra(1, 4), Entries: []Entry{in, other}})
			d.DropLapsed(inEra(1, 4))
			c.Check(ids(d.Serving("s")), qt.DeepEquals, []string{"b"})
			c.Check(d.CountReturned(inEra(1, 4)), qt.Equals, 1)
			d.Apply(inEra(1, 5), test.after)
			c.Check(ids(d.Serving("s")), qt.DeepEquals, test.now)
			d.AcceptReturned(inEra(1, 4))
			c.Check(ids(d.Serving("s")), qt.DeepEquals, test.later)
		})
	}
}

// TestOlderCopyDoesNotReviveLapsedEndpoints guards against new work for endpoints that lapsed with most of their
// service, were not written again in time, and are in a backup of the store.
func TestOlderCopyDoesNotReviveLapsedEndpoints(t *testing.T) {
	c := qt.New(t)
	d := New()
	all := []Entry{entry("a", "s", settings.StateIn), entry("b", "s", settings.StateIn), entry("c", "s", settings.StateIn)}
	d.Replace(Snapshot{Revision: 8, Entries: all})
	d.Apply(9, []Change{{Entry: Entry{ID: "a"}, Gone: true}, {Entry: Entry{ID: "b"}, Gone: true}})
	c.Check(d.DropLapsed(9), qt.DeepEquals, []string{"a", "b"})
	d.Replace(Snapshot{Revision: inEra(1, 4), Entries: all})
	c.Check(ids(d.Serving("s")), qt.DeepEquals, []string{"c"})
	d.AcceptReturned(inEra(1, 4))
	c.Check(ids(d.Serving("s")), qt.DeepEquals, []string{"a", "b", "c"})
}

// TestPeersFollowIntoNewEra has hosts read a store that is restored repeatedly, or follow each other by changes.
func TestPeersFollowIntoNewEra(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	// writes are the writes that the store has, each numbered by its position.
	var writes []Entry
	currentEra := uint64(0)
	hosts := []*Directory{New(), New(), New(), New()}
	read := func(d *Directory) {
		revision := inEra(currentEra, uint64(len(writes)))
		if known := d.Revision(); known > 0 && era.Of(known) == currentEra {
			var changes []Change
			for _, e := range writes[era.Number(known):] {
				changes = append(changes, Change{Entry: e})
			}
			d.Apply(revision, changes)
			return
		}
		newest := make(map[string]Entry)
		for _, e := range writes {
			newest[e.ID] = e
		}
		d.Replace(Snapshot{Revision: revision, Entries: slices.Collect(maps.Values(newest))})
	}
	followed := 0
	for range 4000 {
		switch random.IntN(6) {
		case 0:
			if random.IntN(8) == 0 && len(writes) > 40 {
				writes = writes[:len(writes)-random.IntN(30)]
				currentEra++
			}
		case 1, 2:
			// Each endpoint is the only one of its service, has a unique version, and accepts new work.
			id := fmt.Sprint("e", random.IntN(30))
			writes = append(writes, Entry{ID: id, Endpoint: settings.Endpoint{Service: id, Version: fmt.Sprint(random.Uint32()), State: settings.StateIn}})
		case 3:
			if len(writes) > 0 {
				read(hosts[random.IntN(len(hosts))])
			}
		default:
			from, to := hosts[random.IntN(len(hosts))], hosts[random.IntN(len(hosts))]
			if updates, revision, ok := from.Since(to.Revision()); ok && to.Revision() > 0 && revision > to.Revision() {
				c.Assert(to.Update(revision, updates), qt.IsTrue)
				c.Assert(to.Snapshot().Entries, qt.DeepEquals, from.Snapshot().Entries)
				followed++
			}
		}
	}
	c.Check(followed > 100, qt.IsTrue, qt.Commentf("%d", followed))
	fresh := New()
	read(fresh)
	for _, d := range hosts {
		read(d)
		c.Check(d.Snapshot().Entries, qt.DeepEquals, fresh.Snapshot().Entries)
	}
}

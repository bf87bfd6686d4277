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

// inEra returns a revision of an era.
func inEra(number, ver uint64) uint64 {
	revision, err := era.Revision(number, ver)
	if err != nil {
		panic(err) // The tests' numbers are small.
	}
	return revision
}

// TestAnOlderCopyTakesNoLeavingBack guards against new work for an endpoint that leaves and is ready in an older copy.
func TestAnOlderCopyTakesNoLeavingBack(t *testing.T) {
	in := entry("a", "s", settings.StateIn)
	other := entry("b", "s", settings.StateIn)
	again := in
	again.Endpoint.Version = "v1 of 2"
	tests := map[string]struct {
		entries []Entry
		after   []Change
		want    []string
	}{
		"the copy says that it is ready":         {[]Entry{in, other}, nil, []string{"b"}},
		"and so does its entry later":            {[]Entry{in, other}, []Change{{Entry: in}}, []string{"b"}},
		"it has started again":                   {[]Entry{again, other}, nil, []string{"a", "b"}},
		"it starts again later":                  {[]Entry{in, other}, []Change{{Entry: again}}, []string{"a", "b"}},
		"the copy does not have another":         {[]Entry{in}, nil, []string{"b"}},
		"which is written again":                 {[]Entry{in}, []Change{{Entry: other}}, []string{"b"}},
		"the copy has neither, and both go late": {nil, []Change{{Entry: Entry{ID: "b"}, Gone: true}}, []string{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for which, follow := range map[string]func(from, to *Directory){
				"the table is read": func(_, to *Directory) {
					to.Replace(Snapshot{Revision: inEra(1, 4), Changed: inEra(1, 2), Entries: test.entries})
				},
				"a peer has read it": func(from, to *Directory) {
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

// TestAnOlderCopyBringsAnEndpointBack guards against new work for an endpoint whose entry had gone and is in an older copy.
func TestAnOlderCopyBringsAnEndpointBack(t *testing.T) {
	in, other := entry("a", "s", settings.StateIn), entry("b", "s", settings.StateIn)
	again := in
	again.Endpoint.Version = "v1 of 2"
	gone := []Change{{Entry: Entry{ID: "a"}, Gone: true}}
	tests := map[string]struct {
		after []Change
		// now and later are what serves then and once the entries that have lasted are trusted.
		now, later []string
	}{
		"the entry lasts":            {nil, []string{"b"}, []string{"a", "b"}},
		"it goes":                    {gone, []string{"b"}, []string{"b"}},
		"it is written again":        {[]Change{{Entry: in}}, []string{"a", "b"}, []string{"a", "b"}},
		"it is of another start":     {[]Change{{Entry: again}}, []string{"a", "b"}, []string{"a", "b"}},
		"it goes, and is back again": {append(gone, Change{Entry: in}), []string{"a", "b"}, []string{"a", "b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := New()
			d.Apply(8, []Change{{Entry: in}, {Entry: other}, {Entry: entry("c", "s", settings.StateIn)}})
			d.Apply(9, gone)
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

// TestAnOlderCopyBringsLapsedEndpointsBack guards against new work for endpoints that went with most of their service, did not
// come back in time, and are in an older copy.
func TestAnOlderCopyBringsLapsedEndpointsBack(t *testing.T) {
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

// TestPeersFollowIntoAnEra has hosts read a store that is restored again and again, or follow each other by changes.
func TestPeersFollowIntoAnEra(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	// writes are those that the store has, each at the number of its place.
	var writes []Entry
	ofEra := uint64(0)
	hosts := []*Directory{New(), New(), New(), New()}
	read := func(d *Directory) {
		revision := inEra(ofEra, uint64(len(writes)))
		if known := d.Revision(); known > 0 && era.Of(known) == ofEra {
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
				ofEra++
			}
		case 1, 2:
			// Each endpoint is alone in its service, and of a version of its own that takes work.
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

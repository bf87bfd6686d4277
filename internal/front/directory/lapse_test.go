package directory

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

// TestEntriesRemovedTogetherAreKept guards against refusals after the store was unavailable for longer than entries
// last: on its return it removes all entries together, and for a second there are no endpoints.
func TestEntriesRemovedTogetherAreKept(t *testing.T) {
	remove := func(names ...string) []Change {
		var changes []Change
		for _, id := range names {
			changes = append(changes, Change{Entry: Entry{ID: id}, Gone: true})
		}
		return changes
	}
	tests := map[string]struct {
		changes []Change
		// now are the endpoints that serve right after the change, later those after lapsed entries are dropped.
		now, later []string
	}{
		"all together":                   {remove("a", "b", "c", "d"), []string{"a", "b", "c", "d"}, []string{}},
		"half of them":                   {remove("a", "b"), []string{"a", "b", "c", "d"}, []string{"c", "d"}},
		"fewer":                          {remove("a"), []string{"b", "c", "d"}, []string{"b", "c", "d"}},
		"one of two was leaving":         {remove("a", "out"), []string{"b", "c", "d"}, []string{"b", "c", "d"}},
		"set again in the same change":   {append(remove("a", "b", "c"), Change{Entry: entry("a", "s", settings.StateIn)}), []string{"a", "b", "c", "d"}, []string{"a", "d"}},
		"the only endpoint of a service": {remove("only"), []string{"a", "b", "c", "d"}, []string{"a", "b", "c", "d"}},
		"unknown endpoints":              {remove("x", "y"), []string{"a", "b", "c", "d"}, []string{"a", "b", "c", "d"}},
	}
	fill := func() *Directory {
		d := New()
		changes := []Change{{Entry: entry("out", "s", settings.StateOut)}, {Entry: entry("only", "other", settings.StateIn)}}
		for _, id := range []string{"a", "b", "c", "d"} {
			changes = append(changes, Change{Entry: entry(id, "s", settings.StateIn)})
		}
		d.Apply(3, changes)
		return d
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := fill()
			c.Assert(d.Apply(7, test.changes), qt.IsTrue)
			c.Check(ids(d.Serving("s")), qt.DeepEquals, test.now)
			c.Check(d.CountLapsed(7), qt.Equals, len(test.now)-len(test.later))
			// Lapsed entries are not sent to peers. A host that replaces its directory keeps the same ones.
			replaced := fill()
			replaced.Replace(d.Snapshot())
			c.Check(ids(replaced.Serving("s")), qt.DeepEquals, test.now)
			for _, each := range []*Directory{d, replaced} {
				c.Check(each.DropLapsed(6), qt.HasLen, 0, qt.Commentf("before the lapse"))
				each.DropLapsed(7)
				c.Check(ids(each.Serving("s")), qt.DeepEquals, test.later)
				c.Check(each.CountLapsed(7), qt.Equals, 0)
			}
		})
	}
}

func TestLapsedEntryReturns(t *testing.T) {
	c := qt.New(t)
	d := New()
	d.Apply(3, []Change{{Entry: entry("a", "s", settings.StateIn)}, {Entry: entry("b", "s", settings.StateIn)}})
	d.Apply(7, []Change{{Entry: Entry{ID: "a"}, Gone: true}, {Entry: Entry{ID: "b"}, Gone: true}})
	d.Apply(8, []Change{{Entry: entry("a", "s", settings.StateIn)}})
	c.Check(d.DropLapsed(7), qt.DeepEquals, []string{"b"})
	c.Check(ids(d.Serving("s")), qt.DeepEquals, []string{"a"})
	// A lapsed entry that was written again and leaves is not kept.
	d.Apply(9, []Change{{Entry: entry("a", "s", settings.StateOut)}})
	c.Check(d.Serving("s"), qt.HasLen, 0)
}

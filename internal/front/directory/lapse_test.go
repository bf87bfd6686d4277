package directory

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

// TestLapse is a store that was away for longer than entries last: on its return all of
// them were gone at once, and requests were refused for a second for want of endpoints.
func TestLapse(t *testing.T) {
	gone := func(names ...string) []Change {
		var changes []Change
		for _, id := range names {
			changes = append(changes, Change{Entry: Entry{ID: id}, Gone: true})
		}
		return changes
	}
	tests := map[string]struct {
		changes []Change
		// now are those that serve right after, later when the lapsed are dropped.
		now, later []string
	}{
		"all at once":               {gone("a", "b", "c", "d"), []string{"a", "b", "c", "d"}, []string{}},
		"half of them":              {gone("a", "b"), []string{"a", "b", "c", "d"}, []string{"c", "d"}},
		"fewer":                     {gone("a"), []string{"b", "c", "d"}, []string{"b", "c", "d"}},
		"one that was leaving":      {gone("a", "out"), []string{"b", "c", "d"}, []string{"b", "c", "d"}},
		"back in the same change":   {append(gone("a", "b", "c"), Change{Entry: entry("a", "s", settings.StateIn)}), []string{"a", "b", "c", "d"}, []string{"a", "d"}},
		"of a service of one":       {gone("only"), []string{"a", "b", "c", "d"}, []string{"a", "b", "c", "d"}},
		"an endpoint that none has": {gone("x", "y"), []string{"a", "b", "c", "d"}, []string{"a", "b", "c", "d"}},
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
			// What has lapsed is not handed on, and a host that reads all comes to the same.
			whole := fill()
			whole.Replace(d.Snapshot())
			c.Check(ids(whole.Serving("s")), qt.DeepEquals, test.now)
			for _, each := range []*Directory{d, whole} {
				c.Check(each.DropLapsed(6), qt.HasLen, 0, qt.Commentf("an older lapse"))
				each.DropLapsed(7)
				c.Check(ids(each.Serving("s")), qt.DeepEquals, test.later)
				c.Check(each.CountLapsed(7), qt.Equals, 0)
			}
		})
	}
}

func TestALapsedEntryComesBack(t *testing.T) {
	c := qt.New(t)
	d := New()
	d.Apply(3, []Change{{Entry: entry("a", "s", settings.StateIn)}, {Entry: entry("b", "s", settings.StateIn)}})
	d.Apply(7, []Change{{Entry: Entry{ID: "a"}, Gone: true}, {Entry: Entry{ID: "b"}, Gone: true}})
	d.Apply(8, []Change{{Entry: entry("a", "s", settings.StateIn)}})
	c.Check(d.DropLapsed(7), qt.DeepEquals, []string{"b"})
	c.Check(ids(d.Serving("s")), qt.DeepEquals, []string{"a"})
	// A lapse is no reason to keep an entry that says it leaves.
	d.Apply(9, []Change{{Entry: entry("a", "s", settings.StateOut)}})
	c.Check(d.Serving("s"), qt.HasLen, 0)
}

package directory

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

func entry(id, service string, state settings.EndpointState) Entry {
	return Entry{ID: id, Endpoint: settings.Endpoint{Service: service, State: state}}
}

func ids(entries []*Entry) []string {
	list := []string{}
	for _, e := range entries {
		list = append(list, e.ID)
	}
	return list
}

func TestApply(t *testing.T) {
	c := qt.New(t)
	d := New()
	c.Assert(d.Apply(5, []Change{{Entry: entry("b", "s", settings.StateIn)}, {Entry: entry("a", "s", settings.StateIn)}}), qt.IsTrue)
	c.Check(ids(d.Serving("s")), qt.DeepEquals, []string{"a", "b"})
	c.Check(d.Apply(5, []Change{{Entry: entry("a", "s", settings.StateIn), Gone: true}}), qt.IsFalse, qt.Commentf("not newer"))
	c.Check(d.Apply(6, []Change{{Entry: entry("a", "s", settings.StateOut)}}), qt.IsTrue)
	c.Check(ids(d.Serving("s")), qt.DeepEquals, []string{"b"})
	c.Check(ids(d.Leaving("s")), qt.DeepEquals, []string{"a"})
	_, in := d.Endpoint("a")
	c.Check(in, qt.IsFalse)
	_, known := d.Lookup("a")
	c.Check(known, qt.IsTrue)
	c.Check(d.Apply(7, nil), qt.IsTrue)
	c.Check([]uint64{d.Revision(), d.Changed()}, qt.DeepEquals, []uint64{7, 6})
	c.Check(d.Apply(8, []Change{{Entry: entry("b", "s", ""), Gone: true}}), qt.IsTrue)
	c.Check(d.Serving("s"), qt.HasLen, 0)
}

func TestReplaceNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	newer, older := New(), New()
	newer.Apply(9, []Change{{Entry: entry("x", "s", settings.StateIn)}})
	older.Apply(4, []Change{{Entry: entry("y", "s", settings.StateIn)}})
	c.Check(newer.Replace(older.Snapshot()), qt.IsFalse)
	c.Check(older.Replace(newer.Snapshot()), qt.IsTrue)
	c.Check(older.Snapshot(), qt.DeepEquals, newer.Snapshot())
	c.Check(ids(older.Serving("s")), qt.DeepEquals, []string{"x"})
}

// TestRemovalInSnapshotIsAChange covers a reader whose feed lost its history while an endpoint left: it reads the
// whole table, and the hosts that rely on it must learn of the removal.
func TestRemovalInSnapshotIsAChange(t *testing.T) {
	tests := map[string]struct {
		entries []Entry
		changed uint64
	}{
		"no change":              {[]Entry{entry("a", "s", settings.StateIn), entry("b", "s", settings.StateIn)}, 4},
		"one removed":            {[]Entry{entry("a", "s", settings.StateIn)}, 9},
		"one removed, one added": {[]Entry{entry("a", "s", settings.StateIn), entry("c", "s", settings.StateIn)}, 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := New()
			d.Apply(4, []Change{{Entry: entry("a", "s", settings.StateIn)}, {Entry: entry("b", "s", settings.StateIn)}})
			qt.Assert(t, d.Replace(Snapshot{Revision: 9, Changed: 4, Entries: test.entries}), qt.IsTrue)
			qt.Check(t, d.Changed(), qt.Equals, test.changed)
		})
	}
}

// TestLastChangeInBatchApplies guards against an endpoint that stays in the directory forever because it left and
// stopped between two reads of the feed.
func TestLastChangeInBatchApplies(t *testing.T) {
	set := func(state settings.EndpointState) Change { return Change{Entry: entry("a", "s", state)} }
	remove := Change{Entry: Entry{ID: "a"}, Gone: true}
	tests := map[string]struct {
		changes []Change
		known   bool
		serving int
	}{
		"leaves, is removed":         {[]Change{set(settings.StateOut), remove}, false, 0},
		"is set, is removed":         {[]Change{set(settings.StateIn), remove}, false, 0},
		"is removed, is set":         {[]Change{remove, set(settings.StateIn)}, true, 1},
		"is removed, is set, leaves": {[]Change{remove, set(settings.StateIn), set(settings.StateOut)}, true, 0},
		"is set, is removed, is set": {[]Change{set(settings.StateIn), remove, set(settings.StateIn)}, true, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := New()
			d.Apply(3, []Change{set(settings.StateIn), {Entry: entry("b", "other", settings.StateIn)}})
			d.Apply(4, test.changes)
			_, known := d.Lookup("a")
			c.Check(known, qt.Equals, test.known)
			c.Check(d.Serving("s"), qt.HasLen, test.serving)
		})
	}
}

// TestRestartedEndpointIsReported checks that OnRestart's function is called, without the lock, for an endpoint that
// restarts under the same ID.
func TestRestartedEndpointIsReported(t *testing.T) {
	c := qt.New(t)
	d := New()
	var restarted []string
	d.OnRestart(func(id string) {
		_, known := d.Lookup(id)
		c.Check(known, qt.IsTrue)
		restarted = append(restarted, id)
	})
	entry := func(id, version string) Entry {
		return Entry{ID: id, Endpoint: settings.Endpoint{Service: "llm", Version: version, State: settings.StateIn}}
	}
	d.Apply(1, []Change{{Entry: entry("a", "v1 of 1")}, {Entry: entry("b", "v1 of 1")}})
	d.Apply(2, []Change{{Entry: entry("a", "v1 of 1")}})
	c.Check(restarted, qt.HasLen, 0)
	d.Apply(3, []Change{{Entry: entry("a", "v1 of 2")}})
	d.Replace(Snapshot{Revision: 4, Entries: []Entry{entry("a", "v1 of 2"), entry("b", "v1 of 3")}})
	c.Check(restarted, qt.DeepEquals, []string{"a", "b"})
}

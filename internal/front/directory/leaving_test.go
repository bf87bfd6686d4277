package directory

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

// TestEndpointReportsLeaving has an endpoint report that it leaves, followed by changes of its entry from the store.
func TestEndpointReportsLeaving(t *testing.T) {
	at := func(version string, state settings.EndpointState) Change {
		return Change{Entry: Entry{ID: "a", Endpoint: settings.Endpoint{Service: "llm", Version: version, State: state}}}
	}
	ready := at("v1", settings.StateIn)
	remove := Change{Entry: Entry{ID: "a"}, Gone: true}
	tests := map[string]struct {
		after []Change
		// takes is whether it accepts new work, isKnown whether it is in the directory.
		takes, isKnown bool
	}{
		"no change":                           {nil, false, true},
		"entry is read again":                 {[]Change{ready}, false, true},
		"entry is leaving, too":               {[]Change{at("v1", settings.StateOut)}, false, true},
		"entry is removed":                    {[]Change{remove}, false, false},
		"entry is removed and set again":      {[]Change{remove, ready}, false, true},
		"restarts under the same ID":          {[]Change{at("v1 of 2", settings.StateIn)}, true, true},
		"restarts, then the old entry is set": {[]Change{at("v1 of 2", settings.StateIn), ready}, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := New()
			c.Assert(d.Apply(1, []Change{ready}), qt.IsTrue)
			c.Check(d.SetLeaving("a", "v1"), qt.IsTrue)
			c.Check(d.SetLeaving("a", "v1"), qt.IsFalse)
			for i, change := range test.after {
				c.Assert(d.Apply(uint64(2+i), []Change{change}), qt.IsTrue)
			}
			_, takes := d.Endpoint("a")
			c.Check(takes, qt.Equals, test.takes)
			c.Check(d.CountServing() == 1, qt.Equals, test.takes)
			_, known := d.Lookup("a")
			c.Check(known, qt.Equals, test.isKnown)
			c.Check(len(d.Leaving("llm")) == 1, qt.Equals, test.isKnown && !test.takes)
		})
	}
}

// TestLeavingReportedBeforeEntryArrives has a peer report a leaving endpoint whose entry this host does not have
// yet.
func TestLeavingReportedBeforeEntryArrives(t *testing.T) {
	c := qt.New(t)
	d := New()
	c.Check(d.SetLeaving("a", "v1"), qt.IsTrue)
	c.Assert(d.Replace(Snapshot{Revision: 1, Entries: []Entry{{ID: "a", Endpoint: settings.Endpoint{Service: "llm", Version: "v1", State: settings.StateIn}}}}), qt.IsTrue)
	c.Check(d.CountServing(), qt.Equals, 0)
	// Snapshots for peers carry the state from the store.
	c.Check(d.Snapshot().Entries[0].Endpoint.State, qt.Equals, settings.StateIn)
}

func TestVersionSetIsBounded(t *testing.T) {
	c := qt.New(t)
	var a versionSet
	for n := range 2 * maxVersions {
		a.add(strconv.Itoa(n), "v1")
		a.add(strconv.Itoa(n), "v2")
	}
	c.Check(a.versions, qt.HasLen, maxVersions)
	c.Check(a.order, qt.HasLen, maxVersions)
	c.Check(a.has(strconv.Itoa(2*maxVersions-1), "v2"), qt.IsTrue)
	c.Check(a.has("0", "v2"), qt.IsFalse)
}

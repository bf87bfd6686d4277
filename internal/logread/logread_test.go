package logread

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const logs = `starting up
 10.1 host-1 {"time":"2026-06-17T05:24:02Z","level":"info","msg":"endpoints: endpoint changed","endpoint":"e1","state":"in"}
 10.2 host-2 {"time":"2026-06-17T05:24:11Z","level":"warning","msg":"endpoints: endpoint paused","endpoint":"e1","error":"call broken: EOF"}
 10.3 host-1 {"time":"2026-06-17T05:24:11Z","level":"warning","msg":"endpoints: endpoint paused","endpoint":"e7","error":"call broken"}
 10.4 host-1 {"time":"2026-06-17T05:24:12Z","level":"warning","msg":"settings: store lost, the last state stays in force","error":"refused"}
 10.5 host-1 {"time":"2026-06-17T05:24:13Z","level":"info","msg":"request: answered","id":"other","endpoint":"e1"}
 {"broken": 
 10.6 host-1 {"time":"2026-06-17T05:24:14Z","level":"warning","msg":"request: given up","id":"r1","class":"c","reason":"endpoint_failed","ran":"unknown","took_ms":2000,"tries":1,"steps":[{"at":"2026-06-17T05:24:12Z","what":"grant","endpoint":"e1","figures":{"Waited":1500}},{"at":"2026-06-17T05:24:13Z","what":"broken","endpoint":"e1","reason":"EOF"}]}
 10.7 host-2 {"time":"2026-06-17T05:24:40Z","level":"warning","msg":"endpoints: endpoint paused","endpoint":"e1"}
`

func TestFindRequest(t *testing.T) {
	c := qt.New(t)
	history, err := FindRequest(strings.NewReader(logs), "r1")
	c.Assert(err, qt.IsNil)
	c.Assert(history.Request, qt.HasLen, 1)
	r := history.Request[0]
	c.Check([]string{r.Source, r.Reason, r.Ran}, qt.DeepEquals, []string{"10.6 host-1", "endpoint_failed", "unknown"})
	c.Check(r.Steps, qt.HasLen, 2)
	var around []string
	for _, line := range history.Around {
		around = append(around, line.Source+" "+line.Endpoint)
	}
	c.Check(around, qt.DeepEquals, []string{"10.1 host-1 e1", "10.2 host-2 e1", "10.4 host-1 "})
}

func TestFindUnknownRequest(t *testing.T) {
	_, err := FindRequest(strings.NewReader(logs), "nobody")
	qt.Check(t, errors.Is(err, ErrNotFound), qt.IsTrue)
}

// TestFindRequestShowsWorkspacesOverTheirShare checks that the lines on shares of the request's service are shown, also
// from some time before.
func TestFindRequestShowsWorkspacesOverTheirShare(t *testing.T) {
	c := qt.New(t)
	const lines = `
 a {"time":"2026-06-17T05:23:30Z","msg":"shares: workspace is over its share of a service that is short of capacity; ...","service":"llm","workspace":"big"}
 a {"time":"2026-06-17T05:23:31Z","msg":"shares: workspace is over its share of a service that is short of capacity; ...","service":"other","workspace":"small"}
 a {"time":"2026-06-17T05:24:14Z","msg":"request: given up","id":"r1","service":"llm","reason":"no_room","took_ms":20}
`
	history, err := FindRequest(strings.NewReader(lines), "r1")
	c.Assert(err, qt.IsNil)
	c.Assert(history.Around, qt.HasLen, 1)
	c.Check(history.Around[0].Workspace, qt.Equals, "big")
}

package hostconfig

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

func TestDecode(t *testing.T) {
	tests := map[string]struct {
		text string
		// want is the list of the paths of the faults.
		want []string
	}{
		"least":          {`{"name": "h", "zone": "z", "callers": ":0", "operators": ":0", "platform": {"address": "p:1"}}`, nil},
		"empty":          {`{}`, []string{"/"}},
		"several faults": {`{"name": "Host A", "zone": "", "callers": "here", "operators": ":0", "platform": {"address": "p:1", "poll": "often"}}`, []string{"/callers", "/name", "/platform/poll", "/zone"}},
		"unknown field":  {`{"name": "h", "zone": "z", "callers": ":0", "operators": ":0", "platform": {"address": "p:1"}, "disk": 1}`, []string{"/"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			host, err := Decode("test", []byte(test.text))
			if test.want == nil {
				c.Assert(err, qt.IsNil)
				c.Assert(host.Platform.Poll, qt.Equals, time.Second)
				c.Assert(host.Drain.Limit, qt.Equals, defaultLimit)
				return
			}
			faults, ok := err.(*strictjson.Error)
			c.Assert(ok, qt.IsTrue, qt.Commentf("%v", err))
			var paths []string
			for _, f := range faults.Faults {
				paths = append(paths, f.Path)
			}
			c.Assert(paths, qt.DeepEquals, test.want)
		})
	}
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"host-a.json", "host-b.json"} {
		c := qt.New(t)
		_, err := Load(filepath.Join("../../examples", name))
		c.Assert(err, qt.IsNil)
	}
}

func TestDrainLimitIsInLastSixthOfGrace(t *testing.T) {
	for name, grace := range map[string]time.Duration{"short": 3 * time.Second, "usual": 8 * time.Second, "long": 30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			host := Host{Drain: Drain{Grace: grace}}.WithDefaults()
			c.Assert(host.Drain.Limit > grace*5/6, qt.IsTrue)
			c.Assert(host.Drain.Limit < grace*9/10, qt.IsTrue)
		})
	}
}

func TestBodiesMBIsChecked(t *testing.T) {
	tests := map[string]struct {
		memory, bodies int
		wantErr        string
	}{
		"within":                 {134, 33, ""},
		"all":                    {134, 134, ""},
		"without a memory limit": {0, 33, ""},
		"none":                   {134, 0, "(?s).*bodies_mb.*"},
		"more than there is":     {134, 135, ".*bodies_mb is 135, it must be from 1 to 134.*"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decode("host.json", []byte(fmt.Sprintf(`{"name": "h", "zone": "z", "callers": ":0", "operators": ":0", "platform": {"address": "p:1"}, "memory_mb": %d, "bodies_mb": %d}`, test.memory, test.bodies)))
			if test.wantErr == "" {
				qt.Check(t, err, qt.IsNil)
				return
			}
			qt.Check(t, err, qt.ErrorMatches, test.wantErr)
		})
	}
}

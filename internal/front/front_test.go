package front

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

func TestProblem(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(span time.Duration) *time.Time {
		at := now.Add(-span)
		return &at
	}
	tests := map[string]struct {
		prepare func(h *Host)
		want    string
	}{
		"no problem":                {func(*Host) {}, ""},
		"leaving":                   {func(h *Host) { h.leaving.Store(true) }, "the host is leaving"},
		"no settings":               {func(h *Host) { h.parts.Settings = settings.NewHolder() }, "no settings yet"},
		"no endpoints":              {func(h *Host) { h.parts.Directory = directory.New() }, "no endpoints yet"},
		"isolated for maxIsolation": {func(h *Host) { h.lastContact.Store(ago(maxIsolation)) }, ""},
		"isolated for longer":       {func(h *Host) { h.lastContact.Store(ago(maxIsolation + 1)) }, "cut off from the store and from all peers: the settings may be old"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &Host{parts: Parts{Settings: settings.NewHolder(), Directory: directory.New(), Clock: func() time.Time { return now }}}
			h.parts.Settings.SetIfNewer(&settings.Revision{Number: 1, Tree: &settings.Tree{}})
			h.parts.Directory.Apply(1, nil)
			h.recordContact()
			test.prepare(h)
			qt.Check(t, h.Problem(), qt.Equals, test.want)
		})
	}
}

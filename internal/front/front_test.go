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
	tests := map[string]struct {
		prepare func(r *Router)
		want    string
	}{
		"all well":           {func(*Router) {}, ""},
		"leaving":            {func(r *Router) { r.leaving.Store(true) }, "the host is leaving"},
		"no settings":        {func(r *Router) { r.settings = settings.NewHolder() }, "no settings yet"},
		"no endpoints":       {func(r *Router) { r.directory = directory.New() }, "no endpoints yet"},
		"cut off for a bit":  {func(r *Router) { r.contact.Store(now.Add(-cutOffTime).UnixNano()) }, ""},
		"cut off for longer": {func(r *Router) { r.contact.Store(now.Add(-cutOffTime - 1).UnixNano()) }, "cut off from the store and from all peers: the settings may be old"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Router{settings: settings.NewHolder(), directory: directory.New(), clock: func() time.Time { return now }}
			r.settings.Offer(&settings.Revision{Number: 1, Tree: &settings.Tree{}})
			r.directory.Apply(1, nil)
			r.contact.Store(now.UnixNano())
			test.prepare(r)
			qt.Check(t, r.Problem(), qt.Equals, test.want)
		})
	}
}

func TestRanksOf(t *testing.T) {
	one, two := 1, 2
	tests := map[string]struct {
		tree        settings.Tree
		tier, least int
	}{
		"nothing set": {settings.Tree{}, 0, 0},
		"workspaces' tiers, classes' urgencies": {settings.Tree{
			Workspaces: map[string]settings.Workspace{"a": {Values: settings.Values{Tier: &one}}, "b": {}},
			Root:       settings.Root{Classes: map[string]settings.Class{"c": {Values: settings.Values{Tier: &two, Urgency: &two}}}},
		}, 1, 2},
		"classes' tiers without workspaces": {settings.Tree{
			Root: settings.Root{Classes: map[string]settings.Class{"c": {Values: settings.Values{Tier: &two, Urgency: &one}}}},
		}, 2, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ranks := ranksOf(&test.tree)
			qt.Check(t, []int{ranks.LowestTier, ranks.LeastUrgent}, qt.DeepEquals, []int{test.tier, test.least})
		})
	}
}

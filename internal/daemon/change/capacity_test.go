package change_test

import (
	"fmt"
	"strings"
	"testing"

	"oxbowslip.dev/oxbowslip/internal/daemon/change"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// newTree returns a tree with a number of endpoints, and with workspaces, classes and models in the expected
// ratio of a large fleet.
func newTree(endpoints int) *settings.Tree {
	tree := &settings.Tree{
		Workspaces: make(map[string]settings.Workspace), Models: make(map[string]settings.Model),
		Endpoints: make(map[string]settings.Endpoint),
	}
	tree.Root.Classes = make(map[string]settings.Class)
	tier := 1
	for i := range 12 {
		tree.Root.Classes[fmt.Sprint("class-", i)] = settings.Class{Values: settings.Values{Tier: &tier}}
	}
	for i := range max(1, endpoints*320/3500) {
		name := fmt.Sprint("workspace-", i)
		tree.Workspaces[name] = settings.Workspace{Keys: []settings.Key{{Name: "k", SHA256: settings.HashKey(name)}}}
	}
	for i := range 21 {
		tree.Models[fmt.Sprint("model-", i)] = settings.Model{}
	}
	for i := range endpoints {
		tree.Endpoints[fmt.Sprint("engine-", i)] = settings.Endpoint{
			Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Zone: fmt.Sprint("zone-", i%16), Model: fmt.Sprint("model-", i%21),
			ChecksFences: true, Continues: true, CacheTokens: 120_000,
		}
	}
	return tree
}

var sizes = []int{50, 500, 3500}

// BenchmarkChange measures a change of the settings at each host: it applies the patch and decodes and
// validates the tree.
func BenchmarkChange(b *testing.B) {
	for _, n := range sizes {
		data, err := settings.Encode(newTree(n))
		if err != nil {
			b.Fatal(err)
		}
		canonical, err := change.Canonicalize(data)
		if err != nil {
			b.Fatal(err)
		}
		document := change.Document{Revision: 1, Data: canonical}
		patch := &settings.Change{Revision: 2, ID: strings.Repeat("x", 36), Patch: []byte(`{"endpoints":{"engine-7":{"state":"out"}}}`)}
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(canonical)), "tree-bytes")
			for b.Loop() {
				next, err := document.Apply(patch)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := next.Tree(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkIdentify measures the lookups for a request before it is scheduled: the workspace of its key and
// the effective values of its class.
func BenchmarkIdentify(b *testing.B) {
	for _, n := range sizes {
		tree := newTree(n)
		b.Run(fmt.Sprintf("workspaces=%d", len(tree.Workspaces)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				name, ok := tree.WorkspaceOf("workspace-0")
				if !ok {
					b.Fatal("unknown key")
				}
				if _, ok := tree.Effective(name, "class-3"); !ok {
					b.Fatal("unknown class")
				}
			}
		})
	}
}

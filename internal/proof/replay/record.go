package replay

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// FromRecordedRequests makes a trace from the requests that a host recorded and the settings in force. A request
// without an answer gets an answer of one token, the shortest that an engine generates. Keys are left out.
func FromRecordedRequests(name string, tree *settings.Tree, entries []record.Entry) *Trace {
	t := &Trace{Header: Header{Format: Format, Name: name, Seed: 1, Settings: withoutKeys(tree), Engines: DefaultEngines}}
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, func(a, b record.Entry) int { return a.Arrived.Compare(b.Arrived) })
	for _, e := range entries {
		t.Events = append(t.Events, Event{
			AtMillis: int(e.Arrived.Sub(entries[0].Arrived) / time.Millisecond),
			Class:    e.Class, Workspace: e.Workspace, Model: e.Model, Prompt: e.Prompt, Answer: max(1, e.Answer),
		})
	}
	return t
}

// withoutKeys returns a copy of a settings tree without the workspaces' keys.
func withoutKeys(tree *settings.Tree) settings.Tree {
	bare := *tree
	bare.Workspaces = make(map[string]settings.Workspace, len(tree.Workspaces))
	for name, workspace := range tree.Workspaces {
		workspace.Keys = nil
		bare.Workspaces[name] = workspace
	}
	return bare
}

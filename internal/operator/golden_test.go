package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

var goldenTime = time.Date(2026, 6, 1, 12, 0, 0, 5_000_000, time.UTC)

var goldenChange = settings.Change{Revision: 3, ID: "other", Base: 2, Patch: []byte(`{"root":{}}`), Who: "who", At: goldenTime}

// goldenStatus sets most fields, to fixed values.
var goldenStatus = Status{
	Host: "host", Zone: "zone", Version: "1.2.3", Revision: 4, Ready: true, Problem: "problem", Open: 5,
	Shards: []ShardStatus{{Name: "shard", Waiting: 6, Running: 7, Endpoints: []EndpointStatus{
		{ID: "e1", InFlight: 8, Limit: 9.5, Between: 10 * time.Millisecond, Ejected: "slow", Probing: true},
	}}},
	Schedulers: map[string]string{"shard": "host-2"}, Refusals: map[string]uint64{"no_room": 10}, Hosts: 11, Directory: 12, Endpoints: 13,
	Ejected: []string{"e2"}, Now: goldenTime, Leader: &Leader{Host: "h", Token: 14, Left: time.Second, Reported: 15, Leads: true}, Poison: []PoisonRequest{{Key: "0f", Endpoints: []string{"0e"}, Left: time.Minute}},
	Pushback: []EndpointPushback{{Endpoint: "e3", Leaving: true, Rest: time.Second, Rejects: 0.5}}, LostPaths: 16, Tunnels: 17,
}

// goldenServer returns a server that serves fixed values. The ID of a change selects the error of Accept.
func goldenServer(ready bool, holder *settings.Holder, tree SettingsAnswer) *Server {
	ring := explain.New()
	ring.Begin(explain.Record{ID: "id-1", Host: "host", Workspace: "w", Class: "c", Shard: "s", Tier: 1})
	ring.Add("id-1", explain.Step{
		At: goldenTime, What: "grant", Endpoint: "e1", Reason: "tier", Scheduler: "host-2",
		Figures: &admission.Figures{
			Waited: time.Millisecond, Ahead: 2, WaitingBelow: 3, PredictedFirstToken: 4 * time.Millisecond, InFlight: 5, Limit: 6.5,
			CachedTokens: 7, AnswerTokens: 8,
		},
	})
	recorded := record.New()
	recorded.Add(record.Entry{Arrived: goldenTime, Class: "c", Workspace: "w", Model: "m", Prompt: 1, Answer: 2})
	failures := map[string]error{
		"conflict": &ChangeError{Cause: CauseConflict, Detail: "conflicts with a change that was accepted since", Other: &goldenChange, Paths: []string{"/root"}},
		"faults":   &ChangeError{Cause: CauseInvalid, Detail: "the tree would not be valid", Faults: []strictjson.Fault{{Path: "/root", Problem: "wrong"}}},
		"patch":    &ChangeError{Cause: CauseInvalid, Detail: "the patch is no JSON merge patch"},
		"unknown":  &ChangeError{Cause: CauseUnknown, Detail: "it is not known whether the change was accepted; send it again with the same ID"},
		"away":     &ChangeError{Cause: CauseUnavailable, Detail: "the platform is away; the change was not accepted"},
	}
	keys := []hostconfig.OperatorKey{
		{Name: "reader", SHA256: settings.HashKey("read"), Role: hostconfig.RoleRead},
		{Name: "changer", SHA256: settings.HashKey("change"), Role: hostconfig.RoleChange},
	}
	return New(Parts{
		Keys: keys, Counters: counters.New(), Explained: ring, Recorded: recorded, Settings: holder, Changes: goldenChanges(failures),
		Tree: func() SettingsAnswer { return tree },
		Status: func() Status {
			status := goldenStatus
			status.Ready = ready
			return status
		},
	})
}

// goldenChanges maps the ID of a change to the error of Accept.
type goldenChanges map[string]error

func (c goldenChanges) Accept(_ context.Context, change settings.Change) (uint64, error) {
	return 9, c[change.ID]
}

func (goldenChanges) Find(_ context.Context, revision uint64) (settings.Change, error) {
	switch revision {
	case 3:
		return goldenChange, nil
	case 4:
		return settings.Change{}, ErrChangeNotFound
	}
	return settings.Change{}, errors.New("away")
}

// TestGoldenAnswers checks that the responses of the operators' interface equal the
// recorded ones.
func TestGoldenAnswers(t *testing.T) {
	c := qt.New(t)
	tree, err := settings.Decode("tree", []byte(`{"root":{"classes":{"c":{"values":{"tier":1}}}},"workspaces":{"w":{}}}`))
	c.Assert(err, qt.IsNil)
	holder := settings.NewHolder()
	holder.SetIfNewer(&settings.Revision{Number: 4, Tree: tree})
	servers := map[string]*Server{
		"ready":     goldenServer(true, holder, SettingsAnswer{Revision: 4, Tree: []byte(`{"root":{}}`)}),
		"not ready": goldenServer(false, settings.NewHolder(), SettingsAnswer{}),
		"front": New(Parts{
			Keys: []hostconfig.OperatorKey{{Name: "reader", SHA256: settings.HashKey("read"), Role: hostconfig.RoleRead}},
			Status: func() Status {
				return Status{Host: "front", Now: goldenTime, Freshness: &Freshness{Settings: time.Second, Endpoints: -time.Millisecond, ReadsStore: true}}
			},
		}),
	}
	type call struct{ server, method, path, key, body string }
	calls := []call{
		{"ready", "GET", "/healthz", "", ""},
		{"ready", "GET", "/readyz", "", ""},
		{"not ready", "GET", "/readyz", "", ""},
		{"ready", "GET", "/v1/status", "read", ""},
		{"ready", "GET", "/v1/status", "wrong", ""},
		{"ready", "GET", "/v1/requests/id-1", "read", ""},
		{"ready", "GET", "/v1/requests/id-2", "read", ""},
		{"ready", "GET", "/v1/settings/effective/w/c", "read", ""},
		{"ready", "GET", "/v1/settings/effective/w/x", "read", ""},
		{"not ready", "GET", "/v1/settings/effective/w/c", "read", ""},
		{"ready", "GET", "/v1/recorded?after=2026-01-01T00:00:00Z", "read", ""},
		{"ready", "GET", "/v1/recorded", "read", ""},
		{"ready", "GET", "/v1/settings", "read", ""},
		{"not ready", "GET", "/v1/settings", "read", ""},
		{"ready", "GET", "/v1/settings/changes/3", "read", ""},
		{"ready", "GET", "/v1/settings/changes/4", "read", ""},
		{"ready", "GET", "/v1/settings/changes/5", "read", ""},
		{"ready", "POST", "/v1/settings/changes", "read", `{"id":"a","base":1,"patch":{}}`},
		{"ready", "POST", "/v1/settings/changes", "change", `{"id":"a","base":1,"patch":{}}`},
		{"ready", "POST", "/v1/settings/changes", "change", `{"base":1,"patch":{}}`},
		{"ready", "POST", "/v1/settings/changes", "change", `{"id":"a","other":1}`},
	}
	for _, id := range []string{"conflict", "faults", "patch", "unknown", "away"} {
		calls = append(calls, call{"ready", "POST", "/v1/settings/changes", "change", `{"id":"` + id + `","base":1,"patch":{}}`})
	}
	calls = append(calls, call{"front", "GET", "/v1/status", "read", ""})
	var text strings.Builder
	for _, call := range calls {
		r := httptest.NewRequest(call.method, call.path, strings.NewReader(call.body))
		r.Header.Set("Authorization", "Bearer "+call.key)
		w := httptest.NewRecorder()
		servers[call.server].HTTP().Handler.ServeHTTP(w, r)
		fmt.Fprintf(&text, "%s %s %s %s: %d %s\n%s\n", call.server, call.method, call.path, call.body, w.Code, w.Header().Get("Content-Type"), w.Body)
	}
	golden.Text(t, "answers.txt", text.String())
}

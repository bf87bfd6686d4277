package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

const small = `{
	"root": {
		"values": {"tier": 2, "max_wait": "1m"},
		"default_class": "ask",
		"classes": {
			"ask": {"values": {"tier": 1, "first_token": "800ms"}, "classes": {"fast": {"values": {"first_token": "300ms"}}}},
			"digest": {"values": {"tier": 3}}
		}
	},
	"workspaces": {
		"a": {"values": {"weight": 3}, "classes": {"ask": {"values": {"tier": 0}}, "own": {}}},
		"b": {"classes": {"digest": {"values": {"enabled": false}}}}
	}
}`

func decode(c *qt.C, text string) *Tree {
	tree, err := Decode("test", []byte(text))
	c.Assert(err, qt.IsNil)
	return tree
}

func TestEffective(t *testing.T) {
	tree := decode(qt.New(t), small)
	tests := map[string]struct {
		workspace, class string
		exists           bool
		tier             int
		firstToken       time.Duration
		weight           float64
	}{
		"class of the root":             {"b", "ask", true, 1, 800 * time.Millisecond, 1},
		"overridden by the workspace":   {"a", "ask", true, 0, 800 * time.Millisecond, 3},
		"nested":                        {"b", "ask/fast", true, 1, 300 * time.Millisecond, 1},
		"nested in an overridden class": {"a", "ask/fast", true, 0, 300 * time.Millisecond, 3},
		"class of the workspace":        {"a", "own", true, 2, defaultPolicy.FirstToken, 3},
		"class of another workspace":    {"b", "own", false, 0, 0, 0},
		"disabled":                      {"b", "digest", false, 0, 0, 0},
		"unknown class":                 {"a", "none", false, 0, 0, 0},
		"unknown workspace":             {"c", "ask", false, 0, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			policy, exists := tree.Effective(test.workspace, test.class)
			c.Assert(exists, qt.Equals, test.exists)
			if exists {
				c.Assert(policy.Tier, qt.Equals, test.tier)
				c.Assert(policy.FirstToken, qt.Equals, test.firstToken)
				c.Assert(policy.Weight, qt.Equals, test.weight)
				c.Assert(policy.MaxWait, qt.Equals, time.Minute)
			}
		})
	}
}

func TestExplain(t *testing.T) {
	c := qt.New(t)
	list, ok := decode(c, small).Explain("a", "ask/fast")
	c.Assert(ok, qt.IsTrue)
	got := make(map[string]EffectiveValue)
	for _, e := range list {
		got[e.Field] = e
	}
	c.Assert(got["tier"], qt.Equals, EffectiveValue{"tier", "0", "workspaces/a/classes/ask"})
	c.Assert(got["first_token"], qt.Equals, EffectiveValue{"first_token", "300ms", "root/classes/ask/classes/fast"})
	c.Assert(got["weight"], qt.Equals, EffectiveValue{"weight", "3", "workspaces/a"})
	c.Assert(got["max_wait"], qt.Equals, EffectiveValue{"max_wait", "1m0s", "root"})
	c.Assert(got["max_tries"], qt.Equals, EffectiveValue{"max_tries", "3", originBuiltIn})
	c.Assert(list, qt.HasLen, reflect.TypeFor[Values]().NumField())
}

// TestDecodeReportsAllFaults checks that one call of Decode reports all faults of a document with their paths.
func TestDecodeReportsAllFaults(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string
	}{
		"not JSON":                  {`{`, []string{"/"}},
		"duplicate member":          {`{"root": {}, "root": {}}`, []string{"/"}},
		"unknown field":             {`{"root": {"colour": "red"}}`, []string{"/root"}},
		"wrong type":                {`{"root": {"values": {"tier": "high"}}}`, []string{"/root/values/tier"}},
		"several faults":            {`{"root": {"values": {"tier": 9, "max_wait": "long", "share": 2}}}`, []string{"/root/values/max_wait", "/root/values/share", "/root/values/tier"}},
		"unknown model":             {`{"root": {}, "endpoints": {"e": {"address": "h:1", "zone": "z", "model": "m"}}}`, []string{"/endpoints/e/model"}},
		"neither model nor service": {`{"root": {}, "endpoints": {"e": {"address": "h:1", "zone": "z"}}}`, []string{"/endpoints/e"}},
		"duplicate address":         {`{"root": {}, "models": {"m": {}}, "endpoints": {"e": {"address": "h:1", "zone": "z", "model": "m"}, "f": {"address": "h:1", "zone": "z", "model": "m"}}}`, []string{"/endpoints/f/address"}},
		"duplicate key":             {`{"root": {}, "workspaces": {"a": {"keys": [{"name": "k", "sha256": "` + strings.Repeat("a", 64) + `"}]}, "b": {"keys": [{"name": "k", "sha256": "` + strings.Repeat("a", 64) + `"}]}}}`, []string{"/workspaces/b/keys/0"}},
		"unknown default class":     {`{"root": {"default_class": "x"}, "workspaces": {"a": {}}}`, []string{"/workspaces/a/default_class"}},
		"unknown class of a route":  {`{"root": {}, "services": {"s": {"routes": [{"path": "/", "class": "x"}]}}}`, []string{"/services/s/routes/0/class"}},
		"sum of shares too large":   {`{"root": {"classes": {"a": {"values": {"share": 0.25}}, "b": {"values": {"share": 0.25}}, "c": {"values": {"share": 0.1}}}}}`, []string{"/root/classes"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Decode("test", []byte(test.text))
			faults, ok := err.(*strictjson.Error)
			c.Assert(ok, qt.IsTrue, qt.Commentf("%v", err))
			var paths []string
			for _, f := range faults.Faults {
				paths = append(paths, f.Path)
				c.Assert(f.Problem, qt.Not(qt.Equals), "")
			}
			c.Assert(paths, qt.DeepEquals, test.want)
		})
	}
}

// TestSchemaMatchesStructs checks that each field of Values has a field of Policy with the same
// name and type and occurs in the schema.
func TestSchemaMatchesStructs(t *testing.T) {
	c := qt.New(t)
	fields := reflect.TypeFor[Values]()
	policy := reflect.TypeFor[Policy]()
	for i := range fields.NumField() {
		name := fields.Field(i).Name
		other, ok := policy.FieldByName(name)
		c.Assert(ok, qt.IsTrue, qt.Commentf("Policy has no %s", name))
		c.Assert(fields.Field(i).Type.Elem(), qt.Equals, other.Type)
		c.Assert(string(schemaText), qt.Contains, `"`+jsonName(fields.Field(i))+`"`)
	}
	c.Assert(policy.NumField(), qt.Equals, fields.NumField())
}

func TestExamples(t *testing.T) {
	tests := map[string]struct{ engines, servers, workspaces int }{
		"canal.json": {35, 3, 10},
		"kochi.json": {50, 4, 10},
		"small.json": {2, 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			data, err := os.ReadFile(filepath.Join("../../examples", name))
			c.Assert(err, qt.IsNil)
			tree := decode(c, string(data))
			engines, servers := 0, 0
			for _, e := range tree.Endpoints {
				if e.Model != "" {
					engines++
				} else {
					servers++
				}
			}
			c.Assert(engines, qt.Equals, test.engines)
			c.Assert(servers, qt.Equals, test.servers)
			c.Assert(tree.Workspaces, qt.HasLen, test.workspaces)
			encoded, err := Encode(tree)
			c.Assert(err, qt.IsNil)
			decoded := decode(c, string(encoded))
			c.Assert(decoded, qt.DeepEquals, tree)
		})
	}
}

func TestWorkspaceOf(t *testing.T) {
	c := qt.New(t)
	tree := decode(c, small)
	tree.Workspaces["a"] = Workspace{Keys: []Key{{Name: "k", SHA256: HashKey("secret")}}}
	name, ok := tree.WorkspaceOf("secret")
	c.Assert(ok, qt.IsTrue)
	c.Assert(name, qt.Equals, "a")
	_, ok = tree.WorkspaceOf("")
	c.Assert(ok, qt.IsFalse)
}

// TestHolderRevisionOnlyIncreases sets revisions out of order: a lower number is not put in force.
func TestHolderRevisionOnlyIncreases(t *testing.T) {
	c := qt.New(t)
	h := NewHolder()
	c.Assert(h.Current(), qt.IsNil)
	for _, step := range []struct {
		number   uint64
		accepted bool
	}{{2, true}, {1, false}, {2, false}, {5, true}, {4, false}} {
		changed := h.Changed()
		c.Assert(h.SetIfNewer(&Revision{Number: step.number}), qt.Equals, step.accepted)
		select {
		case <-changed:
			c.Assert(step.accepted, qt.IsTrue)
		default:
			c.Assert(step.accepted, qt.IsFalse)
		}
	}
	c.Assert(h.Current().Number, qt.Equals, uint64(5))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(small))
	f.Add([]byte(`{"root":{"values":{"max_wait":"1h2m"}}}`))
	f.Add([]byte(`{"root":{}} {}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := Decode("fuzz", data)
		if err != nil {
			return
		}
		encoded, err := Encode(tree)
		if err != nil {
			t.Fatalf("decoded tree can't be encoded: %v", err)
		}
		if _, err := Decode("fuzz", encoded); err != nil {
			t.Fatalf("encoded tree can't be decoded: %v", err)
		}
	})
}

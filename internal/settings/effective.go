package settings

import (
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Origin is the path of the tree node that sets an effective value, or
// originBuiltIn.
type Origin string

const originBuiltIn Origin = "built in"

// EffectiveValue is one effective value with its origin.
type EffectiveValue struct {
	Field  string `json:"field"`
	Value  string `json:"value"`
	Origin Origin `json:"origin"`
}

// layer holds the values of one node on the path from the root to a class.
type layer struct {
	origin Origin
	values Values
}

// Effective returns the effective policy of a workspace and class. It returns false
// if the class does not exist for the workspace or is disabled.
func (t *Tree) Effective(workspace, class string) (Policy, bool) {
	layers, ok := t.layers(workspace, class)
	if !ok {
		return Policy{}, false
	}
	policy := merge(layers)
	return policy, policy.Enabled
}

// merge applies the layers in order to the default policy: later layers override earlier ones.
func merge(layers []layer) Policy {
	policy := defaultPolicy
	for _, l := range layers {
		override(&policy, &l.values)
	}
	return policy
}

// RoutePolicy returns the effective policy of a host route's class for a workspace. If
// the workspace is empty, only the root's values apply.
func (t *Tree) RoutePolicy(workspace, class string) (Policy, bool) {
	if workspace != "" {
		return t.Effective(workspace, class)
	}
	layers, ok := classLayers([]layer{{"root", t.Root.Values}}, "root", t.Root.Classes, strings.Split(class, "/"))
	if !ok {
		return Policy{}, false
	}
	policy := merge(layers)
	return policy, policy.Enabled
}

// Explain lists the effective values of a workspace and class with their origins, in the
// order of the fields of Values.
func (t *Tree) Explain(workspace, class string) ([]EffectiveValue, bool) {
	layers, ok := t.layers(workspace, class)
	if !ok {
		return nil, false
	}
	policy := defaultPolicy
	origins := make(map[string]Origin)
	for _, l := range layers {
		for _, field := range override(&policy, &l.values) {
			origins[field] = l.origin
		}
	}
	return effectiveValues(policy, origins), true
}

// ClassNames returns the sorted paths of all classes that a workspace can use.
func (t *Tree) ClassNames(workspace string) []string {
	seen := make(map[string]bool)
	collectClasses("", t.Root.Classes, seen)
	collectClasses("", t.Workspaces[workspace].Classes, seen)
	names := make([]string, 0, len(seen))
	for name := range seen {
		if _, ok := t.Effective(workspace, name); ok {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// DefaultClass returns the class of a workspace's requests that don't name a class.
func (t *Tree) DefaultClass(workspace string) string {
	if class := t.Workspaces[workspace].DefaultClass; class != "" {
		return class
	}
	return t.Root.DefaultClass
}

// CanCall reports whether a workspace may call a model of the tree.
func (t *Tree) CanCall(workspace, model string) bool {
	if _, ok := t.Models[model]; !ok {
		return false
	}
	allowed := t.Workspaces[workspace].Models
	if len(allowed) == 0 {
		return true
	}
	for _, name := range allowed {
		if name == model {
			return true
		}
	}
	return false
}

// layers returns the nodes that a class inherits from, least specific first: the
// root, the root's classes along the path, the workspace, and the workspace's
// classes along the path. It returns false if the class exists in neither.
func (t *Tree) layers(workspace, class string) ([]layer, bool) {
	ws, ok := t.Workspaces[workspace]
	if !ok {
		return nil, false
	}
	path := strings.Split(class, "/")
	layers := []layer{{"root", t.Root.Values}}
	layers, inRoot := classLayers(layers, "root", t.Root.Classes, path)
	origin := Origin("workspaces/" + workspace)
	layers = append(layers, layer{origin, ws.Values})
	layers, inWorkspace := classLayers(layers, origin, ws.Classes, path)
	return layers, inRoot || inWorkspace
}

// classLayers appends the nodes along a class path and reports whether the whole
// path exists.
func classLayers(layers []layer, origin Origin, classes map[string]Class, path []string) ([]layer, bool) {
	for _, name := range path {
		class, ok := classes[name]
		if !ok {
			return layers, false
		}
		origin += Origin("/classes/" + name)
		layers = append(layers, layer{origin, class.Values})
		classes = class.Classes
	}
	return layers, true
}

func collectClasses(prefix string, classes map[string]Class, seen map[string]bool) {
	for name, class := range classes {
		seen[prefix+name] = true
		collectClasses(prefix+name+"/", class.Classes, seen)
	}
}

// override copies the set fields of values into the policy and returns their names
// in the settings file.
func override(policy *Policy, values *Values) []string {
	from := reflect.ValueOf(values).Elem()
	to := reflect.ValueOf(policy).Elem()
	var set []string
	for i := range from.NumField() {
		if from.Field(i).IsNil() {
			continue
		}
		field := from.Type().Field(i)
		to.FieldByName(field.Name).Set(from.Field(i).Elem())
		set = append(set, jsonName(field))
	}
	return set
}

func effectiveValues(policy Policy, origins map[string]Origin) []EffectiveValue {
	fields := reflect.TypeFor[Values]()
	value := reflect.ValueOf(policy)
	list := make([]EffectiveValue, 0, fields.NumField())
	for i := range fields.NumField() {
		name := jsonName(fields.Field(i))
		origin, ok := origins[name]
		if !ok {
			origin = originBuiltIn
		}
		text := valueText(value.FieldByName(fields.Field(i).Name))
		list = append(list, EffectiveValue{Field: name, Value: text, Origin: origin})
	}
	return list
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func valueText(v reflect.Value) string {
	if d, ok := v.Interface().(time.Duration); ok {
		return d.String()
	}
	return scalarText(v)
}

func scalarText(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Bool:
		return strconv.FormatBool(v.Bool())
	case reflect.Int:
		return strconv.FormatInt(v.Int(), 10)
	case reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	default:
		return v.String()
	}
}

// EndpointNames returns the sorted names of all endpoints.
func (t *Tree) EndpointNames() []string { return sortedKeys(t.Endpoints) }

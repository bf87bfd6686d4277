package settings

import (
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Origin is the node that an effective value comes from, as a path in the
// tree, or originBuiltIn.
type Origin string

const originBuiltIn Origin = "built in"

// EffectiveValue is one effective value with its origin.
type EffectiveValue struct {
	Field  string `json:"field"`
	Value  string `json:"value"`
	Origin Origin `json:"origin"`
}

// layer is one node's values on the way from the root to a class.
type layer struct {
	origin Origin
	values Values
}

// Effective merges the values for a workspace and class. It reports false if
// the workspace does not know the class or has it disabled.
func (t *Tree) Effective(workspace, class string) (Policy, bool) {
	layers, ok := t.layers(workspace, class)
	if !ok {
		return Policy{}, false
	}
	policy := merge(layers)
	return policy, policy.Enabled
}

// merge lets each layer override those before it.
func merge(layers []layer) Policy {
	policy := builtIn
	for _, l := range layers {
		override(&policy, &l.values)
	}
	return policy
}

// RoutePolicy returns the policy of a host route's class for a workspace, or for
// no workspace if the name is empty.
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

// Explain lists each effective value of a workspace and class in the order of
// Values, with the node that it comes from.
func (t *Tree) Explain(workspace, class string) ([]EffectiveValue, bool) {
	layers, ok := t.layers(workspace, class)
	if !ok {
		return nil, false
	}
	policy := builtIn
	origins := make(map[string]Origin)
	for _, l := range layers {
		for _, field := range override(&policy, &l.values) {
			origins[field] = l.origin
		}
	}
	return explained(policy, origins), true
}

// ClassNames lists the paths of all classes that a workspace can use, sorted.
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

// DefaultClass is the class of a workspace's requests that name none.
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

// layers returns the nodes that a class inherits from, the least specific first:
// root, the root's classes along the path, workspace, the workspace's classes
// along the path.
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

// classLayers appends the nodes along a path and reports whether the whole
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

// override copies the set fields of values into the policy and names them as
// the settings file does.
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

func explained(policy Policy, origins map[string]Origin) []EffectiveValue {
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
	return toText(v)
}

func toText(v reflect.Value) string {
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

// EndpointNames lists the endpoints, sorted.
func (t *Tree) EndpointNames() []string { return sortedKeys(t.Endpoints) }

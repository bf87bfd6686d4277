package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"sort"
	"strings"

	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// maxTotalShare limits the sum of the guaranteed shares of all classes, so that at least half of the capacity is always
// assigned by tier.
const maxTotalShare = 0.5

// Decode decodes and validates a tree. The error is a *strictjson.Error with all
// faults.
func Decode(document string, data []byte) (*Tree, error) {
	tree, err := strictjson.Decode[Tree](schema, document, data)
	if err != nil {
		return nil, err
	}
	if faults := tree.faults(); len(faults) > 0 {
		return nil, &strictjson.Error{Document: document, Faults: faults}
	}
	return &tree, nil
}

// Encode encodes a tree so that Decode can decode it. The encoding is
// deterministic.
func Encode(tree *Tree) ([]byte, error) {
	return strictjson.Encode(tree)
}

// HashKey returns the hash of a caller's key that the settings store.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceOf returns the workspace that a caller's key belongs to. It compares all
// hashes, each in constant time, to prevent timing attacks.
func (t *Tree) WorkspaceOf(key string) (string, bool) {
	hash := []byte(HashKey(key))
	found := ""
	for name, workspace := range t.Workspaces {
		for _, k := range workspace.Keys {
			if subtle.ConstantTimeCompare(hash, []byte(k.SHA256)) == 1 {
				found = name
			}
		}
	}
	return found, found != ""
}

// ClassOfRoute returns the class of the service's route that matches a call, or "" if
// no route matches.
func (s Service) ClassOfRoute(method, path string) string {
	best := Route{}
	for _, route := range s.Routes {
		if route.Method != "" && route.Method != method {
			continue
		}
		if strings.HasPrefix(path, route.Path) && len(route.Path) > len(best.Path) {
			best = route
		}
	}
	return best.Class
}

// RouteFor returns the route of a call: the route of its host name with the longest
// matching path prefix.
func (t *Tree) RouteFor(host, path string) (HostRoute, bool) {
	best := HostRoute{}
	found := false
	for _, route := range t.Routes {
		if route.Host != host || !strings.HasPrefix(path, route.Path) {
			continue
		}
		if !found || len(route.Path) > len(best.Path) {
			best, found = route, true
		}
	}
	return best, found
}

// PickService selects a service of the route by weight. at is a number in [0, 1).
func (r *HostRoute) PickService(at float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	at *= total
	for _, target := range r.Targets {
		if at < target.Weight {
			return target.Service
		}
		at -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// faults returns the faults that the schema can't express: names that don't exist,
// duplicate addresses and keys, and shares whose sum is too large.
func (t *Tree) faults() []strictjson.Fault {
	var faults []strictjson.Fault
	add := func(path, format string, args ...any) {
		faults = append(faults, strictjson.Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
	}
	t.checkEndpoints(add)
	t.checkWorkspaces(add)
	t.checkServices(add)
	t.checkHostRoutes(add)
	t.checkShares(add)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

type addFault func(path, format string, args ...any)

func (t *Tree) checkEndpoints(add addFault) {
	addresses := make(map[string]string)
	for _, name := range sortedKeys(t.Endpoints) {
		endpoint := t.Endpoints[name]
		path := "/endpoints/" + name
		if (endpoint.Model == "") == (endpoint.Service == "") {
			add(path, "set either model or service")
		}
		if _, ok := t.Models[endpoint.Model]; endpoint.Model != "" && !ok {
			add(path+"/model", "no model %q in /models", endpoint.Model)
		}
		if _, ok := t.Services[endpoint.Service]; endpoint.Service != "" && !ok {
			add(path+"/service", "no service %q in /services", endpoint.Service)
		}
		if other, ok := addresses[endpoint.Address]; ok {
			add(path+"/address", "%s has the same address", other)
		}
		addresses[endpoint.Address] = name
	}
}

func (t *Tree) checkWorkspaces(add addFault) {
	pathOfKey := make(map[string]string)
	for _, name := range sortedKeys(t.Workspaces) {
		workspace := t.Workspaces[name]
		path := "/workspaces/" + name
		if class := t.DefaultClass(name); class != "" {
			if _, ok := t.Effective(name, class); !ok {
				add(path+"/default_class", "no class %q in this workspace", class)
			}
		}
		for i, key := range workspace.Keys {
			if other, ok := pathOfKey[key.SHA256]; ok {
				add(fmt.Sprintf("%s/keys/%d", path, i), "the same key stands at %s", other)
			}
			pathOfKey[key.SHA256] = path
		}
		for i, model := range workspace.Models {
			if _, ok := t.Models[model]; !ok {
				add(fmt.Sprintf("%s/models/%d", path, i), "no model %q in /models", model)
			}
		}
	}
}

func (t *Tree) checkServices(add addFault) {
	for _, name := range sortedKeys(t.Services) {
		for i, route := range t.Services[name].Routes {
			if !t.classExists(route.Class) {
				add(fmt.Sprintf("/services/%s/routes/%d/class", name, i), "no class %q in /root/classes", route.Class)
			}
		}
	}
}

func (t *Tree) checkHostRoutes(add addFault) {
	for i, route := range t.Routes {
		path := fmt.Sprintf("/routes/%d", i)
		if !t.classExists(route.Class) {
			add(path+"/class", "no class %q in /root/classes", route.Class)
		}
		for j, target := range route.Targets {
			if _, ok := t.Services[target.Service]; !ok {
				add(fmt.Sprintf("%s/targets/%d/service", path, j), "no service %q in /services", target.Service)
			}
		}
	}
}

func (t *Tree) checkShares(add addFault) {
	total := 0.0
	for _, class := range sortedKeys(t.Root.Classes) {
		if share := t.Root.Classes[class].Values.Share; share != nil {
			total += *share
		}
	}
	if total > maxTotalShare {
		add("/root/classes", "the shares add up to %.2f, more than %.2f", total, maxTotalShare)
	}
}

func (t *Tree) classExists(class string) bool {
	_, ok := classLayers(nil, "", t.Root.Classes, strings.Split(class, "/"))
	return ok
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

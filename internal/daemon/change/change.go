// Package change contains the rules for changes of the settings tree in oxbowslipd: which paths a patch
// touches, when two changes conflict, and how a change produces the next revision. It does no I/O. On the
// users' platform, settings are changed in the deployment's store instead.
package change

import (
	"bytes"
	"sort"
	"strings"

	"github.com/ansel1/merry/v2"
	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

// ErrBadPatch means that a patch is not a JSON object.
var ErrBadPatch = merry.Sentinel("the patch is no JSON merge patch")

// Document is a revision of the tree in canonical form. All hosts that apply the same changes hold the same
// bytes.
type Document struct {
	Revision uint64
	Data     []byte
}

// Apply returns the next revision. It does not validate the tree.
func (d Document) Apply(c *settings.Change) (Document, error) {
	data, err := jsonpatch.MergePatch(d.Data, c.Patch)
	if err != nil {
		return Document{}, merry.Wrap(ErrBadPatch, merry.WithCause(err))
	}
	canonical, err := Canonicalize(data)
	if err != nil {
		return Document{}, err
	}
	return Document{Revision: c.Revision, Data: canonical}, nil
}

// Tree decodes and validates a revision.
func (d Document) Tree() (*settings.Tree, error) {
	return settings.Decode("settings", d.Data)
}

// Canonicalize sorts the members of all objects and removes white space.
func Canonicalize(data []byte) ([]byte, error) {
	value := jsontext.Value(bytes.Clone(data))
	if err := value.Canonicalize(); err != nil {
		return nil, merry.Wrap(ErrBadPatch, merry.WithCause(err))
	}
	return value, nil
}

// TouchedPaths returns the paths that a patch sets or removes, in ascending order.
func TouchedPaths(patch []byte) ([]string, error) {
	var paths []string
	if err := appendTouchedPaths(patch, "", &paths); err != nil {
		return nil, err
	}
	sort.Strings(paths)
	return paths, nil
}

// appendTouchedPaths appends the paths that a patch touches below path.
func appendTouchedPaths(patch jsontext.Value, path string, paths *[]string) error {
	if patch.Kind() != '{' {
		if path == "" {
			return merry.Wrap(ErrBadPatch)
		}
		*paths = append(*paths, path)
		return nil
	}
	members := make(map[string]jsontext.Value)
	if err := json.Unmarshal(patch, &members); err != nil {
		return merry.Wrap(ErrBadPatch, merry.WithCause(err))
	}
	for name, member := range members {
		escaped := strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
		if err := appendTouchedPaths(member, path+"/"+escaped, paths); err != nil {
			return err
		}
	}
	return nil
}

// OverlappingPaths returns the paths of a that overlap with a path of b: they are equal, or one contains the
// other.
func OverlappingPaths(a, b []string) []string {
	var overlap []string
	for _, p := range a {
		for _, q := range b {
			if p == q || strings.HasPrefix(p, q+"/") || strings.HasPrefix(q, p+"/") {
				overlap = append(overlap, p)
				break
			}
		}
	}
	return overlap
}

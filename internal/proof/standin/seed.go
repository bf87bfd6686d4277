package standin

import (
	"net/url"

	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/daemon/poller"
	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Seed stores a settings tree on the platform as revision 1.
func (p *Platform) Seed(tree *settings.Tree) error {
	name := poller.SnapshotName(1, "seed")
	data, err := settings.Encode(tree)
	if err != nil {
		return err
	}
	if _, err := settings.Decode("seed", data); err != nil {
		return err
	}
	head, err := json.Marshal(poller.Head{Revision: 1, Snapshot: 1, SnapshotName: name})
	if err != nil {
		return err
	}
	p.Put(name, data)
	p.Commit(tableclient.Transaction{Set: []tableclient.Write{{Key: poller.HeadKey, Value: head}}})
	return nil
}

// unescape decodes an element of a path. It returns an empty text for a malformed one.
func unescape(element string) string {
	text, err := url.PathUnescape(element)
	if err != nil {
		return ""
	}
	return text
}

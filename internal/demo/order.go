package demo

import (
	"time"

	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/change"
	"oxbowslip.dev/oxbowslip/internal/inforce"
	"oxbowslip.dev/oxbowslip/internal/platform"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// patch is a change of one endpoint's state.
type patch struct {
	Endpoints map[string]endpointState `json:"endpoints"`
}

type endpointState struct {
	State settings.EndpointState `json:"state"`
}

// orderOut puts a change on the platform that takes an endpoint out.
func (c *Cluster) orderOut(endpoint string) error {
	text, err := json.Marshal(patch{map[string]endpointState{endpoint: {settings.StateOut}}})
	if err != nil {
		return err
	}
	next := change.Change{Revision: c.revision + 1, ID: "demo", Base: c.revision, Patch: text, Who: "demo", At: time.Now()}
	row, err := json.Marshal(next)
	if err != nil {
		return err
	}
	head, err := json.Marshal(inforce.Head{Revision: next.Revision, Snapshot: 1})
	if err != nil {
		return err
	}
	c.Platform.Commit(platform.Transaction{Set: []platform.Write{
		{Key: inforce.ChangeKey(next.Revision), Value: row},
		{Key: inforce.HeadKey, Value: head},
	}})
	c.revision = next.Revision
	return nil
}

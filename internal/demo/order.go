package demo

import (
	"time"

	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/change"
	"oxbowslip.dev/oxbowslip/internal/inforce"
	"oxbowslip.dev/oxbowslip/internal/platform"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// patch is a change of one endpoint.
type patch struct {
	Endpoints map[string]endpointPatch `json:"endpoints"`
}

type endpointPatch struct {
	State   settings.EndpointState `json:"state,omitzero"`
	Address string                 `json:"address,omitzero"`
}

// orderOut takes an endpoint out.
func (c *Cluster) orderOut(endpoint string) error {
	return c.change(endpoint, endpointPatch{State: settings.StateOut})
}

// Readdress moves an endpoint to another address and waits until that is in
// force on every host.
func (c *Cluster) Readdress(endpoint, address string) error {
	if err := c.change(endpoint, endpointPatch{Address: address}); err != nil {
		return err
	}
	for _, host := range c.Hosts() {
		for host.Daemon.Revision() < c.revision {
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// change puts a change of an endpoint on the platform.
func (c *Cluster) change(endpoint string, p endpointPatch) error {
	text, err := json.Marshal(patch{map[string]endpointPatch{endpoint: p}})
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

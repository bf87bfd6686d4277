package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/operator"
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
	err := c.change(endpoint, endpointPatch{State: settings.StateOut})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outSince[endpoint] = time.Now()
	return err
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

// change has a change of an endpoint accepted, as an operator would.
func (c *Cluster) change(endpoint string, p endpointPatch) error {
	text, err := json.Marshal(patch{map[string]endpointPatch{endpoint: p}})
	if err != nil {
		return err
	}
	host, ok := c.Pick()
	if !ok {
		return merry.New("no host is ready")
	}
	client := operator.NewClient(host.Daemon.OperatorsAddress(), OperatorKey)
	done, err := client.Apply(context.Background(), operator.ChangeRequest{
		ID: fmt.Sprintf("demo-%s-%d", endpoint, time.Now().UnixNano()), Base: host.Daemon.Revision(), Patch: text,
	})
	if err != nil {
		return err
	}
	c.revision = done.Revision
	return nil
}

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

// settingsPatch is the JSON merge patch that changes endpoints.
type settingsPatch struct {
	Endpoints map[string]endpointPatch `json:"endpoints"`
}

type endpointPatch struct {
	State   settings.EndpointState `json:"state,omitzero"`
	Address string                 `json:"address,omitzero"`
}

// SetEndpointState sets the state of an endpoint and waits until the change is in force on every host.
func (c *Cluster) SetEndpointState(endpoint string, state settings.EndpointState) error {
	if err := c.applyPatch(endpoint, endpointPatch{State: state}); err != nil {
		return err
	}
	c.mu.Lock()
	delete(c.outSince, endpoint)
	if state == settings.StateOut {
		c.outSince[endpoint] = time.Now()
	}
	c.mu.Unlock()
	c.waitForRevision()
	return nil
}

// SetEndpointAddress moves an endpoint to another address and waits until the change is in force on every host.
func (c *Cluster) SetEndpointAddress(endpoint, address string) error {
	if err := c.applyPatch(endpoint, endpointPatch{Address: address}); err != nil {
		return err
	}
	c.waitForRevision()
	return nil
}

// waitForRevision waits until the last change is in force on every host that is up.
func (c *Cluster) waitForRevision() {
	for _, host := range c.Hosts() {
		for !host.Down && host.Daemon.Revision() < c.revision {
			time.Sleep(readyPollInterval)
		}
	}
}

// applyPatch changes an endpoint through the operators' interface of a ready host.
func (c *Cluster) applyPatch(endpoint string, p endpointPatch) error {
	text, err := json.Marshal(settingsPatch{map[string]endpointPatch{endpoint: p}})
	if err != nil {
		return err
	}
	host, ok := c.NextReadyHost()
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

package daemon

import (
	"oxbowslip.dev/oxbowslip/internal/daemon/api"
	"oxbowslip.dev/oxbowslip/internal/daemon/schedule"
	"oxbowslip.dev/oxbowslip/internal/daemon/shard"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// followEndpoints keeps the schedulers informed which endpoints are in.
func (d *Daemon) followEndpoints() {
	defer close(d.ended)
	for {
		changed := d.parts.Holder.Changed()
		if revision := d.parts.Holder.Current(); revision != nil {
			d.shards.Configure(shardConfigs(revision.Tree))
			d.parts.Fleet.SetShards(d.shards.Names())
			d.configured.Store(revision.Number)
		}
		select {
		case <-changed:
		case <-d.done:
			return
		}
	}
}

// shardConfigs sorts the endpoints that are in by what they serve. Every model
// and service has a shard, so that a request for one without endpoints is
// refused and does not wait.
func shardConfigs(tree *settings.Tree) map[string]shard.Config {
	shards := make(map[string]shard.Config)
	for name, model := range tree.Models {
		shards[name] = shard.Config{MaxWaiting: model.MaxWaiting}
	}
	for name := range tree.Services {
		shards[api.ServicePrefix+name] = shard.Config{}
	}
	for _, name := range tree.EndpointNames() {
		e := tree.Endpoints[name]
		if e.State == settings.StateOut {
			continue
		}
		serves := e.Model
		if e.Service != "" {
			serves = api.ServicePrefix + e.Service
		}
		config := shards[serves]
		config.Endpoints = append(config.Endpoints, schedule.Endpoint{
			ID: name, Zone: e.Zone, MaxInFlight: e.MaxInFlight, CacheTokens: e.CacheTokens, Engine: e.Model != "",
		})
		shards[serves] = config
	}
	return shards
}

package daemon

import (
	"oxbowslip.dev/oxbowslip/internal/daemon/api"
	"oxbowslip.dev/oxbowslip/internal/daemon/schedule"
	"oxbowslip.dev/oxbowslip/internal/daemon/shard"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// configureShards passes the shards and endpoints of each revision of the settings to the
// schedulers and the fleet.
func (d *Daemon) configureShards() {
	defer close(d.ended)
	for {
		changed := d.parts.Holder.Changed()
		if revision := d.parts.Holder.Current(); revision != nil {
			d.shards.Configure(shardConfigs(revision.Tree))
			d.parts.Fleet.SetShards(d.shards.Names())
			d.configuredRevision.Store(revision.Number)
		}
		select {
		case <-changed:
		case <-d.done:
			return
		}
	}
}

// shardConfigs groups the endpoints that are not out by the model or service that they serve. Every
// model and service has a shard, so that a request for one without endpoints is refused instead of
// queued.
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

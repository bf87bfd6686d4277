package placement

import (
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Sum is the load of all hosts of a large fleet, or one part of it.
type Sum struct {
	Part Part
	// Others holds the loads of the other hosts at the endpoints of the part.
	Others  map[keys.Endpoint]Load
	Holders []Holder
	// Engines holds the combined reports of all hosts, this one included.
	Engines EngineReports
	// Splits holds the splits that another host has decided for the fleet. It is empty if this host decides by itself.
	Splits Splits
}

// Splits holds the split of each service.
type Splits map[keys.Service]engine.Split

// SetSum replaces the load of all hosts.
func (p *Placer) SetSum(sum *Sum) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.parts.Clock()
	p.view.loads.SetSum(now, sum.Part, sum.Others)
	for _, h := range sum.Holders {
		p.view.holders.Record(now, h)
	}
	for service, report := range sum.Engines {
		p.view.engines.get(service).SetSum(now, report)
	}
	for service, split := range sum.Splits {
		s := p.view.engines.get(service)
		if s.Adopt(now, split) {
			p.logSplit(p.serviceName(service), s)
		}
	}
}

// OpenRequests returns the number of requests that all hosts of a large fleet have open, as far as this host knows.
func (p *Placer) OpenRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.loads.requests()
}

// serviceName returns the name of a service, or an empty string if it has no endpoint.
func (p *Placer) serviceName(key keys.Service) string {
	for _, service := range p.parts.Directory.Services() {
		if keys.OfService(service) == key {
			return service
		}
	}
	return ""
}

// Splits returns the split of each service with prompts, after updating those that are due.
func (p *Placer) Splits() Splits {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.parts.Clock()
	splits := make(Splits)
	for _, service := range p.parts.Directory.Services() {
		key := keys.OfService(service)
		s, known := p.view.engines[key]
		if endpoints := p.parts.Directory.Serving(service); known && len(endpoints) > 0 {
			p.decideSplit(now, service, endpoints)
			splits[key] = s.Split()
		}
	}
	return splits
}

package placement

import (
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// engineTable holds the learned figures of each service's engines. A service has an entry once this host or a peer has
// sent it a request.
type engineTable map[keys.Service]*engine.Service

func (t engineTable) get(service keys.Service) *engine.Service {
	s, ok := t[service]
	if !ok {
		s = engine.NewService()
		t[service] = s
	}
	return s
}

// setPeer replaces a peer's reports.
func (t engineTable) setPeer(peer string, reports map[keys.Service]engine.Report) {
	for service, report := range reports {
		t.get(service).SetPeer(peer, report)
	}
}

// dropPeer removes a peer's reports.
func (t engineTable) dropPeer(peer string) {
	for _, s := range t {
		s.DropPeer(peer)
	}
}

// targetsOf returns the targets of the request classes that a tree's routes use. Values of single workspaces are
// ignored.
func targetsOf(tree *settings.Tree) map[keys.Class]engine.Targets {
	targets := make(map[keys.Class]engine.Targets, len(tree.Routes))
	for i := range tree.Routes {
		class := tree.Routes[i].Class
		if policy, ok := tree.RoutePolicy("", class); ok {
			targets[keys.OfClass(class)] = engine.Targets{First: policy.FirstToken, Pause: policy.MaxPause, Urgency: policy.Urgency}
		}
	}
	return targets
}

package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// engineTable holds what is known of the engines of each service. It has an entry for a service once
// this host or a peer has sent it something.
type engineTable map[keys.Service]*engine.Service

func (t engineTable) get(service keys.Service) *engine.Service {
	s, ok := t[service]
	if !ok {
		s = engine.NewService()
		t[service] = s
	}
	return s
}

// setPeer replaces what a peer reports.
func (t engineTable) setPeer(peer string, reports map[keys.Service]engine.Report) {
	for service, report := range reports {
		t.get(service).SetPeer(peer, report)
	}
}

// dropPeer forgets what a peer reported.
func (t engineTable) dropPeer(peer string) {
	for _, s := range t {
		s.DropPeer(peer)
	}
}

// targetsOf returns the targets of the classes in a tree.
func targetsOf(tree *settings.Tree) map[keys.Class]engine.Targets {
	targets := make(map[keys.Class]engine.Targets, len(tree.Root.Classes))
	for name, class := range tree.Root.Classes {
		targets[keys.OfClass(name)] = engine.Targets{
			First: valueOf(class.Values.FirstToken), Pause: valueOf(class.Values.MaxPause), Urgency: valueOf(class.Values.Urgency),
		}
	}
	return targets
}

// valueOf returns what a field of the settings holds, or the zero value.
func valueOf[T time.Duration | int](field *T) T {
	if field == nil {
		return 0
	}
	return *field
}

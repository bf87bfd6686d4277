package main

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/intake"
	"oxbowslip.dev/oxbowslip/internal/operator"
)

func TestFindProblems(t *testing.T) {
	healthy := operator.Status{Ready: true, Revision: 7, Endpoints: 12, Hosts: 2}
	outdated := healthy
	outdated.Revision = 5
	isolated := healthy
	isolated.Hosts = 1
	confirmed := healthy
	confirmed.Freshness = &operator.Freshness{Settings: time.Second, Endpoints: 0, ReadsStore: true}
	restored := confirmed
	restored.Era = 1
	unconfirmed := healthy
	unconfirmed.Freshness = &operator.Freshness{Settings: maxUnconfirmedAge + 1, Endpoints: maxUnconfirmedAge}
	neverConfirmed := healthy
	neverConfirmed.Freshness = &operator.Freshness{Settings: -time.Millisecond, Endpoints: -time.Millisecond, ReadsStore: true}
	ejected := healthy
	ejected.Ejected = []string{"e1"}
	poison := healthy
	poison.Poison = []operator.PoisonRequest{{Key: "0f", Endpoints: []string{"a", "b", "c"}}}
	rejected, leaving := healthy, healthy
	rejected.Pushback = []operator.EndpointPushback{{Endpoint: "a", Rejects: 0.9}, {Endpoint: "b", Rest: time.Second}, {Endpoint: "c", Rejects: 0.1}}
	leaving.Pushback = []operator.EndpointPushback{{Endpoint: "a", Leaving: true}}
	cutOff, helps := healthy, healthy
	cutOff.LostPaths, helps.Tunnels = 12, 3
	leads := healthy
	leads.Leader = &operator.Leader{Host: "b", Leads: true}
	hasNoLeader := healthy
	hasNoLeader.Leader = new(operator.Leader)
	crowded, busy := healthy, healthy
	crowded.Listeners = []operator.Listener{{Name: "callers", Memory: 9 << 20, MemoryLimit: 10 << 20, Clients: []intake.Client{{Address: "10.0.0.1"}}}}
	busy.Listeners = []operator.Listener{{Name: "callers", Memory: 5 << 20, MemoryLimit: 10 << 20, Clients: []intake.Client{{Address: "10.0.0.1"}}}}
	mixed, lostVersion := healthy, healthy
	mixed.MixedServices = []operator.MixedService{{Service: "engines", Versions: map[string]int{"v1": 1, "v2": 2}}}
	lostVersion.Refusals = map[string]uint64{"no_version": 2, "unknown_version": 1}
	tests := map[string]struct {
		second operator.Status
		err    error
		want   int
	}{
		"all healthy": {healthy, nil, 0},
		"behind":      {outdated, nil, 1},
		"confirmed":   {confirmed, nil, 0},
		"confirmed too long ago, and no host reads the store": {unconfirmed, nil, 2},
		"the other host has an older era":                     {restored, nil, 1},
		"not confirmed since the start":                       {neverConfirmed, nil, 2},
		"no other hosts in the membership":                    {isolated, nil, 1},
		"an ejected endpoint":                                 {ejected, nil, 1},
		"one host is the leader":                              {leads, nil, 0},
		"no host is the leader":                               {hasNoLeader, nil, 1},
		"a poison request":                                    {poison, nil, 1},
		"endpoints reject or rest":                            {rejected, nil, 2},
		"an endpoint is leaving":                              {leaving, nil, 0},
		"paths to endpoints are lost":                         {cutOff, nil, 1},
		"connects other hosts to endpoints":                   {helps, nil, 0},
		"several software versions":                           {mixed, nil, 0},
		"streams of a version that has left":                  {lostVersion, nil, 1},
		"clients take nearly all memory":                      {crowded, nil, 1},
		"clients take some memory":                            {busy, nil, 0},
		"no answer":                                           {operator.Status{}, errors.New("refused"), 1},
		"not ready at all":                                    {operator.Status{Problem: "no settings yet", Hosts: 2}, nil, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			findings := findProblems([]hostReport{{Address: "a", Status: healthy}, {Address: "b", Status: test.second, err: test.err}})
			qt.Check(t, findings, qt.HasLen, test.want, qt.Commentf("%v", findings))
		})
	}
}

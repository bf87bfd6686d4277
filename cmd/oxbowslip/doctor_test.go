package main

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/operator"
)

func TestExamine(t *testing.T) {
	well := operator.Status{Ready: true, Revision: 7, Endpoints: 12, Hosts: 2}
	behind := well
	behind.Revision = 5
	lonely := well
	lonely.Hosts = 1
	fresh := well
	fresh.Freshness = &operator.Freshness{Settings: time.Second, Endpoints: 0, ReadsStore: true}
	restored := fresh
	restored.Era = 1
	old := well
	old.Freshness = &operator.Freshness{Settings: oldAge + 1, Endpoints: oldAge}
	unknown := well
	unknown.Freshness = &operator.Freshness{Settings: -time.Millisecond, Endpoints: -time.Millisecond, ReadsStore: true}
	ejected := well
	ejected.Ejected = []string{"e1"}
	poison := well
	poison.Poison = []operator.PoisonRequest{{Key: "0f", Endpoints: []string{"a", "b", "c"}}}
	rejected, leaving := well, well
	rejected.Pushback = []operator.EndpointPushback{{Endpoint: "a", Rejects: 0.9}, {Endpoint: "b", Rest: time.Second}, {Endpoint: "c", Rejects: 0.1}}
	leaving.Pushback = []operator.EndpointPushback{{Endpoint: "a", Leaving: true}}
	led := well
	led.Leader = &operator.Leader{Host: "b", Leads: true}
	notLed := well
	notLed.Leader = new(operator.Leader)
	tests := map[string]struct {
		second operator.Status
		err    error
		want   int
	}{
		"all well":                         {well, nil, 0},
		"behind":                           {behind, nil, 1},
		"confirmed":                        {fresh, nil, 0},
		"old, and no host reads the store": {old, nil, 2},
		"the other is in an earlier era":   {restored, nil, 1},
		"never confirmed":                  {unknown, nil, 2},
		"hears nobody":                     {lonely, nil, 1},
		"an ejected one":                   {ejected, nil, 1},
		"one leads":                        {led, nil, 0},
		"nobody leads":                     {notLed, nil, 1},
		"a poison request":                 {poison, nil, 1},
		"endpoints reject and rest":        {rejected, nil, 2},
		"an endpoint leaves":               {leaving, nil, 0},
		"no answer":                        {operator.Status{}, errors.New("refused"), 1},
		"not ready at all":                 {operator.Status{Problem: "no settings yet", Hosts: 2}, nil, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			findings := examine([]hostReport{{Address: "a", Status: well}, {Address: "b", Status: test.second, err: test.err}})
			qt.Check(t, findings, qt.HasLen, test.want, qt.Commentf("%v", findings))
		})
	}
}

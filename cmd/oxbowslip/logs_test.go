package main

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/operator"
)

func TestExamine(t *testing.T) {
	well := operator.Status{Ready: true, Revision: 7, Endpoints: 12, Hosts: 2}
	behind := well
	behind.Revision = 5
	lonely := well
	lonely.Hosts = 1
	ejected := well
	ejected.Ejected = []string{"e1"}
	tests := map[string]struct {
		second operator.Status
		err    error
		want   int
	}{
		"all well":         {well, nil, 0},
		"behind":           {behind, nil, 1},
		"hears nobody":     {lonely, nil, 1},
		"an ejected one":   {ejected, nil, 1},
		"no answer":        {operator.Status{}, errors.New("refused"), 1},
		"not ready at all": {operator.Status{Problem: "no settings yet", Hosts: 2}, nil, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			findings := examine([]hostReport{{Address: "a", Status: well}, {Address: "b", Status: test.second, err: test.err}})
			qt.Check(t, findings, qt.HasLen, test.want, qt.Commentf("%v", findings))
		})
	}
}

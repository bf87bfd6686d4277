package shares

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFairLevel(t *testing.T) {
	tests := map[string]struct {
		capacity float64
		demands  []demand
		want     float64
	}{
		"nobody asks":    {5, nil, math.Inf(1)},
		"enough for all": {10, []demand{{4, 1}, {6, 1}}, math.Inf(1)},
		"equal demands":  {10, []demand{{8, 1}, {8, 1}}, 5},
		"what a small one leaves goes to the others": {10, []demand{{8, 1}, {2, 1}, {8, 1}}, 4},
		"several small ones":                         {10, []demand{{1, 1}, {9, 1}, {2, 1}, {3, 1}}, 4},
		"weights":                                    {12, []demand{{20, 3}, {20, 1}}, 3},
		"a heavy one that asks for little":           {12, []demand{{3, 3}, {20, 1}}, 9},
		"no capacity":                                {0, []demand{{3, 1}, {20, 1}}, 0},
		"less than no capacity":                      {-1, []demand{{3, 1}}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, fairLevel(test.capacity, test.demands), qt.Equals, test.want)
		})
	}
}

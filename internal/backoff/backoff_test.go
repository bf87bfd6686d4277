package backoff

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSpan(t *testing.T) {
	d := Doubling{First: 20 * time.Millisecond, Longest: 2 * time.Second}
	tests := map[string]struct {
		doublings int
		want      time.Duration
	}{
		"first":             {0, 20 * time.Millisecond},
		"doubled twice":     {2, 80 * time.Millisecond},
		"bounded":           {7, 2 * time.Second},
		"does not overflow": {1000, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { qt.Check(t, d.Span(test.doublings), qt.Equals, test.want) })
	}
}

func TestJitter(t *testing.T) {
	tests := map[string]struct {
		minPart, random float64
		want            time.Duration
	}{
		"full, lowest":  {0, 0, 0},
		"full, middle":  {0, 0.5, 500 * time.Millisecond},
		"half, lowest":  {0.5, 0, 500 * time.Millisecond},
		"half, highest": {0.5, 0.9999999999, time.Second - time.Nanosecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, Jitter(time.Second, test.minPart, test.random), qt.Equals, test.want)
		})
	}
}

func TestSpread(t *testing.T) {
	tests := map[string]struct {
		part, random float64
		want         time.Duration
	}{
		"wide, lowest":   {1, 0, 500 * time.Millisecond},
		"wide, middle":   {1, 0.5, time.Second},
		"narrow, lowest": {0.5, 0, 750 * time.Millisecond},
		"narrow, middle": {0.5, 0.5, time.Second},
		"not at all":     {0, 0.9, time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, Spread(time.Second, test.part, test.random), qt.Equals, test.want)
		})
	}
}

package pace

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

var testService = keys.OfService("llm")

// gap returns the sample of a gap in ms at an endpoint of a service, under a condition.
func gap(endpoint int, level uint16, ms float64) Sample {
	return Sample{Service: testService, Endpoint: keys.Endpoint(endpoint), Condition: Condition{Level: level}, Log: math.Log(ms), Expected: math.Log(100)}
}

// observe records samples of the given gaps of endpoints, in ms, ten times a second for a time.
func observe(t *Table, from time.Time, span time.Duration, gaps []float64) {
	for at := from; at.Before(from.Add(span)); at = at.Add(100 * time.Millisecond) {
		for endpoint, ms := range gaps {
			t.Record(at, gap(endpoint, 0, ms))
		}
		t.Refresh(at, nil)
	}
}

func TestSlowness(t *testing.T) {
	tests := map[string]struct {
		// gaps holds the gap of each endpoint, in ms.
		gaps []float64
		// minWant and maxWant bound the slowness of the first endpoint. All others are expected to count as 1.
		minWant, maxWant float64
	}{
		"all alike":                          {[]float64{100, 100, 100, 100}, 1, 1},
		"all slow":                           {[]float64{900, 900, 900, 900}, 1, 1},
		"a little slower":                    {[]float64{115, 100, 100, 100}, 1, 1},
		"less than half the speed":           {[]float64{217, 100, 100, 100, 100}, 1.9, 2.2},
		"fast":                               {[]float64{50, 100, 100, 100, 100}, 0.5, 0.6},
		"slower than the bound":              {[]float64{5000, 100, 100, 100, 100}, 8, 8},
		"faster than the bound":              {[]float64{5, 100, 100, 100, 100}, 0.25, 0.25},
		"only one endpoint":                  {[]float64{300}, 1, 1},
		"not all were observed, one is slow": {[]float64{217, 100, 100}, 1.6, 2.2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table := NewTable()
			observe(table, start, 20*time.Second, test.gaps)
			got := table.Slowness(0)
			c.Check(got >= test.minWant && got <= test.maxWant, qt.IsTrue, qt.Commentf("%.2f", got))
			if len(test.gaps) > 3 {
				for endpoint := 1; endpoint < len(test.gaps); endpoint++ {
					c.Check(table.Slowness(keys.Endpoint(endpoint)), qt.Equals, 1.0)
				}
			}
			c.Check(table.Slowness(99), qt.Equals, 1.0, qt.Commentf("an endpoint without observations"))
		})
	}
}

// TestEndpointsWeighEqually has the slow endpoints give a tenth of the samples of the others, and then ten times as
// many: their number must not change what the others are compared with.
func TestEndpointsWeighEqually(t *testing.T) {
	for name, every := range map[string][2]int{"slow endpoints give few samples": {10, 1}, "slow endpoints give many samples": {1, 10}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table := NewTable()
			for i := range 400 {
				at := start.Add(time.Duration(i) * 50 * time.Millisecond)
				for endpoint := range 8 {
					if endpoint < 2 && i%every[0] == 0 {
						table.Record(at, gap(endpoint, 0, 217))
					} else if endpoint >= 2 && i%every[1] == 0 {
						table.Record(at, gap(endpoint, 0, 100))
					}
				}
				table.Refresh(at, nil)
			}
			for endpoint := range 8 {
				slowness := table.Slowness(keys.Endpoint(endpoint))
				c.Check(slowness > 1.7, qt.Equals, endpoint < 2, qt.Commentf("endpoint %d: %.2f", endpoint, slowness))
			}
		})
	}
}

// TestBusyEndpointIsNotSlow has events take four times as long under one load than under another, at endpoints that are
// mostly under the one or under the other: all are equally fast.
func TestBusyEndpointIsNotSlow(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	for i := range 200 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		for endpoint := range 8 {
			if isBusy := (endpoint < 3) == (i%5 > 0); isBusy {
				table.Record(at, gap(endpoint, 1, 400))
			} else {
				table.Record(at, gap(endpoint, 0, 100))
			}
		}
		table.Refresh(at, nil)
		for endpoint := range 8 {
			c.Assert(table.Slowness(keys.Endpoint(endpoint)), qt.Equals, 1.0, qt.Commentf("endpoint %d at %d", endpoint, i))
		}
	}
}

// TestSlowdownIsForgiven slows an endpoint down and checks when it counts as fast again.
func TestSlowdownIsForgiven(t *testing.T) {
	tests := map[string]struct{ slow, forgiven time.Duration }{
		"0.6 s": {600 * time.Millisecond, 2 * time.Second},
		"2 s":   {2 * time.Second, 3 * time.Second},
		"10 s":  {10 * time.Second, 20 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table, alike := NewTable(), []float64{100, 100, 100, 100, 100, 100}
			observe(table, start, 10*time.Second, alike)
			observe(table, start.Add(10*time.Second), test.slow, []float64{250, 100, 100, 100, 100, 100})
			if test.slow > time.Second {
				c.Check(table.Slowness(0) > 1.25, qt.IsTrue)
			}
			observe(table, start.Add(10*time.Second+test.slow), test.forgiven, alike)
			c.Check(table.Slowness(0), qt.Equals, 1.0)
		})
	}
}

// TestSlowEndpointsAreReported checks that an endpoint is reported once when it becomes slow and once when it no longer
// is, also if its slowness stays near the limit.
func TestSlowEndpointsAreReported(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	var reported []Speed
	for i := range 1200 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		ms := 100.0
		if i < 600 {
			// The slowness moves between 1.45 and 1.6.
			ms = 152 + 18*math.Sin(float64(i)/30)
		}
		for endpoint := range 6 {
			if endpoint > 0 {
				ms = 100
			}
			table.Record(at, gap(endpoint, 0, ms))
		}
		for _, change := range table.Refresh(at, nil) {
			c.Check(change.Endpoint, qt.Equals, keys.Endpoint(0))
			reported = append(reported, change.Speed)
		}
		if i == 599 {
			c.Check(table.Slow(), qt.HasLen, 1)
		}
	}
	c.Check(reported, qt.DeepEquals, []Speed{Slow, Usual})
	c.Check(table.Slow(), qt.HasLen, 0)
}

// TestExtremeSamples records samples that no engine gives. A single one must not have an effect.
func TestExtremeSamples(t *testing.T) {
	tests := map[string]float64{
		"a stall": math.Log(60_000), "an instant": math.Log(1e-6), "no number": math.NaN(), "infinite": math.Inf(1), "minus infinite": math.Inf(-1),
	}
	for name, log := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table := NewTable()
			observe(table, start, 3*time.Second, []float64{100, 100, 100, 100})
			sample := gap(9, 0, 1)
			sample.Log = log
			for _, endpoint := range []keys.Endpoint{0, 9} {
				sample.Endpoint = endpoint
				table.Record(start.Add(3*time.Second), sample)
			}
			table.Refresh(start.Add(3*time.Second), nil)
			for _, endpoint := range []keys.Endpoint{0, 1, 9} {
				c.Check(table.Slowness(endpoint), qt.Equals, 1.0)
			}
		})
	}
}

// TestTableIsBounded has a faulty peer send samples of more endpoints than there are, and checks that the table
// forgets what is no longer observed.
func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Record(start, gap(0, 0, 100))
	for endpoint := range 2 * maxEndpoints {
		table.Add(start, testService, keys.Endpoint(endpoint), 0, 1)
	}
	c.Check(table.endpoints, qt.HasLen, maxEndpoints)
	table.Refresh(start.Add(5*time.Minute), nil)
	c.Check(table.endpoints, qt.HasLen, 0)
	c.Check(table.baselines, qt.HasLen, 0)
}

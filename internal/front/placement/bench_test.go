package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
)

// largePlacer returns a placer of a service with a number of endpoints, which it compares at random.
func largePlacer(number int, seed uint64) *Placer {
	ids := make([]string, number)
	for n := range ids {
		ids[n] = fmt.Sprint("endpoint-", n)
	}
	p := newPlacerOf(func() time.Time { return start }, true, ids...)
	for n, e := range p.parts.Directory.Serving("llm") {
		e.Endpoint.Address = fmt.Sprintf("10.1.%d.%d:80", n/250, n%250+1)
	}
	random := rand.New(rand.NewPCG(seed, seed))
	p.parts.Random, p.view.random = random.Float64, random.Float64
	return p
}

// TestChoiceDoesNotGrowWithEndpoints counts what a choice allocates, which stands for what it reads.
func TestChoiceDoesNotGrowWithEndpoints(t *testing.T) {
	const maxAllocations = 400
	for _, number := range []int{1000, 10_000, 20_000} {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			p := largePlacer(number, 1)
			allocations := testing.AllocsPerRun(20, func() { p.choose("llm", long(7), true) })
			qt.Check(t, allocations <= maxAllocations, qt.IsTrue, qt.Commentf("%.0f allocations", allocations))
		})
	}
}

// TestHostsOfLargeFleetPreferTheSameEndpoints checks that prompts with a shared prefix meet at an endpoint although each
// host compares other endpoints, and that prompts without are spread.
func TestHostsOfLargeFleetPreferTheSameEndpoints(t *testing.T) {
	const hosts, number = 12, 10_000
	c := qt.New(t)
	placers := make([]*Placer, hosts)
	for host := range placers {
		placers[host] = largePlacer(number, uint64(host+1))
	}
	alone := make(map[string]bool)
	for prefix := range uint64(20) {
		together := make(map[string]bool)
		for _, p := range placers {
			choice, reason := p.choose("llm", long(100*prefix), true)
			c.Assert(string(reason), qt.Equals, "")
			together[choice.Endpoint] = true
			choice, _ = p.choose("llm", short(), true)
			alone[choice.Endpoint] = true
		}
		c.Check(together, qt.HasLen, 1)
	}
	c.Check(len(alone) > hosts/2, qt.IsTrue, qt.Commentf("%d endpoints", len(alone)))
}

// TestConnectionsAreReused checks that a host of a large fleet prefers one of many equal endpoints to which it has a
// connection, and that it does not in a service with few.
func TestConnectionsAreReused(t *testing.T) {
	tests := map[string]struct {
		endpoints int
		reused    bool
	}{
		"many endpoints": {155, true},
		"few endpoints":  {9, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := largePlacer(test.endpoints, 1)
			chosen := make(map[string]bool)
			connected := p.parts.Directory.Serving("llm")[3]
			p.view.hasIdle = func(address string) bool { return address == connected.Endpoint.Address }
			for range 20 {
				choice, _ := p.view.Choose(start, "llm", short(), p.parts.Directory.Serving("llm"), p.parts.Directory.Serving("llm"), nil)
				chosen[choice.Endpoint] = true
			}
			c.Check(len(chosen) == 1 && chosen[connected.ID], qt.Equals, test.reused)
		})
	}
}

// BenchmarkChooseFromLargeService measures the choice of a host of a large fleet.
func BenchmarkChooseFromLargeService(b *testing.B) {
	for _, number := range []int{100, 1000, 10_000, 35_000} {
		b.Run(fmt.Sprint(number), func(b *testing.B) {
			p := largePlacer(number, 1)
			b.ReportAllocs()
			for b.Loop() {
				p.choose("llm", long(7), true)
			}
		})
	}
}

// BenchmarkChoose measures the choice among the endpoints of a service.
func BenchmarkChoose(b *testing.B) {
	for _, number := range []int{9, 112, 3500} {
		b.Run(fmt.Sprint(number), func(b *testing.B) {
			ids := make([]string, number)
			for n := range ids {
				ids[n] = fmt.Sprint("endpoint-", n)
			}
			all := entries(ids...)
			v := NewView()
			for _, e := range all {
				v.loads.Begin(e.ID, 500)
			}
			request := long(7)
			b.ReportAllocs()
			for b.Loop() {
				v.Choose(start, "llm", request, all, all, []*directory.Entry(nil))
			}
		})
	}
}

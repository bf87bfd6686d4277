package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

// largeEntries returns entries of a service in five availability zones.
func largeEntries(number int) []Change {
	changes := make([]Change, 0, number)
	for n := range number {
		changes = append(changes, Change{Entry: Entry{ID: fmt.Sprint("e", n), Endpoint: settings.Endpoint{Service: "s", Zone: fmt.Sprint("z", n%5)}}})
	}
	return changes
}

// TestUpdatedIndexEqualsNewOne applies random changes one after the other, and all entries that are left at once.
func TestUpdatedIndexEqualsNewOne(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	states := []settings.EndpointState{settings.StateIn, settings.StateOut}
	updated := New()
	for revision := range uint64(300) {
		var changes []Change
		for range random.IntN(20) {
			e := entry(fmt.Sprint("e", random.IntN(200)), fmt.Sprint("s", random.IntN(3)), states[random.IntN(2)])
			e.Endpoint.Zone = fmt.Sprint("z", random.IntN(3))
			changes = append(changes, Change{Entry: e, Gone: random.IntN(4) == 0})
		}
		updated.Apply(revision+1, changes)
	}
	rebuilt := New()
	rebuilt.Replace(Snapshot{Revision: 301, Entries: updated.Snapshot().Entries})
	for n := range 3 {
		service := fmt.Sprint("s", n)
		x, y := updated.Index(service), rebuilt.Index(service)
		c.Check(ids(x.Serving), qt.DeepEquals, ids(y.Serving))
		c.Check(ids(x.Leaving), qt.DeepEquals, ids(y.Leaving))
		c.Check(ids(x.Preferred(7)), qt.DeepEquals, ids(y.Preferred(7)))
		for zone := range 3 {
			c.Check(ids(x.InZone(fmt.Sprint("z", zone))), qt.DeepEquals, ids(y.InZone(fmt.Sprint("z", zone))))
		}
	}
}

// TestPreferredEndpoints checks that hashes are spread evenly over endpoints, and that an endpoint that goes moves only
// the hashes that preferred it.
func TestPreferredEndpoints(t *testing.T) {
	const number, hashesPerEndpoint = 1000, 100
	c := qt.New(t)
	d := New()
	d.Apply(1, largeEntries(number))
	first := func() map[uint64]string {
		preferred := make(map[uint64]string)
		for n := range uint64(number * hashesPerEndpoint) {
			preferred[n] = d.Index("s").Preferred(mix(n))[0].ID
		}
		return preferred
	}
	before := first()
	counts := make(map[string]int)
	for _, id := range before {
		counts[id]++
	}
	busiest := 0
	for _, count := range counts {
		busiest = max(busiest, count)
	}
	c.Check(busiest <= 2*hashesPerEndpoint, qt.IsTrue, qt.Commentf("%d hashes prefer one endpoint, %d the mean", busiest, hashesPerEndpoint))
	d.Apply(2, []Change{{Entry: Entry{ID: "e7"}, Gone: true}})
	d.DropLapsed(2)
	for hash, id := range first() {
		if before[hash] != "e7" && before[hash] != id {
			c.Fatalf("hash %d moves from %s to %s", hash, before[hash], id)
		}
	}
}

// BenchmarkApply measures a change of 80 endpoints, as they come from the store in a release.
func BenchmarkApply(b *testing.B) {
	for _, number := range []int{1000, 10_000, 35_000} {
		b.Run(fmt.Sprint(number), func(b *testing.B) {
			d := New()
			changes := largeEntries(number)
			d.Apply(1, changes)
			revision := uint64(1)
			for b.Loop() {
				revision++
				d.Apply(revision, changes[:80])
			}
		})
	}
}

package record

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRing(t *testing.T) {
	c := qt.New(t)
	r := New()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const extra = 10
	for i := range maxEntries + extra {
		r.Add(Entry{Arrived: start.Add(time.Duration(i) * time.Second), Prompt: i})
	}
	all := r.Since(start.Add(-time.Second))
	c.Assert(all, qt.HasLen, maxEntries)
	c.Assert(all[0].Prompt, qt.Equals, extra)
	c.Assert(all[len(all)-1].Prompt, qt.Equals, maxEntries+extra-1)
	c.Assert(r.Since(all[len(all)-3].Arrived), qt.HasLen, 2)
}

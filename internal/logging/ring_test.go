package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	open    chan struct{}
	reached chan struct{}
	out     bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	select {
	case g.reached <- struct{}{}:
	default:
	}
	<-g.open
	return g.out.Write(p)
}

func TestAFullRingNeverBlocksAndCountsWhatItLeavesOut(t *testing.T) {
	c := qt.New(t)
	g := &gate{open: make(chan struct{}), reached: make(chan struct{}, 1)}
	ring := NewRing(g, 2)
	write := func(line string) {
		n, err := ring.Write([]byte(line))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	write("first\n")
	<-g.reached // The writer has the first line and is stuck with it.
	for range 5 {
		write("more\n")
	}
	c.Check(ring.Dropped(), qt.Equals, uint64(3))
	close(g.open)
	ring.Close(time.Minute)
	c.Check(strings.Count(g.out.String(), "more\n"), qt.Equals, 2)
	c.Check(g.out.String(), qt.Contains, `"msg":"log: lines left out","count":3`)
}

func TestSampler(t *testing.T) {
	c := qt.New(t)
	s := NewSampler(2)
	now := time.Unix(100, 0)
	allowed := 0
	for range 5 {
		if _, ok := s.Allow(now); ok {
			allowed++
		}
	}
	c.Check(allowed, qt.Equals, 2)
	leftOut, ok := s.Allow(now.Add(time.Second))
	c.Check(ok, qt.IsTrue)
	c.Check(leftOut, qt.Equals, int64(3))
}

package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockingWriter is a writer that blocks until open is closed.
type blockingWriter struct {
	open    chan struct{}
	blocked chan struct{}
	out     bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	select {
	case w.blocked <- struct{}{}:
	default:
	}
	<-w.open
	return w.out.Write(p)
}

func TestFullRingDropsLinesWithoutBlocking(t *testing.T) {
	c := qt.New(t)
	w := &blockingWriter{open: make(chan struct{}), blocked: make(chan struct{}, 1)}
	ring := NewRing(w, 2)
	write := func(line string) {
		n, err := ring.Write([]byte(line))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	write("first\n")
	<-w.blocked // The writer blocks while it writes the first line.
	for range 5 {
		write("more\n")
	}
	c.Check(ring.Dropped(), qt.Equals, uint64(3))
	close(w.open)
	ring.Close(time.Minute)
	c.Check(strings.Count(w.out.String(), "more\n"), qt.Equals, 2)
	c.Check(w.out.String(), qt.Contains, `"msg":"log: lines left out","count":3`)
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
	dropped, ok := s.Allow(now.Add(time.Second))
	c.Check(ok, qt.IsTrue)
	c.Check(dropped, qt.Equals, int64(3))
}

package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Ring writes lines to a slow writer without ever holding up those that log: they
// put lines into a bounded ring, and one goroutine writes them. Lines for which there
// is no room are left out and counted; the count is a line of its own. It implements
// io.Writer and is safe for concurrent use.
type Ring struct {
	lines   chan []byte
	leftOut atomic.Uint64
	done    chan struct{}
	ended   chan struct{}
}

// NewRing starts a ring of a number of lines in front of a writer.
func NewRing(w io.Writer, lines int) *Ring {
	r := &Ring{lines: make(chan []byte, lines), done: make(chan struct{}), ended: make(chan struct{})}
	go r.run(w)
	return r
}

// Write puts a line into the ring, or leaves it out if the ring is full. It never
// fails.
func (r *Ring) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case r.lines <- kept:
	default:
		r.leftOut.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that were left out since the last count was written.
func (r *Ring) Dropped() uint64 { return r.leftOut.Load() }

// Close writes what is in the ring, but waits for it no longer than the limit. What
// is logged later is lost.
func (r *Ring) Close(limit time.Duration) {
	close(r.done)
	select {
	case <-r.ended:
	case <-time.After(limit):
	}
}

func (r *Ring) run(w io.Writer) {
	defer close(r.ended)
	for {
		select {
		case line := <-r.lines:
			r.write(w, line)
		case <-r.done:
			r.drain(w)
			return
		}
	}
}

func (r *Ring) drain(w io.Writer) {
	for {
		select {
		case line := <-r.lines:
			r.write(w, line)
		default:
			return
		}
	}
}

// write writes a line, and before it the count of those that were left out.
func (r *Ring) write(w io.Writer, line []byte) {
	if n := r.leftOut.Swap(0); n > 0 {
		// A log that can't be written has nowhere to say so.
		_, _ = fmt.Fprintf(w, `{"level":"warning","msg":"log: lines left out","count":%d}`+"\n", n)
	}
	// As above.
	_, _ = w.Write(line)
}

// Sampler lets a bounded number of lines a second through, and counts the others.
// What fails is not to be sampled.
type Sampler struct {
	perSecond int64
	second    atomic.Int64
	count     atomic.Int64
	leftOut   atomic.Int64
}

// NewSampler returns a sampler for a number of lines a second.
func NewSampler(perSecond int) *Sampler { return &Sampler{perSecond: int64(perSecond)} }

// Allow reports whether a line may be logged, and how many were not since the last
// that was.
func (s *Sampler) Allow(now time.Time) (leftOut int64, ok bool) {
	if second := now.Unix(); s.second.Swap(second) != second {
		s.count.Store(0)
	}
	if s.count.Add(1) > s.perSecond {
		s.leftOut.Add(1)
		return 0, false
	}
	return s.leftOut.Swap(0), true
}

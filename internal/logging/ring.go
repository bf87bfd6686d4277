package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Ring writes lines to a slow writer without blocking the goroutines that log. It
// buffers a limited number of lines, and one goroutine writes them. Lines that do not
// fit are dropped; their number is written as a separate line. Ring implements
// io.Writer and is safe for concurrent use.
type Ring struct {
	lines chan []byte
	// queued is the size of the buffered lines in bytes, maxBytes its limit.
	queued   atomic.Int64
	maxBytes int64
	dropped  atomic.Uint64
	done     chan struct{}
	stopped  chan struct{}
}

// meanLineBytes bounds the mean size of the buffered lines. Single lines may be longer: they show what callers have sent.
const meanLineBytes = 1 << 10

// NewRing starts a ring that buffers up to the given number of lines for a writer, and as many KB.
func NewRing(w io.Writer, lines int) *Ring {
	r := &Ring{
		lines: make(chan []byte, lines), maxBytes: int64(lines) * meanLineBytes, done: make(chan struct{}), stopped: make(chan struct{}),
	}
	go r.run(w)
	return r
}

// Write puts a line into the ring, or drops it if the ring is full. The error is
// always nil.
func (r *Ring) Write(line []byte) (int, error) {
	size := int64(len(line))
	if r.queued.Add(size) > r.maxBytes {
		r.drop(size)
		return len(line), nil
	}
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.drop(size)
	}
	return len(line), nil
}

// drop drops a line that does not fit.
func (r *Ring) drop(size int64) {
	r.queued.Add(-size)
	r.dropped.Add(1)
}

// Dropped returns the number of lines dropped since that number was last written.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

// Close writes the buffered lines and waits for this no longer than the timeout. Lines
// that are logged later are lost.
func (r *Ring) Close(timeout time.Duration) {
	close(r.done)
	select {
	case <-r.stopped:
	case <-time.After(timeout):
	}
}

func (r *Ring) run(w io.Writer) {
	defer close(r.stopped)
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

// write writes a line, preceded by the number of lines dropped before it if there are any.
func (r *Ring) write(w io.Writer, line []byte) {
	defer r.queued.Add(-int64(len(line)))
	if n := r.dropped.Swap(0); n > 0 {
		// An error of the log's writer can't be logged.
		_, _ = fmt.Fprintf(w, `{"level":"warning","msg":"log: lines left out","count":%d}`+"\n", n)
	}
	// As above: an error can't be logged.
	_, _ = w.Write(line)
}

// Sampler allows a limited number of lines a second and counts the others. It is not
// meant for lines that report failures.
type Sampler struct {
	perSecond int64
	second    atomic.Int64
	count     atomic.Int64
	dropped   atomic.Int64
}

// NewSampler returns a sampler that allows the given number of lines a second.
func NewSampler(perSecond int) *Sampler { return &Sampler{perSecond: int64(perSecond)} }

// Allow reports whether a line may be logged, and how many lines were dropped since
// the last allowed line.
func (s *Sampler) Allow(now time.Time) (dropped int64, ok bool) {
	if second := now.Unix(); s.second.Swap(second) != second {
		s.count.Store(0)
	}
	if s.count.Add(1) > s.perSecond {
		s.dropped.Add(1)
		return 0, false
	}
	return s.dropped.Swap(0), true
}

// Package bodies bounds the memory that the bodies of all requests or all answers of a host take together. Limits of single
// bodies don't: a few dozen callers, or calls to one faulty endpoint, would take more than a small host has.
//
// A body of up to SmallBytes takes no part in it: package intake counts it with its connection. A larger one reserves all
// that it may need at once, before it is read on, so that no body waits for memory while it holds some that others wait for.
// Reserved memory counts as used. It owns the budget; the bodies belong to their requests.
package bodies

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
)

// SmallBytes is the size up to which a body is read at once: that of nearly all bodies.
const SmallBytes = 64 << 10

// unknownPart is the part of the budget that one body of unknown length may take: it reserves all of it.
const unknownPart = 4

var (
	// ErrTooLarge is the error of a body that is larger than its limit.
	ErrTooLarge = errors.New("the body is larger than its limit")
	// ErrNoMemory is the error of a body for which there was no memory in time.
	ErrNoMemory = errors.New("the bodies of other calls take all memory that is set aside for bodies")
)

// Budget is memory for bodies. It is safe for concurrent use.
type Budget struct {
	limit  int64
	charge func(bytes int64)

	mu      sync.Mutex
	used    int64
	waiting []*waiter
}

// waiter waits for memory. granted is closed once it has it.
type waiter struct {
	bytes   int64
	granted chan struct{}
}

// New returns a budget of a number of bytes; 0 means no limit. Charge is told of all that is reserved, and, as negative
// numbers, released; it must not block.
func New(limit int64, charge func(bytes int64)) *Budget { return &Budget{limit: limit, charge: charge} }

// add reserves or releases bytes. The lock is held.
func (b *Budget) add(bytes int64) {
	b.used += bytes
	b.charge(bytes)
}

// Used returns the memory that is reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// reserve reserves memory. It waits, in order of arrival, until others have released enough or ctx ends.
func (b *Budget) reserve(ctx context.Context, bytes int64) error {
	b.mu.Lock()
	if b.fits(bytes) && len(b.waiting) == 0 {
		b.add(bytes)
		b.mu.Unlock()
		return nil
	}
	w := &waiter{bytes: bytes, granted: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		b.cancel(w)
		return ErrNoMemory
	}
}

// fits reports whether memory is free. A body that is larger than the whole budget fits if it is alone. The lock is held.
func (b *Budget) fits(bytes int64) bool {
	return b.limit <= 0 || b.used == 0 || b.used+bytes <= b.limit
}

// cancel ends the wait of a waiter, which may have been granted memory by then.
func (b *Budget) cancel(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	} else {
		b.add(-w.bytes)
	}
	b.grant()
}

func (b *Budget) release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(-bytes)
	b.grant()
}

// grant grants memory to those that have waited longest. The lock is held.
func (b *Budget) grant() {
	for len(b.waiting) > 0 && b.fits(b.waiting[0].bytes) {
		w := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.add(w.bytes)
		close(w.granted)
	}
}

// Lease is the memory that one request has reserved. The zero value has none.
type Lease struct {
	budget *Budget
	bytes  int64
}

func (l *Lease) add(b *Budget, bytes int64) {
	l.budget = b
	l.bytes += bytes
}

func (l *Lease) giveBack(bytes int64) {
	l.budget.release(bytes)
	l.bytes -= bytes
}

// Release gives the memory back. It has no effect on a lease without memory.
func (l *Lease) Release() {
	if l.bytes > 0 {
		l.budget.release(l.bytes)
	}
	l.bytes = 0
}

// Read reads a body of a length, or -1 if it is not known, of at most limit bytes. Memory for it is added to a lease, and
// waited for until ctx ends.
func (b *Budget) Read(ctx context.Context, lease *Lease, r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	if length >= 0 && IsSmall(length) {
		return readAll(r, make([]byte, length+1))
	}
	if length < 0 {
		return b.readUnknown(ctx, lease, r, limit)
	}
	if err := b.reserve(ctx, length); err != nil {
		return nil, err
	}
	lease.add(b, length)
	return readAll(r, make([]byte, length+1))
}

// readUnknown reads a body of unknown length.
func (b *Budget) readUnknown(ctx context.Context, lease *Lease, r io.Reader, limit int64) ([]byte, error) {
	head, err := io.ReadAll(io.LimitReader(r, min(SmallBytes, limit+1)))
	if err != nil || len(head) < SmallBytes {
		return head, checkSize(head, limit, err)
	}
	if b.limit > 0 {
		limit = min(limit, max(b.limit/unknownPart, SmallBytes))
	}
	if err := b.reserve(ctx, limit); err != nil {
		return nil, err
	}
	lease.add(b, limit)
	buffer := make([]byte, limit+1)
	read := copy(buffer, head)
	// io.ReadFull would not tell a body that was cut off from one that has ended.
	for err == nil && int64(read) <= limit {
		var n int
		n, err = r.Read(buffer[read:])
		read += n
	}
	switch {
	case int64(read) > limit:
		return nil, ErrTooLarge
	case err != io.EOF:
		return nil, err
	}
	lease.giveBack(limit - int64(read))
	return slices.Clone(buffer[:read]), nil
}

// IsSmall reports whether a body of a length is read without waiting for memory.
func IsSmall(length int64) bool { return length <= SmallBytes }

// readAll reads a body of known length into a buffer that is longer by one byte.
func readAll(r io.Reader, buffer []byte) ([]byte, error) {
	length := len(buffer) - 1
	if _, err := io.ReadFull(r, buffer[:length]); err != nil {
		return nil, err
	}
	return buffer[:length], checkEnd(r, buffer[length:])
}

// checkEnd reads the end of a body, upon which its connection can be used again. Spare takes a byte that follows.
func checkEnd(r io.Reader, spare []byte) error {
	switch n, err := r.Read(spare); {
	case n > 0:
		return ErrTooLarge
	case err == nil || err == io.EOF:
		return nil
	default:
		return err
	}
}

func checkSize(body []byte, limit int64, err error) error {
	if err == nil && int64(len(body)) > limit {
		return ErrTooLarge
	}
	return err
}

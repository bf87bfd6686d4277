package settings

import "sync"

// Revision is a tree with its revision number. Numbers increase with each accepted change.
type Revision struct {
	Number uint64
	Tree   *Tree
}

// Holder holds the revision in force on this host. The revision number only increases. It is
// safe for concurrent use.
type Holder struct {
	mu      sync.Mutex
	current *Revision
	changed chan struct{}
}

// NewHolder returns a holder without a revision.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Current returns the revision in force, or nil before the first.
func (h *Holder) Current() *Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Number returns the number of the revision in force, or 0 before the first.
func (h *Holder) Number() uint64 {
	if current := h.Current(); current != nil {
		return current.Number
	}
	return 0
}

// SetIfNewer puts a revision in force if its number is greater than that of the current one,
// and reports whether it did.
func (h *Holder) SetIfNewer(revision *Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil && revision.Number <= h.current.Number {
		return false
	}
	h.current = revision
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the next revision is put in force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

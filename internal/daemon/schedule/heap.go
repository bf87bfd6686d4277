package schedule

import "container/heap"

// indexedHeap is a heap whose elements know their place, so that each can be
// moved or removed. It puts container/heap behind typed methods.
type indexedHeap[T comparable] struct {
	elements []T
	less     func(a, b T) bool
	// index points at the place that an element keeps for this heap: one more
	// than its position, so that 0 means outside.
	index func(T) *int
}

// Len, Less, Swap, Push and Pop serve container/heap.
func (h *indexedHeap[T]) Len() int           { return len(h.elements) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.elements[i], h.elements[j]) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.index(h.elements[i]) = i + 1
	*h.index(h.elements[j]) = j + 1
}

// Push appends an element; use put.
func (h *indexedHeap[T]) Push(x any) {
	element := x.(T)
	h.elements = append(h.elements, element)
	*h.index(element) = len(h.elements)
}

// Pop removes the last element; use remove.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.elements) - 1
	element := h.elements[last]
	var zero T
	h.elements[last] = zero
	h.elements = h.elements[:last]
	*h.index(element) = 0
	return element
}

// put inserts an element, or moves it to its place if it is inside.
func (h *indexedHeap[T]) put(element T) {
	if i := *h.index(element); i > 0 {
		heap.Fix(h, i-1)
		return
	}
	heap.Push(h, element)
}

// remove removes an element if it is inside.
func (h *indexedHeap[T]) remove(element T) {
	if i := *h.index(element); i > 0 {
		heap.Remove(h, i-1)
	}
}

// first returns the least element.
func (h *indexedHeap[T]) first() (T, bool) {
	if len(h.elements) == 0 {
		var zero T
		return zero, false
	}
	return h.elements[0], true
}

package schedule

import "container/heap"

// indexedHeap is a heap whose elements store their position, so that any element can be moved or removed. It
// wraps container/heap in typed methods.
type indexedHeap[T comparable] struct {
	elements []T
	less     func(a, b T) bool
	// index returns a pointer to the position that an element stores for this heap. The stored value is the
	// index plus one, so that 0 means that the element is not in the heap.
	index func(T) *int
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *indexedHeap[T]) Len() int           { return len(h.elements) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.elements[i], h.elements[j]) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.index(h.elements[i]) = i + 1
	*h.index(h.elements[j]) = j + 1
}

// Push appends an element. Callers use put instead.
func (h *indexedHeap[T]) Push(x any) {
	element := x.(T)
	h.elements = append(h.elements, element)
	*h.index(element) = len(h.elements)
}

// Pop removes the last element. Callers use remove instead.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.elements) - 1
	element := h.elements[last]
	var zero T
	h.elements[last] = zero
	h.elements = h.elements[:last]
	*h.index(element) = 0
	return element
}

// put inserts an element, or restores its position if it is in the heap.
func (h *indexedHeap[T]) put(element T) {
	if i := *h.index(element); i > 0 {
		heap.Fix(h, i-1)
		return
	}
	heap.Push(h, element)
}

// remove removes an element if it is in the heap.
func (h *indexedHeap[T]) remove(element T) {
	if i := *h.index(element); i > 0 {
		heap.Remove(h, i-1)
	}
}

// first returns the minimum.
func (h *indexedHeap[T]) first() (T, bool) {
	if len(h.elements) == 0 {
		var zero T
		return zero, false
	}
	return h.elements[0], true
}

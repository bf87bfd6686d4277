// Package announce keeps the updates that a host of oxbowslip-front sends to its peers several times, since datagrams
// may be lost.
//
// It owns the list of updates that are still to be sent. The owner of a list decides when to send them, and locks the
// list.
package announce

// List holds values that are still to be announced, each a number of times. It is not safe for concurrent use.
type List[T any] struct {
	repeats int
	items   []item[T]
}

// item is a value with the number of announcements that are left.
type item[T any] struct {
	value T
	left  int
}

// New returns an empty list. Its values are announced once and then repeated a number of times.
func New[T any](repeats int) *List[T] { return &List[T]{repeats: repeats} }

// Add adds a value to announce.
func (l *List[T]) Add(value T) {
	l.items = append(l.items, item[T]{value: value, left: 1 + l.repeats})
}

// Unsent returns the values that have not been announced yet, and counts them as announced once.
func (l *List[T]) Unsent() []T {
	return l.take(func(i *item[T]) bool { return i.left > l.repeats })
}

// All returns all values, and counts each as announced once more.
func (l *List[T]) All() []T {
	return l.take(func(*item[T]) bool { return true })
}

// IsEmpty reports whether no announcement is left.
func (l *List[T]) IsEmpty() bool { return len(l.items) == 0 }

// take returns the values that are due, and removes those that have no announcements left.
func (l *List[T]) take(isDue func(*item[T]) bool) []T {
	var values []T
	left := l.items[:0]
	for _, i := range l.items {
		if isDue(&i) {
			values = append(values, i.value)
			i.left--
		}
		if i.left > 0 {
			left = append(left, i)
		}
	}
	clear(l.items[len(left):])
	l.items = left
	return values
}

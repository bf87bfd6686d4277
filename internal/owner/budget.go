package owner

import "sync"

// The bounds of a class's retry budget, in retries. A class may always retry a
// few times, so that rare requests can too, and can't save up a storm.
const (
	firstBudget = 5
	fullBudget  = 50
)

// ClassBudget bounds retries to a fraction of first tries, class by class, on
// this host alone.
type ClassBudget struct {
	mu   sync.Mutex
	left map[string]float64
}

// NewClassBudget makes a budget in which every class may retry a few times.
func NewClassBudget() *ClassBudget {
	return &ClassBudget{left: make(map[string]float64)}
}

// FirstTry adds what one first try earns.
func (b *ClassBudget) FirstTry(class string, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, ok := b.left[class]
	if !ok {
		left = firstBudget
	}
	b.left[class] = min(left+fraction, fullBudget)
}

// Has reports whether the class may retry once more.
func (b *ClassBudget) Has(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left[class] >= 1
}

// Spend takes one retry.
func (b *ClassBudget) Spend(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[class]--
}

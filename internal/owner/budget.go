package owner

import "sync"

// The bounds of a class's retry budget, in retries. A class may always retry a
// few times, so that rare requests can too, and can't save up a storm.
const (
	firstBudget = 5
	fullBudget  = 50
)

// budgets bounds retries to a fraction of first tries, class by class.
type budgets struct {
	mu   sync.Mutex
	left map[string]float64
}

func newBudgets() *budgets {
	return &budgets{left: make(map[string]float64)}
}

// firstTry adds what one first try earns.
func (b *budgets) firstTry(class string, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, ok := b.left[class]
	if !ok {
		left = firstBudget
	}
	b.left[class] = min(left+fraction, fullBudget)
}

// has reports whether the class may retry once more.
func (b *budgets) has(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left[class] >= 1
}

// spend takes one retry.
func (b *budgets) spend(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[class]--
}

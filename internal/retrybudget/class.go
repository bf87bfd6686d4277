package retrybudget

import "sync"

// The bounds of a class's balance, in retries. They let a class of a few requests retry at all, and keep one that
// rarely fails from saving up a storm.
const (
	firstBalance = 5
	fullBalance  = 50
)

// Class bounds the retries of each class to a fraction of its first tries, on this host
// alone.
type Class struct {
	mu sync.Mutex
	// balance is the retries that each class may still send.
	balance map[string]float64
}

// NewClass returns a budget in which every class may retry a few times.
func NewClass() *Class { return &Class{balance: make(map[string]float64)} }

// RecordFirstTry adds what one first try of a class earns.
func (b *Class) RecordFirstTry(class string, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance, ok := b.balance[class]
	if !ok {
		balance = firstBalance
	}
	b.balance[class] = min(balance+fraction, fullBalance)
}

// CanRetry reports whether the class may retry once more.
func (b *Class) CanRetry(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance[class] >= 1
}

// RecordRetry counts a retry.
func (b *Class) RecordRetry(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance[class]--
}

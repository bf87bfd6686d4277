package retrybudget

import (
	"sync"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// The bounds of a class's balance, in retries. The initial balance lets a class with few requests retry, and the
// maximum keeps a class that rarely fails from accumulating enough for a retry storm.
const (
	initialBalance = 5
	maxBalance     = 50
)

// Class bounds the retries of each class to a fraction of its first tries, on this host alone.
type Class struct {
	mu sync.Mutex
	// balance holds the number of retries that each class may still send.
	balance map[string]float64
}

// NewClass returns a budget in which every class may retry a few times.
func NewClass() *Class { return &Class{balance: make(map[string]float64)} }

// RecordFirstTry adds the fraction earned by a first try to the balance of a class.
func (b *Class) RecordFirstTry(class string, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance, ok := b.balance[class]
	if !ok {
		balance = initialBalance
	}
	b.balance[class] = min(balance+fraction, maxBalance)
}

// Reserve counts a retry if the class may retry once more.
func (b *Class) Reserve(class, _ string, _ bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance[class] < 1 {
		return false
	}
	b.balance[class]--
	return true
}

// Release takes back a retry that was counted.
func (b *Class) Release(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance[class]++
}

// Settle does nothing: a retry counts when it is sent.
func (b *Class) Settle(string) {}

// Leave does nothing.
func (b *Class) Leave(string, int, []request.Send) {}

// RecordAnswer does nothing.
func (b *Class) RecordAnswer(string, request.Send) {}

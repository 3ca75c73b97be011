// Package budget bounds repeated starts to a share of the first attempts.
package budget

import "sync"

// maxSaved is the number of repeats that a quiet time may save up.
const maxSaved = 50

// Budget grants repeats against deposits. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	share float64
	saved float64
}

// New returns an empty budget that grants share repeats for each first
// attempt.
func New(share float64) *Budget {
	return &Budget{share: share}
}

// SetShare changes the share of later deposits.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.share = share
}

// Deposit records first attempts.
func (b *Budget) Deposit(firstAttempts int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.saved = min(maxSaved, b.saved+b.share*float64(firstAttempts))
}

// Withdraw takes one repeat out of the budget and reports whether there was
// one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

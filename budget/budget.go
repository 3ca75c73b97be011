// Package budget limits repeated starts to a share of the first attempts, so that retries
// can't multiply the load.
package budget

import "sync"

// maxBalance is the number of repeats that can accumulate while few are needed.
const maxBalance = 50

// Budget is a retry budget: first attempts add to its balance, repeats are taken from it.
// It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	share   float64
	balance float64
}

// New returns an empty budget to which each first attempt adds share repeats.
func New(share float64) *Budget {
	return &Budget{share: share}
}

// SetShare sets the number of repeats that each later first attempt adds.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.share = share
}

// Deposit records first attempts.
func (b *Budget) Deposit(firstAttempts int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.balance = min(maxBalance, b.balance+b.share*float64(firstAttempts))
}

// Withdraw takes one repeat from the balance and reports whether it covered one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

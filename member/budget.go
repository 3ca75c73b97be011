package member

import (
	"sync"
	"time"
)

// maxDebt bounds the time for which a burst slows the heartbeats down.
const maxDebt = time.Minute

// budget is a leaky bucket of control traffic, which drains at the budgeted
// rate.
type budget struct {
	rate float64 // bytes per second

	mu    sync.Mutex
	level float64 // bytes
	at    time.Time
	total int64 // bytes since the start
	taken int64 // total at the last call of period
}

func newBudget(rate float64) *budget {
	return &budget{rate: rate, at: time.Now()}
}

// spend counts bytes that were sent or received.
func (b *budget) spend(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain()
	b.level += float64(n)
	b.level = min(b.level, b.rate*maxDebt.Seconds())
	b.total += int64(n)
}

// period returns the time that brings the bucket back to empty, when as many
// bytes are spent in it as since the last call.
func (b *budget) period() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain()

	recent := float64(b.total - b.taken)
	b.taken = b.total
	return time.Duration((b.level + recent) / b.rate * float64(time.Second))
}

// spent returns the bytes since the start.
func (b *budget) spent() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

func (b *budget) drain() {
	now := time.Now()
	b.level = max(0, b.level-b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

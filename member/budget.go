package member

import (
	"sync"
	"time"
)

// budget is a leaky bucket: every byte of control traffic fills it, and the
// next round of heartbeats waits until it has drained at the budgeted rate.
type budget struct {
	rate float64 // bytes per second

	mu    sync.Mutex
	level float64 // bytes
	at    time.Time
	total int64 // bytes since the start
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
	b.total += int64(n)

	// More than the longest period can't be waited for.
	b.level = min(b.level, b.rate*maxPeriod.Seconds())
}

// wait returns the time until the bucket is empty.
func (b *budget) wait() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain()
	return time.Duration(b.level / b.rate * float64(time.Second))
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

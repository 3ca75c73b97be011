package member

import (
	"sync"
	"time"
)

// maxDebt limits how long a burst slows the heartbeats down.
const maxDebt = time.Minute

// budget is a leaky bucket for control traffic that drains at the budgeted rate.
type budget struct {
	rate float64 // bytes per second

	mu        sync.Mutex
	level     float64 // bytes
	drainedAt time.Time
	total     int64 // bytes since the start
	lastTotal int64 // total at the last call of period
}

func newBudget(rate float64) *budget {
	return &budget{rate: rate, drainedAt: time.Now()}
}

// add counts n bytes sent or received.
func (b *budget) add(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain()
	b.level += float64(n)
	b.level = min(b.level, b.rate*maxDebt.Seconds())
	b.total += int64(n)
}

// period returns the time after which the bucket is empty, if as many bytes are
// added during that time as since the last call of period.
func (b *budget) period() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain()

	recent := float64(b.total - b.lastTotal)
	b.lastTotal = b.total
	return time.Duration((b.level + recent) / b.rate * float64(time.Second))
}

// totalBytes returns the number of bytes counted since the start.
func (b *budget) totalBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

func (b *budget) drain() {
	now := time.Now()
	b.level = max(0, b.level-b.rate*now.Sub(b.drainedAt).Seconds())
	b.drainedAt = now
}

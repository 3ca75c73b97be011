package learn

import (
	"slices"
	"sync"
	"time"
)

const (
	// keptTimeouts is the number of recent timeouts of a queue that are kept.
	keptTimeouts = 32

	// minTimeouts is the number of observations from which on a usual timeout is known.
	minTimeouts = 4

	// usualRank is the share of the timeouts that are shorter than the usual one. It is well
	// above one half, so that callers that submit a job again with what is left of their first
	// timeout don't count even when as many do so as submit new jobs.
	usualRank = 0.75
)

// Timeouts learns how long the callers of each queue usually wait for an answer. The zero
// value is ready to use and safe for concurrent use.
type Timeouts struct {
	mu     sync.Mutex
	queues map[string]*recent
}

// recent holds the latest durations, in a ring.
type recent struct {
	values []time.Duration
	next   int
}

// Observe records the timeout of one submission. It ignores a new queue beyond maxServices.
func (t *Timeouts) Observe(queue string, timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.queues == nil {
		t.queues = map[string]*recent{}
	}
	r := t.queues[queue]
	if r == nil {
		if len(t.queues) >= maxServices {
			return
		}
		r = &recent{}
		t.queues[queue] = r
	}
	if len(r.values) < keptTimeouts {
		r.values = append(r.values, timeout)
		return
	}
	r.values[r.next] = timeout
	r.next = (r.next + 1) % keptTimeouts
}

// Usual returns the usual timeout of the callers of a queue, and false before minTimeouts
// observations.
func (t *Timeouts) Usual(queue string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.queues[queue]
	if r == nil || len(r.values) < minTimeouts {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(r.values))
	return sorted[int(usualRank*float64(len(sorted)))], true
}

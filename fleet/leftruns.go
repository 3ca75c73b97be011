package fleet

import (
	"sync"
	"time"
)

// leftRuns records, by id, the jobs that had runs when this instance closed their home, until the leases have expired.
// The zero value is ready to use.
type leftRuns struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// Add records the jobs of a home that was closed.
func (l *leftRuns) Add(ids []string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = map[string]time.Time{}
	}
	for _, id := range ids {
		l.until[id] = until
	}
}

// Has reports whether runs of a job may be left.
func (l *leftRuns) Has(id string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until[id])
}

// RemoveExpired removes the jobs whose leases have expired.
func (l *leftRuns) RemoveExpired(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, until := range l.until {
		if !now.Before(until) {
			delete(l.until, id)
		}
	}
}

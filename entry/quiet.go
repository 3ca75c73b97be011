package entry

import (
	"sync"
	"time"
)

// maxRefusalLines is the number of log lines of refused requests in a second, for each status.
const maxRefusalLines = 20

// refusalLines decides which refused requests are logged. It answers to the load of callers whose requests
// are all refused: writing a line takes more processor time than the refusal.
type refusalLines struct {
	mu       sync.Mutex
	byStatus map[int]*refusalCount
}

type refusalCount struct {
	began      time.Time // of the second
	lines      int
	suppressed int // since the last line
}

// refusalLine is the decision on one line, with the number of lines that were suppressed before it.
type refusalLine struct {
	logged     bool
	suppressed int
}

// next decides on the line of a request that is refused now.
func (r *refusalLines) next(status int) refusalLine {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byStatus == nil {
		r.byStatus = map[int]*refusalCount{}
	}
	c := r.byStatus[status]
	if c == nil {
		c = &refusalCount{}
		r.byStatus[status] = c
	}
	if now.Sub(c.began) >= time.Second {
		c.began, c.lines = now, 0
	}
	if c.lines == maxRefusalLines {
		c.suppressed++
		return refusalLine{}
	}
	c.lines++
	line := refusalLine{logged: true, suppressed: c.suppressed}
	c.suppressed = 0
	return line
}

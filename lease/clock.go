// Package lease tracks, for the home of a worker (the entry instance that at present owns it),
// the runs on that worker, one run being one execution of a task: what they reserve, whether
// their starts are confirmed, and until when the worker may execute them. A lease is the
// permission to execute runs until a time on the worker's clock; it covers all runs on the
// worker and is extended by renewals.
package lease

import "time"

// maxDrift is how much slower a worker's clock may be than the local one.
const maxDrift = 0.02

// Clock estimates a worker's clock from its responses.
type Clock struct {
	millis int64
	at     time.Time
}

// Set sets the clock to that of a response received at a local time, in milliseconds. It
// ignores 0, which stands for a response without the clock.
func (c *Clock) Set(millis int64, at time.Time) {
	if millis > 0 {
		c.millis, c.at = millis, at
	}
}

// Known reports whether any response carried the worker's clock.
func (c *Clock) Known() bool { return !c.at.IsZero() }

// At returns the worker's clock at a local time, in milliseconds.
func (c *Clock) At(now time.Time) int64 { return c.millis + now.Sub(c.at).Milliseconds() }

// PassedAt returns the local time at which the worker's clock has certainly passed a value,
// even if it has been slow since the last response.
func (c *Clock) PassedAt(millis int64) time.Time {
	ahead := time.Duration(millis-c.millis) * time.Millisecond
	return c.at.Add(time.Duration(float64(ahead) * (1 + maxDrift)))
}

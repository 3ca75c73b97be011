// Package lease tracks, for the home of a worker (the entry instance that at present owns it),
// the runs on that worker, one run being one execution of a task: what they reserve, whether
// their starts are confirmed, and until when the worker may execute them. A lease is the
// permission to execute runs until a time on the worker's clock; it covers all runs on the
// worker and is extended by renewals.
package lease

import "time"

const (
	// maxDrift is how much slower a worker's clock may be than the local one.
	maxDrift = 0.02

	// clockResolution is the unit of the readings, in milliseconds.
	clockResolution = 1
)

// Clock estimates a worker's clock from its responses.
type Clock struct {
	millis int64
	at     time.Time
}

// Set sets the clock to that of a response received at a local time, in milliseconds. It
// ignores 0, which stands for a response without the clock, and a response that was under way
// for so long that the clock has certainly gone on since.
func (c *Clock) Set(millis int64, at time.Time) {
	if millis > 0 && (!c.Known() || millis >= c.Earliest(at)) {
		c.millis, c.at = millis, at
	}
}

// Known reports whether any response carried the worker's clock.
func (c *Clock) Known() bool { return !c.at.IsZero() }

// At returns the worker's clock at a local time, in milliseconds. It returns 0 for an unknown clock, by which
// every lease is over on arrival.
func (c *Clock) At(now time.Time) int64 {
	if !c.Known() {
		return 0
	}
	return c.millis + now.Sub(c.at).Milliseconds()
}

// Earliest returns the least value that the worker's clock can have had at a local time, in
// milliseconds.
func (c *Clock) Earliest(at time.Time) int64 {
	elapsed := at.Sub(c.at)
	rate := 1 - maxDrift
	if elapsed < 0 {
		rate = 1 + maxDrift
	}
	return c.millis + time.Duration(float64(elapsed)*rate).Milliseconds() - clockResolution
}

// PassedAt returns the local time at which the worker's clock has certainly passed a value,
// even if it has been slow since the last response.
func (c *Clock) PassedAt(millis int64) time.Time {
	ahead := time.Duration(millis-c.millis) * time.Millisecond
	return c.at.Add(time.Duration(float64(ahead) * (1 + maxDrift)))
}

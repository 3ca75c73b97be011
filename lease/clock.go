// Package lease keeps what the home of a worker knows of the runs there: what
// is ordered, what it claims, and until when the worker may still run it.
package lease

import "time"

// drift is how much slower a worker's clock may be than ours.
const drift = 0.02

// Clock estimates a worker's clock from its answers.
type Clock struct {
	millis int64
	at     time.Time
}

// Set takes the clock of an answer received at that time.
func (c *Clock) Set(millis int64, at time.Time) {
	if millis > 0 {
		c.millis, c.at = millis, at
	}
}

// Known reports whether the worker told its clock.
func (c *Clock) Known() bool { return !c.at.IsZero() }

// At returns the worker's clock at a local time, in milliseconds.
func (c *Clock) At(now time.Time) int64 { return c.millis + now.Sub(c.at).Milliseconds() }

// PassedAt returns the local time at which the worker's clock has surely passed
// a value, should it be slow since the last answer.
func (c *Clock) PassedAt(millis int64) time.Time {
	ahead := time.Duration(millis-c.millis) * time.Millisecond
	return c.at.Add(time.Duration(float64(ahead) * (1 + drift)))
}

package queue

import (
	"time"

	"foxtailmux/kernel"
)

// Order decides which of two jobs is served first.
type Order interface {
	Before(a, b *Job, now time.Time) bool
}

// Orders is the table of the queue orders.
var Orders kernel.Registry[Order]

package queue

import (
	"time"

	"foxtailmux/kernel"
)

// Order is a queue order. Before reports whether job a is served before job b.
type Order interface {
	Before(a, b *Job, now time.Time) bool
}

// Orders is the registry of the queue orders, by their name in the configuration.
var Orders kernel.Registry[Order]

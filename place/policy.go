// Package place decides which workers an instance may start tasks on and
// which of them takes the next task. Policies register themselves by name.
package place

import (
	"foxtailmux/kernel"
	"foxtailmux/worker"
)

// Candidate is a worker with room for the next task.
type Candidate struct {
	Worker    *worker.Worker
	FreeSlots int
}

// OwnerFunc tells which instance is the home of a worker.
type OwnerFunc func(workerID string) (instance string)

// Policy places tasks. MayStartOn reports whether the instance self may start tasks
// on the worker; Choose returns the index of the candidate that takes the
// next task. Choose is called with at least one candidate.
type Policy interface {
	MayStartOn(workerID, self string, owner OwnerFunc) bool
	Choose(candidates []Candidate) int
}

// Policies is the table of the placement policies.
var Policies kernel.Registry[Policy]

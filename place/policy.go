// Package place provides the placement policies, which decide on which workers an instance
// may start tasks and which of them runs the next task. Policies register themselves by
// name.
package place

import (
	"foxtailmux/kernel"
	"foxtailmux/worker"
)

// Candidate is a worker with enough free capacity for the next task.
type Candidate struct {
	Worker    *worker.Worker
	FreeSlots int
}

// OwnerFunc returns the instance that owns the slots of a worker.
type OwnerFunc func(workerID string) (instance string)

// Policy places tasks. MayStartOn reports whether the instance self may start tasks on a
// worker. Choose returns the index of the candidate that runs the next task; there is at
// least one candidate.
type Policy interface {
	MayStartOn(workerID, self string, owner OwnerFunc) bool
	Choose(candidates []Candidate) int
}

// Policies is the registry of the placement policies, by name.
var Policies kernel.Registry[Policy]

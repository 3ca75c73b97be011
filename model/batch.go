package model

import (
	"strconv"
	"time"
)

// Batch is a job of steps that each run a number of equal tasks. Its caller
// waits for the end; nobody asks for it later.
type Batch struct {
	ID    string `json:"id"`
	Queue string `json:"queue"` // name of the route that it came on
	Spec  string `json:"spec"`  // what its tasks run, passed on unread
	Steps []Step `json:"steps"`
}

// Step is a number of equal tasks. Earlier steps in After must be done before
// the first of them starts.
type Step struct {
	Replicas     int           `json:"replicas"`
	Needs        Resources     `json:"needs"`
	Estimate     time.Duration `json:"estimate"` // declared run time of one task
	After        []int         `json:"after,omitempty"`
	Label        string        `json:"label,omitempty"`        // the worker must carry it
	Rack         string        `json:"rack,omitempty"`         // where its data is
	MaxPerWorker int           `json:"maxPerWorker,omitempty"` // 0 is no limit
}

// Tasks returns the number of tasks of all steps.
func (b Batch) Tasks() int {
	n := 0
	for _, s := range b.Steps {
		n += s.Replicas
	}
	return n
}

// TaskName names one task of a batch for workers.
func (b Batch) TaskName(step, index int) string {
	return b.ID + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// Route is a queue of the configuration: which workers run its jobs and how.
type Route struct {
	Name              string        `json:"name"`
	Host              string        `json:"host"`
	Prefix            string        `json:"prefix"`
	Service           string        `json:"service"`
	Priority          int           `json:"priority"` // 0 comes first
	Attempts          int           `json:"attempts"` // failed runs of a task until its job fails
	Timeout           time.Duration `json:"timeout"`
	Stretch           float64       `json:"stretch"`           // a job is in time within Stretch times its longest chain
	Allowance         time.Duration `json:"allowance"`         // and this much more
	ExternalPlacement bool          `json:"advised,omitempty"` // an outside service picks its workers
}

// Routing is the configuration of the queues, as the platform's operator
// wrote it. Version only rises.
type Routing struct {
	Version int64         `json:"version"`
	Routes  []Route       `json:"routes"`
	Limits  RequestLimits `json:"limits"`
}

// RequestLimits bound the requests of callers, in bytes; 0 is no limit.
type RequestLimits struct {
	MaxHeader int `json:"maxHeader"`
	MaxBody   int `json:"maxBody"`
}

// FreeCapacity is what a home, the instance that at present owns the workers of a
// data centre, reports of its workers to the other instances, in thousandths of a
// core of CPU.
type FreeCapacity struct {
	Capacity int `json:"capacity"`
	Free     int `json:"free"`
	Waiting  int `json:"waiting"` // needed by waiting tasks
}

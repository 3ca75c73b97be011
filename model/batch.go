package model

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Batch is a job of a queue: steps that each run a number of equal tasks. Its caller waits
// for the answer on an open connection and does not query the job later.
type Batch struct {
	ID    string `json:"id"`
	Queue string `json:"queue"` // name of the route by which it was submitted
	Spec  string `json:"spec"`  // specification for the workers, passed on unparsed
	Steps []Step `json:"steps"`
}

// Step is a number of equal tasks. The first of them starts after all tasks of the steps
// in After, which are indexes of earlier steps, are done.
type Step struct {
	Replicas     int           `json:"replicas"`
	Needs        Resources     `json:"needs"`
	Estimate     time.Duration `json:"estimate"` // declared run time of one task
	After        []int         `json:"after,omitempty"`
	Label        string        `json:"label,omitempty"`        // label that the worker must have
	Rack         string        `json:"rack,omitempty"`         // rack that holds the data of the tasks
	MaxPerWorker int           `json:"maxPerWorker,omitempty"` // tasks on the same worker; 0 is no limit
}

// Tasks returns the number of tasks of all steps.
func (b Batch) Tasks() int {
	n := 0
	for _, s := range b.Steps {
		n += s.Replicas
	}
	return n
}

// Digest returns a hash of the specification and the steps: what the tasks of the job do.
func (b Batch) Digest() uint64 {
	d := xxhash.New()
	write := func(values ...any) { _, _ = fmt.Fprintln(d, values...) } // a digest accepts all bytes
	write(len(b.Spec), b.Spec, len(b.Steps))
	for _, s := range b.Steps {
		write(s.Replicas, s.Needs, int64(s.Estimate), s.After, strconv.Quote(s.Label), strconv.Quote(s.Rack), s.MaxPerWorker)
	}
	return d.Sum64()
}

// TaskName returns the name of a task on workers, which is unique among all jobs.
func (b Batch) TaskName(step, index int) string {
	return b.ID + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// Route is a queue of the configuration: which workers run its jobs and how. The queue receives
// the requests to Host whose path starts with Prefix, and Service is the pool of its workers.
// The objective of a job, the time within which its caller wants the answer, is Stretch times
// the estimated run time of its longest chain of steps, plus Allowance.
type Route struct {
	Name              string        `json:"name"`
	Host              string        `json:"host"`
	Prefix            string        `json:"prefix"`
	Service           string        `json:"service"`
	Priority          int           `json:"priority"` // 0 comes first
	Attempts          int           `json:"attempts"` // failed runs of a task after which its job fails
	Timeout           time.Duration `json:"timeout"`
	Stretch           float64       `json:"stretch"`
	Allowance         time.Duration `json:"allowance"`
	ExternalPlacement bool          `json:"advised,omitempty"` // an external service chooses the workers
}

// Routing is the configuration of the queues, as written by the platform's operator. Its
// version only increases.
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

// FreeCapacity is the CPU capacity of the healthy workers of a data centre, in thousandths of
// a core, and the part of it that is free. Its home, the instance that at present owns these
// workers, reports it to the other instances.
type FreeCapacity struct {
	Capacity int `json:"capacity"`
	Free     int `json:"free"`
	Waiting  int `json:"waiting"` // needs of the waiting tasks
}

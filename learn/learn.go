// Package learn estimates how long the tasks of a service run from what was
// observed. What a job declares is only a prior.
package learn

import (
	"sync"
	"time"
)

const (
	// decay is the weight of each new observation.
	decay = 0.02

	// priorWeight is how many observations a declaration counts for.
	priorWeight = 5

	// maxServices bounds the services that are remembered.
	maxServices = 4096
)

// Estimator keeps a decaying mean of the run times of each service. The zero
// value is ready and safe for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	services map[string]*record
}

type record struct {
	mean  float64 // seconds
	count int
}

// Observe records the run time of one task.
func (e *Estimator) Observe(service string, run time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()

	r := e.record(service)
	if r == nil {
		return
	}
	r.count++
	weight := max(decay, 1/float64(r.count))
	r.mean += weight * (run.Seconds() - r.mean)
}

// record returns nil for a new service when there are too many.
func (e *Estimator) record(service string) *record {
	if e.services == nil {
		e.services = map[string]*record{}
	}
	r, ok := e.services[service]
	if !ok {
		if len(e.services) >= maxServices {
			return nil
		}
		r = &record{}
		e.services[service] = r
	}
	return r
}

// Expect returns the expected run time of a task: the declaration while
// little was observed, then ever more the observed mean.
func (e *Estimator) Expect(service string, declared time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()

	r, ok := e.services[service]
	if !ok {
		return declared
	}
	n := float64(r.count)
	seconds := (declared.Seconds()*priorWeight + r.mean*n) / (priorWeight + n)
	return time.Duration(seconds * float64(time.Second))
}

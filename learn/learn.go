// Package learn estimates the run time of tasks from the observed run times of their
// service or queue. The run time that a job declares is only the prior.
package learn

import (
	"sync"
	"time"
)

const (
	// minWeight is the weight of a new observation once there are many.
	minWeight = 0.02

	// priorWeight is the number of observations that the declared run time counts for.
	priorWeight = 5

	// maxServices bounds the number of services in memory.
	maxServices = 4096
)

// Estimator keeps an exponential moving average of the run times of each service. The
// zero value is ready to use and safe for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	services map[string]*stats
}

// stats are the run times of one service.
type stats struct {
	mean  float64 // seconds
	count int
}

// Observe records the run time of one task. It ignores a new service beyond maxServices.
func (e *Estimator) Observe(service string, run time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()

	s := e.statsFor(service)
	if s == nil {
		return
	}
	s.count++
	weight := max(minWeight, 1/float64(s.count))
	s.mean += weight * (run.Seconds() - s.mean)
}

// statsFor returns the statistics of a service, and nil for a new service beyond maxServices.
func (e *Estimator) statsFor(service string) *stats {
	if e.services == nil {
		e.services = map[string]*stats{}
	}
	s, ok := e.services[service]
	if !ok {
		if len(e.services) >= maxServices {
			return nil
		}
		s = &stats{}
		e.services[service] = s
	}
	return s
}

// Expect returns the expected run time of a task: the declared one before the first
// observation, and closer to the observed mean with each further one.
func (e *Estimator) Expect(service string, declared time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()

	s, ok := e.services[service]
	if !ok {
		return declared
	}
	n := float64(s.count)
	seconds := (declared.Seconds()*priorWeight + s.mean*n) / (priorWeight + n)
	return time.Duration(seconds * float64(time.Second))
}

// Package drain decides what happens while an operator drains data centres: nothing more is started
// on the workers of a drained data centre until the operator takes the request back. The package
// does no I/O. It is used for the load of a data centre that has to move at once: its new jobs and
// its waiting jobs go to the others, and its running tasks are let end there.
package drain

import (
	"maps"
	"slices"
	"time"
)

const (
	// finishTime is how long after an instance has read a request the jobs that have begun in the
	// data centre may start their remaining tasks there. As no other job starts there, the running
	// tasks release the capacity for them. Tasks last up to a second, and users allow 5 s from the
	// acknowledgement of a request until nothing starts any more, up to 3 s of which an instance
	// may need to read it.
	finishTime = time.Second

	// RetryDelay is the time after which callers should retry that were refused since all data
	// centres are drained. Nobody can tell when a request is taken back; a retry that comes too
	// early costs a refusal.
	RetryDelay = time.Second
)

// Set lists the requests that were in force at a version of the operator's table: the versions of
// their rows, by data centre.
type Set struct {
	Version int64            `json:"version"`
	Rows    map[string]int64 `json:"rows,omitempty"`
}

// Request is a request to drain a data centre. Since is when this instance read it, and zero if it may
// have been in force for any time before.
type Request struct {
	Version int64     `json:"version"` // of its row
	Since   time.Time `json:"since,omitzero"`
}

// Requests are the requests that an instance acts on. A nil *Requests has none. It is never changed.
type Requests struct {
	version      int64
	byDataCentre map[string]Request
}

// Update returns the requests after a set was read at a time. It reports false, and returns the same
// requests, if the set is not newer. Fresh reports that the requests new in the set were made just
// now. Requests that were in force before keep their time.
func (r *Requests) Update(s Set, now time.Time, fresh bool) (*Requests, bool) {
	if r != nil && s.Version <= r.version {
		return r, false
	}
	next := &Requests{version: s.Version, byDataCentre: make(map[string]Request, len(s.Rows))}
	for dc, version := range s.Rows {
		request := Request{Version: version}
		if old, ok := r.Of(dc); ok {
			request.Since = old.Since
		} else if fresh {
			request.Since = now
		}
		next.byDataCentre[dc] = request
	}
	return next, true
}

// Version returns the version of the operator's table of which these are the requests, 0 if none is
// known.
func (r *Requests) Version() int64 {
	if r == nil {
		return 0
	}
	return r.version
}

// Set returns the requests for another instance.
func (r *Requests) Set() Set {
	s := Set{Version: r.Version()}
	for dc, request := range r.All() {
		if s.Rows == nil {
			s.Rows = map[string]int64{}
		}
		s.Rows[dc] = request.Version
	}
	return s
}

// All returns the requests by data centre. The caller must not change the map.
func (r *Requests) All() map[string]Request {
	if r == nil {
		return nil
	}
	return r.byDataCentre
}

// Of returns the request to drain a data centre, and false if there is none.
func (r *Requests) Of(dataCentre string) (Request, bool) {
	request, ok := r.All()[dataCentre]
	return request, ok
}

// AllDrained reports whether none of the known data centres may start a task, so that jobs are
// refused at once instead of waiting for a home. Without a known data centre it reports false.
func (r *Requests) AllDrained(dataCentres []string) bool {
	if len(dataCentres) == 0 || len(r.All()) == 0 {
		return false
	}
	return !slices.ContainsFunc(dataCentres, func(dc string) bool { _, ok := r.Of(dc); return !ok })
}

// Difference returns the data centres that are drained after an update and were not before, and
// those that were taken back, both sorted.
func Difference(before, after *Requests) (drained, takenBack []string) {
	for dc := range after.All() {
		if _, ok := before.Of(dc); !ok {
			drained = append(drained, dc)
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(before.All())) {
		if _, ok := after.Of(dc); !ok {
			takenBack = append(takenBack, dc)
		}
	}
	slices.Sort(drained)
	return drained, takenBack
}

// Job describes a job at the home of a drained data centre.
type Job struct {
	Begun  bool // a task has been started there
	MayRun bool // a task runs or may run there
}

// Action is what the home of a drained data centre does with a job that waits.
type Action int

// Actions for a waiting job. HandBack: its origin submits it elsewhere with the tasks that are done.
// Start: its tasks are started as usual. Keep: it waits until its running tasks have ended.
const (
	HandBack Action = iota
	Start
	Keep
)

// Decide returns what happens to a waiting job. A job that has begun is finished in the data centre if
// that takes little time, since its other tasks could start elsewhere only after the running ones have
// ended: two homes must never have the same task. Whatever has no run here goes at once.
func (r Request) Decide(j Job, now time.Time) Action {
	switch {
	case j.Begun && now.Sub(r.Since) < finishTime:
		return Start
	case j.MayRun:
		return Keep
	}
	return HandBack
}

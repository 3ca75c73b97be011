package lease

import (
	"time"

	"foxtailmux/model"
)

// expiryMargin covers the time that a worker needs to kill the runs of an expired lease, and
// the delay of timers.
const expiryMargin = 100 * time.Millisecond

// runState is the state of a run as far as the home has learned it.
type runState int

const (
	startSent   runState = iota // the start was sent and has no response yet
	running                     // the start was confirmed
	unconfirmed                 // the start or stop got no response
	stopping                    // its stop was sent or confirmed
	inherited                   // started by an earlier home and not adopted yet
)

// trackedRun is a run with its state.
type trackedRun struct {
	Run
	state        runState
	leaseEnd     int64     // end of the lease given with the start, on the worker's clock
	stateSetAt   time.Time // when state was last set to running, stopping or inherited
	seenClock    int64     // worker's clock until which the worker certainly has the run
	unlisted     bool      // its start has a response, and no report of the incarnation has listed it yet
	percent      int
	percentAt    time.Time
	startedAt    time.Time
	needsUnknown bool // its needs are unknown, so none are reserved
	unwanted     bool // it has to be stopped, even if a report lists it
	stopMissed   bool // it is unwanted, and its last stop got no response or was refused
}

// Tracker tracks the runs on one worker. A run keeps its resources reserved until it has
// certainly ended. It is not safe for concurrent use.
type Tracker struct {
	Clock Clock

	capacity    model.Resources
	maxLease    time.Duration
	runs        map[string]*trackedRun // by task
	lateStarts  map[string]lateStart   // starts without a response, by task
	used        model.Resources
	unsizedRuns int // runs whose needs are unknown
	missedStops int // runs with stopMissed

	lastEndSeen  int64 // sequence number of the last ended run that was processed
	lastEndAcked int64 // sequence number up to which ended runs are acknowledged
	incarnation  int64
	lastLeaseEnd int64     // latest end of any granted lease, on the worker's clock
	lastResponse time.Time // when the worker last responded

	incarnationAt     time.Time // when the incarnation was first heard of
	outdatedResponses int       // in a row

	lastReport      time.Time // when the last report was received
	lastReportClock int64     // worker's clock in the last report
}

// NewTracker returns the tracker of a worker with a capacity, whose leases last maxLease at
// most.
func NewTracker(capacity model.Resources, maxLease time.Duration) *Tracker {
	return &Tracker{capacity: capacity, maxLease: maxLease, runs: map[string]*trackedRun{}, lateStarts: map[string]lateStart{}}
}

// SetCapacity replaces the capacity with the one that the worker reports.
func (t *Tracker) SetCapacity(capacity model.Resources) { t.capacity = capacity }

// GrantLease returns the end of the lease for a start or renewal that is sent now, on the
// worker's clock in milliseconds, and records it as granted. It is certainly over at the local time latest.
func (t *Tracker) GrantLease(now, latest time.Time) int64 {
	length := min(t.maxLease, time.Duration(float64(latest.Sub(now))/(1+maxDrift)))
	leaseEnd := t.Clock.At(now) + max(length, 0).Milliseconds()
	t.lastLeaseEnd = max(t.lastLeaseEnd, leaseEnd)
	return leaseEnd
}

// LastEndSeen returns the sequence number of the last ended run that was processed.
func (t *Tracker) LastEndSeen() int64 { return t.lastEndSeen }

// HasUnackedEnds reports whether the worker still keeps ended runs that were processed here.
func (t *Tracker) HasUnackedEnds() bool { return t.lastEndSeen > t.lastEndAcked }

// Incarnation returns the incarnation that the worker last reported, 0 if unknown.
func (t *Tracker) Incarnation() int64 { return t.incarnation }

// Len returns the number of runs that have not certainly ended.
func (t *Tracker) Len() int { return len(t.runs) }

// Free returns the capacity that no run reserves: none while there is an inherited run, whose
// needs are unknown.
func (t *Tracker) Free() model.Resources {
	if t.unsizedRuns > 0 {
		return model.Resources{}
	}
	return t.capacity.Minus(t.used)
}

// Capacity returns the capacity of the worker.
func (t *Tracker) Capacity() model.Resources { return t.capacity }

// Has reports whether a run of the task may be on the worker.
func (t *Tracker) Has(task string) bool { return t.runs[task] != nil }

// IsRunning reports whether a run of the task is confirmed and not being stopped.
func (t *Tracker) IsRunning(task string) bool {
	e := t.runs[task]
	return e != nil && e.state == running
}

// RecordStart tracks the run of a start request that is about to be sent.
func (t *Tracker) RecordStart(r Run, leaseEnd int64, now time.Time) {
	t.runs[r.Task] = &trackedRun{Run: r, state: startSent, leaseEnd: leaseEnd, startedAt: now, percentAt: now}
	t.used = t.used.Plus(r.Needs)
}

// ConfirmStart records that a start was carried out. It reports false for a run that is not
// tracked.
func (t *Tracker) ConfirmStart(task string, run int64, now time.Time) bool {
	e := t.find(task, run)
	if e == nil {
		return false
	}
	e.state, e.stateSetAt, e.seenClock, e.unlisted = running, now, t.Clock.At(now), true
	return true
}

// RecordResend records that a start without a response is sent again, and returns the end of
// its new lease, which is over at the local time latest. The run keeps its number, so that the worker carries out only one of the two.
// It reports false if the run is not tracked or its start has a response.
func (t *Tracker) RecordResend(task string, run int64, now, latest time.Time) (leaseEnd int64, ok bool) {
	e := t.find(task, run)
	if e == nil || e.state != startSent {
		return 0, false
	}
	t.rememberLateStart(e.Run, now)
	e.leaseEnd = t.GrantLease(now, latest)
	return e.leaseEnd, true
}

// MarkUnconfirmed records that a start or a stop got no response. A run that is marked as
// stopping stays so.
func (t *Tracker) MarkUnconfirmed(task string, run int64, now time.Time) {
	e := t.find(task, run)
	if e == nil {
		return
	}
	if e.state == stopping {
		return
	}
	if e.state == startSent {
		t.rememberLateStart(e.Run, now)
	}
	e.state = unconfirmed
}

// MarkUnwanted records that a run has to be stopped, even if a report lists it.
func (t *Tracker) MarkUnwanted(task string, run int64) {
	if e := t.find(task, run); e != nil {
		e.unwanted = true
	}
}

// MarkStopping records that the stop of a run is about to be sent or was confirmed: the run
// ends soon or never begins.
func (t *Tracker) MarkStopping(task string, run int64, now time.Time) {
	if e := t.find(task, run); e != nil {
		e.state, e.stateSetAt, e.unlisted = stopping, now, false
		t.setStopMissed(e, false)
	}
}

// MarkStopMissed records that the stop of a run got no response or was refused. It has no effect on a run
// whose task is still wanted, such as one that is moved.
func (t *Tracker) MarkStopMissed(task string, run int64) {
	if e := t.find(task, run); e != nil && e.unwanted {
		t.setStopMissed(e, true)
	}
}

func (t *Tracker) setStopMissed(e *trackedRun, missed bool) {
	if e.stopMissed == missed {
		return
	}
	e.stopMissed = missed
	if missed {
		t.missedStops++
	} else {
		t.missedStops--
	}
}

// HasMissedStop reports whether the stop of an unwanted run got no response or was refused. The run ends
// with the lease of the worker unless a later stop is confirmed.
func (t *Tracker) HasMissedStop() bool { return t.missedStops > 0 }

// Remove removes a run that is certainly not on the worker.
func (t *Tracker) Remove(task string, run int64) {
	if e := t.find(task, run); e != nil {
		t.remove(e)
	}
}

// Adopt reserves the needs of an inherited run and returns its number. It is called by the home
// that continues the run's job. It reports false if the worker has no such run.
func (t *Tracker) Adopt(task string, needs model.Resources, now time.Time) (run int64, ok bool) {
	e := t.runs[task]
	if e == nil || e.state != inherited {
		return 0, false
	}
	t.unsizedRuns--
	e.needsUnknown = false
	e.state, e.Needs, e.stateSetAt = running, needs, now
	t.used = t.used.Plus(needs)
	return e.Number, true
}

// HasInherited reports whether there are runs that an earlier home started and that are not
// adopted, those that are being stopped included.
func (t *Tracker) HasInherited() bool { return t.unsizedRuns > 0 }

// Inherited lists the runs that an earlier home started and that are not adopted yet.
func (t *Tracker) Inherited() []Run {
	var list []Run
	for _, e := range t.runs {
		if e.state == inherited {
			list = append(list, e.Run)
		}
	}
	return list
}

// Runs lists all tracked runs.
func (t *Tracker) Runs() []Run {
	list := make([]Run, 0, len(t.runs))
	for _, e := range t.runs {
		list = append(list, e.Run)
	}
	return list
}

func (t *Tracker) find(task string, run int64) *trackedRun {
	if e := t.runs[task]; e != nil && e.Number == run {
		return e
	}
	return nil
}

func (t *Tracker) remove(e *trackedRun) {
	delete(t.runs, e.Task)
	t.setStopMissed(e, false)
	if e.needsUnknown {
		t.unsizedRuns--
		return
	}
	t.used = t.used.Minus(e.Needs)
}

package fleet

import (
	"errors"

	"foxtailmux/drain"
	"foxtailmux/home"
	"foxtailmux/peer"
)

// forwarding is the routing state of one job, or of one part of it, while it is
// forwarded from home to home. It only decides and does no I/O: Instance.forward
// carries out its decisions. Covers jobs whose home fails or is at capacity. A job that
// a home may have begun stays with that data centre, whose next home can find the
// tasks that still run: a home in another data centre could run a task twice at the
// same time.
type forwarding struct {
	localDC       string // data centre of this instance
	target        string
	resumed       bool           // a home may have begun the job
	immediate     bool           // the next home starts the job at once or declines it
	noRedirect    bool           // the next home must not send the job elsewhere
	doneTasks     []string       // tasks that earlier homes reported as done
	maybeRunning  []string       // tasks that the last home may have left running
	leftRuns      []home.LeftRun // of those of which all runs are known
	tasksReported bool           // maybeRunning and leftRuns were reported by the last home
	part          *home.Part
	unreachable   map[string]bool // data centres whose home could not be reached or has handed the job back
	mustRun       bool            // tasks of the job may have run, none runs now, and any home may continue it
	allDrained    bool            // no data centre may start tasks
}

func newForwarding(localDC string) *forwarding {
	return &forwarding{localDC: localDC, target: localDC, unreachable: map[string]bool{}}
}

// annotate fills in what the next home has to know about the earlier attempts.
func (j *forwarding) annotate(s *home.Submission) {
	s.Resumed, s.Immediate, s.NoRedirect = j.resumed || j.mustRun, j.immediate, j.noRedirect
	s.Done, s.MaybeRunning, s.LeftRuns, s.TasksReported, s.Part = j.doneTasks, j.maybeRunning, j.leftRuns, j.tasksReported, j.part
}

// decision is the next step after an attempt at a home.
type decision int

const (
	returnOutcome    decision = iota // return the outcome to the caller
	tryTarget                        // try the home of the target data centre
	retryAtLaterHome                 // try the target again once it has a later home
)

// decide returns the next step after an attempt at a data centre. Err is set if there
// was no response or the request was refused; outcome is empty then.
func (j *forwarding) decide(dataCentre string, outcome home.Outcome, err error) decision {
	switch {
	case err != nil && notAccepted(err):
		return j.decideUnreachable(dataCentre)
	case err == nil && outcome.Result == home.Moved && outcome.NotTaken:
		j.immediate, j.target = false, dataCentre // what earlier homes reported still holds
		return retryAtLaterHome
	case err != nil, outcome.Result == home.Moved:
		j.resumed, j.immediate, j.target = true, false, dataCentre
		j.doneTasks = append(j.doneTasks, outcome.Done...)
		j.maybeRunning, j.leftRuns, j.tasksReported = outcome.MaybeRunning, outcome.LeftRuns, err == nil
		return retryAtLaterHome
	case outcome.Result == home.Drained:
		j.handOver(dataCentre, outcome)
		return tryTarget
	case outcome.Result == home.Redirected:
		j.target, j.immediate = outcome.DataCentre, true
		return tryTarget
	case outcome.Result == home.Busy && j.part != nil:
		// Other parts may have begun, so this part can no longer be refused.
		j.target, j.immediate, j.noRedirect = j.localDC, false, true
		j.resumed, j.tasksReported = true, true
		return tryTarget
	case outcome.Result == home.Busy:
		j.target, j.immediate, j.noRedirect = j.localDC, false, true
		return tryTarget
	}
	return returnOutcome
}

// handOver frees the job for other data centres after the home of a drained one has handed it back. That
// home has made sure that none of its tasks runs there. A job of which tasks may have run must not be
// refused any more.
func (j *forwarding) handOver(dataCentre string, o home.Outcome) {
	j.mustRun = j.mustRun || j.resumed || j.part != nil || o.Begun || len(o.Done) > 0
	j.doneTasks = append(j.doneTasks, o.Done...)
	j.resumed, j.maybeRunning, j.leftRuns, j.tasksReported = false, nil, nil, j.mustRun
	j.unreachable[dataCentre] = true
	j.target, j.immediate = j.localDC, false
}

// decideUnreachable returns the next step after an attempt that started nothing.
func (j *forwarding) decideUnreachable(dataCentre string) decision {
	if j.resumed {
		return tryTarget // a new home may be about to take over
	}
	j.unreachable[dataCentre] = true
	j.target, j.immediate, j.noRedirect = j.localDC, false, true
	return tryTarget
}

// failure returns the outcome of a job for which no home was found.
func (j *forwarding) failure() home.Outcome {
	if j.resumed || j.mustRun {
		return home.Outcome{Result: home.Lost, Reason: "the home of the job is out of reach"}
	}
	if j.allDrained {
		return home.Outcome{Result: home.Refused, Reason: "all data centres are drained", RetryAfter: drain.RetryDelay}
	}
	return home.Outcome{Result: home.Refused, Reason: "no home is in reach", RetryAfter: homeTimeout}
}

// notAccepted reports whether a request counts as having started nothing: it was not
// delivered, or its receiver refused it, such as an instance that is not the home.
func notAccepted(err error) bool {
	if errors.Is(err, errNotHome) {
		return true
	}
	var e *peer.Error
	if !errors.As(err, &e) {
		return false
	}
	return !e.Sent() || e.Kind == peer.Refused
}

package fleet

import (
	"errors"

	"foxtailmux/home"
	"foxtailmux/peer"
)

// forwarding is the way of one job from home to home. It decides without input or
// output; Run carries out what it says. A job that a home may have begun stays
// with that data centre, whose later home finds what still runs: a second home
// elsewhere could run a task twice at the same time.
type forwarding struct {
	own     string // data centre of this instance
	target  string
	resumed bool     // a home may have begun the job
	spill   bool     // start at once or not at all
	settled bool     // take it without sending it elsewhere
	done    []string // tasks that earlier homes saw done
	begun   []string // tasks that the last home may have left running
	told    bool     // the last home told so
	part    *home.Part
	avoid   map[string]bool // data centres whose home was not reached
}

func newForwarding(own string) *forwarding {
	return &forwarding{own: own, target: own, avoid: map[string]bool{}}
}

// mark tells the next home what is known of the job.
func (j *forwarding) mark(s *home.Submission) {
	s.Resumed, s.Immediate, s.NoRedirect = j.resumed, j.spill, j.settled
	s.Done, s.MaybeRunning, s.TasksReported, s.Part = j.done, j.begun, j.told, j.part
}

// nextStep is what follows after a home answered, or did not.
type nextStep int

const (
	answered   nextStep = iota // the outcome goes to the caller
	tryNext                    // try the target
	awaitLater                 // try the target once it has a later home
)

// take decides on the outcome of a try at a data centre.
func (j *forwarding) take(dataCentre string, outcome home.Outcome, err error) nextStep {
	switch {
	case err != nil && unsent(err):
		return j.unreached(dataCentre)
	case err != nil, outcome.Result == home.Moved:
		j.resumed, j.spill, j.target = true, false, dataCentre
		j.done = append(j.done, outcome.Done...)
		j.begun, j.told = outcome.MaybeRunning, err == nil
		return awaitLater
	case outcome.Result == home.Redirected:
		j.target, j.spill = outcome.DataCentre, true
		return tryNext
	case outcome.Result == home.Busy && j.part != nil:
		// Other parts may have begun: this one can't be refused any more.
		j.target, j.spill, j.settled = j.own, false, true
		j.resumed, j.told = true, true
		return tryNext
	case outcome.Result == home.Busy:
		j.target, j.spill, j.settled = j.own, false, true
		return tryNext
	}
	return answered
}

// unreached is the decision on a try that no home took.
func (j *forwarding) unreached(dataCentre string) nextStep {
	if j.resumed {
		return tryNext // the home may still be on its way
	}
	j.avoid[dataCentre] = true
	j.target, j.spill, j.settled = j.own, false, true
	return tryNext
}

// end is the outcome of a job that no home takes.
func (j *forwarding) end() home.Outcome {
	if j.resumed {
		return home.Outcome{Result: home.Lost, Reason: "the home of the job is out of reach"}
	}
	return home.Outcome{Result: home.Refused, Reason: "no home is in reach", RetryAfter: homeWait}
}

// unsent reports whether a call did not reach a handler, or one that is not
// the home.
func unsent(err error) bool {
	if errors.Is(err, errNoHome) {
		return true
	}
	var e *peer.Error
	if !errors.As(err, &e) {
		return false
	}
	return !e.Sent() || e.Kind == peer.Refused
}

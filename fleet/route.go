package fleet

import (
	"errors"

	"foxtailmux/home"
	"foxtailmux/peer"
)

// journey is the way of one job from home to home. It decides without input or
// output; Run carries out what it says. A job that a home may have begun stays
// with that data centre, whose later home finds what still runs: a second home
// elsewhere could run a task twice at the same time.
type journey struct {
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

func newJourney(own string) *journey {
	return &journey{own: own, target: own, avoid: map[string]bool{}}
}

// mark tells the next home what is known of the job.
func (j *journey) mark(s *home.Submission) {
	s.Resumed, s.Spill, s.Settled = j.resumed, j.spill, j.settled
	s.Done, s.Begun, s.Told, s.Part = j.done, j.begun, j.told, j.part
}

// turn is what follows after a home answered, or did not.
type turn int

const (
	answered turn = iota // the outcome goes to the caller
	onwards              // try the target
	succeed              // try the target once it has a later home
)

// take decides on the outcome of a try at a data centre.
func (j *journey) take(dataCentre string, outcome home.Outcome, err error) turn {
	switch {
	case err != nil && unsent(err):
		return j.unreached(dataCentre)
	case err != nil, outcome.Verdict == home.Moved:
		j.resumed, j.spill, j.target = true, false, dataCentre
		j.done = append(j.done, outcome.Done...)
		j.begun, j.told = outcome.Begun, err == nil
		return succeed
	case outcome.Verdict == home.Redirected:
		j.target, j.spill = outcome.DataCentre, true
		return onwards
	case outcome.Verdict == home.Busy && j.part != nil:
		// Other parts may have begun: this one can't be refused any more.
		j.target, j.spill, j.settled = j.own, false, true
		j.resumed, j.told = true, true
		return onwards
	case outcome.Verdict == home.Busy:
		j.target, j.spill, j.settled = j.own, false, true
		return onwards
	}
	return answered
}

// unreached is the decision on a try that no home took.
func (j *journey) unreached(dataCentre string) turn {
	if j.resumed {
		return onwards // the home may still be on its way
	}
	j.avoid[dataCentre] = true
	j.target, j.spill, j.settled = j.own, false, true
	return onwards
}

// end is the outcome of a job that no home takes.
func (j *journey) end() home.Outcome {
	if j.resumed {
		return home.Outcome{Verdict: home.Lost, Reason: "the home of the job is out of reach"}
	}
	return home.Outcome{Verdict: home.Refused, Reason: "no home is in reach", RetryAfter: homeWait}
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

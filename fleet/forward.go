package fleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/home"
	"foxtailmux/plan"
)

const (
	// homeTimeout is how long a job waits for a live home. Replacing a home that stopped
	// sending heartbeats takes little more than a second.
	homeTimeout = 1500 * time.Millisecond

	// maxForwards bounds the attempts to hand one job to a home.
	maxForwards = 6
)

// errNotHome is returned by an instance that is not, or no longer, the home of the data
// centre.
var errNotHome = eris.New("not the home of the data centre")

// Run runs a job at the home of this instance's data centre, at the home of another one,
// or in parts at several homes. This instance is the origin of the job: it holds the
// connection of its caller.
func (in *Instance) Run(ctx context.Context, s home.Submission) home.Outcome {
	began := time.Now().Add(-s.Age)
	s.TimeLeft += s.Age
	s.Origin, s.Incarnation = in.self.Instance, in.self.Incarnation
	s.Request = in.requests.Add(1)
	s.Whole, s.Content = in.askingPaused(), s.Batch.Digest()
	outcome := in.forward(ctx, s, newForwarding(in.self.DataCentre), began)
	if outcome.Result != home.NoCapacity {
		return outcome
	}

	if parts := in.findParts(ctx, s, time.Since(began), outcome.StartableTasks); parts != nil {
		return in.runParts(ctx, s, parts, began)
	}
	if !outcome.AcceptedWhole {
		outcome.Result = home.Refused
		return outcome
	}
	j := newForwarding(in.self.DataCentre)
	j.noRedirect, s.Whole = true, true
	return in.forward(ctx, s, j, began)
}

// forward hands a job, or a part of one, to one home after the other until it has a final
// outcome, at most maxForwards times.
func (in *Instance) forward(ctx context.Context, s home.Submission, j *forwarding, began time.Time) home.Outcome {
	deadline := began.Add(s.TimeLeft)
	var begun attempt
	for range maxForwards {
		dc, token, ok := in.awaitHome(ctx, j, homeWaitLimit(s, j.resumed || j.mustRun, time.Since(began), in.homeMissingFor()))
		if !ok {
			recordNoHome(ctx, s, j.target, time.Since(began))
			j.allDrained = in.allDrained()
			break
		}
		j.annotate(&s)
		s.Age, s.TimeLeft, s.Number = time.Since(began), time.Until(deadline), in.submissions.Add(1)
		in.reserveUntilHeartbeat(dc, s)
		owner, sentTo := in.homeOf(dc)
		end := beginAttempt(s, owner.Instance, sentTo)
		outcome, err := in.submit(ctx, dc, owner, s)
		end(ctx, outcome, err)
		if mayHaveBegun(outcome, err) {
			begun = attempt{dataCentre: dc, token: token, submission: s}
		}
		if ctx.Err() != nil {
			in.cancelAtLaterHome(begun)
			return home.Outcome{Result: home.Cancelled, Reason: "its caller went away"}
		}
		if err != nil {
			in.log.Warn().Stringer("job", s.Key()).Str("home", dc).Int64("token", token).Int64("submission", s.Number).
				Bool("unsent", notAccepted(err)).Err(err).Msg("home did not answer")
		}
		switch j.decide(dc, outcome, err) {
		case returnOutcome:
			return outcome
		case retryAtLaterHome:
			if !in.awaitLaterHome(ctx, dc, token) {
				in.cancelAtLaterHome(begun)
				return j.failure()
			}
			_, later := in.homeOf(dc)
			in.log.Info().Stringer("job", s.Key()).Str("home", dc).Int64("token", token).Int64("submission", s.Number).
				Int64("laterToken", later).Int64("ageMillis", time.Since(began).Milliseconds()).Msg("job goes to a later home")
		case tryTarget:
			in.delayRetryAfterError(ctx, err)
		}
	}
	in.cancelAtLaterHome(begun)
	return j.failure()
}

// attempt is a submission to the home of a data centre with a fencing token.
type attempt struct {
	dataCentre string
	token      int64
	submission home.Submission
}

// mayHaveBegun reports whether a home may have begun a submission that has not ended by itself there.
func mayHaveBegun(o home.Outcome, err error) bool {
	if err != nil {
		return !notAccepted(err)
	}
	return o.Result == home.Moved && !o.NotTaken || o.Result == home.Cancelled
}

// homeWaitLimit returns how long a job of the given age waits for a home, when no home has been
// alive for the time missing: as long as it can still meet its objective and a takeover may be
// under way, which takes homeTimeout at most. Used in data centres that are cut off without their
// home, where waiting only delays the refusal. A job that a home may have begun can't be refused
// and waits for homeTimeout.
func homeWaitLimit(s home.Submission, resumed bool, age, missing time.Duration) time.Duration {
	if resumed {
		return homeTimeout
	}
	estimates := make([]time.Duration, len(s.Batch.Steps))
	for i, step := range s.Batch.Steps {
		estimates[i] = step.Estimate
	}
	chain := plan.CriticalPath(s.Batch.Steps, estimates)
	return min(plan.MaxStartDelay(plan.Objective(s.Route, chain), chain)-age, homeTimeout-missing)
}

// submit sends a job to the home of a data centre, which the owner is, and waits for the outcome.
func (in *Instance) submit(ctx context.Context, dataCentre string, owner homeRow, s home.Submission) (home.Outcome, error) {
	if owner.Instance == in.self.Instance {
		h := in.localHome(dataCentre)
		if h == nil {
			return home.Outcome{}, errNotHome
		}
		return in.submitHere(ctx, dataCentre, h, s), nil
	}

	in.heartbeats.RecordForward(owner.Instance)
	if in.keepsSpec(owner.Instance, dataCentre, s) {
		defer in.keepSpec(s)()
		s.SpecBytes, s.Batch.Spec = len(s.Batch.Spec), ""
	}
	in.link.RecordSend(len(s.Batch.Spec)+jobOverheadBytes, time.Now())
	var outcome home.Outcome
	err := in.peers.Call(ctx, owner.Instance, methodRun, runRequest{DataCentre: dataCentre, Job: s}, &outcome)
	switch {
	case ctx.Err() != nil:
		in.cancelAt(owner.Instance, dataCentre, s, context.Cause(ctx))
	case err != nil && !notAccepted(err):
		in.cancelAt(owner.Instance, dataCentre, s, err)
	}
	return outcome, err
}

// localHome returns the home of a data centre if this instance is it, and nil otherwise.
func (in *Instance) localHome(dataCentre string) *home.Home {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.localHomes[dataCentre]
}

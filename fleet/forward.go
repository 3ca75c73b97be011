package fleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/home"
	"foxtailmux/plan"
)

const (
	// homeWait is how long a job waits for a home when there is none in reach.
	// A takeover from a silent instance takes little more than a second.
	homeWait = 1500 * time.Millisecond

	// maxHops bounds the homes that one job is handed to.
	maxHops = 6

	cancelTimeout = 500 * time.Millisecond
)

// errNoHome is the failure to hand a job to a home that is not one any more.
var errNoHome = eris.New("not the home of the data centre")

// Run runs a job at the home of this instance's data centre, or elsewhere, or
// in parts at several homes.
func (f *Instance) Run(ctx context.Context, s home.Submission) home.Outcome {
	began := time.Now()
	s.Origin = f.self.Instance
	outcome := f.forward(ctx, s, newForwarding(f.self.DataCentre), began)
	if outcome.Result != home.NoCapacity {
		return outcome
	}

	parts := share(s.Batch.Steps[0], f.roomsFor(outcome.StartableTasks))
	if parts == nil {
		outcome.Result = home.Refused
		return outcome
	}
	return f.runParts(ctx, s, parts, began)
}

// forward takes a job, or a part of one, from home to home until it is answered.
func (f *Instance) forward(ctx context.Context, s home.Submission, j *forwarding, began time.Time) home.Outcome {
	deadline := began.Add(s.TimeLeft)
	for range maxHops {
		dc, token, ok := f.awaitHome(ctx, j, homePatience(s, j.resumed, time.Since(began)))
		if !ok {
			break
		}
		j.mark(&s)
		s.Age, s.TimeLeft = time.Since(began), time.Until(deadline)
		f.debit(dc, s)
		outcome, err := f.submit(ctx, dc, s)
		if ctx.Err() != nil {
			return home.Outcome{Result: home.Cancelled, Reason: "its caller went away"}
		}
		if err != nil {
			f.log.Warn().Err(err).Str("job", s.Key()).Str("home", dc).Int64("token", token).
				Bool("unsent", unsent(err)).Msg("home did not answer")
		}
		switch j.take(dc, outcome, err) {
		case answered:
			return outcome
		case awaitLater:
			if !f.awaitChange(ctx, dc, token) {
				return j.end()
			}
		case tryNext:
			f.pauseHop(ctx, err)
		}
	}
	return j.end()
}

// homePatience is how long a job waits for a home. One that a home may have begun
// can't be refused, and waits as long as a takeover takes.
func homePatience(s home.Submission, resumed bool, age time.Duration) time.Duration {
	if resumed {
		return homeWait
	}
	estimates := make([]time.Duration, len(s.Batch.Steps))
	for i, step := range s.Batch.Steps {
		estimates[i] = step.Estimate
	}
	chain := plan.CriticalPath(s.Batch.Steps, estimates)
	return min(plan.MaxStartDelay(plan.Objective(s.Route, chain), chain)-age, homeWait)
}

// submit hands a job to the home of a data centre.
func (f *Instance) submit(ctx context.Context, dataCentre string, s home.Submission) (home.Outcome, error) {
	owner, _ := f.homeOf(dataCentre)
	if owner.Instance == f.self.Instance {
		h := f.localHome(dataCentre)
		if h == nil {
			return home.Outcome{}, errNoHome
		}
		return h.Submit(ctx, s), nil
	}

	f.beats.RecordForward(owner.Instance)
	if f.withholds(owner.Instance, dataCentre, s) {
		defer f.withhold(s)()
		s.SpecBytes, s.Batch.Spec = len(s.Batch.Spec), ""
	}
	f.link.RecordSend(len(s.Batch.Spec)+jobBytes, time.Now())
	var outcome home.Outcome
	err := f.peers.Call(ctx, owner.Instance, methodRun, runRequest{DataCentre: dataCentre, Job: s}, &outcome)
	if ctx.Err() != nil {
		f.cancelAt(owner.Instance, dataCentre, s.Key())
	}
	return outcome, err
}

func (f *Instance) localHome(dataCentre string) *home.Home {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mine[dataCentre]
}

// cancelAt tells a home that a caller went away.
func (f *Instance) cancelAt(instance, dataCentre, job string) {
	f.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(f.ctx, cancelTimeout)
		defer cancel()
		err := f.peers.Call(ctx, instance, methodCancel, cancelRequest{DataCentre: dataCentre, Job: job}, nil)
		if err != nil {
			f.log.Info().Err(err).Str("job", job).Msg("cancel not delivered")
		}
	})
}

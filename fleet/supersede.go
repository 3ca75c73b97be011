package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"foxtailmux/home"
	"foxtailmux/peer"
)

const (
	// announcedTimeout bounds one request for the end of a job that was announced, and announcedRetry is the time
	// between two.
	announcedTimeout = 250 * time.Millisecond
	announcedRetry   = 50 * time.Millisecond

	// unannouncedTimeout bounds the only request to a home that has announced nothing. A live home in reach
	// responds within a few milliseconds.
	unannouncedTimeout = 100 * time.Millisecond
)

// errSuperseded is the reason why a submission is not run.
var errSuperseded = eris.New("the job has been submitted again since")

// errNotAlive is the reason why a home is not asked.
var errNotAlive = eris.New("the home is not alive")

// resubmission is a submission that waits until earlier ones of its job have ended.
type resubmission struct {
	home.Submission
	dataCentre string // whose home it goes to
	since      time.Time
	settled    map[openJobKey]bool // announcements of which no run is left
}

// submitHere runs a submission at a home of this instance, once no earlier submission of the same job that was
// announced can run a task elsewhere.
func (in *Instance) submitHere(ctx context.Context, dataCentre string, h *home.Home, s home.Submission) home.Outcome {
	if s.Age < home.LongOpenAge && len(in.openJobs.OfOtherRequests(s.Batch.Queue, s.Batch.ID, s.RequestID())) == 0 {
		return h.Submit(ctx, s)
	}
	r := resubmission{s, dataCentre, time.Now(), map[openJobKey]bool{}}
	ctx, remove := in.held.Add(ctx, s, r.since)
	defer remove()
	err := in.supersedeElsewhere(ctx, r)
	held := time.Since(r.since)
	in.logHeld(r, held, err)
	if err != nil {
		return home.Outcome{Result: home.Cancelled, Reason: err.Error()}
	}
	s.Age, s.TimeLeft = s.Age+held, s.TimeLeft-held
	if s.Transit != home.UnknownTransit {
		s.Transit += held // its arrival here is no sign of its origin
	}
	for k := range r.settled {
		// An earlier home of this data centre may have left runs on workers that have not reported them yet.
		s.Resumed = s.Resumed || !in.isHomeByStore(k.instance, k.incarnation)
	}
	return h.Submit(ctx, s)
}

// logHeld logs how long a submission waited for earlier ones, and where these were.
func (in *Instance) logHeld(r resubmission, held time.Duration, err error) {
	openAt := []string{}
	for k := range r.settled {
		openAt = append(openAt, k.instance)
	}
	slices.Sort(openAt)
	message := "earlier submissions have ended"
	if err != nil {
		message = "submission is not run"
	}
	in.log.Info().Stringer("job", r.Key()).Strs("openAt", openAt).Int64("heldMillis", held.Milliseconds()).
		Int64("ageMillis", r.Age.Milliseconds()).Str("home", r.dataCentre).Str("origin", r.Origin).Int64("request", r.Request).
		Int64("submission", r.Number).Err(err).Msg(message)
}

// supersedeElsewhere returns when no task of a job can run for an earlier request of its caller at another home, as
// far as such jobs were announced. For a submission that is old itself, whose caller may have submitted the job again,
// all other homes are asked once before. It returns errSuperseded if a later request of the job is open, or the
// error of a submission that has ended or whose time is over.
func (in *Instance) supersedeElsewhere(ctx context.Context, r resubmission) error {
	ctx, cancel := context.WithTimeout(ctx, r.TimeLeft)
	defer cancel()
	if r.Age >= home.LongOpenAge {
		if err := in.supersedeUnannounced(ctx, r); err != nil {
			return err
		}
	}
	for {
		// A later home may have continued and announced a job meanwhile.
		open := in.openJobs.OfOtherRequests(r.Batch.Queue, r.Batch.ID, r.RequestID())
		open = slices.DeleteFunc(open, func(o openJob) bool { return r.settled[o.openJobKey] })
		if len(open) == 0 {
			return endOf(ctx)
		}
		p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
		for _, o := range open {
			r.settled[o.openJobKey] = true
			p.Go(func(ctx context.Context) error { return in.supersedeAnnounced(ctx, r, o) })
		}
		if err := p.Wait(); err != nil {
			return err
		}
	}
}

// endOf returns why a context has ended, or nil.
func endOf(ctx context.Context) error {
	if cause := context.Cause(ctx); cause != nil {
		return eris.Wrap(cause, "waiting for earlier submissions")
	}
	return nil
}

// supersedeUnannounced asks the instances of all homes once. One that does not respond is passed over: nothing
// tells that the job is there.
func (in *Instance) supersedeUnannounced(ctx context.Context, r resubmission) error {
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, instance := range in.homeInstances() {
		p.Go(func(ctx context.Context) error {
			result, err := in.supersedeAt(ctx, instance, r, false)
			switch {
			case err != nil:
				in.log.Info().Stringer("job", r.Key()).Str("peer", instance).Err(err).Msg("earlier submissions not queried")
			case result.LaterOpen:
				return errSuperseded
			case !result.ended():
				k := openJobKey{instance: instance, incarnation: in.incarnationOf(instance)}
				in.openJobs.Add(r.Batch.Queue, r.Batch.ID, openJob{k, time.Now().Add(in.leaseTime())})
			}
			return nil
		})
	}
	if err := p.Wait(); err != nil {
		return err
	}
	return endOf(ctx)
}

// supersedeAnnounced asks the instance that has announced a job, or the later homes if it is lost, until no run of the
// job is left or none can be.
func (in *Instance) supersedeAnnounced(ctx context.Context, r resubmission, o openJob) error {
	for {
		result, err := in.supersedeWhere(ctx, r, o)
		switch {
		case err == nil && result.LaterOpen:
			return errSuperseded
		case err == nil && result.ended(), isUnknownMethod(err):
			in.openJobs.Remove(r.Batch.Queue, r.Batch.ID, o.openJobKey)
			return nil
		}
		if time.Now().After(in.lastRunEnd(o)) {
			in.log.Info().Stringer("job", r.Key()).Str("openAt", o.instance).Bool("runsLeft", result.RunsLeft).Bool("closedHome", result.ClosedHome).Err(err).
				Msg("end of an earlier submission not confirmed, its leases have expired")
			return nil
		}
		select {
		case <-time.After(announcedRetry):
		case <-ctx.Done():
			return endOf(ctx)
		}
	}
}

// supersedeWhere asks the instance that has announced a job, and all other homes if it has closed its home, or is lost
// and the store names it as a home no more.
func (in *Instance) supersedeWhere(ctx context.Context, r resubmission, o openJob) (supersedeResult, error) {
	if in.isHeard(o.openJobKey) {
		result, err := in.supersedeAt(ctx, o.instance, r, true)
		if err != nil || !result.ClosedHome || result.RunsLeft {
			return result, err
		}
		return in.supersedeAtOthers(ctx, r, o.instance)
	}
	if in.isHomeByStore(o.instance, o.incarnation) {
		return supersedeResult{}, errNotAlive
	}
	return in.supersedeAtOthers(ctx, r, "")
}

// supersedeAtOthers asks the homes of all data centres but those of an instance that was asked before. One that is
// not alive may have runs left.
func (in *Instance) supersedeAtOthers(ctx context.Context, r resubmission, except string) (supersedeResult, error) {
	var all supersedeResult
	for _, dc := range in.otherCentres(r.dataCentre) {
		owner, _ := in.homeOf(dc)
		if owner.Instance == except {
			continue
		}
		if _, ok := in.aliveHome(dc); !ok {
			all.RunsLeft = true
			continue
		}
		result, err := in.supersedeAt(ctx, owner.Instance, r, true)
		if err != nil || result.LaterOpen {
			return result, err
		}
		all.RunsLeft = all.RunsLeft || !result.ended()
	}
	return all, nil
}

// isHeard reports whether the incarnation of an instance that announced a job is alive.
func (in *Instance) isHeard(k openJobKey) bool {
	if k.instance != in.self.Instance && !in.heartbeats.IsAlive(k.instance) {
		return false
	}
	return k.incarnation == in.incarnationOf(k.instance)
}

// incarnationOf returns the incarnation of an instance that was heard last, and that of this one.
func (in *Instance) incarnationOf(instance string) string {
	if instance == in.self.Instance {
		return in.self.Incarnation
	}
	return in.heartbeats.Status(instance).Incarnation
}

// lastRunEnd returns when the last run of an announced job has ended at the latest. An instance that is lost and has
// been replaced may not know that, and extend its leases for a while.
func (in *Instance) lastRunEnd(o openJob) time.Time {
	if in.isHeard(o.openJobKey) || in.isHomeByStore(o.instance, o.incarnation) {
		return o.until
	}
	last := in.lastHomeChange()
	if s := in.heartbeats.Status(o.instance); s.Incarnation == o.incarnation && s.LastMessage.After(last) {
		last = s.LastMessage
	}
	if end := last.Add(home.SuccessionTime(in.settings.Platform.MaxLease)); end.Before(o.until) {
		return end
	}
	return o.until
}

// isHomeByStore reports whether the store names an incarnation of an instance as a home.
func (in *Instance) isHomeByStore(instance, incarnation string) bool {
	return slices.ContainsFunc(in.dataCentres(), func(dc string) bool {
		owner, _ := in.homeOf(dc)
		return owner.Instance == instance && owner.Incarnation == incarnation
	})
}

// lastHomeChange returns when a home row changed last, or the start of this instance if none has since.
func (in *Instance) lastHomeChange() time.Time {
	in.mu.Lock()
	defer in.mu.Unlock()
	last := in.startedAt
	for _, at := range in.homeChangedAt {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// homeInstances returns the instances of the live homes, sorted.
func (in *Instance) homeInstances() []string {
	var list []string
	for _, dc := range in.dataCentres() {
		if _, ok := in.aliveHome(dc); ok {
			owner, _ := in.homeOf(dc)
			list = append(list, owner.Instance)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// supersedeAt asks an instance for the end of the earlier submissions of a job at its homes. The home here to
// which the job goes is left out.
func (in *Instance) supersedeAt(ctx context.Context, instance string, r resubmission, announced bool) (supersedeResult, error) {
	held := time.Since(r.since)
	call := supersedeCall{
		SupersedeRequest: home.SupersedeRequest{
			Job: r.Batch.ID, Queue: r.Batch.Queue, By: r.RequestID(), Age: r.Age + held, Announced: announced,
		},
		Instance:    in.self.Instance,
		Incarnation: in.self.Incarnation,
		Left:        r.TimeLeft - held,
	}
	if instance == in.self.Instance {
		return in.supersede(ctx, call.SupersedeRequest, r.dataCentre), nil
	}
	timeout := unannouncedTimeout
	if announced {
		timeout = announcedTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var result supersedeResult
	err := in.peers.Call(ctx, instance, methodSupersede, call, &result)
	return result, err
}

// isUnknownMethod reports whether a peer of an earlier version does not know the method of a call.
func isUnknownMethod(err error) bool {
	var e *peer.Error
	return errors.As(err, &e) && e.Code == peer.CodeMethodNotFound
}

package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"foxtailmux/home"
	"foxtailmux/peer"
)

const (
	// supersedeWait is how long an instance waits for the ends of runs before it responds that there are some
	// left. A stop takes 50 ms at most.
	supersedeWait = 150 * time.Millisecond

	// supersedeTimeout bounds one request to supersede a job that was announced, and supersedeRetry is the time
	// between two.
	supersedeTimeout = 250 * time.Millisecond
	supersedeRetry   = 50 * time.Millisecond

	// lateRequestTimeout bounds the only request to a home that has announced nothing, and lateRequestWait the
	// wait for the ends of runs there. A live home in reach responds within a few milliseconds.
	lateRequestTimeout = 100 * time.Millisecond
	lateRequestWait    = 60 * time.Millisecond

	// leaseExpiryMargin covers clocks of workers that are 2% slow, and the time until a worker has ended the
	// runs of an expired lease.
	leaseExpiryMargin = 120 * time.Millisecond
)

// supersedeRequest asks for the end of the earlier submissions of a job, and announces the asking one.
type supersedeRequest struct {
	home.SupersedeRequest
	Instance    string        `json:"instance"` // that asks
	Incarnation string        `json:"incarnation"`
	Left        time.Duration `json:"left"` // until the time of the job is over
}

// supersedeResponse reports whether a job of a later request is open, and otherwise whether runs of earlier
// ones may be left.
type supersedeResponse struct {
	LaterOpen bool `json:"laterOpen,omitempty"`
	RunsLeft  bool `json:"runsLeft,omitempty"`
}

// errSuperseded is the reason why a submission is not run.
var errSuperseded = eris.New("the job has been submitted again since")

// resubmission is a submission that waits until earlier ones of its job have ended.
type resubmission struct {
	home.Submission
	dataCentre string // whose home it goes to
	since      time.Time
}

// submitHere runs a submission at a home of this instance, once no earlier submission of the same job can run
// a task elsewhere.
func (in *Instance) submitHere(ctx context.Context, dataCentre string, h *home.Home, s home.Submission) home.Outcome {
	since := time.Now()
	announced := in.openJobs.OfOtherRequests(s.Batch.ID, s.RequestID(), since)
	if len(announced) == 0 && s.Age < home.LongOpenAge {
		return h.Submit(ctx, s)
	}
	err := in.supersedeElsewhere(ctx, resubmission{s, dataCentre, since}, announced)
	held := time.Since(since)
	in.log.Info().Stringer("job", s.Key()).Strs("openAt", instancesOf(announced)).Int64("heldMillis", held.Milliseconds()).
		Int64("ageMillis", s.Age.Milliseconds()).Str("home", dataCentre).Str("origin", s.Origin).Int64("request", s.Request).
		Int64("submission", s.Number).Err(err).Msg("earlier submissions are superseded")
	if err != nil {
		return home.Outcome{Result: home.Cancelled, Reason: err.Error()}
	}
	s.Age, s.TimeLeft = s.Age+held, s.TimeLeft-held
	if s.Transit != home.UnknownTransit {
		s.Transit += held // its arrival here is no sign of its origin
	}
	// An earlier home of this data centre may have left runs on workers that have not reported them yet.
	s.Resumed = s.Resumed || slices.ContainsFunc(announced, func(o openJob) bool { return !in.isHomeByStore(o.instance, o.incarnation) })
	return h.Submit(ctx, s)
}

func instancesOf(list []openJob) []string {
	names := make([]string, len(list))
	for i, o := range list {
		names[i] = o.instance
	}
	return names
}

// supersedeElsewhere returns when no task of a job can run for an earlier request of its caller at another home.
// Homes that have announced such a job are asked until they confirm its end, or until it certainly has ended. For a
// submission that is old itself, whose caller may have submitted the job again, all other homes are asked once
// before. It returns errSuperseded if a later request of the job is open, or the error of the context or of a
// submission whose time is over.
func (in *Instance) supersedeElsewhere(ctx context.Context, r resubmission, announced []openJob) error {
	ctx, cancel := context.WithTimeout(ctx, r.TimeLeft)
	defer cancel()
	if r.Age >= home.LongOpenAge {
		if err := in.supersedeUnannounced(ctx, r); err != nil {
			return err
		}
	}
	settled := map[openJobKey]bool{}
	for ; len(announced) > 0; announced = in.unsettledJobs(r, settled) {
		p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
		for _, o := range announced {
			settled[o.openJobKey] = true
			p.Go(func(ctx context.Context) error { return in.supersedeAnnounced(ctx, r, o) })
		}
		if err := p.Wait(); err != nil {
			return err
		}
	}
	return nil
}

// unsettledJobs returns the announced jobs of other requests that are not settled: a later home may have
// continued one meanwhile.
func (in *Instance) unsettledJobs(r resubmission, settled map[openJobKey]bool) []openJob {
	list := in.openJobs.OfOtherRequests(r.Batch.ID, r.RequestID(), time.Now())
	return slices.DeleteFunc(list, func(o openJob) bool { return settled[o.openJobKey] })
}

// supersedeUnannounced asks the instances of all homes once. One that does not respond is passed over: nothing
// tells that the job is there.
func (in *Instance) supersedeUnannounced(ctx context.Context, r resubmission) error {
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, instance := range in.homeInstances() {
		p.Go(func(ctx context.Context) error {
			response, err := in.supersedeAt(ctx, instance, r, false)
			if err != nil {
				in.log.Info().Stringer("job", r.Key()).Str("peer", instance).Err(err).Msg("earlier submissions not queried")
				return nil
			}
			if response.LaterOpen {
				return errSuperseded
			}
			if response.RunsLeft {
				k := openJobKey{instance: instance, incarnation: in.heartbeats.Status(instance).Incarnation}
				in.openJobs.Add(r.Batch.ID, openJob{k, time.Now().Add(r.TimeLeft)})
			}
			return nil
		})
	}
	if err := p.Wait(); err != nil {
		return err
	}
	return eris.Wrap(ctx.Err(), "homes have not responded")
}

// supersedeAnnounced asks the instance that has announced a job, or the later homes if it is a home no more, until
// no run of the job is left, or none can be: its time is over, or the leases of the instance have expired.
func (in *Instance) supersedeAnnounced(ctx context.Context, r resubmission, o openJob) error {
	for {
		var response supersedeResponse
		var err error
		if in.isHomeByStore(o.instance, o.incarnation) {
			response, err = in.supersedeAt(ctx, o.instance, r, true)
		} else {
			response, err = in.supersedeAtOtherHomes(ctx, r)
		}
		switch {
		case err == nil && response.LaterOpen:
			return errSuperseded
		case err == nil && !response.RunsLeft, isUnknownMethod(err):
			in.openJobs.Remove(r.Batch.ID, o.openJobKey)
			return nil
		}
		if now := time.Now(); now.After(o.until.Add(leaseExpiryMargin)) || now.After(in.leasesEnd(o, now)) {
			in.log.Info().Stringer("job", r.Key()).Str("openAt", o.instance).Bool("runsLeft", response.RunsLeft).Err(err).
				Msg("end of an earlier submission not confirmed, its leases have expired")
			return nil
		}
		select {
		case <-time.After(supersedeRetry):
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "an earlier submission has not ended")
		}
	}
}

// supersedeAtOtherHomes asks the homes of all other data centres. One that is not alive may have runs left.
func (in *Instance) supersedeAtOtherHomes(ctx context.Context, r resubmission) (supersedeResponse, error) {
	var all supersedeResponse
	for _, dc := range in.otherCentres(r.dataCentre) {
		if _, ok := in.aliveHome(dc); !ok {
			all.RunsLeft = true
			continue
		}
		owner, _ := in.homeOf(dc)
		response, err := in.supersedeAt(ctx, owner.Instance, r, true)
		if err != nil || response.LaterOpen {
			return response, err
		}
		all.RunsLeft = all.RunsLeft || response.RunsLeft
	}
	return all, nil
}

// leasesEnd returns when the leases of an instance that may be a home end at the latest, as far as the store
// tells: later than now while it is a home.
func (in *Instance) leasesEnd(o openJob, now time.Time) time.Time {
	replacedAt := now
	if !in.isHomeByStore(o.instance, o.incarnation) {
		replacedAt = in.lastHomeChange()
	}
	return replacedAt.Add(in.settings.Platform.MaxLease + leaseExpiryMargin)
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
// which the job goes is left out. Certain is as for home.SupersedeRequest.
func (in *Instance) supersedeAt(ctx context.Context, instance string, r resubmission, certain bool) (supersedeResponse, error) {
	held := time.Since(r.since)
	request := supersedeRequest{
		SupersedeRequest: home.SupersedeRequest{Job: r.Batch.ID, By: r.RequestID(), Age: r.Age + held, Certain: certain},
		Instance:         in.self.Instance,
		Incarnation:      in.self.Incarnation,
		Left:             r.TimeLeft - held,
	}
	if instance == in.self.Instance {
		return in.supersede(ctx, request, r.dataCentre), nil
	}
	timeout := lateRequestTimeout
	if certain {
		timeout = supersedeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var response supersedeResponse
	err := in.peers.Call(ctx, instance, methodSupersede, request, &response)
	return response, err
}

// serveSupersede ends the earlier submissions of a job that was submitted again to another instance, and records
// that the job is open there.
func (in *Instance) serveSupersede(ctx context.Context, params json.RawMessage) (any, error) {
	var r supersedeRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, eris.Wrap(err, "decode supersede request")
	}
	k := openJobKey{r.Instance, r.Incarnation, hashRequest(r.By)}
	in.openJobs.Add(r.Job, openJob{k, time.Now().Add(r.Left)})
	return in.supersede(ctx, r, ""), nil
}

// supersede ends the earlier submissions of a job at the homes of this instance but one. Runs of a home that was
// closed are left until their leases have expired.
func (in *Instance) supersede(ctx context.Context, r supersedeRequest, except string) supersedeResponse {
	wait := lateRequestWait
	if r.Certain {
		wait = supersedeWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	response := supersedeResponse{RunsLeft: r.Certain && in.closedHomeRecently()}
	for dc, h := range in.homesByCentre() {
		if dc == except {
			continue
		}
		later, err := h.Supersede(ctx, r.SupersedeRequest)
		if later {
			return supersedeResponse{LaterOpen: true}
		}
		response.RunsLeft = response.RunsLeft || err != nil
	}
	return response
}

// closedHomeRecently reports whether runs of a home that this instance has closed may be left.
func (in *Instance) closedHomeRecently() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return !in.homeClosedAt.IsZero() && time.Since(in.homeClosedAt) < in.settings.Platform.MaxLease+leaseExpiryMargin
}

// isUnknownMethod reports whether a peer of an earlier version does not know the method of a call.
func isUnknownMethod(err error) bool {
	var e *peer.Error
	return errors.As(err, &e) && e.Code == peer.CodeMethodNotFound
}

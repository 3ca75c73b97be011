package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/home"
	"foxtailmux/peer"
)

// Methods that instances call on each other.
const (
	methodRun       = "home.run"
	methodCancel    = "home.cancel"
	methodSupersede = "home.supersede"
	methodStart     = "task.start"
	methodStartable = "home.startable"
	methodPending   = "home.pending"
	methodRouting   = "routing.get"
	methodDrains    = "drains.get"
)

// runRequest hands a job to the home of a data centre.
type runRequest struct {
	DataCentre string          `json:"dataCentre"`
	Job        home.Submission `json:"job"`
}

// cancelRequest cancels a submission at the home of a data centre.
type cancelRequest struct {
	DataCentre string            `json:"dataCentre"`
	Job        home.Key          `json:"job"`
	Submission home.SubmissionID `json:"submission"`
}

// decodeRun decodes a request that hands a job, or a question about one, to a home of this
// instance, and returns that home.
func (in *Instance) decodeRun(params json.RawMessage) (runRequest, *home.Home, error) {
	var r runRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return r, nil, eris.Wrap(err, "decode job")
	}
	h := in.localHome(r.DataCentre)
	if h == nil {
		return r, nil, errNotHome
	}
	return r, h, nil
}

// serveRun runs a job that another instance forwarded.
func (in *Instance) serveRun(ctx context.Context, params json.RawMessage) (any, error) {
	r, h, err := in.decodeRun(params)
	if err != nil {
		return nil, err
	}
	in.heartbeats.RecordForward(r.Job.Origin)
	if err := in.addTransit(ctx, &r.Job); err != nil {
		return nil, err
	}
	if r.Job.SpecBytes > 0 {
		r.Job.OriginStarter = in.originStarter(r)
	}
	return in.submitHere(ctx, r.DataCentre, h, r.Job), nil
}

// maxTransit is the longest time that a forwarded job may be under way. It is a fraction of the time
// after which callers submit a job again, and above the queueing time of links that are busy.
const maxTransit = 500 * time.Millisecond

// errLate is returned for a job that was under way for too long.
var errLate = eris.New("the job was under way for too long and is not run")

// addTransit adds the time that a forwarded job was under way to its age. It returns errLate if that was
// too long: bytes that were held up by a partition, or by a pause of either instance, are delivered
// afterwards, when the caller may have submitted the job elsewhere.
func (in *Instance) addTransit(ctx context.Context, s *home.Submission) error {
	transit, ok := peer.Transit(ctx)
	if !ok {
		s.Transit = home.UnknownTransit // an origin of an earlier version
		return nil
	}
	if transit > maxTransit || transit >= s.TimeLeft {
		in.log.Warn().Stringer("job", s.Key()).Str("origin", s.Origin).Int64("transitMillis", transit.Milliseconds()).
			Int64("leftMillis", s.TimeLeft.Milliseconds()).Msg("job arrived late")
		return errLate
	}
	s.Transit, s.Age, s.TimeLeft = transit, s.Age+transit, s.TimeLeft-transit
	return nil
}

// serveStartable returns how many tasks of a job could start in time at a home of this instance.
func (in *Instance) serveStartable(_ context.Context, params json.RawMessage) (any, error) {
	r, h, err := in.decodeRun(params)
	if err != nil {
		return nil, err
	}
	return h.StartableTasks(r.Job), nil
}

func (in *Instance) serveCancel(_ context.Context, params json.RawMessage) (any, error) {
	var r cancelRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, eris.Wrap(err, "decode cancel")
	}
	in.held.Cancel(r.Submission)
	h := in.localHome(r.DataCentre)
	if h == nil {
		in.log.Info().Stringer("job", r.Job).Str("home", r.DataCentre).Str("origin", r.Submission.Origin).
			Int64("submission", r.Submission.Number).Msg("cancel for a home that is not here")
		return struct{}{}, nil
	}
	h.Cancel(r.Job, r.Submission)
	return struct{}{}, nil
}

// pendingTimeout bounds the requests to the other homes, all together.
const pendingTimeout = 300 * time.Millisecond

// Pending returns how many jobs of a queue wait for their start at all live homes. The jobs
// at homes that do not respond within 300 ms, for all homes together, are not counted.
func (in *Instance) Pending(ctx context.Context, queue string) int {
	ctx, cancel := context.WithTimeout(ctx, pendingTimeout)
	defer cancel()
	total := in.pendingHere(queue)
	var queried []string
	for _, dc := range in.dataCentres() {
		owner, _ := in.homeOf(dc)
		if owner.Instance == "" || owner.Instance == in.self.Instance || slices.Contains(queried, owner.Instance) || !in.heartbeats.IsAlive(owner.Instance) {
			continue
		}
		queried = append(queried, owner.Instance)
		var n int
		if err := in.peers.Call(ctx, owner.Instance, methodPending, queue, &n); err != nil {
			in.log.Info().Err(err).Str("queue", queue).Msg("pending jobs not queried")
			continue
		}
		total += n
	}
	return total
}

// pendingHere returns how many jobs of a queue wait for their start at the homes of this
// instance.
func (in *Instance) pendingHere(queue string) int {
	n := 0
	for _, h := range in.homesByCentre() {
		n += h.Pending(queue)
	}
	return n
}

func (in *Instance) servePending(_ context.Context, params json.RawMessage) (any, error) {
	var queue string
	if err := json.Unmarshal(params, &queue); err != nil {
		return nil, eris.Wrap(err, "decode queue")
	}
	return in.pendingHere(queue), nil
}

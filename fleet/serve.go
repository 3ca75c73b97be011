package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/home"
)

// Methods that instances call on each other.
const (
	methodRun     = "home.run"
	methodCancel  = "home.cancel"
	methodStart   = "task.start"
	methodPending = "home.pending"
	methodRouting = "routing.get"
)

// runRequest hands a job to the home of a data centre.
type runRequest struct {
	DataCentre string          `json:"dataCentre"`
	Job        home.Submission `json:"job"`
}

// cancelRequest cancels a job.
type cancelRequest struct {
	DataCentre string `json:"dataCentre"`
	Job        string `json:"job"`
}

func (f *Instance) serveRun(ctx context.Context, params json.RawMessage) (any, error) {
	var r runRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, eris.Wrap(err, "decode job")
	}
	h := f.localHome(r.DataCentre)
	if h == nil {
		return nil, errNoHome
	}
	f.beats.RecordForward(r.Job.Origin)
	if r.Job.SpecBytes > 0 {
		r.Job.OriginStarter = f.relay(r)
	}
	return h.Submit(ctx, r.Job), nil
}

func (f *Instance) serveCancel(_ context.Context, params json.RawMessage) (any, error) {
	var r cancelRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, eris.Wrap(err, "decode cancel")
	}
	if h := f.localHome(r.DataCentre); h != nil {
		h.Cancel(r.Job, "its caller went away")
	}
	return struct{}{}, nil
}

// pendingTimeout bounds the question to the other homes.
const pendingTimeout = 300 * time.Millisecond

// Pending returns how many jobs of a queue have not begun at any home in reach.
func (f *Instance) Pending(ctx context.Context, queue string) int {
	ctx, cancel := context.WithTimeout(ctx, pendingTimeout)
	defer cancel()
	total := f.pendingHere(queue)
	var asked []string
	for _, dc := range f.dataCentres() {
		owner, _ := f.homeOf(dc)
		if owner.Instance == "" || owner.Instance == f.self.Instance || slices.Contains(asked, owner.Instance) || !f.beats.IsAlive(owner.Instance) {
			continue
		}
		asked = append(asked, owner.Instance)
		var n int
		if err := f.peers.Call(ctx, owner.Instance, methodPending, queue, &n); err != nil {
			f.log.Info().Err(err).Str("queue", queue).Msg("pending jobs not asked")
			continue
		}
		total += n
	}
	return total
}

func (f *Instance) pendingHere(queue string) int {
	n := 0
	for _, h := range f.homesHere() {
		n += h.Pending(queue)
	}
	return n
}

func (f *Instance) servePending(_ context.Context, params json.RawMessage) (any, error) {
	var queue string
	if err := json.Unmarshal(params, &queue); err != nil {
		return nil, eris.Wrap(err, "decode queue")
	}
	return f.pendingHere(queue), nil
}

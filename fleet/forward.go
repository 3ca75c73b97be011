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
	methodPending = "home.pending"
	methodRouting = "routing.get"
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

// Run runs a job at the home of this instance's data centre, or elsewhere, or
// in parts at several homes.
func (f *Fleet) Run(ctx context.Context, s home.Submission) home.Outcome {
	began := time.Now()
	s.Origin = f.self.Instance
	outcome := f.travel(ctx, s, newJourney(f.self.DataCentre), began)
	if outcome.Verdict != home.Crowded {
		return outcome
	}

	parts := share(s.Batch.Steps[0], f.roomsFor(outcome.Room))
	if parts == nil {
		outcome.Verdict = home.Refused
		return outcome
	}
	return f.runParts(ctx, s, parts, began)
}

// travel takes a job, or a part of one, from home to home until it is answered.
func (f *Fleet) travel(ctx context.Context, s home.Submission, j *journey, began time.Time) home.Outcome {
	deadline := began.Add(s.Left)
	for range maxHops {
		dc, token, ok := f.awaitHome(ctx, j)
		if !ok {
			break
		}
		j.mark(&s)
		s.Age, s.Left = time.Since(began), time.Until(deadline)
		f.debit(dc, s)
		outcome, err := f.submit(ctx, dc, s)
		if ctx.Err() != nil {
			return home.Outcome{Verdict: home.Cancelled, Reason: "its caller went away"}
		}
		if err != nil {
			f.log.Warn().Err(err).Str("job", s.Key()).Str("dataCentre", dc).Int64("token", token).
				Bool("unsent", unsent(err)).Msg("home did not answer")
		}
		switch j.take(dc, outcome, err) {
		case answered:
			return outcome
		case succeed:
			if !f.awaitChange(ctx, dc, token) {
				return j.end()
			}
		case onwards:
			f.pauseHop(ctx, err)
		}
	}
	return j.end()
}

// hopPause follows a try that did not reach a home, so that the rows and
// heartbeats that tell of a later one are taken in.
const hopPause = 20 * time.Millisecond

func (f *Fleet) pauseHop(ctx context.Context, err error) {
	if err == nil {
		return
	}
	select {
	case <-time.After(hopPause):
	case <-ctx.Done():
	}
}

// awaitHome waits until a home is in reach: that of the data centre asked for,
// or, for a job that no home has begun, one elsewhere.
func (f *Fleet) awaitHome(ctx context.Context, j *journey) (string, int64, bool) {
	timeout := time.NewTimer(homeWait)
	defer timeout.Stop()
	for {
		next := f.changed.wait()
		if dc, token, ok := f.findHome(j); ok {
			return dc, token, true
		}
		select {
		case <-next:
		case <-timeout.C:
			return "", 0, false
		case <-ctx.Done():
			return "", 0, false
		}
	}
}

func (f *Fleet) findHome(j *journey) (string, int64, bool) {
	if token, ok := f.inReach(j.target); ok && (j.resumed || !j.avoid[j.target]) {
		return j.target, token, true
	}
	if j.resumed {
		return "", 0, false
	}
	best, bestFree := "", -1
	for _, dc := range f.dataCentres() {
		if _, ok := f.inReach(dc); !ok || j.avoid[dc] {
			continue
		}
		if room := f.room(dc); room.Free-room.Waiting > bestFree || best == "" {
			best, bestFree = dc, room.Free-room.Waiting
		}
	}
	token, ok := f.inReach(best)
	return best, token, ok
}

// inReach reports whether the home of a data centre is heard.
func (f *Fleet) inReach(dataCentre string) (token int64, ok bool) {
	owner, token := f.homeOf(dataCentre)
	if owner.Instance == "" {
		return 0, false
	}
	if owner.Instance == f.self.Instance {
		f.mu.Lock()
		defer f.mu.Unlock()
		return token, f.mine[dataCentre] != nil
	}
	return token, f.beats.Alive(owner.Instance) && f.beats.Member(owner.Instance).Incarnation == owner.Incarnation
}

// awaitChange waits until a data centre has a later home than the one with the
// token.
func (f *Fleet) awaitChange(ctx context.Context, dataCentre string, token int64) bool {
	timeout := time.NewTimer(homeWait)
	defer timeout.Stop()
	for {
		next := f.changed.wait()
		if later, ok := f.inReach(dataCentre); ok && later > token {
			return true
		}
		select {
		case <-next:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// submit hands a job to the home of a data centre.
func (f *Fleet) submit(ctx context.Context, dataCentre string, s home.Submission) (home.Outcome, error) {
	owner, _ := f.homeOf(dataCentre)
	if owner.Instance == f.self.Instance {
		h := f.localHome(dataCentre)
		if h == nil {
			return home.Outcome{}, errNoHome
		}
		return h.Submit(ctx, s), nil
	}

	var outcome home.Outcome
	err := f.peers.Call(ctx, owner.Instance, methodRun, runRequest{DataCentre: dataCentre, Job: s}, &outcome)
	if ctx.Err() != nil {
		f.cancelAt(owner.Instance, dataCentre, s.Key())
	}
	return outcome, err
}

func (f *Fleet) localHome(dataCentre string) *home.Home {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mine[dataCentre]
}

// cancelAt tells a home that a caller went away.
func (f *Fleet) cancelAt(instance, dataCentre, job string) {
	f.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(f.ctx, cancelTimeout)
		defer cancel()
		err := f.peers.Call(ctx, instance, methodCancel, cancelRequest{DataCentre: dataCentre, Job: job}, nil)
		if err != nil {
			f.log.Info().Err(err).Str("job", job).Msg("cancel not delivered")
		}
	})
}

func (f *Fleet) serveRun(ctx context.Context, params json.RawMessage) (any, error) {
	var r runRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, eris.Wrap(err, "decode job")
	}
	h := f.localHome(r.DataCentre)
	if h == nil {
		return nil, errNoHome
	}
	return h.Submit(ctx, r.Job), nil
}

func (f *Fleet) serveCancel(_ context.Context, params json.RawMessage) (any, error) {
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
func (f *Fleet) Pending(ctx context.Context, queue string) int {
	ctx, cancel := context.WithTimeout(ctx, pendingTimeout)
	defer cancel()
	total := f.pendingHere(queue)
	var asked []string
	for _, dc := range f.dataCentres() {
		owner, _ := f.homeOf(dc)
		if owner.Instance == "" || owner.Instance == f.self.Instance || slices.Contains(asked, owner.Instance) || !f.beats.Alive(owner.Instance) {
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

func (f *Fleet) pendingHere(queue string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, h := range f.mine {
		n += h.Pending(queue)
	}
	return n
}

func (f *Fleet) servePending(_ context.Context, params json.RawMessage) (any, error) {
	var queue string
	if err := json.Unmarshal(params, &queue); err != nil {
		return nil, eris.Wrap(err, "decode queue")
	}
	return f.pendingHere(queue), nil
}

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

const (
	// announcedWait is how long an instance waits for the ends of runs before it responds that there are some left.
	// A stop takes 50 ms at most. The wait for a job that was not announced has to be shorter than
	// unannouncedTimeout.
	announcedWait   = 150 * time.Millisecond
	unannouncedWait = 60 * time.Millisecond
)

// supersedeCall asks for the end of the earlier submissions of a job, and announces the asking one.
type supersedeCall struct {
	home.SupersedeRequest
	Instance    string        `json:"instance"` // that asks
	Incarnation string        `json:"incarnation"`
	Left        time.Duration `json:"left"` // until the time of the job is over
}

// supersedeResult reports whether a job of a later request is open, and otherwise whether runs of earlier ones
// may be left: by a home of the instance, or by one that it has closed, whose successor knows them.
type supersedeResult struct {
	LaterOpen  bool `json:"laterOpen,omitempty"`
	RunsLeft   bool `json:"runsLeft,omitempty"`
	ClosedHome bool `json:"closedHome,omitempty"`
}

// ended reports whether all jobs of earlier requests have ended.
func (r supersedeResult) ended() bool { return !r.LaterOpen && !r.RunsLeft && !r.ClosedHome }

// serveSupersede ends the earlier submissions of a job that was submitted again to another instance, and records
// that the job is open there. A call that was under way for too long is refused: its job may have been submitted
// once more.
func (in *Instance) serveSupersede(ctx context.Context, params json.RawMessage) (any, error) {
	var c supersedeCall
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, eris.Wrap(err, "decode supersede request")
	}
	if transit, ok := peer.Transit(ctx); ok {
		if transit > maxTransit {
			return nil, errLate
		}
		c.Age, c.Left = c.Age+transit, c.Left-transit
	}
	k := openJobKey{c.Instance, c.Incarnation, hashRequest(c.By)}
	in.openJobs.Add(c.Queue, c.Job, openJob{k, time.Now().Add(c.Left + in.leaseTime())})
	return in.supersede(ctx, c.SupersedeRequest, ""), nil
}

// supersede ends the earlier submissions of a job that this instance holds or that are at its homes, but for the home
// of one data centre.
func (in *Instance) supersede(ctx context.Context, r home.SupersedeRequest, except string) supersedeResult {
	wait := unannouncedWait
	if r.Announced {
		wait = announcedWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if in.held.Supersede(r) {
		return supersedeResult{LaterOpen: true}
	}
	var result supersedeResult
	for dc, h := range in.homesByCentre() {
		if dc == except {
			continue
		}
		later, err := h.Supersede(ctx, r)
		if later {
			return supersedeResult{LaterOpen: true}
		}
		result.RunsLeft = result.RunsLeft || err != nil
	}
	result.RunsLeft = result.RunsLeft || r.Announced && in.lacksHome()
	result.ClosedHome = in.leftRuns.Has(r.Job, time.Now())
	return result
}

// lacksHome reports whether the store names this instance, or an earlier incarnation of it, as a home that has not
// started, or an earlier incarnation may have been one until a moment ago.
func (in *Instance) lacksHome() bool {
	return time.Since(in.startedAt) < in.leaseTime() || slices.ContainsFunc(in.dataCentres(), func(dc string) bool {
		owner, _ := in.homeOf(dc)
		return owner.Instance == in.self.Instance && in.localHome(dc) == nil
	})
}

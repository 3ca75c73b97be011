package quota

import (
	"math"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"foxtailmux/config"
)

// Limiter enforces the quota of each team on this instance: a maximum of open
// jobs and a rate of task starts. It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	teams map[string]*usage
}

type usage struct {
	open    int
	limiter *rate.Limiter
	perSec  float64
}

// NewLimiter returns a limiter without open jobs.
func NewLimiter() *Limiter {
	return &Limiter{teams: map[string]*usage{}}
}

// Admit takes one open job and the starts of its tasks out of the team's
// quota. The caller calls release once when the job has ended.
func (g *Limiter) Admit(team config.Team, tasks int) (release func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	u := g.usage(team)
	if team.MaxOpenJobs > 0 && u.open >= team.MaxOpenJobs {
		err := eris.Errorf("team %q has %d jobs open, its limit", team.Name, u.open)
		return nil, &Error{Op: "admit", Kind: KindOpenJobs, Err: err}
	}
	if wait := u.take(tasks); wait > 0 {
		err := eris.Errorf("team %q starts more than %g tasks a second", team.Name, team.StartsPerSecond)
		return nil, &Error{Op: "admit", Kind: KindRate, Err: err, RetryAfter: wait}
	}

	u.open++
	return sync.OnceFunc(func() { g.release(u) }), nil
}

func (g *Limiter) release(u *usage) {
	g.mu.Lock()
	defer g.mu.Unlock()

	u.open--
}

// usage returns the team's record with its limiter set to the quota in force.
func (g *Limiter) usage(team config.Team) *usage {
	u, ok := g.teams[team.Name]
	if !ok {
		u = &usage{}
		g.teams[team.Name] = u
	}
	if u.perSec != team.StartsPerSecond {
		u.perSec = team.StartsPerSecond
		u.limiter = newRateLimiter(team.StartsPerSecond)
	}
	return u
}

func newRateLimiter(perSec float64) *rate.Limiter {
	if perSec == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSec), int(math.Ceil(perSec)))
}

// take spends tokens, or returns how long until there are enough. A job wider
// than the burst spends the whole burst.
func (u *usage) take(tasks int) time.Duration {
	if u.limiter == nil {
		return 0
	}

	now := time.Now()
	r := u.limiter.ReserveN(now, min(tasks, u.limiter.Burst()))
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}

// OpenJobs returns the number of open jobs of each team.
func (g *Limiter) OpenJobs() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()

	open := make(map[string]int, len(g.teams))
	for name, u := range g.teams {
		open[name] = u.open
	}
	return open
}

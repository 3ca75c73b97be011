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
	teams map[string]*teamQuota
}

type teamQuota struct {
	openJobs        int
	limiter         *rate.Limiter
	startsPerSecond float64
}

// NewLimiter returns a limiter without open jobs.
func NewLimiter() *Limiter {
	return &Limiter{teams: map[string]*teamQuota{}}
}

// Admit charges one open job and the starts of its tasks to the team's quota, or
// returns an *Error if the quota is exhausted. The caller must call release when
// the job has ended; further calls of release do nothing.
func (l *Limiter) Admit(t config.Team, tasks int) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	q := l.team(t)
	if t.MaxOpenJobs > 0 && q.openJobs >= t.MaxOpenJobs {
		err := eris.Errorf("team %q has %d jobs open, its limit", t.Name, q.openJobs)
		return nil, &Error{Op: "admit", Kind: KindOpenJobs, Err: err}
	}
	if wait := q.reserveStarts(tasks); wait > 0 {
		err := eris.Errorf("team %q starts more than %g tasks a second", t.Name, t.StartsPerSecond)
		return nil, &Error{Op: "admit", Kind: KindRate, Err: err, RetryAfter: wait}
	}

	q.openJobs++
	return sync.OnceFunc(func() { l.release(q) }), nil
}

func (l *Limiter) release(q *teamQuota) {
	l.mu.Lock()
	defer l.mu.Unlock()

	q.openJobs--
}

// team returns the record of a team after it has updated the rate limiter to the
// quota in force. The lock is held.
func (l *Limiter) team(t config.Team) *teamQuota {
	q, ok := l.teams[t.Name]
	if !ok {
		q = &teamQuota{}
		l.teams[t.Name] = q
	}
	if q.startsPerSecond != t.StartsPerSecond {
		q.startsPerSecond = t.StartsPerSecond
		q.limiter = newRateLimiter(t.StartsPerSecond)
	}
	return q
}

func newRateLimiter(startsPerSecond float64) *rate.Limiter {
	if startsPerSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(startsPerSecond), int(math.Ceil(startsPerSecond)))
}

// reserveStarts takes a token of the rate limiter for each task and returns 0, or
// takes none and returns the time until there are enough. A job with more tasks
// than the burst (the starts of one second, rounded up) takes the whole burst, as it
// would never be admitted otherwise.
func (q *teamQuota) reserveStarts(tasks int) time.Duration {
	if q.limiter == nil {
		return 0
	}

	now := time.Now()
	r := q.limiter.ReserveN(now, min(tasks, q.limiter.Burst()))
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}

// OpenJobs returns the number of open jobs of each team.
func (l *Limiter) OpenJobs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()

	open := make(map[string]int, len(l.teams))
	for name, q := range l.teams {
		open[name] = q.openJobs
	}
	return open
}

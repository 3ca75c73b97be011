package home

import (
	"context"
	"errors"
	"time"

	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

const (
	// orderTimeout is how long a start, a stop or a look waits for its answer.
	// A worker answers within a few milliseconds; the rest is for machines
	// that are slow for a moment.
	orderTimeout = 60 * time.Millisecond

	// maxHoldWait is how long a hold waits at the worker for an end. Two of
	// them fit into a lease of one second with one lost answer between.
	maxHoldWait = 350 * time.Millisecond

	// minHoldWait bounds the holds of a run that lasts longer than expected.
	minHoldWait = 60 * time.Millisecond

	// The time between holds of a worker that does not answer grows from
	// minRetryHold, since a single answer that was lost leaves a sound worker
	// unused for it, to maxRetryHold, or to maxRetryIdle where nothing can run
	// any more.
	minRetryHold = 5 * time.Millisecond
	maxRetryHold = 100 * time.Millisecond
	maxRetryIdle = 500 * time.Millisecond

	// ackDelay is how long the last ends of an idle worker wait for their
	// acknowledgement, which costs a call of its own.
	ackDelay = 500 * time.Millisecond

	// claimWindow is how long the runs of an earlier home wait for their jobs
	// to be sent again by the instances that hold the callers.
	claimWindow = 300 * time.Millisecond
)

// owner is the task that a run belongs to.
type owner struct {
	job  *job
	task *task
}

// unit is one worker in use. Its fields are guarded by the home's lock.
type unit struct {
	home     *Home
	worker   model.Worker
	endpoint Endpoint
	ctx      context.Context
	cancel   context.CancelFunc
	wake     chan struct{}

	book     *lease.Book
	health   plan.Health
	owners   map[string]owner
	listed   bool // it told what it runs
	listedAt time.Time
	gone     bool // it left the list
	settling bool // a goroutine settles unanswered orders
	looking  bool // a look at its progress is on the way
}

func newUnit(h *Home, w model.Worker) *unit {
	ctx, cancel := context.WithCancel(h.ctx)
	return &unit{
		home:     h,
		worker:   w,
		endpoint: h.options.Connect(w),
		ctx:      ctx,
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		book:     lease.NewBook(w.Capacity, h.options.MaxLease),
		owners:   map[string]owner{},
	}
}

// usable reports whether new tasks may start on the worker.
func (u *unit) usable(time.Time) bool {
	return u.listed && !u.gone && u.worker.State == model.Live
}

func (u *unit) wakeUp() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// run holds the worker's lease while something runs there, until the worker is
// given up.
func (u *unit) run() {
	defer u.endpoint.Close()
	retry := time.Duration(0)
	for u.ctx.Err() == nil {
		pause, ok := u.next()
		if !ok {
			u.sleep(pause)
			continue
		}
		retry = u.retryDelay(retry)
		if err := u.hold(true); err == nil {
			retry = 0
			continue
		}
		u.sleepTimer(retry)
	}
}

// next reports whether a hold is due, or else how long the worker may rest; 0
// is until it is woken.
func (u *unit) next() (time.Duration, bool) {
	u.home.mu.Lock()
	defer u.home.mu.Unlock()
	switch {
	case !u.listed, u.book.Len() > 0:
		return 0, true
	case u.book.Unacked():
		rest := ackDelay - time.Since(u.book.HeardAt())
		return rest, rest <= 0
	}
	return 0, false
}

// retryDelay returns how long to wait after a failed hold, by the wait before.
func (u *unit) retryDelay(before time.Duration) time.Duration {
	u.home.mu.Lock()
	defer u.home.mu.Unlock()
	limit := maxRetryHold
	if u.listed && u.book.Len() == 0 {
		limit = maxRetryIdle
	}
	return min(max(2*before, minRetryHold), limit)
}

// sleep waits for the time, or without one until the unit is woken.
func (u *unit) sleep(d time.Duration) {
	if d <= 0 {
		select {
		case <-u.wake:
		case <-u.ctx.Done():
		}
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-u.wake:
	case <-u.ctx.Done():
	}
}

// hold renews the lease and takes the worker's report. The first hold of a
// worker renews nothing, so that what an earlier home started is not kept
// alive.
func (u *unit) hold(wait bool) error {
	h := u.home
	h.mu.Lock()
	sentAt := time.Now()
	request := lease.Hold{Token: h.options.Token, Seen: u.book.Seen()}
	// A worker that does not answer is only asked: a renewal might be carried
	// out and keep alive what could otherwise be taken as over.
	if u.listed && !u.health.IsSilent() {
		request.Until = u.book.Until(sentAt)
	}
	if wait && request.Until > 0 && u.book.Len() > 0 {
		request.WaitMillis = u.holdWait(sentAt).Milliseconds()
	}
	h.mu.Unlock()

	timeout := orderTimeout + time.Duration(request.WaitMillis)*time.Millisecond
	report, err := u.endpoint.Hold(request, timeout)

	h.mu.Lock()
	defer h.mu.Unlock()
	if u.ctx.Err() != nil {
		return u.ctx.Err()
	}
	now := time.Now()
	if err != nil {
		u.unanswered("hold", err, now)
		return err
	}
	return u.report(request, report, sentAt, now)
}

// holdWait returns how long the next hold waits for an end: a little beyond the
// first one that is expected, so that an answer that is lost is missed soon.
func (u *unit) holdWait(now time.Time) time.Duration {
	wait := maxHoldWait
	for _, p := range u.book.Progress() {
		if o, ok := u.owners[p.Task]; ok && !p.Stopping {
			wait = min(wait, plan.EndBy(p.StartedAt, o.job.estimates[o.task.step]).Sub(now))
		}
	}
	return max(wait, minHoldWait)
}

var (
	errFenced  = errors.New("a later home was seen")
	errRefused = errors.New("the worker refused")
)

// report takes the answer to a hold. The lock is held.
func (u *unit) report(request lease.Hold, r lease.Report, sentAt, now time.Time) error {
	switch r.Refusal {
	case lease.Accepted:
	case lease.Fenced:
		u.home.fence(u.worker.ID)
		return errFenced
	case lease.OtherWorker:
		u.replaced(now)
		return errRefused
	default:
		u.book.Heard(r.Clock, now)
		return errRefused
	}

	u.answered()
	over := u.book.Sync(request, r, sentAt, now)
	if !u.listed {
		u.listed, u.listedAt = true, now
		u.home.keepOrphans(r.Ended)
		u.home.adoptAll(now)
	}
	u.home.ended(u, over, now)
	u.home.dispatch(now)
	return nil
}

// keepOrphans remembers ends that no job here waits for.
func (h *Home) keepOrphans(ends []lease.End) {
	for _, e := range ends {
		h.orphans[e.Task] = e
	}
}

// replaced ends what ran on a worker whose address another one has.
func (u *unit) replaced(now time.Time) {
	u.home.options.Log.Warn().Str("worker", u.worker.ID).Msg("another worker answers at the address")
	u.home.ended(u, u.book.Crashed(), now)
	u.health.Silent()
}

// unanswered notes an order that failed on the way. The lock is held.
func (u *unit) unanswered(op string, err error, now time.Time) {
	if u.health.Trust(now) != plan.Avoided {
		u.home.options.Log.Warn().Err(err).Str("worker", u.worker.ID).Str("order", op).
			Int64("heardMillisAgo", now.Sub(u.book.HeardAt()).Milliseconds()).Msg("order not answered")
	}
	u.health.Silent()
}

// answered notes that the worker answers. The lock is held.
func (u *unit) answered() {
	if u.health.Answered() {
		u.home.options.Log.Info().Str("worker", u.worker.ID).Msg("worker answers again")
	}
}

// sent reports whether an order may have reached the worker.
func sent(err error) bool {
	var told interface{ Sent() bool }
	return !errors.As(err, &told) || told.Sent()
}

// start sends one start and takes its answer.
func (u *unit) start(s lease.Start) {
	reply, err := u.endpoint.Start(s, orderTimeout)

	h := u.home
	h.mu.Lock()
	defer h.mu.Unlock()
	if u.ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err != nil {
		u.unanswered("start", err, now)
		if sent(err) {
			u.book.Doubt(s.Task, s.Run)
			u.settle()
			return
		}
		u.notStarted(s, "not sent", now)
		u.wakeUp()
		return
	}

	u.book.Heard(reply.Clock, now)
	switch reply.Refusal {
	case lease.Accepted:
		u.answered()
		u.health.Accepted()
		u.book.Confirm(s.Task, s.Run, now)
	case lease.Fenced:
		h.fence(u.worker.ID)
	case lease.OtherWorker:
		u.replaced(now)
	default:
		u.refused(s, reply.Refusal, now)
	}
}

// refused takes a start that the worker did not carry out.
func (u *unit) refused(s lease.Start, why lease.Refusal, now time.Time) {
	if why != lease.Late && why != lease.Outdated {
		u.health.Unwell(now)
	}
	u.notStarted(s, string(why), now)
}

// notStarted puts the task of a start that was not carried out back.
func (u *unit) notStarted(s lease.Start, reason string, now time.Time) {
	h := u.home
	o, ok := u.owners[s.Task]
	u.book.Drop(s.Task, s.Run)
	if !ok || o.task.run != s.Run {
		return
	}
	delete(u.owners, s.Task)
	h.options.Observer.Retried(reason)
	h.options.Log.Info().Str("job", o.job.batch.ID).Str("task", s.Task).Int64("run", s.Run).
		Str("worker", u.worker.ID).Str("reason", reason).Msg("task not started")
	h.again(o.job, o.task, now)
	h.dispatch(now)
}

// stop orders the end of a run. The lock is held.
func (u *unit) stop(task string, run int64) {
	delete(u.owners, task)
	if !u.book.Holds(task) {
		return
	}
	u.home.tasks.Go(func() { u.sendStop(task, run) })
	u.wakeUp()
}

func (u *unit) sendStop(task string, run int64) bool {
	h := u.home
	reply, err := u.endpoint.Stop(lease.Stop{Task: task, Run: run, Token: h.options.Token}, orderTimeout)

	h.mu.Lock()
	defer h.mu.Unlock()
	if u.ctx.Err() != nil {
		return false
	}
	now := time.Now()
	if err != nil {
		u.unanswered("stop", err, now)
		u.book.Doubt(task, run)
		u.settle()
		return false
	}
	u.book.Heard(reply.Clock, now)
	switch reply.Refusal {
	case lease.Accepted, lease.Outdated:
		u.book.Halt(task, run, now)
	case lease.Fenced:
		h.fence(u.worker.ID)
		return false
	}
	u.settle()
	return true
}

// settle finds out what became of orders without an answer and of stops, in a
// goroutine of its own. The lock is held.
func (u *unit) settle() {
	if u.settling {
		return
	}
	u.settling = true
	u.home.tasks.Go(u.settleAll)
}

const (
	// settlePause is the time between two looks at a run that is stopped; a
	// worker takes up to 50 ms to stop one.
	settlePause = 40 * time.Millisecond

	settleRetry = 60 * time.Millisecond
)

func (u *unit) settleAll() {
	for u.ctx.Err() == nil {
		if err := u.hold(false); err != nil {
			u.sleepTimer(settleRetry)
		}
		stops, more := u.unsettled()
		if !more {
			return
		}
		for _, s := range stops {
			u.sendStop(s.Task, s.Run)
		}
		if len(stops) == 0 {
			u.sleepTimer(settlePause)
		}
	}
}

func (u *unit) sleepTimer(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-u.ctx.Done():
	}
}

// unsettled returns the runs that need a stop, and whether any run is still in
// doubt or stopping. A worker that answers and did not carry out a start is
// avoided.
func (u *unit) unsettled() ([]lease.Held, bool) {
	u.home.mu.Lock()
	defer u.home.mu.Unlock()
	now := time.Now()
	stops, more := u.book.Unsettled(now)
	u.settling = more
	for _, s := range stops {
		if o, ok := u.owners[s.Task]; ok && o.task.run == s.Run && !u.health.IsSilent() {
			u.health.Ignored(now)
			o.task.mark(u.worker.ID)
		}
	}
	return stops, more
}

// checkProgress looks at runs that last longer than expected, and moves those
// that do better elsewhere. The lock is held.
func (u *unit) checkProgress(now time.Time) {
	if !u.listed {
		return
	}
	if now.Sub(u.listedAt) > claimWindow {
		for _, f := range u.book.Foreign() {
			u.home.options.Log.Info().Str("task", f.Task).Int64("run", f.Run).Str("worker", u.worker.ID).
				Msg("run of an earlier home stopped")
			u.book.Halt(f.Task, f.Run, now)
			u.home.tasks.Go(func() { u.sendStop(f.Task, f.Run) })
		}
	}
	for _, p := range u.book.Progress() {
		o, ok := u.owners[p.Task]
		if !ok || p.Stopping || o.task.run != p.Run {
			continue
		}
		estimate := o.job.estimates[o.task.step]
		if now.Before(plan.LookAt(p.StartedAt, estimate)) {
			continue
		}
		u.reconsider(o, p, estimate, now)
	}
}

// lookInterval is the least time between two looks at a worker's progress;
// each one is a call that the platform charges for.
const lookInterval = 60 * time.Millisecond

// reconsider moves a run that lasts too long, if its progress is known freshly.
func (u *unit) reconsider(o owner, p lease.Progress, estimate time.Duration, now time.Time) {
	age := now.Sub(u.book.SyncedAt())
	if age > lookInterval {
		u.look()
		return
	}
	if !plan.Move(now.Sub(p.StartedAt), p.Percent, estimate) {
		return
	}
	h := u.home
	u.health.Stalled(now)
	if !plan.Stuck(now.Sub(p.PercentAt), estimate) && !h.roomElsewhere(u, o, now) {
		return
	}
	h.options.Log.Warn().Str("job", o.job.batch.ID).Str("task", p.Task).Int64("run", p.Run).Str("worker", u.worker.ID).
		Int("percent", p.Percent).Int64("elapsedMillis", now.Sub(p.StartedAt).Milliseconds()).
		Int64("estimateMillis", estimate.Milliseconds()).Msg("run makes no headway and is moved")
	h.options.Observer.Retried("stalled")
	u.move(o, p, now)
}

// move stops a run; its task waits until the run is proven to be over.
func (u *unit) move(o owner, p lease.Progress, now time.Time) {
	o.task.mark(u.worker.ID)
	u.book.Halt(p.Task, p.Run, now)
	u.home.tasks.Go(func() { u.sendStop(p.Task, p.Run) })
}

// mark remembers that a run on a worker came to nothing.
func (t *task) mark(worker string) {
	if t.tried == nil {
		t.tried = map[string]bool{}
	}
	t.tried[worker] = true
}

func (h *Home) roomElsewhere(except *unit, o owner, now time.Time) bool {
	step := o.job.batch.Steps[o.task.step]
	for _, u := range h.units {
		if u != except && u.usable(now) && u.health.Trust(now) == plan.Trusted && u.serves(o.job.route, step) && step.Needs.Within(u.book.Free()) {
			return true
		}
	}
	return false
}

// look asks for the progress of the runs. The lock is held.
func (u *unit) look() {
	if u.looking {
		return
	}
	u.looking = true
	u.home.tasks.Go(func() {
		_ = u.hold(false) // a failure is logged and noted by hold
		u.home.mu.Lock()
		defer u.home.mu.Unlock()
		u.looking = false
	})
}

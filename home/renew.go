package home

import (
	"errors"
	"time"

	"foxtailmux/lease"
	"foxtailmux/plan"
)

// run holds the worker's lease while something runs there, until the worker is
// given up.
func (u *unit) run() {
	defer u.endpoint.Close()
	retry := time.Duration(0)
	for u.ctx.Err() == nil {
		pause, ok := u.next()
		if !ok {
			u.sleep(pause, u.wake)
			continue
		}
		retry = u.retryDelay(retry)
		if err := u.hold(true); err == nil {
			retry = 0
			continue
		}
		u.sleep(retry, nil)
	}
}

// next reports whether a hold is due, or else how long the worker may rest; 0
// is until it is woken.
func (u *unit) next() (time.Duration, bool) {
	u.home.mu.Lock()
	defer u.home.mu.Unlock()
	switch {
	case u.settling && u.health.IsUnresponsive(time.Now()):
		return u.home.probePause(maxRetryHold), false // the goroutine that settles asks
	case !u.listed, u.book.Len() > 0:
		return 0, true
	case u.book.HasUnackedEnds():
		rest := ackDelay - time.Since(u.book.LastResponse())
		return rest, rest <= 0
	}
	return 0, false
}

// retryDelay returns how long to wait after a failed hold, by the wait before.
func (u *unit) retryDelay(before time.Duration) time.Duration {
	u.home.mu.Lock()
	defer u.home.mu.Unlock()
	limit := maxRetryHold
	if u.lossy(time.Now()) {
		limit = minRetryHold
	}
	if u.listed && u.book.Len() == 0 {
		limit = maxRetryIdle
	}
	pause := min(max(2*before, minRetryHold), limit)
	if u.health.IsUnresponsive(time.Now()) {
		pause = u.home.probePause(pause)
	}
	return pause
}

// probePause is the time between two questions to a silent worker. The lock is held.
func (h *Home) probePause(usual time.Duration) time.Duration {
	return max(usual, h.options.Link.ProbePeriod(len(h.units), RequestBytes))
}

// sleep waits for the time, or 0 without limit, unless the unit is woken by the
// channel or given up.
func (u *unit) sleep(d time.Duration, wake <-chan struct{}) {
	var over <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		over = t.C
	}
	select {
	case <-over:
	case <-wake:
	case <-u.ctx.Done():
	}
}

// hold renews the lease and takes the worker's report. The first hold of a
// worker renews nothing, so that what an earlier home started is not kept
// alive.
func (u *unit) hold(wait bool) error {
	h := u.home
	sentAt := time.Now()
	request := u.nextHold(wait, sentAt)
	h.options.Link.RecordSend(RequestBytes, sentAt)
	timeout, _ := u.timeout(orderTimeout, h.options.Link)
	report, err := u.endpoint.Renew(request, timeout+time.Duration(request.WaitMillis)*time.Millisecond)

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

// nextHold returns the hold that is sent now.
func (u *unit) nextHold(wait bool, now time.Time) lease.Renewal {
	u.home.mu.Lock()
	defer u.home.mu.Unlock()
	request := lease.Renewal{Token: u.home.options.Token, LastEndSeen: u.book.LastEndSeen()}
	// A worker that does not answer is only asked: a renewal might be carried
	// out and keep alive what could otherwise be taken as over.
	if u.listed && !u.health.IsUnresponsive(now) {
		request.Until = u.book.GrantLease(now)
	}
	if wait && request.Until > 0 && u.book.Len() > 0 {
		request.WaitMillis = u.holdWait(now).Milliseconds()
	}
	return request
}

// holdWait returns how long the next hold waits for an end: a little beyond the
// first one that is expected, so that an answer that is lost is missed soon.
func (u *unit) holdWait(now time.Time) time.Duration {
	wait, least := maxHoldWait, minHoldWait
	if u.lossy(now) {
		wait, least = lossyHoldWait, lossyHoldWait
	}
	for _, p := range u.book.Progress() {
		if o, ok := u.owners[p.Task]; ok && !p.Stopping {
			wait = min(wait, plan.LikelyEnd(p.StartedAt, o.job.estimates[o.task.step]).Sub(now))
		}
	}
	return max(wait, least)
}

var (
	errFenced  = errors.New("a later home was seen")
	errRefused = errors.New("the worker refused")
)

// report takes the answer to a hold. The lock is held.
func (u *unit) report(request lease.Renewal, r lease.Report, sentAt, now time.Time) error {
	switch r.Refusal {
	case lease.Accepted:
	case lease.Fenced:
		u.home.fence(u.worker.ID)
		return errFenced
	case lease.OtherWorker:
		u.replaced(now)
		return errRefused
	default:
		u.book.RecordResponse(r.Clock, now)
		return errRefused
	}

	u.answered(now)
	over := u.book.ApplyReport(request, r, sentAt, now)
	if !u.listed {
		u.listed, u.listedAt = true, now
		u.home.keepOrphans(r.Ended)
		u.home.adoptAll(now)
	}
	u.home.ended(u, over, now)
	if u.book.HasUnconfirmed() {
		u.settle()
	}
	u.home.dispatch(now)
	return nil
}

// keepOrphans remembers ends that no job here waits for.
func (h *Home) keepOrphans(ends []lease.EndedRun) {
	for _, e := range ends {
		h.orphans[e.Task] = e
	}
	h.orphansAt = time.Now()
}

// replaced ends what ran on a worker whose address another one has.
func (u *unit) replaced(now time.Time) {
	u.home.options.Log.Warn().Str("worker", u.worker.ID).Msg("another worker answers at the address")
	u.home.ended(u, u.book.EndAll(), now)
	u.health.RecordNoResponse()
}

package home

import (
	"errors"
	"time"

	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

// renewLoop renews the lease of the worker while there are runs on it, and probes it while it does
// not respond, until the worker is given up.
func (w *worker) renewLoop() {
	defer w.endpoint.Close()
	retry := time.Duration(0)
	for w.ctx.Err() == nil {
		pause, ok := w.renewalDue()
		if !ok {
			w.sleep(pause, w.notify)
			continue
		}
		retry = w.retryDelay(retry)
		if err := w.renew(true); err == nil {
			retry = 0
			continue
		}
		w.sleep(retry, nil)
	}
}

// renewalDue reports whether a renewal is due, or else how long to wait until the next check; 0
// waits for a signal.
func (w *worker) renewalDue() (time.Duration, bool) {
	w.home.mu.Lock()
	defer w.home.mu.Unlock()
	switch {
	case w.resolving && w.health.IsUnresponsive(time.Now()):
		return w.home.probeInterval(maxRenewalRetry), false // resolveRuns sends the renewals
	case !w.reported, w.tracker.Len() > 0, w.needsProbe():
		return 0, true
	case !w.isDescribed():
		rest := describeRetry - time.Since(w.tracker.LastReport())
		return rest, rest <= 0
	case w.tracker.HasUnackedEnds():
		rest := ackDelay - time.Since(w.tracker.LastResponse())
		return rest, rest <= 0
	}
	rest, ok := w.askedIn(time.Now())
	return rest, ok && rest <= 0
}

// needsProbe reports whether the worker is wanted for new tasks, but can't get any since it left a
// request without a response. Only a response brings it back into use, so an idle worker gets a
// request for that purpose: no other one is sent to it.
func (w *worker) needsProbe() bool {
	return w.health.AwaitsResponse() && !w.removed && w.info.State == model.Live
}

// retryDelay returns the time until the next renewal after a failed one, given the delay before
// that.
func (w *worker) retryDelay(before time.Duration) time.Duration {
	w.home.mu.Lock()
	defer w.home.mu.Unlock()
	limit := maxRenewalRetry
	if w.isLossy(time.Now()) {
		limit = minRenewalRetry
	}
	if (w.reported || w.removed) && w.tracker.Len() == 0 {
		limit = maxIdleRetry
	}
	pause := min(max(2*before, minRenewalRetry), limit)
	if w.health.IsUnresponsive(time.Now()) {
		pause = w.home.probeInterval(pause)
	}
	return pause
}

// probeInterval returns the time between two probes of an unresponsive worker: usual, or more
// where the probes of all workers would take too much of the link. The lock is held.
func (h *Home) probeInterval(usual time.Duration) time.Duration {
	return max(usual, h.options.Link.ProbePeriod(len(h.workers), RequestBytes))
}

// sleep waits for a time, or without limit if d is 0, until a signal or until the worker is
// given up.
func (w *worker) sleep(d time.Duration, notify <-chan struct{}) {
	var elapsed <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		elapsed = t.C
	}
	select {
	case <-elapsed:
	case <-notify:
	case <-w.ctx.Done():
	}
}

// renew renews the lease and processes the worker's report. The first request to a worker
// renews no lease, so that runs of an earlier home are not kept alive.
func (w *worker) renew(wait bool) error {
	h := w.home
	sentAt := time.Now()
	request := w.nextRenewal(wait, sentAt)
	h.options.Link.RecordSend(RequestBytes, sentAt)
	timeout, _ := w.timeoutFor(requestTimeout, h.options.Link)
	report, err := w.endpoint.Renew(request, timeout+time.Duration(request.WaitMillis)*time.Millisecond)

	h.mu.Lock()
	defer h.mu.Unlock()
	if w.ctx.Err() != nil {
		return w.ctx.Err()
	}
	now := time.Now()
	if err == nil {
		err = w.checkOutdated(w.tracker.IsOutdatedReport(report, sentAt))
	}
	if err != nil {
		w.recordNoResponse("hold", err, now)
		return err
	}
	return w.handleReport(request, report, sentAt, now)
}

// nextRenewal returns the renewal to be sent now. The lease is left to expire where that is the only way to
// end a run: callers submit a job again little more than a lease after they have left.
func (w *worker) nextRenewal(wait bool, now time.Time) lease.Renewal {
	w.home.mu.Lock()
	defer w.home.mu.Unlock()
	w.home.activity.renewals++
	request := lease.Renewal{Token: w.home.options.Token, LastEndSeen: w.tracker.LastEndSeen()}
	// The lease of an unresponsive worker is not extended: the request might be carried out and
	// delay the expiry of its runs.
	if !w.reported || w.health.IsUnresponsive(now) {
		return request
	}
	// A closed home has told its successor when its leases end.
	expires := w.hasOnlyInheritedRuns() || w.tracker.HasMissedStop() || w.home.closed || w.home.isGivenUp() || !w.home.isInForce(now)
	if !expires {
		request.Until = w.tracker.GrantLease(now, w.leaseLimit(now))
	}
	switch {
	case !wait || w.tracker.Len() == 0:
	case expires:
		request.WaitMillis = minRenewalWait.Milliseconds()
	default:
		request.WaitMillis = w.renewalWait(now).Milliseconds()
	}
	return request
}

// hasOnlyInheritedRuns reports whether all runs on the worker are of an earlier home and not adopted.
// Their lease is not extended before their jobs arrive: if this home is lost too, nobody stops them,
// and their callers submit the jobs again after little more than a lease.
func (w *worker) hasOnlyInheritedRuns() bool {
	return w.tracker.HasInherited() && len(w.assignments) == 0
}

// renewalWait returns how long the worker may hold back its response to the next renewal to
// wait for the end of a run: until shortly after the first end that is expected, so that a lost
// response is noticed soon. Two waits fit into a lease.
func (w *worker) renewalWait(now time.Time) time.Duration {
	wait, least := min(maxRenewalWait, (w.leaseLimit(now).Sub(now)-requestTimeout)/2), minRenewalWait
	if w.isLossy(now) {
		wait, least = lossyRenewalWait, lossyRenewalWait
	}
	for p := range w.tracker.Progress() {
		if a, ok := w.assignments[p.Task]; ok && !p.Stopping {
			wait = min(wait, plan.LikelyEnd(p.StartedAt, a.expectedRun()).Sub(now))
		}
	}
	return max(wait, least)
}

var (
	errFenced   = errors.New("there is a later home")
	errRefused  = errors.New("the worker refused the renewal")
	errOutdated = errors.New("the response belongs to an earlier request")
)

// handleReport processes the response to a renewal. The lock is held.
func (w *worker) handleReport(request lease.Renewal, r lease.Report, sentAt, now time.Time) error {
	switch r.Refusal {
	case lease.Accepted:
	case lease.Fenced:
		w.home.fence(w.info.ID)
		return errFenced
	case lease.OtherWorker:
		w.handleOtherWorker(now)
		return errRefused
	default:
		w.tracker.RecordResponse(r.Clock, now)
		return errRefused
	}

	w.recordResponse(now)
	w.acceptedAt = sentAt
	before := w.tracker.Incarnation()
	ended := w.tracker.ApplyReport(request, r, sentAt, now)
	if before != 0 && w.tracker.Incarnation() != before {
		w.handleRestart(before)
	}
	if !w.reported {
		w.reported, w.reportedAt = true, now
		w.home.keepUnclaimedEnds(r.Ended)
		w.home.adoptWaitingJobs(w, now)
	}
	w.home.handleEnds(w, ended, now)
	if w.tracker.HasUnconfirmed() {
		w.startResolving()
	}
	w.home.dispatch(now)
	return nil
}

// handleRestart handles the first report of another incarnation of the worker. What was learned of the
// earlier one does not hold for it.
func (w *worker) handleRestart(before int64) {
	w.home.options.Log.Info().Str("worker", w.info.ID).Int64("before", before).Int64("incarnation", w.tracker.Incarnation()).
		Bool("described", w.isDescribed()).Msg("worker has restarted")
	w.health = plan.Health{}
	w.speed.Forget()
	if !w.isDescribed() {
		w.home.options.RefreshWorkers()
	}
}

// keepUnclaimedEnds keeps ended runs of an earlier home for jobs that have not arrived yet.
func (h *Home) keepUnclaimedEnds(ends []lease.EndedRun) {
	for _, e := range ends {
		h.unclaimedEnds[e.Task] = e
	}
	h.unclaimedEndsAt = time.Now()
}

// handleOtherWorker ends the runs of a worker whose address now belongs to another worker.
func (w *worker) handleOtherWorker(now time.Time) {
	if !w.health.AwaitsResponse() {
		w.home.options.Log.Warn().Str("worker", w.info.ID).Msg("another worker answers at the address")
	}
	w.home.handleEnds(w, w.tracker.EndAll(), now)
	w.health.RecordNoResponse()
	w.signal()
}

package home

import "time"

// A caller that gets no response submits its job again after Options.ResubmitDelay, at any instance. Nobody may be left
// who could end the runs of its first submission: the origin that has lost the caller stands still or is lost, and the home
// is lost before it has noticed that. So no run may outlive the last message of its job's origin by maxOutlive. The
// lease covers all runs on a worker and is never shortened, so two rules follow: it is granted until the earliest such
// time of its jobs, and no task is started while a lease on its worker may end later than that of its job.
const (
	// expiryTime is how long a worker takes to end the runs of an expired lease.
	expiryTime = 50 * time.Millisecond

	// maxHeartbeatAge is the age of the last message of a healthy origin: it sends a heartbeat each 250 ms.
	maxHeartbeatAge = 350 * time.Millisecond

	// maxHeardAge is the age up to which the time of the last message is taken from the last tick.
	maxHeardAge = 100 * time.Millisecond
)

// maxOutlive returns how long the runs of a job may outlive the last message of its origin. It is 0 for no limit.
func (o *Options) maxOutlive() time.Duration {
	if o.ResubmitDelay == 0 || o.LastMessage == nil {
		return 0
	}
	return o.ResubmitDelay - expiryTime
}

// leaseLength returns the length of the leases that the home grants: at most so long that a task of an origin that is heard
// may start at any time.
func (o *Options) leaseLength() time.Duration {
	if o.maxOutlive() == 0 {
		return o.MaxLease
	}
	return max(min(o.MaxLease, o.maxOutlive()-maxHeartbeatAge), 0)
}

// recordHeard records when the origin of a job was last heard. The submission of the job counts as a message: it may
// come before the next heartbeat of an instance that has just started or was paused.
func (h *Home) recordHeard(j *job, now time.Time) {
	j.heardAt, j.heardCheckedAt = later(h.options.LastMessage(j.lastSubmission.Origin, j.lastSubmission.Incarnation), j.sentAt), now
}

// runLimit returns the time by which the runs of a job must have ended if this home is lost now.
func (h *Home) runLimit(j *job, now time.Time) time.Time {
	if now.Sub(j.heardCheckedAt) > maxHeardAge {
		h.recordHeard(j, now)
	}
	return j.heardAt.Add(h.options.maxOutlive())
}

// leaseLimit returns the latest end of a lease that is granted now on the worker.
func (w *worker) leaseLimit(now time.Time) time.Time {
	limit := now.Add(w.home.options.leaseLength())
	if w.home.options.maxOutlive() == 0 {
		return limit
	}
	for _, a := range w.assignments {
		limit = earlier(limit, w.home.runLimit(a.job, now))
	}
	return limit
}

// isOriginSilent reports whether a lease on some worker may end later than the runs of the job may: no task of it is
// started until its origin is heard.
func (h *Home) isOriginSilent(j *job, now time.Time) bool {
	return h.options.maxOutlive() > 0 && h.runLimit(j, now).Before(now.Add(h.options.leaseLength()))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

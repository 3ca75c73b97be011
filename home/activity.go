package home

import (
	"time"

	"golang.org/x/sys/unix"
)

// activityInterval is the time between two reports of what a home did.
const activityInterval = time.Second

// activity counts what a home did since its last report, to tell what its processor time and its
// link were used for.
type activity struct {
	reportedAt    time.Time
	processorTime time.Duration // of the process until then

	submissions int // of jobs and their parts
	refusals    int // of all kinds, also of jobs that were accepted first
	questions   int // for startable tasks
	starts      int // first sends
	resends     int // of starts
	renewals    int
	stops       int
	unanswered  int // requests without a response in time
	maxLag      time.Duration
}

// reportActivity logs and resets the counts once per activityInterval, unless the home was idle.
// The lock is held.
func (h *Home) reportActivity(now time.Time) {
	a := h.activity
	if now.Sub(a.reportedAt) < activityInterval {
		return
	}
	processorTime := processorTime()
	h.activity = activity{reportedAt: now, processorTime: processorTime}
	h.reportSpeeds()
	if a.submissions+a.questions+a.starts+a.resends+a.renewals+a.stops == 0 {
		return
	}
	h.options.Log.Info().Str("home", h.options.DataCentre).
		Int64("millis", now.Sub(a.reportedAt).Milliseconds()).
		Int64("processorMillis", (processorTime-a.processorTime).Milliseconds()).
		Int64("maxLagMillis", a.maxLag.Milliseconds()).
		Int("submissions", a.submissions).Int("refusals", a.refusals).Int("questions", a.questions).
		Int("starts", a.starts).Int("resends", a.resends).Int("renewals", a.renewals).Int("stops", a.stops).
		Int("unanswered", a.unanswered).Int("jobs", len(h.jobs)).Int("waitingJobs", len(h.waiting)).
		Msg("home activity")
}

// processorTime returns the processor time that this process has used, 0 if it is unknown.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

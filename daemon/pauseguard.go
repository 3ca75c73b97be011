package daemon

import (
	"context"
	"time"

	"foxtailmux/entry"
	"foxtailmux/model"
	"foxtailmux/pause"
)

// resumeDelay is how long jobs are refused after a pause of the process. Requests that
// arrived during the pause are read within this time, and since the deadline of a job counts
// from the moment when it is read, they would run though they are too late.
const resumeDelay = time.Second

// pauseGuard refuses jobs right after a pause of the process, since their callers may have
// disconnected long ago.
type pauseGuard struct {
	entry.Intake
	detector *pause.Detector
}

// Submit runs a job unless the process was paused within resumeDelay. The failed answer to a
// job with a ticket or an idempotency key says that the job may have run, since an earlier
// submission of it may have.
func (a pauseGuard) Submit(ctx context.Context, job model.Job) model.Answer {
	if !a.detector.PausedWithin(resumeDelay) {
		return a.Intake.Submit(ctx, job)
	}

	answer := model.Fail("", model.RanNo, model.FailNotReady, "the instance was paused and takes no job yet")
	answer.Error.RetryAfterMillis = resumeDelay.Milliseconds()
	if job.Ticket != "" || job.IdempotencyKey != "" {
		answer.Ran = model.RanMaybe // of other submissions of the job
		answer.ThisAttempt = model.RanNo
	}
	return answer
}

package daemon

import (
	"context"
	"time"

	"foxtailmux/entry"
	"foxtailmux/model"
	"foxtailmux/pause"
)

// wakeUp is how long after a pause of the process requests are refused: those
// that arrived during the pause are read within it, and the deadline of a job
// counts from the moment when it is read.
const wakeUp = time.Second

// awake refuses jobs right after a pause, whose callers may be long gone.
type awake struct {
	entry.Intake
	watch *pause.Detector
}

// Submit runs a job unless it may have waited during a pause.
func (a awake) Submit(ctx context.Context, job model.Job) model.Answer {
	if !a.watch.PausedWithin(wakeUp) {
		return a.Intake.Submit(ctx, job)
	}

	answer := model.Fail("", model.RanNo, model.FailNotReady, "the instance was paused and takes no job yet")
	answer.Error.RetryAfterMillis = wakeUp.Milliseconds()
	if job.Ticket != "" || job.IdempotencyKey != "" {
		answer.Ran = model.RanMaybe // of other submissions of the job
		answer.ThisAttempt = model.RanNo
	}
	return answer
}

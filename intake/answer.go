package intake

import (
	"context"
	"errors"

	"foxtailmux/model"
)

// Delays after which callers are asked to retry, in milliseconds.
const (
	storeRetryMillis    = 1000
	capacityRetryMillis = 1000
)

// attemptNotRun returns the answer to a submission that started nothing, for a
// job that another submission may have started.
func attemptNotRun(id string, kind model.FailureKind, reason string) model.Answer {
	a := model.Fail(id, model.RanMaybe, kind, reason)
	a.ThisAttempt = model.RanNo
	return a
}

// attemptMayHaveRun returns the answer to a submission that may have started the
// job.
func attemptMayHaveRun(id string, kind model.FailureKind, reason string) model.Answer {
	a := model.Fail(id, model.RanMaybe, kind, reason)
	a.ThisAttempt = model.RanMaybe
	return a
}

func withRetryAfter(a model.Answer, millis int64) model.Answer {
	a.Error.RetryAfterMillis = millis
	return a
}

// contextFailureKind returns the failure that corresponds to the error of a done
// context.
func contextFailureKind(ctx context.Context) model.FailureKind {
	if errors.Is(ctx.Err(), context.Canceled) {
		return model.FailCancelled
	}
	return model.FailDeadline
}

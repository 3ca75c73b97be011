package intake

import (
	"context"
	"errors"

	"foxtailmux/model"
)

// Delays that callers are asked to wait before a further try, in ms.
const (
	retryStoreMillis = 1000
	retryFullMillis  = 1000
)

// notThis answers a submission that started nothing, of a job that other
// submissions may have started.
func notThis(id string, kind model.FailureKind, reason string) model.Answer {
	a := model.Fail(id, model.RanMaybe, kind, reason)
	a.ThisAttempt = model.RanNo
	return a
}

func maybe(id string, kind model.FailureKind, reason string) model.Answer {
	a := model.Fail(id, model.RanMaybe, kind, reason)
	a.ThisAttempt = model.RanMaybe
	return a
}

func retryAfter(a model.Answer, millis int64) model.Answer {
	a.Error.RetryAfterMillis = millis
	return a
}

// ended is the kind of failure for a context that is done.
func ended(ctx context.Context) model.FailureKind {
	if errors.Is(ctx.Err(), context.Canceled) {
		return model.FailCancelled
	}
	return model.FailDeadline
}

package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"foxtailmux/home"
	"foxtailmux/peer"
)

// maxLoggedErrorBytes bounds the text of an error in the list of attempts.
const maxLoggedErrorBytes = 80

// beginAttempt records that a job is submitted to a home, and returns the function that records the end. The
// texts are short, since records of incidents cut lines off. Times are in milliseconds since the arrival.
func beginAttempt(s home.Submission, instance string, token int64) (end func(context.Context, home.Outcome, error)) {
	text := fmt.Sprintf("%s/%d.%d %d-", instance, token, s.Number, s.Age.Milliseconds())
	if s.Part != nil {
		text = fmt.Sprintf("#%d+%d %s", s.Part.First, s.Part.Count, text)
	}
	began := time.Now()
	record := s.Attempts.Begin(text)
	return func(ctx context.Context, o home.Outcome, err error) {
		record(fmt.Sprintf("%d %s", (s.Age + time.Since(began)).Milliseconds(), describeEnd(ctx, o, err)))
	}
}

// recordNoHome records that a job found no live home until it had an age.
func recordNoHome(ctx context.Context, s home.Submission, dataCentre string, until time.Duration) {
	result := "no live home"
	if ctx.Err() != nil {
		result = describeEnd(ctx, home.Outcome{}, nil)
	}
	s.Attempts.Begin(dataCentre + " ")(fmt.Sprintf("-%d %s", until.Milliseconds(), result))
}

// describeEnd names what the origin took the end of an attempt for.
func describeEnd(ctx context.Context, o home.Outcome, err error) string {
	switch {
	case ctx.Err() != nil:
		return "given up, " + ctx.Err().Error()
	case err != nil && notAccepted(err):
		return "not accepted, " + describeError(err)
	case err != nil:
		return "lost, " + describeError(err)
	case o.Result == home.Redirected:
		return "redirected to " + o.DataCentre
	case o.Result == home.Moved:
		return fmt.Sprintf("moved %d done %d begun", len(o.Done), len(o.MaybeRunning))
	}
	return string(o.Result)
}

func describeError(err error) string {
	text := err.Error()
	var e *peer.Error
	if errors.As(err, &e) {
		text = fmt.Sprintf("%s: %v", e.Kind, e.Err)
	}
	return text[:min(len(text), maxLoggedErrorBytes)]
}

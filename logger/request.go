package logger

import (
	"net/http"
	"time"

	"github.com/phuslu/log"

	"foxtailmux/model"
)

// Request holds the logged fields of a caller's request. It has no fields for the body,
// the ticket and the idempotency key on purpose, so that these never get into the log.
type Request struct {
	JobID     string
	Team      string
	Service   string
	Method    string
	Path      string
	Status    int // HTTP status of the answer
	JobResult model.Result
	Ran       model.Ran // whether a task of the job ran
	Failure   model.FailureKind
	Tasks     int           // number of tasks in the job
	Took      time.Duration // time from the request to its answer
}

// Request logs a request that was answered: as a warning if the status is 500 or higher,
// otherwise as information. Empty fields are left out, except for the method, the path,
// the status and the duration.
func (l *Logger) Request(r Request) {
	e := l.requestEntry(r.Status)
	addIfSet(e, "jobId", r.JobID)
	addIfSet(e, "team", r.Team)
	addIfSet(e, "service", r.Service)
	addIfSet(e, "result", string(r.JobResult))
	addIfSet(e, "ran", string(r.Ran))
	addIfSet(e, "failure", string(r.Failure))

	if r.Tasks > 0 {
		e.Int("tasks", r.Tasks)
	}
	e.Str("method", r.Method).
		Str("path", r.Path).
		Int("status", r.Status).
		Int64("tookMicros", r.Took.Microseconds()).
		Msg("request")
}

func (l *Logger) requestEntry(status int) *log.Entry {
	if status >= http.StatusInternalServerError {
		return l.Warn()
	}
	return l.Info()
}

func addIfSet(e *log.Entry, key, value string) {
	if value != "" {
		e.Str(key, value)
	}
}

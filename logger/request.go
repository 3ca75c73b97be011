package logger

import (
	"net/http"
	"time"

	"github.com/phuslu/log"

	"foxtailmux/model"
)

// Request is what is logged of a caller's request. It has no place for a body,
// a ticket or a key.
type Request struct {
	JobID     string
	Team      string
	Service   string
	Method    string
	Path      string
	Status    int
	JobResult model.Result
	Ran       model.Ran
	Failure   model.FailureKind
	Tasks     int
	Took      time.Duration
}

// Request logs a finished request: as a warning from status 500 on, else as
// information. Empty fields are left out.
func (l *Logger) Request(r Request) {
	e := l.requestEntry(r.Status)
	optional(e, "jobId", r.JobID)
	optional(e, "team", r.Team)
	optional(e, "service", r.Service)
	optional(e, "result", string(r.JobResult))
	optional(e, "ran", string(r.Ran))
	optional(e, "failure", string(r.Failure))

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

func optional(e *log.Entry, key, value string) {
	if value != "" {
		e.Str(key, value)
	}
}

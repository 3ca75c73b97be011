package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"foxtailmux/logger"
	"foxtailmux/model"
)

// RequestLog logs requests.
type RequestLog interface {
	Request(r logger.Request)
}

// request holds the values for the log line of a request.
type request struct {
	ctx   fiber.Ctx
	began time.Time // zero if no handler was called
	job   model.Job
}

func newRequest(c fiber.Ctx) *request { return &request{ctx: c, began: time.Now()} }

// answer sends the answer with the HTTP status that corresponds to it.
func (s *Server) answer(r *request, a model.Answer) error {
	return s.answerStatus(r, StatusOf(a), a)
}

// answerStatus counts, logs and sends the answer with the given HTTP status.
func (s *Server) answerStatus(r *request, status int, a model.Answer) error {
	body, err := json.Marshal(a)
	if err != nil {
		a = model.Fail(a.JobID, a.Ran, model.FailInternal, err.Error())
		return s.answerStatus(r, http.StatusInternalServerError, a)
	}

	if a.Error != nil && a.Ran == model.RanNo {
		s.observer.Refused(string(a.Error.Kind))
	}
	s.observer.Answered(string(a.Result), string(a.Ran))
	s.log(r, status, a)
	setRetryAfter(r.ctx, a.Error)
	return sendJSON(r.ctx, status, body)
}

// sendValue sends a response other than the answer of a job.
func (s *Server) sendValue(r *request, status int, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return s.answer(r, refuse(model.FailInternal, err.Error()))
	}
	s.log(r, status, model.Answer{})
	return sendJSON(r.ctx, status, body)
}

func sendJSON(c fiber.Ctx, status int, body []byte) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(body)
}

// setRetryAfter sets the Retry-After header if the failure has a retry delay, rounded
// up to whole seconds, the unit of the header.
func setRetryAfter(c fiber.Ctx, f *model.Failure) {
	if f == nil || f.RetryAfterMillis <= 0 {
		return
	}
	wait := time.Duration(f.RetryAfterMillis) * time.Millisecond
	seconds := (wait + time.Second - 1) / time.Second
	c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
}

func (s *Server) log(r *request, status int, a model.Answer) {
	if s.Log == nil {
		return
	}

	line := logger.Request{
		JobID:     excerpt(a.JobID),
		Team:      excerpt(r.job.Team),
		Service:   excerpt(r.job.Service),
		Method:    excerpt(string(r.ctx.RequestCtx().Method())),
		Path:      loggedPath(r.ctx.Path()),
		Status:    status,
		JobResult: a.Result,
		Ran:       a.Ran,
		Tasks:     len(r.job.Tasks),
	}
	if a.Error != nil {
		line.Failure = a.Error.Kind
	}
	if !r.began.IsZero() {
		line.Took = time.Since(r.began)
	}
	s.Log.Request(line)
}

// maxLoggedNameBytes is the length to which names sent by a caller are truncated in
// the log.
const maxLoggedNameBytes = 100

func excerpt(name string) string { return name[:min(len(name), maxLoggedNameBytes)] }

// loggedPath returns the pattern of a path, so that the log contains neither ids nor
// unknown paths.
func loggedPath(path string) string {
	switch {
	case path == jobsPath, path == ticketsPath:
		return path
	case strings.HasPrefix(path, jobsPath+"/"):
		return jobPath
	}
	return "other"
}

// refuse returns the answer to a request that started nothing.
func refuse(kind model.FailureKind, reason string) model.Answer {
	return model.Fail("", model.RanNo, kind, reason)
}

// failureError is an error with the failure that the caller receives.
type failureError interface {
	error
	Failure() model.Failure
}

func failureOf(err error) model.Failure {
	var f failureError
	if errors.As(err, &f) {
		return f.Failure()
	}
	return model.Failure{Kind: model.FailInternal, Reason: err.Error()}
}

// refuseError sends the answer to a request that failed before it started anything.
func (s *Server) refuseError(r *request, err error) error {
	f := failureOf(err)
	return s.answer(r, model.Answer{Result: model.Failed, Ran: model.RanNo, Error: &f})
}

// answerUnknownJob sends the answer to a status or cancel request that failed. Since
// the state of the job is not known, Ran is "maybe"; the request itself started
// nothing.
func (s *Server) answerUnknownJob(r *request, id string, err error) error {
	f := failureOf(err)
	a := model.Answer{JobID: id, Result: model.Failed, Ran: model.RanMaybe, ThisAttempt: model.RanNo, Error: &f}
	return s.answer(r, a)
}

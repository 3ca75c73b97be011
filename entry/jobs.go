package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"

	"foxtailmux/model"
)

// overloadRetryDelay is the delay after which a caller is asked to retry when it was
// refused because of too many open jobs or connections.
const overloadRetryDelay = 500 * time.Millisecond

func (s *Server) postJob(c fiber.Ctx) error {
	r := newRequest(c)
	if int(s.open.Add(1)) > s.maxOpenJobs() {
		s.open.Add(-1)
		return s.answer(r, tooManyJobs())
	}
	defer s.open.Add(-1)

	if failure := s.readJob(c, &r.job); failure != nil {
		return s.answer(r, refuse(failure.Kind, failure.Reason))
	}

	answer := s.submit(c, r.job)
	if answer.Result == model.Complete {
		s.observer.Response(time.Since(r.began), longestExpectedRun(r.job))
	}
	return s.answer(r, answer)
}

func tooManyJobs() model.Answer {
	a := refuse(model.FailOverloaded, "too many jobs are open on this instance")
	a.Error.RetryAfterMillis = overloadRetryDelay.Milliseconds()
	return a
}

func (s *Server) readJob(c fiber.Ctx, job *model.Job) *model.Failure {
	if err := decode(c.BodyRaw(), job); err != nil {
		return &model.Failure{Kind: model.FailBadRequest, Reason: err.Error()}
	}
	if limit := s.limits.maxTasks(); len(job.Tasks) > limit {
		reason := fmt.Sprintf("the job has %d tasks, allowed are %d", len(job.Tasks), limit)
		return &model.Failure{Kind: model.FailTooLarge, Reason: reason}
	}
	return nil
}

// submit runs a job. A job without ticket and idempotency key is cancelled when its
// caller disconnects, since its answer can't be fetched later.
func (s *Server) submit(c fiber.Ctx, job model.Job) model.Answer {
	if job.Ticket != "" || job.IdempotencyKey != "" {
		return s.intake.Submit(c.Context(), job)
	}

	ctx, cancel := context.WithCancel(c.Context())
	w := watchConn(c.RequestCtx().Conn(), cancel)
	defer w.stop()
	return s.intake.Submit(ctx, job)
}

// longestExpectedRun returns the longest run time that a task of the job declares:
// the response time that the job would have without any overhead.
func longestExpectedRun(job model.Job) time.Duration {
	var longest int64
	for _, t := range job.Tasks {
		longest = max(longest, t.ExpectedMillis)
	}
	return time.Duration(longest) * time.Millisecond
}

type ticketRequest struct {
	Count int `json:"count"`
}

func (s *Server) postTickets(c fiber.Ctx) error {
	r := newRequest(c)
	wanted := ticketRequest{Count: 1}
	if body := c.BodyRaw(); len(body) > 0 {
		if err := decode(body, &wanted); err != nil {
			return s.answer(r, refuse(model.FailBadRequest, err.Error()))
		}
	}
	if wanted.Count < 1 || wanted.Count > s.limits.MaxTicketsPerRequest {
		reason := fmt.Sprintf("count is %d, allowed are 1 to %d", wanted.Count, s.limits.MaxTicketsPerRequest)
		return s.answer(r, refuse(model.FailBadRequest, reason))
	}

	batch, err := s.intake.IssueTickets(wanted.Count)
	if err != nil {
		return s.refuseError(r, err)
	}
	return s.sendValue(r, http.StatusOK, batch)
}

func (s *Server) getJob(c fiber.Ctx) error {
	r, id := newRequest(c), c.Params("id")
	status, err := s.intake.Status(c.Context(), id)
	if err != nil {
		return s.answerUnknownJob(r, id, err)
	}
	return s.sendValue(r, http.StatusOK, status)
}

func (s *Server) deleteJob(c fiber.Ctx) error {
	r, id := newRequest(c), c.Params("id")
	if err := s.intake.Cancel(c.Context(), id); err != nil {
		return s.answerUnknownJob(r, id, err)
	}
	return s.sendValue(r, http.StatusAccepted, cancellation{JobID: id})
}

// cancellation is the body of the response to an accepted cancellation.
type cancellation struct {
	JobID string `json:"jobId"`
}

// decode decodes a body that is exactly one JSON value without unknown fields. The
// value holds copies, no references into the body.
func decode(body []byte, value any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return eris.Wrap(err, "the body is not valid")
	}
	if _, err := d.Token(); err != io.EOF {
		return eris.New("the body goes on after its JSON value")
	}
	return nil
}

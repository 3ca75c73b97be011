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

// overloadDelay is when a caller may try again that was refused because too
// many jobs are open.
const overloadDelay = 500 * time.Millisecond

func (s *Server) postJob(c fiber.Ctx) error {
	r := newRequest(c)
	if int(s.open.Add(1)) > s.openJobs() {
		s.open.Add(-1)
		return s.answer(r, tooManyJobs())
	}
	defer s.open.Add(-1)

	if failure := s.readJob(c, &r.job); failure != nil {
		return s.answer(r, refuse(failure.Kind, failure.Reason))
	}

	answer := s.submit(c, r.job)
	if answer.Result == model.Complete {
		s.observer.Response(time.Since(r.began), ideal(r.job))
	}
	return s.answer(r, answer)
}

func tooManyJobs() model.Answer {
	a := refuse(model.FailOverloaded, "too many jobs are open on this instance")
	a.Error.RetryAfterMillis = overloadDelay.Milliseconds()
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

// submit runs a job. One without ticket and key is cancelled when its caller
// goes away, since nobody could ask for its answer.
func (s *Server) submit(c fiber.Ctx, job model.Job) model.Answer {
	if job.Ticket != "" || job.IdempotencyKey != "" {
		return s.intake.Submit(c.Context(), job)
	}

	ctx, cancel := context.WithCancel(c.Context())
	w := watch(c.RequestCtx().Conn(), cancel)
	defer w.stop()
	return s.intake.Submit(ctx, job)
}

// ideal is the longest declared run time of the job's tasks.
func ideal(job model.Job) time.Duration {
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
	asked := ticketRequest{Count: 1}
	if body := c.BodyRaw(); len(body) > 0 {
		if err := decode(body, &asked); err != nil {
			return s.answer(r, refuse(model.FailBadRequest, err.Error()))
		}
	}
	if asked.Count < 1 || asked.Count > s.limits.MaxTicketsPerRequest {
		reason := fmt.Sprintf("count is %d, allowed are 1 to %d", asked.Count, s.limits.MaxTicketsPerRequest)
		return s.answer(r, refuse(model.FailBadRequest, reason))
	}

	batch, err := s.intake.IssueTickets(asked.Count)
	if err != nil {
		return s.refuseError(r, err)
	}
	return s.value(r, http.StatusOK, batch)
}

func (s *Server) getJob(c fiber.Ctx) error {
	r, id := newRequest(c), c.Params("id")
	status, err := s.intake.Status(c.Context(), id)
	if err != nil {
		return s.unknownJob(r, id, err)
	}
	return s.value(r, http.StatusOK, status)
}

func (s *Server) deleteJob(c fiber.Ctx) error {
	r, id := newRequest(c), c.Params("id")
	if err := s.intake.Cancel(c.Context(), id); err != nil {
		return s.unknownJob(r, id, err)
	}
	return s.value(r, http.StatusAccepted, cancellation{JobID: id})
}

// cancellation tells that a job's cancellation was accepted.
type cancellation struct {
	JobID string `json:"jobId"`
}

// decode reads exactly one JSON value without unknown fields. What it keeps
// is copied from the body.
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

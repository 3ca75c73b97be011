package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"

	"foxtailmux/model"
)

// failureError is an error that knows how to tell a caller of it.
type failureError interface {
	error
	Failure() model.Failure
}

func (s *Server) postJob(c fiber.Ctx) error {
	var job model.Job
	if err := decode(c.Body(), &job); err != nil {
		return s.send(c, refuse(model.FailBadRequest, err.Error()))
	}

	if int(s.open.Add(1)) > s.openJobs() {
		s.open.Add(-1)
		return s.send(c, refuse(model.FailOverloaded, errTooManyJobs.Error()))
	}
	defer s.open.Add(-1)

	began := time.Now()
	answer := s.intake.Submit(c.Context(), job)
	if answer.Result == model.Complete {
		s.observer.Response(time.Since(began), ideal(job))
	}
	return s.send(c, answer)
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
	request := ticketRequest{Count: 1}
	if len(c.Body()) > 0 {
		if err := decode(c.Body(), &request); err != nil {
			return s.send(c, refuse(model.FailBadRequest, err.Error()))
		}
	}
	if request.Count < 1 || request.Count > s.limits.MaxTickets {
		err := eris.Errorf("count is %d, allowed are 1 to %d", request.Count, s.limits.MaxTickets)
		return s.send(c, refuse(model.FailBadRequest, err.Error()))
	}

	batch, err := s.intake.Tickets(request.Count)
	if err != nil {
		return s.sendError(c, err)
	}
	return c.JSON(batch)
}

func (s *Server) getJob(c fiber.Ctx) error {
	status, err := s.intake.Status(c.Context(), c.Params("id"))
	if err != nil {
		return s.sendError(c, err)
	}
	return c.JSON(status)
}

func (s *Server) deleteJob(c fiber.Ctx) error {
	id := c.Params("id")
	if err := s.intake.Cancel(c.Context(), id); err != nil {
		return s.sendError(c, err)
	}
	return c.Status(http.StatusAccepted).JSON(cancelReply{JobID: id})
}

// cancelReply says that the job with this id is being stopped.
type cancelReply struct {
	JobID string `json:"jobId"`
}

func (s *Server) sendError(c fiber.Ctx, err error) error {
	var f failureError
	if !errors.As(err, &f) {
		return s.send(c, refuse(model.FailInternal, err.Error()))
	}
	failure := f.Failure()
	return s.send(c, refuse(failure.Kind, failure.Reason))
}

func (s *Server) send(c fiber.Ctx, a model.Answer) error {
	if a.Error != nil && a.Ran == model.RanNo {
		s.observer.Refused(string(a.Error.Kind))
	}
	s.observer.Answered(string(a.Result), string(a.Ran))
	return c.Status(StatusOf(a)).JSON(a)
}

// refuse answers a request of which nothing was started.
func refuse(kind model.FailureKind, reason string) model.Answer {
	return model.Fail("", model.RanNo, kind, reason)
}

// decode reads exactly one JSON value without unknown fields.
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

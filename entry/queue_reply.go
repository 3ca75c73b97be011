package entry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"

	"foxtailmux/home"
	"foxtailmux/model"
)

// refuseJob refuses a job that could not be decoded: with status 503 if it is well
// formed but of a kind that is not served, else with status 400.
func (s *QueueServer) refuseJob(c fiber.Ctx, route model.Route, id string, err error) error {
	var unsupported interface{ NotServed() bool }
	status := http.StatusBadRequest
	if errors.As(err, &unsupported) && unsupported.NotServed() {
		status = http.StatusServiceUnavailable
	}
	if line := s.refusals.next(status); line.logged {
		s.options.Log.Info().Err(err).Str("job", id).Str("queue", route.Name).Int("status", status).
			Int("suppressed", line.suppressed).Msg("job refused")
	}
	s.options.Observer.Refused("notServed")
	return s.send(c, status, []byte(err.Error()))
}

// answer sends the outcome of a job. Only the response to a refused job, of which
// nothing ran, has a Retry-After header.
func (s *QueueServer) answer(c fiber.Ctx, r *jobRequest, o home.Outcome, took time.Duration, callerLeft bool) error {
	status := http.StatusOK
	body := s.options.Protocol.SucceededBody()
	switch o.Result {
	case home.Succeeded:
	case home.Failed:
		body = s.options.Protocol.FailedBody()
	case home.Refused:
		status, body = http.StatusServiceUnavailable, []byte(o.Reason)
		setRetryAfterHeader(c, o.RetryAfter)
		s.options.Observer.Refused("overloaded")
	default:
		status, body = http.StatusGatewayTimeout, []byte(o.Reason)
	}
	s.options.Observer.Answered(string(o.Result), "")
	s.options.Observer.Response(took, 0)
	r.addTo(s.options.Log.Info(), took).Bool("callerLeft", callerLeft).Int("status", status).Str("verdict", string(o.Result)).
		Str("reason", o.Reason).Msg("request answered")
	return s.send(c, status, body)
}

// refuse refuses a request of which nothing ran. With retryAfter 0, the response has
// no Retry-After header.
func (s *QueueServer) refuse(c fiber.Ctx, status int, reason string, retryAfter time.Duration) error {
	if line := s.refusals.next(status); line.logged {
		s.options.Log.Info().Str("path", truncatePath(c.Path())).Int("status", status).Str("reason", reason).
			Int("suppressed", line.suppressed).Msg("request refused")
	}
	s.options.Observer.Refused("request")
	setRetryAfterHeader(c, retryAfter)
	return c.Status(status).SendString(reason)
}

// refuseUnread refuses a job that is not run since its request was read too late.
func (s *QueueServer) refuseUnread(c fiber.Ctx, r *jobRequest, reason string) error {
	const status = http.StatusServiceUnavailable
	r.addTo(s.options.Log.Info(), time.Since(r.arrived)).Str("path", truncatePath(c.Path())).Int("status", status).Str("reason", reason).
		Msg("request refused")
	s.options.Observer.Refused("request")
	return c.Status(status).SendString(reason)
}

// maxLoggedPathBytes is the length to which a path is truncated in the log.
const maxLoggedPathBytes = 80

func truncatePath(path string) string { return path[:min(len(path), maxLoggedPathBytes)] }

// setRetryAfterHeader sets the Retry-After header if d is positive, rounded up to
// whole seconds, the unit of the header.
func setRetryAfterHeader(c fiber.Ctx, d time.Duration) {
	if d > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	}
}

func (s *QueueServer) send(c fiber.Ctx, status int, body []byte) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return eris.Wrap(c.Status(status).Send(body), "send answer")
}

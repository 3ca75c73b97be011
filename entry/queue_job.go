package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"

	"foxtailmux/home"
	"foxtailmux/model"
	"foxtailmux/plan"
	"foxtailmux/socket"
)

// defaultCallerTimeout is the timeout of a caller that sends none. Callers of the
// platform always send one.
const defaultCallerTimeout = 3 * time.Second

// maxIDBytes bounds the job id in the path, behind the prefix of the queue.
const maxIDBytes = 64

// minLateRead is the time since the first bytes of a request from which on it is logged as read late.
const minLateRead = 250 * time.Millisecond

// estimateSafetyFactor multiplies the estimated run time of a job, since actual run
// times differ from the estimate by up to half of it in either direction.
const estimateSafetyFactor = 2

// likelyEndsBeforeClose reports whether a job is likely to end before the server closes,
// which is always true for a server that does not drain.
func (s *QueueServer) likelyEndsBeforeClose(b model.Batch) bool {
	closesAt := s.closesAt.Load()
	if closesAt == nil {
		return true
	}
	estimates := make([]time.Duration, len(b.Steps))
	for i, step := range b.Steps {
		estimates[i] = step.Estimate
	}
	return time.Until(*closesAt) > estimateSafetyFactor*plan.CriticalPath(b.Steps, estimates)
}

// closeMargin is the time before the server closes at which it answers the jobs that are still open.
const closeMargin = 150 * time.Millisecond

// untilClose returns how long a job may stay open that its caller waits for so long: less on a server
// that drains and would cut the connection before.
func (s *QueueServer) untilClose(left time.Duration) time.Duration {
	closesAt := s.closesAt.Load()
	if closesAt == nil {
		return left
	}
	return min(left, time.Until(*closesAt)-closeMargin)
}

// findRoute returns the route of the host with the longest prefix of the path, and
// the rest of the path behind the prefix. It returns false if there is none.
func findRoute(r *model.Routing, host, path string) (model.Route, string, bool) {
	best := -1
	for i, route := range r.Routes {
		if route.Host != host || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best < 0 || len(route.Prefix) > len(r.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return model.Route{}, "", false
	}
	return r.Routes[best], path[len(r.Routes[best].Prefix):], true
}

// post runs the job that a request submits to a queue, and cancels it when the
// caller's timeout ends or the caller disconnects. The timeout counts from the arrival of the
// request: a job whose caller has left meanwhile is not run, since it may run elsewhere by now.
func (s *QueueServer) post(c fiber.Ctx, route model.Route, id string, body []byte, held *reservation) error {
	began := time.Now()
	if id == "" || len(id) > maxIDBytes || strings.ContainsAny(id, "/.") {
		return s.refuse(c, http.StatusBadRequest, "the path names no job", 0)
	}
	timeout, err := s.options.Protocol.DecodeTimeout(c.Get(s.options.Protocol.TimeoutHeader()))
	if err != nil {
		return s.refuse(c, http.StatusBadRequest, err.Error(), 0)
	}
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	if err := held.grow(s.options.Protocol.DecodeBytes(body)); err != nil {
		return s.refuse(c, http.StatusServiceUnavailable, err.Error(), time.Second)
	}
	batch, err := s.options.Protocol.DecodeBatch(id, route.Name, body)
	if err == nil && batch.Tasks() > DefaultMaxTasks {
		err = eris.Errorf("the job has %d tasks, allowed are %d", batch.Tasks(), DefaultMaxTasks)
	}
	if err != nil {
		return s.refuseJob(c, route, id, err)
	}
	if route.ExternalPlacement {
		return s.refuse(c, http.StatusServiceUnavailable, "queues whose workers an outside service picks are not served", 0)
	}
	if !s.likelyEndsBeforeClose(batch) {
		return s.refuse(c, http.StatusServiceUnavailable, "the instance is leaving", time.Second)
	}

	conn := c.RequestCtx().Conn()
	age := requestAge(conn)
	r := &jobRequest{job: id, queue: route.Name, caller: conn.RemoteAddr().String(), timeout: timeout, arrived: time.Now().Add(-age), unread: age}
	if age > minLateRead {
		s.options.Log.Warn().Str("job", id).Int64("unreadMillis", age.Milliseconds()).
			Int64("timeoutMillis", timeout.Milliseconds()).Msg("request read late")
	}
	switch {
	case age >= timeout:
		return s.refuseUnread(c, r, "the request was read after its timeout")
	case socket.HungUp(socket.Raw(conn)):
		return s.refuseUnread(c, r, "the caller has disconnected")
	}

	left := timeout - age
	ctx, cancel := context.WithTimeout(c.Context(), s.untilClose(left))
	defer s.track(r)()
	w := watchConn(conn, cancel)
	outcome := s.options.Dispatcher.Run(ctx, home.Submission{Batch: batch, Route: route, Age: age, TimeLeft: left, Attempts: &r.attempts})
	callerLeft := errors.Is(ctx.Err(), context.Canceled)
	w.stop()
	return s.answer(c, r, outcome, age+time.Since(began), callerLeft)
}

package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"

	"foxtailmux/home"
	"foxtailmux/model"
	"foxtailmux/plan"
)

// defaultPatience is how long a caller waits that does not say so; the
// platform's callers always do.
const defaultPatience = 3 * time.Second

// maxIDBytes bounds what may stand behind a queue's prefix.
const maxIDBytes = 64

// drainFactor is how much longer than estimated a job may take; estimates are
// off by half either way.
const drainFactor = 2

// leavesTime reports whether a job is likely to end before the server closes.
func (s *QueueServer) leavesTime(b model.Batch) bool {
	closesAt := s.closesAt.Load()
	if closesAt == nil {
		return true
	}
	estimates := make([]time.Duration, len(b.Steps))
	for i, step := range b.Steps {
		estimates[i] = step.Estimate
	}
	return time.Until(*closesAt) > drainFactor*plan.CriticalPath(b.Steps, estimates)
}

// findRoute returns the queue with the longest prefix of the path, and the
// rest of the path.
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

func (s *QueueServer) post(c fiber.Ctx, route model.Route, id string) error {
	began := time.Now()
	if id == "" || len(id) > maxIDBytes || strings.ContainsAny(id, "/.") {
		return s.refuse(c, http.StatusBadRequest, "the path names no job", 0)
	}
	patience, err := s.options.Protocol.DecodeTimeout(c.Get(s.options.Protocol.TimeoutHeader()))
	if err != nil {
		return s.refuse(c, http.StatusBadRequest, err.Error(), 0)
	}
	if patience <= 0 {
		patience = defaultPatience
	}
	batch, err := s.options.Protocol.DecodeBatch(id, route.Name, c.BodyRaw())
	if err == nil && batch.Tasks() > DefaultMaxTasks {
		err = eris.Errorf("the job has %d tasks, allowed are %d", batch.Tasks(), DefaultMaxTasks)
	}
	if err != nil {
		return s.refuseJob(c, route, id, err)
	}
	if route.ExternalPlacement {
		return s.refuse(c, http.StatusServiceUnavailable, "queues whose workers an outside service picks are not served", 0)
	}
	if !s.leavesTime(batch) {
		return s.refuse(c, http.StatusServiceUnavailable, "the instance is leaving", time.Second)
	}

	ctx, cancel := context.WithTimeout(c.Context(), patience)
	w := watch(c.RequestCtx().Conn(), cancel)
	outcome := s.options.Dispatcher.Run(ctx, home.Submission{Batch: batch, Route: route, TimeLeft: patience})
	w.stop()
	return s.answer(c, route, id, outcome, time.Since(began))
}

package home

import (
	"fmt"
	"time"

	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

// OriginStarter starts the tasks of a job from the instance that holds its caller's
// connection. That instance keeps the specification, so that its bytes leave through
// its own link, once for each task, and not through that of the home.
type OriginStarter struct {
	Link  *plan.Link // of that instance
	Start func(w model.Worker, s lease.Start, timeout time.Duration) (lease.Reply, error)
}

// OriginError is the failure of a Relay whose fault is not the worker's. Gone tells that
// the instance no longer has the job and started nothing.
type OriginError struct {
	Op         string
	JobUnknown bool
	Err        error
}

// Error returns the operation and the cause.
func (e *OriginError) Error() string { return fmt.Sprintf("home: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *OriginError) Unwrap() error { return e.Err }

// Sent reports whether the worker may have got the start.
func (e *OriginError) Sent() bool { return !e.JobUnknown }

const (
	// relayBytes is what the order to a relay and its answer take on the wire.
	relayBytes = 350

	// maxOriginMisses is the number of starts without an answer of the origin after
	// which its job is given up. Each takes 180 ms or more, so that a job is given up
	// within the second after which a silent origin counts as dead.
	maxOriginMisses = 3
)

// sending is how the starts of a job leave.
type sending struct {
	relay    *OriginStarter // nil sends them from here
	withheld int            // bytes of the specification that the relay keeps
}

// noteSent notes the bytes of a start on the links that it takes.
func (h *Home) noteSent(s lease.Start, via sending, now time.Time) {
	if via.relay == nil {
		h.options.Link.RecordSend(RequestBytes+len(s.Spec), now)
		return
	}
	h.options.Link.RecordSend(relayBytes, now)
	via.relay.Link.RecordSend(RequestBytes+via.withheld, now)
}

// sendStart sends a start once, and notes the time of its answer.
func (u *unit) sendStart(w model.Worker, s lease.Start, via sending) (lease.Reply, error) {
	sentAt := time.Now()
	link := u.home.options.Link
	var timeout, queued time.Duration
	var reply lease.Reply
	var err error
	if via.relay == nil {
		timeout, queued = u.timeout(startTimeout, link)
		reply, err = u.endpoint.Start(s, timeout)
	} else {
		timeout, queued = u.timeout(startTimeout, link, via.relay.Link)
		reply, err = via.relay.Start(w, s, timeout)
	}
	if err == nil {
		u.home.noteAnswer(time.Since(sentAt) - queued)
	}
	return reply, err
}

// missed takes a start whose origin is at fault. The lock is held.
func (h *Home) missed(o owner, via sending, e *OriginError) {
	j := o.job
	if j.sending.relay != via.relay {
		return // the job came again from another instance
	}
	j.misses++
	h.options.Log.Warn().Err(e).Str("job", j.key).Str("origin", j.origin).Int("misses", j.misses).Msg("origin did not start a task")
	if e.JobUnknown || j.misses >= maxOriginMisses {
		h.abort(j, Outcome{Result: Cancelled, Reason: "the instance of its caller does not start its tasks"})
	}
}

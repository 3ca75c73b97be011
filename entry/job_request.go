package entry

import (
	"time"

	"github.com/phuslu/log"

	"foxtailmux/home"
)

// timeLayout is the layout of the times in log lines.
const timeLayout = "2006-01-02T15:04:05.000Z"

// jobRequest is what the log tells about a request that submits a job.
type jobRequest struct {
	job      string
	queue    string
	caller   string // its address
	timeout  time.Duration
	arrived  time.Time // of its first bytes
	unread   time.Duration
	attempts home.Attempts
}

// addTo adds the request to a log line: first what tells two runs of one task apart, since records of incidents
// cut lines off.
func (r *jobRequest) addTo(l *log.Entry, took time.Duration) *log.Entry {
	return l.Str("job", r.job).Int64("tookMillis", took.Milliseconds()).Strs("attempts", r.attempts.List()).
		Int64("timeoutMillis", r.timeout.Milliseconds()).Int64("unreadMillis", r.unread.Milliseconds()).
		Str("caller", r.caller).TimeFormat("arrived", timeLayout, r.arrived.UTC()).Str("queue", r.queue)
}

// track records that a request is in progress until the returned function is called.
func (s *QueueServer) track(r *jobRequest) (end func()) {
	s.requests.Store(r, nil)
	return func() { s.requests.Delete(r) }
}

// logCut logs the requests in progress, whose connections the end of the process closes.
func (s *QueueServer) logCut() {
	s.requests.Range(func(key, _ any) bool {
		r := key.(*jobRequest)
		r.addTo(s.options.Log.Warn(), time.Since(r.arrived)).Msg("request cut")
		return true
	})
}

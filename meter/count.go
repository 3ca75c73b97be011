package meter

import "time"

// The purposes of a message. A needed one moves a job towards its answer; a
// wasted one turns out to have been superfluous.
const (
	Needed = "needed"
	Wasted = "wasted"
)

// The kinds of control traffic.
const (
	Heartbeat   = "heartbeat"
	ConfigPoll  = "configPoll"
	ListPoll    = "listPoll"
	StatusProbe = "statusProbe"
)

// The other ends of the traffic on a users' platform.
const (
	ToWorker = "worker"
	ToStore  = "store"
)

// The directions of traffic.
const (
	Sent     = "sent"
	Received = "received"
)

// TaskStarted counts an attempt sent to a worker.
func (m *Meter) TaskStarted() { m.starts.Inc() }

// Answered counts an answer to a caller.
func (m *Meter) Answered(result, ran string) { m.answers.WithLabelValues(result, ran).Inc() }

// Refused counts a job refused before a task ran.
func (m *Meter) Refused(reason string) { m.refusals.WithLabelValues(reason).Inc() }

// Retried counts an attempt after the first.
func (m *Meter) Retried(reason string) { m.retries.WithLabelValues(reason).Inc() }

// Forwarded counts a job forwarded to a peer.
func (m *Meter) Forwarded(outcome string) { m.forwards.WithLabelValues(outcome).Inc() }

// Message counts a message as Needed or Wasted.
func (m *Meter) Message(purpose, kind string) { m.messages.WithLabelValues(purpose, kind).Inc() }

// Unauthorized counts an operator's request without a valid key.
func (m *Meter) Unauthorized() { m.unauthorized.Inc() }

// ControlBytes counts n bytes sent or received for one kind of control.
func (m *Meter) ControlBytes(kind string, n int) {
	m.controlBytes.WithLabelValues(kind).Add(float64(n))
}

// PeerBytes counts n bytes Sent to or Received from peers.
func (m *Meter) PeerBytes(direction string, n int) {
	m.peerBytes.WithLabelValues(direction).Add(float64(n))
}

// Bytes returns a counter of the bytes Sent and Received on connections to workers or to the
// store.
func (m *Meter) Bytes(to string) func(direction string, n int) {
	return func(direction string, n int) { m.bytes.WithLabelValues(to, direction).Add(float64(n)) }
}

// QueueLength sets the number of tasks that wait for a slot.
func (m *Meter) QueueLength(n int) { m.queue.Set(float64(n)) }

// ConfigVersion sets the version of the configuration in force.
func (m *Meter) ConfigVersion(n int64) { m.configVersion.Set(float64(n)) }

// QueueWait records how long a task waited for a slot.
func (m *Meter) QueueWait(d time.Duration) { m.queueWait.Observe(d.Seconds()) }

// Response records how long a job took from its receipt to its answer. The
// ratio is left out if the ideal is not known, that is not above 0.
func (m *Meter) Response(d, ideal time.Duration) {
	m.response.Observe(d.Seconds())
	if ideal > 0 {
		m.overIdeal.Observe(float64(d) / float64(ideal))
	}
}

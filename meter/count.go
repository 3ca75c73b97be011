package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Purposes of a message. A needed message moves a job towards its answer. A wasted
// message turned out to be superfluous.
const (
	Needed = "needed"
	Wasted = "wasted"
)

// Kinds of control traffic.
const (
	Heartbeat   = "heartbeat"
	ConfigPoll  = "configPoll"
	ListPoll    = "listPoll"
	StatusProbe = "statusProbe"
)

// Remote ends of the connections to the platform.
const (
	ToWorker = "worker"
	ToStore  = "store"
)

// Directions of traffic.
const (
	Sent     = "sent"
	Received = "received"
)

// TaskStarted counts a start request that was sent to a worker.
func (m *Meter) TaskStarted() { m.starts.Inc() }

// TaskPlaced counts the start of a task whose data are in a rack: whether it is near them, and whether
// the task was held for a place there.
func (m *Meter) TaskPlaced(near, held bool) {
	place, waited := "far", "no"
	if near {
		place = "near"
	}
	if held {
		waited = "yes"
	}
	m.rackStarts.WithLabelValues(place, waited).Inc()
}

// Answered counts an answer to a caller.
func (m *Meter) Answered(result, ran string) { m.answers.WithLabelValues(result, ran).Inc() }

// Refused counts a job that was refused before any of its tasks ran.
func (m *Meter) Refused(reason string) { m.refusals.WithLabelValues(reason).Inc() }

// Retried counts an attempt at a task after the first one.
func (m *Meter) Retried(reason string) { m.retries.WithLabelValues(reason).Inc() }

// Forwarded counts a job that was forwarded to a peer.
func (m *Meter) Forwarded(outcome string) { m.forwards.WithLabelValues(outcome).Inc() }

// Message counts a message with the purpose Needed or Wasted.
func (m *Meter) Message(purpose, kind string) { m.messages.WithLabelValues(purpose, kind).Inc() }

// Unauthorized counts an operator's request without a valid key.
func (m *Meter) Unauthorized() { m.unauthorized.Inc() }

// ControlBytes counts n bytes of one kind of control traffic, sent or received.
func (m *Meter) ControlBytes(kind string, n int) {
	m.controlBytes.WithLabelValues(kind).Add(float64(n))
}

// PeerBytes counts n bytes Sent to or Received from peers.
func (m *Meter) PeerBytes(direction string, n int) {
	m.peerBytes.WithLabelValues(direction).Add(float64(n))
}

// Bytes returns a function that counts n bytes Sent or Received on the connections to
// a remote end, which is ToWorker or ToStore.
func (m *Meter) Bytes(to string) func(direction string, n int) {
	return func(direction string, n int) { m.bytes.WithLabelValues(to, direction).Add(float64(n)) }
}

// Held sets the bytes that are reserved for requests of callers, and the number of their connections.
func (m *Meter) Held(bytes int64, connections int) {
	m.heldBytes.Set(float64(bytes))
	m.connections.Set(float64(connections))
}

// Closed counts a connection of a caller that was closed or refused for lack of room.
func (m *Meter) Closed(reason string) { m.closed.WithLabelValues(reason).Inc() }

// QueueLength sets the number of tasks that wait for a slot.
func (m *Meter) QueueLength(n int) { m.queue.Set(float64(n)) }

// ConfigVersion sets the version of the configuration in force.
func (m *Meter) ConfigVersion(n int64) { m.configVersion.Set(float64(n)) }

// DrainedDataCentres sets the number of data centres that an operator has drained.
func (m *Meter) DrainedDataCentres(n int) { m.drained.Set(float64(n)) }

// DrainedRuns sets the number of runs left in drained data centres at the homes of this instance.
func (m *Meter) DrainedRuns(n int) { m.drainedRuns.Set(float64(n)) }

// WorkerFactors replaces the learned run time factors of the workers of a home, by kind of worker.
func (m *Meter) WorkerFactors(home string, factors map[string]float64) {
	m.workerFactors.DeletePartialMatch(prometheus.Labels{"home": home})
	for kind, f := range factors {
		m.workerFactors.WithLabelValues(home, kind).Set(f)
	}
}

// QueueWait records the time that a task waited for a slot.
func (m *Meter) QueueWait(d time.Duration) { m.queueWait.Observe(d.Seconds()) }

// Response records the time d from the receipt of a job to its answer, and the ratio of
// d to the ideal time. An ideal of 0 or less means that it is unknown; the ratio is not
// recorded then.
func (m *Meter) Response(d, ideal time.Duration) {
	m.response.Observe(d.Seconds())
	if ideal > 0 {
		m.overIdeal.Observe(float64(d) / float64(ideal))
	}
}

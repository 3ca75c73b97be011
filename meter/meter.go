// Package meter holds the Prometheus metrics of one process.
package meter

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Meter holds the metrics of one process in a registry of its own. Its methods
// are safe for concurrent use. Strings passed to them become label values, so they
// must come from a fixed set and never from a request: each new value adds a time
// series.
type Meter struct {
	registry *prometheus.Registry

	starts       prometheus.Counter
	rackStarts   *prometheus.CounterVec
	answers      *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	retries      *prometheus.CounterVec
	forwards     *prometheus.CounterVec
	messages     *prometheus.CounterVec
	unauthorized prometheus.Counter
	controlBytes *prometheus.CounterVec
	peerBytes    *prometheus.CounterVec
	bytes        *prometheus.CounterVec

	closed *prometheus.CounterVec

	heldBytes     prometheus.Gauge
	connections   prometheus.Gauge
	queue         prometheus.Gauge
	configVersion prometheus.Gauge
	drained       prometheus.Gauge
	drainedRuns   prometheus.Gauge
	workerFactors *prometheus.GaugeVec

	queueWait prometheus.Histogram
	response  prometheus.Histogram
	overIdeal prometheus.Histogram
}

// New returns the meter of an instance. Each metric carries the instance and
// the data centre as labels.
func New(instance, dataCentre string) *Meter {
	m := &Meter{registry: prometheus.NewRegistry()}
	m.initCounters()
	m.initGauges()
	m.initHistograms()

	labels := prometheus.Labels{"instance_id": instance, "data_centre": dataCentre}
	prometheus.WrapRegistererWith(labels, m.registry).MustRegister(m.collectors()...)
	return m
}

// Registry returns the registry that holds the metrics of this meter.
func (m *Meter) Registry() *prometheus.Registry { return m.registry }

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Meter) initCounters() {
	m.starts = counter("task_starts_total", "Attempts at tasks sent to workers.")
	m.rackStarts = counters("rack_task_starts_total", "Starts of tasks whose data are in a rack, by whether they run there, and by whether they were held for a place there.", "place", "held")
	m.answers = counters("answers_total", "Answers to callers, by result and by whether a task ran.", "result", "ran")
	m.refusals = counters("refusals_total", "Jobs refused before a task ran, by reason.", "reason")
	m.retries = counters("retries_total", "Attempts after the first, by reason.", "reason")
	m.forwards = counters("forwards_total", "Jobs forwarded to a peer, by outcome.", "outcome")
	m.messages = counters("messages_total", "Messages sent, by whether they were needed, and by kind.", "purpose", "kind")
	m.messages.WithLabelValues("needed", "start") // so that the metric is exported as 0 before the first message
	m.unauthorized = counter("unauthorized_total", "Requests of operators without a valid key.")
	m.controlBytes = counters("control_bytes_total", "Bytes of control traffic, sent and received, by kind.", "kind")
	m.bytes = counters("bytes_total", "Bytes of all connections to workers and to the platform's store, by direction.", "to", "direction")
	m.closed = counters("callers_closed_total", "Connections of callers closed or refused for lack of room, by reason.", "reason")
	m.peerBytes = counters("peer_bytes_total", "Bytes of all connections with peers, data included, by direction.", "direction")
}

func (m *Meter) initGauges() {
	m.heldBytes = gauge("callers_held_bytes", "Bytes reserved for requests of callers.")
	m.connections = gauge("callers_connections", "Open connections of callers.")
	m.queue = gauge("queue_tasks", "Tasks that wait for a slot.")
	m.configVersion = gauge("config_version", "Version of the configuration in force.")
	m.drained = gauge("drained_data_centres", "Data centres that an operator has drained.")
	m.drainedRuns = gauge("drained_runs", "Runs left in drained data centres, at the homes of this instance.")
	m.workerFactors = gauges("worker_run_time_ratio", "Run time of tasks on workers of a kind over that on usual workers of the same home, by home.", "home", "kind")
}

func (m *Meter) initHistograms() {
	m.queueWait = histogram("queue_wait_seconds", "Time a task waited for a slot.", waitBuckets)
	m.response = histogram("response_seconds", "Time from the receipt of a job to its answer.", responseBuckets)
	m.overIdeal = histogram("response_over_ideal_ratio", "Response time over the ideal of the job.", ratioBuckets)
}

func (m *Meter) collectors() []prometheus.Collector {
	return []prometheus.Collector{
		m.starts,
		m.rackStarts,
		m.answers,
		m.refusals,
		m.retries,
		m.forwards,
		m.messages,
		m.unauthorized,
		m.controlBytes,
		m.peerBytes,
		m.bytes,
		m.closed,
		m.heldBytes,
		m.connections,
		m.queue,
		m.configVersion,
		m.drained,
		m.drainedRuns,
		m.workerFactors,
		m.queueWait,
		m.response,
		m.overIdeal,
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
	}
}

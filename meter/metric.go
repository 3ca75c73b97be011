package meter

import "github.com/prometheus/client_golang/prometheus"

// namespace is the prefix of the names of all metrics.
const namespace = "foxtailmux"

// Upper bounds of the buckets of the histograms: waitBuckets and responseBuckets in
// seconds, ratioBuckets as ratios.
var (
	waitBuckets     = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}
	responseBuckets = []float64{.01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 20, 60}
	ratioBuckets    = []float64{1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2, 3, 5, 10, 20, 50}
)

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   buckets,
	})
}

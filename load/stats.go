package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds and significant digits.
const (
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// histogram records durations with a resolution of a microsecond.
type histogram struct {
	inner *hdrhistogram.Histogram
}

func newHistogram() histogram {
	return histogram{inner: hdrhistogram.New(1, maxRecordedMicros, significantDigits)}
}

// record adds a duration; it counts one outside the bounds as the bound.
func (h histogram) record(d time.Duration) {
	micros := min(max(d.Microseconds(), 0), maxRecordedMicros)
	if err := h.inner.RecordValue(micros); err != nil {
		panic(err)
	}
}

func (h histogram) merge(other histogram) {
	h.inner.Merge(other.inner)
}

// Quantiles summarises durations in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

const microsPerMilli = 1000.0

func (h histogram) quantiles() Quantiles {
	at := func(percentile float64) float64 {
		return float64(h.inner.ValueAtPercentile(percentile)) / microsPerMilli
	}
	return Quantiles{
		Count: h.inner.TotalCount(),
		Mean:  h.inner.Mean() / microsPerMilli,
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   float64(h.inner.Max()) / microsPerMilli,
	}
}

// Jain returns Jain's fairness index of the values: 1 when all are equal and
// 1/n when one has everything. It returns 1 where there is nothing to share.
func Jain(values []float64) float64 {
	var sum, squares float64
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}

// share returns part/whole, or 0 when the whole is 0.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

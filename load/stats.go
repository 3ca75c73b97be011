package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3 // decimal digits that a recorded value keeps
)

// histogram records durations with a resolution of a microsecond.
type histogram struct {
	inner *hdrhistogram.Histogram
}

func newHistogram() histogram {
	return histogram{inner: hdrhistogram.New(1, maxRecordedMicros, significantDigits)}
}

// record adds a duration. It counts a negative one as 0 and one above
// maxRecordedMicros as that maximum.
func (h histogram) record(d time.Duration) {
	micros := min(max(d.Microseconds(), 0), maxRecordedMicros)
	if err := h.inner.RecordValue(micros); err != nil {
		panic(err)
	}
}

func (h histogram) merge(other histogram) {
	h.inner.Merge(other.inner)
}

// Quantiles summarises a distribution. Durations are in milliseconds.
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

// JainIndex returns Jain's fairness index of the values: 1 when all are equal
// and 1/n when only one of n is above 0. It returns 1 when all are 0.
func JainIndex(values []float64) float64 {
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

// ratio returns part/whole, or 0 when the whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

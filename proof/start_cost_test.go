package proof

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestMeasureCostOfStarts logs the processor time, peer bytes and forwards per
// task start at three rates. It runs only if MEASURE is set.
func TestMeasureCostOfStarts(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE is not set")
	}

	const entries, workers, tasks, window = 3, 60, 20, 10 * time.Second
	for _, callers := range []int{4, 16, 48} {
		c := startCentre(t, entries, workers)
		s := startRecordedTraffic(startBalancer(t, c.entries...), callers, tasks, 50*time.Millisecond, nil)
		s.waitComplete(t, 20)
		before := readAllMetrics(t, c)
		time.Sleep(window)
		after := readAllMetrics(t, c)
		list := s.stop()
		checkSubmissions(t, list, tasks, c.fleet)

		cpu, starts := 0.0, 0.0
		peer, forwards := 0.0, 0.0
		for i := range before {
			cpu += metricDelta(before[i], after[i], "process_cpu_seconds_total")
			starts += metricDelta(before[i], after[i], "foxtailmux_task_starts_total")
			peer += metricDelta(before[i], after[i], "foxtailmux_peer_bytes_total")
			forwards += metricDelta(before[i], after[i], "foxtailmux_forwards_total")
		}
		if starts == 0 {
			t.Fatal("no task was started")
		}
		t.Logf("%d callers: %.0f starts/s, %.3f ms of processor time, %.0f peer bytes and %.4f forwards for each start",
			callers, starts/window.Seconds(), 1000*cpu/starts, peer/starts, forwards/starts)
	}
}

// metricDelta returns the change of a metric, summed over all its labels.
func metricDelta(before, after map[string]float64, metric string) float64 {
	sum := 0.0
	for line, value := range after {
		if strings.HasPrefix(line, metric+"{") {
			sum += value - before[line]
		}
	}
	return sum
}

package proof

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestMeasureCostOfStarts prints the processor time of a task start at three
// rates. It runs only when MEASURE is set.
func TestMeasureCostOfStarts(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE is not set")
	}

	const entries, workers, tasks, window = 3, 60, 20, 10 * time.Second
	for _, callers := range []int{4, 16, 48} {
		c := startCell(t, entries, workers)
		s := startStorm(startBalancer(t, c.entries...), callers, tasks, 50*time.Millisecond, nil)
		s.waitComplete(t, 20)
		before := readAll(t, c)
		time.Sleep(window)
		after := readAll(t, c)
		list := s.stop()
		checkStorm(t, list, tasks, c.fleet)

		cpu, starts := 0.0, 0.0
		peer, forwards := 0.0, 0.0
		for i := range before {
			cpu += change(before[i], after[i], "process_cpu_seconds_total")
			starts += change(before[i], after[i], "foxtailmux_task_starts_total")
			peer += change(before[i], after[i], "foxtailmux_peer_bytes_total")
			forwards += change(before[i], after[i], "foxtailmux_forwards_total")
		}
		if starts == 0 {
			t.Fatal("nothing was started")
		}
		t.Logf("%d callers: %.0f starts/s, %.3f ms of processor time, %.0f peer bytes and %.4f forwards for each start",
			callers, starts/window.Seconds(), 1000*cpu/starts, peer/starts, forwards/starts)
	}
}

// change sums the change of all series of a metric.
func change(before, after map[string]float64, metric string) float64 {
	sum := 0.0
	for line, value := range after {
		if strings.HasPrefix(line, metric+"{") {
			sum += value - before[line]
		}
	}
	return sum
}

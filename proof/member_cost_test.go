package proof

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// costWarmUp is the time for the heartbeat period to adapt to the number of
	// instances.
	costWarmUp = 15 * time.Second
	costWindow = 20 * time.Second

	// Bounds of an idle instance. maxControlBytes is per second.
	maxControlCore  = 2.4 // percent of a core
	maxControlBytes = 3000
	maxMemoryMB     = 128
)

// controlCost is the cost of an idle instance: processor time, memory, and bytes
// sent and received to coordinate with peers, workers and the platform.
type controlCost struct {
	core     float64 // percent
	memoryMB float64
	bytes    map[string]float64 // per second, by the label kind of the metric
}

// TestMeasureControlOfIdleInstances logs the cost of the idle instances of a data
// centre and compares it with the limits. It takes minutes and needs an otherwise
// idle machine, so it runs only if MEASURE is set.
func TestMeasureControlOfIdleInstances(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE is not set")
	}

	for _, c := range []struct{ entries, workers int }{{3, 60}, {6, 60}, {12, 60}, {24, 60}, {3, 660}} {
		t.Run(fmt.Sprintf("%d instances, %d workers", c.entries, c.workers), func(t *testing.T) {
			cl := startCentre(t, c.entries, c.workers)
			time.Sleep(costWarmUp)
			before := readAllMetrics(t, cl)
			time.Sleep(costWindow)
			after := readAllMetrics(t, cl)

			for i := range before {
				got := costOf(before[i], after[i])
				if i == 0 {
					t.Logf("%.2f%% of a core, %.1f MB, bytes/s %s", got.core, got.memoryMB, fmt.Sprint(got.bytes))
				}
				var bytes float64
				for _, n := range got.bytes {
					bytes += n
				}
				if got.core > maxControlCore || got.memoryMB > maxMemoryMB || bytes > maxControlBytes {
					t.Errorf("instance %d is above a limit: %.2f%% of a core, %.1f MB, %.0f bytes/s", i+1, got.core, got.memoryMB, bytes)
				}
			}
		})
	}
}

func readAllMetrics(t *testing.T, c *testCentre) []map[string]float64 {
	t.Helper()

	var list []map[string]float64
	for _, p := range c.entries {
		list = append(list, readMetrics(t, p.field("operators")))
	}
	return list
}

// readMetrics returns the metrics of an instance that have labels, by name and
// labels, without the closing brace.
func readMetrics(t *testing.T, addr string) map[string]float64 {
	t.Helper()

	response, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()

	values := map[string]float64{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, found := strings.Cut(lines.Text(), "} ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Fatal(err)
		}
		values[name] = value
	}
	return values
}

func costOf(before, after map[string]float64) controlCost {
	c := controlCost{bytes: map[string]float64{}}
	for line, value := range after {
		name, labels, _ := strings.Cut(line, "{")
		rate := (value - before[line]) / costWindow.Seconds()
		switch name {
		case "process_cpu_seconds_total":
			c.core = 100 * rate
		case "process_resident_memory_bytes":
			c.memoryMB = value / 1e6
		case "foxtailmux_control_bytes_total":
			_, kind, _ := strings.Cut(labels, `kind="`)
			c.bytes[strings.TrimSuffix(kind, `"`)] = rate
		}
	}
	return c
}

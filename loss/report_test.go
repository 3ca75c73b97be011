package loss_test

import (
	"bytes"
	"errors"
	"fmt"
	"image/png"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/loss"
)

// log is what two instances write around a restart of the second one.
const log = `build output
entry-0 {"time":"2026-01-01T00:00:01Z","instance":"entry-0","dataCentre":"kochi","message":"job ended","job":"a","objectiveMillis":150,"lastStartMillis":3}
entry-0 {"time":"2026-01-01T00:00:01Z","instance":"entry-0","dataCentre":"kochi","message":"request answered","job":"a","queue":"q","status":200,"tookMillis":100}
{"time":"2026-01-01T00:00:01.5Z","instance":"entry-1","dataCentre":"tvm","message":"run failed","job":"b"}
{"time":"2026-01-01T00:00:02Z","instance":"entry-1","dataCentre":"tvm","message":"job ended","job":"b","objectiveMillis":150}
{"time":"2026-01-01T00:00:02Z","instance":"entry-1","dataCentre":"tvm","message":"request answered","job":"b","queue":"q","status":200,"tookMillis":400}
{"time":"2026-01-01T00:00:03.5Z","instance":"entry-1","dataCentre":"tvm","message":"listening","incarnation":"2"}
{"time":"2026-01-01T00:00:04Z","instance":"entry-0","dataCentre":"kochi","message":"job not admitted","job":"c","claim":9000,"free":4000}
{"time":"2026-01-01T00:00:04Z","instance":"entry-1","dataCentre":"tvm","message":"request answered","job":"c","queue":"q","status":503,"reason":"the backlog takes 80 ms","tookMillis":4}
{"time":"2026-01-01T00:00:04Z","instance":"entry-1","dataCentre":"tvm","message":"request answered","job":"d","queue":"q","status":503,"reason":"the backlog takes 95 ms","tookMillis":2}
{"time":"2026-01-01T00:00:05Z","instance":"entry-1","dataCentre":"tvm","message":"job ended","job":"e","objectiveMillis":150,"lastStartMillis":130}
{"time":"2026-01-01T00:00:05Z","instance":"entry-1","dataCentre":"tvm","message":"request answered","job":"e","queue":"r","status":200,"tookMillis":200}
`

// build returns a builder with the lines of log.
func build(t testing.TB) *loss.Builder {
	t.Helper()
	b := loss.NewBuilder()
	skipped, err := loss.Read(strings.NewReader(log), b.Add)
	if err != nil || skipped != 1 {
		t.Fatalf("passed over %d lines, error %v", skipped, err)
	}
	return b
}

func at(seconds float64) time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(seconds * float64(time.Second)))
}

func TestRequestsAreGroupedByCause(t *testing.T) {
	const ms = time.Millisecond
	want := []loss.Group{
		{Cause: "late: its tasks waited for capacity", Queue: "r", Requests: 1, Share: 1, MedianHeld: 200 * ms, MaxHeld: 200 * ms, DataCentres: map[string]int{"tvm": 1}, First: at(4.8), Last: at(4.8)},
		{Cause: "the backlog takes N ms", Queue: "q", Requests: 2, Share: 0.5, MedianHeld: 4 * ms, MaxHeld: 4 * ms, DataCentres: map[string]int{"tvm": 2}, First: at(3.996), Last: at(3.998), MeanNeeded: 9000, MeanFree: 4000},
		{Cause: "late: a run failed", Queue: "q", Requests: 1, Share: 0.25, MedianHeld: 400 * ms, MaxHeld: 400 * ms, DataCentres: map[string]int{"tvm": 1}, First: at(1.6), Last: at(1.6)},
	}
	if diff := cmp.Diff(want, loss.GroupByCause(build(t).Requests())); diff != "" {
		t.Errorf("groups (-want +got):\n%s", diff)
	}
}

func TestOutagesLastUntilTheNextProcessListens(t *testing.T) {
	want := []loss.Outage{{Instance: "entry-1", DataCentre: "tvm", From: at(2), To: at(3.5)}}
	if diff := cmp.Diff(want, build(t).Outages()); diff != "" {
		t.Errorf("outages (-want +got):\n%s", diff)
	}
}

func TestPlotIsAPicture(t *testing.T) {
	var out bytes.Buffer
	if err := loss.WritePlot(&out, "losses", loss.Windows(build(t).Requests(), time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := png.Decode(&out); err != nil {
		t.Error(err)
	}
}

func TestTooLongALineIsAnError(t *testing.T) {
	_, err := loss.Read(strings.NewReader(strings.Repeat("x", 2<<20)), func(loss.Line) {})
	var e *loss.Error
	if !errors.As(err, &e) || e.Kind != loss.KindInput {
		t.Errorf("error %v", err)
	}
}

func ExampleWindows() {
	b := loss.NewBuilder()
	if _, err := loss.Read(strings.NewReader(log), b.Add); err != nil {
		fmt.Println(err)
	}
	for _, w := range loss.Windows(b.Requests(), 2*time.Second) {
		fmt.Printf("%s %d %.2f\n", w.From.Format("05"), w.Requests, w.InTime)
	}
	// Output:
	// 00 2 0.50
	// 02 2 0.00
	// 04 1 0.00
}

// A job whose task took seven times as long as declared counted as late, though its caller expects
// it to take that long.
func TestObjectiveFollowsTheMeasuredRunTimes(t *testing.T) {
	const lines = `{"message":"job ended","job":"a","objectiveMillis":150,"measuredObjectiveMillis":700}
{"message":"request answered","job":"a","queue":"q","status":200,"tookMillis":600}
`
	b := loss.NewBuilder()
	if _, err := loss.Read(strings.NewReader(lines), b.Add); err != nil {
		t.Fatal(err)
	}
	if got := b.Requests()[0].Cause; got != "" {
		t.Errorf("cause %q, want none", got)
	}
}

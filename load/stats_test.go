package load

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestQuantilesOfKnownDurations(t *testing.T) {
	low, high := newHistogram(), newHistogram()
	for i := 1; i <= 1000; i++ {
		target := low
		if i > 500 {
			target = high
		}
		target.record(time.Duration(i) * time.Millisecond)
	}
	low.merge(high)

	want := Quantiles{Count: 1000, Mean: 500.5, P50: 500, P90: 900, P99: 990, P999: 999, Max: 1000}
	approximately := cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) <= 0.002*math.Max(a, b) })
	if diff := cmp.Diff(want, low.quantiles(), approximately); diff != "" {
		t.Errorf("quantiles (-want +got):\n%s", diff)
	}
}

func TestDurationsOutsideTheBoundsCountAsTheBound(t *testing.T) {
	h := newHistogram()
	h.record(-time.Second)
	h.record(24 * time.Hour)
	if got := h.quantiles(); got.Count != 2 || got.P50 != 0 || got.Max < 600_000 {
		t.Errorf("quantiles are %+v", got)
	}
}

func TestJain(t *testing.T) {
	cases := []struct {
		values []float64
		want   float64
	}{
		{[]float64{1, 1, 1, 1}, 1},
		{[]float64{1, 0, 0, 0}, 0.25},
		{[]float64{0, 0}, 1},
		{nil, 1},
	}
	for _, c := range cases {
		if got := JainIndex(c.values); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("Jain(%v) = %v, want %v", c.values, got, c.want)
		}
	}
}

func TestParseMessagesSumsByPurpose(t *testing.T) {
	body := "# TYPE foxtailmux_messages_total counter\n" +
		"foxtailmux_messages_total{kind=\"start\",purpose=\"needed\"} 5\n" +
		"foxtailmux_messages_total{kind=\"forward\",purpose=\"needed\"} 2\n" +
		"foxtailmux_messages_total{kind=\"hedge\",purpose=\"wasted\"} 3\n"
	got, err := parseMessages([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Messages{Needed: 7, Wasted: 3}, got); diff != "" {
		t.Errorf("messages (-want +got):\n%s", diff)
	}
	if _, err := parseMessages([]byte("other 1\n")); err == nil {
		t.Error("a page without the metric was accepted")
	}
}

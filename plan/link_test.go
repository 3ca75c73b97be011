package plan_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/plan"
)

// lowBandwidth is in megabits per second: 250 bytes per millisecond.
const lowBandwidth = 2

func TestBytesQueueForTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := plan.NewLink(lowBandwidth)
		var got []time.Duration
		for range 3 {
			got = append(got, l.RecordSend(2500, time.Now()))
		}
		got = append(got, l.Delay(2500, time.Now()))
		time.Sleep(25 * time.Millisecond)
		got = append(got, l.RecordSend(2500, time.Now()))
		time.Sleep(time.Second)
		got = append(got, l.Delay(0, time.Now()))

		ms := time.Millisecond
		if diff := cmp.Diff([]time.Duration{10 * ms, 20 * ms, 30 * ms, 40 * ms, 15 * ms, 0}, got); diff != "" {
			t.Error(diff)
		}
	})
}

func TestLinkOfUnknownBandwidthNeverQueues(t *testing.T) {
	l := plan.NewLink(0)
	now := time.Now()
	got := []time.Duration{l.RecordSend(1<<30, now), l.Delay(1<<30, now), l.ProbePeriod(1000, 1000)}
	if diff := cmp.Diff([]time.Duration{0, 0, 0}, got); diff != "" {
		t.Error(diff)
	}
}

// Twenty probes of 400 bytes take 32 ms of the link.
func TestProbesTakeAQuarterOfTheLink(t *testing.T) {
	if got := plan.NewLink(lowBandwidth).ProbePeriod(20, 400); got != 128*time.Millisecond {
		t.Errorf("probes are spread over %v", got)
	}
}

func TestTimeoutFollowsResponseTimes(t *testing.T) {
	const usual = 30 * time.Millisecond
	for name, c := range map[string]struct {
		took     []time.Duration
		min, max time.Duration
	}{
		"none seen":     {nil, usual, usual},
		"quick":         {repeat(3*time.Millisecond, 50), usual, usual},
		"a single late": {append(repeat(3*time.Millisecond, 50), 60*time.Millisecond), 30 * time.Millisecond, 90 * time.Millisecond},
		"all late":      {repeat(200*time.Millisecond, 20), 200 * time.Millisecond, 350 * time.Millisecond},
		"far too late":  {repeat(5*time.Second, 50), 350 * time.Millisecond, 350 * time.Millisecond},
		"quick again":   {append(repeat(200*time.Millisecond, 20), repeat(3*time.Millisecond, 60)...), usual, usual},
	} {
		var a plan.ResponseTimes
		for _, d := range c.took {
			a.Record(d)
		}
		if got := a.Timeout(usual); got < c.min || got > c.max {
			t.Errorf("%s: timeout %v", name, got)
		}
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = d
	}
	return list
}

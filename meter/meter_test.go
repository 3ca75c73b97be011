package meter_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"foxtailmux/meter"
)

// newRecordedMeter returns a meter on which each metric was recorded.
func newRecordedMeter() *meter.Meter {
	m := meter.New("entry-1", "kochi")
	m.TaskStarted()
	m.TaskStarted()
	m.TaskPlaced(true, false)
	m.TaskPlaced(false, true)
	m.Answered("failed", "no")
	m.Refused("overloaded")
	m.Retried("notRun")
	m.Forwarded("accepted")
	m.Message(meter.Needed, "start")
	m.Message(meter.Wasted, "cancel")
	m.Unauthorized()
	m.ControlBytes(meter.Heartbeat, 512)
	m.PeerBytes(meter.Sent, 2048)
	m.Bytes(meter.ToWorker)(meter.Sent, 300)
	m.Held(4096, 3)
	m.Closed("bytes")
	m.QueueLength(7)
	m.ConfigVersion(12)
	m.DrainedDataCentres(1)
	m.DrainedRuns(3)
	m.WorkerFactors("kochi", map[string]float64{"gone": 1})
	m.WorkerFactors("kochi", map[string]float64{"desk/old": 1.5})
	m.QueueWait(3 * time.Millisecond)
	m.Response(300*time.Millisecond, 200*time.Millisecond)
	m.Response(time.Second, 0)
	return m
}

func TestMetricsPassTheLinter(t *testing.T) {
	problems, err := testutil.GatherAndLint(newRecordedMeter().Registry())
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range problems {
		t.Errorf("%s: %s", p.Metric, p.Text)
	}
}

const want = `foxtailmux_answers_total{data_centre="kochi",instance_id="entry-1",ran="no",result="failed"} 1
foxtailmux_bytes_total{data_centre="kochi",direction="sent",instance_id="entry-1",to="worker"} 300
foxtailmux_callers_closed_total{data_centre="kochi",instance_id="entry-1",reason="bytes"} 1
foxtailmux_callers_connections{data_centre="kochi",instance_id="entry-1"} 3
foxtailmux_callers_held_bytes{data_centre="kochi",instance_id="entry-1"} 4096
foxtailmux_config_version{data_centre="kochi",instance_id="entry-1"} 12
foxtailmux_control_bytes_total{data_centre="kochi",instance_id="entry-1",kind="heartbeat"} 512
foxtailmux_drained_data_centres{data_centre="kochi",instance_id="entry-1"} 1
foxtailmux_drained_runs{data_centre="kochi",instance_id="entry-1"} 3
foxtailmux_forwards_total{data_centre="kochi",instance_id="entry-1",outcome="accepted"} 1
foxtailmux_messages_total{data_centre="kochi",instance_id="entry-1",kind="cancel",purpose="wasted"} 1
foxtailmux_messages_total{data_centre="kochi",instance_id="entry-1",kind="start",purpose="needed"} 1
foxtailmux_peer_bytes_total{data_centre="kochi",direction="sent",instance_id="entry-1"} 2048
foxtailmux_queue_tasks{data_centre="kochi",instance_id="entry-1"} 7
foxtailmux_queue_wait_seconds_sum{data_centre="kochi",instance_id="entry-1"} 0.003
foxtailmux_queue_wait_seconds_count{data_centre="kochi",instance_id="entry-1"} 1
foxtailmux_rack_task_starts_total{data_centre="kochi",held="no",instance_id="entry-1",place="near"} 1
foxtailmux_rack_task_starts_total{data_centre="kochi",held="yes",instance_id="entry-1",place="far"} 1
foxtailmux_refusals_total{data_centre="kochi",instance_id="entry-1",reason="overloaded"} 1
foxtailmux_response_over_ideal_ratio_sum{data_centre="kochi",instance_id="entry-1"} 1.5
foxtailmux_response_over_ideal_ratio_count{data_centre="kochi",instance_id="entry-1"} 1
foxtailmux_response_seconds_sum{data_centre="kochi",instance_id="entry-1"} 1.3
foxtailmux_response_seconds_count{data_centre="kochi",instance_id="entry-1"} 2
foxtailmux_retries_total{data_centre="kochi",instance_id="entry-1",reason="notRun"} 1
foxtailmux_task_starts_total{data_centre="kochi",instance_id="entry-1"} 2
foxtailmux_unauthorized_total{data_centre="kochi",instance_id="entry-1"} 1
foxtailmux_worker_run_time_ratio{data_centre="kochi",home="kochi",instance_id="entry-1",kind="desk/old"} 1.5
`

func TestHandlerServesRecordedMetrics(t *testing.T) {
	w := httptest.NewRecorder()
	newRecordedMeter().Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))

	var got strings.Builder
	for line := range strings.Lines(w.Body.String()) {
		if strings.HasPrefix(line, "foxtailmux_") && !strings.Contains(line, "_bucket{") {
			got.WriteString(line)
		}
	}
	if diff := cmp.Diff(want, got.String()); diff != "" {
		t.Error(diff)
	}

	for _, name := range []string{"go_goroutines", "process_open_fds"} {
		if !strings.Contains(w.Body.String(), "\n"+name+"{") {
			t.Errorf("%s is missing", name)
		}
	}
}

// Several instances in one process, as in tests, must not share metrics.
func TestMetersOfTwoInstancesAreIndependent(t *testing.T) {
	a, b := meter.New("a", "kochi"), meter.New("b", "kochi")
	a.Refused("quota")

	got := map[string]int{}
	for name, m := range map[string]*meter.Meter{"a": a, "b": b} {
		n, err := testutil.GatherAndCount(m.Registry(), "foxtailmux_refusals_total")
		if err != nil {
			t.Fatal(err)
		}
		got[name] = n
	}
	if diff := cmp.Diff(map[string]int{"a": 1, "b": 0}, got); diff != "" {
		t.Error(diff)
	}
}

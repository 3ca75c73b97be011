package plan_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/model"
	"foxtailmux/plan"
)

var start = time.Unix(1000, 0)

const ms = time.Millisecond

func at(d time.Duration) time.Time { return start.Add(d) }

func TestShortJobsGoBeforeLongOnesThatHaveTime(t *testing.T) {
	jobs := map[string]plan.WaitingJob{
		"long":      {Arrived: at(0), Objective: 1500 * ms, Remaining: 900 * ms},
		"short":     {Arrived: at(50 * ms), Objective: 156 * ms, Remaining: 60 * ms},
		"late":      {Arrived: at(-900 * ms), Objective: 156 * ms, Remaining: 60 * ms},
		"veryLate":  {Arrived: at(-999 * ms), Objective: 156 * ms, Remaining: 60 * ms},
		"begun":     {Arrived: at(-900 * ms), Objective: 156 * ms, Remaining: 60 * ms, Started: true},
		"important": {Arrived: at(50 * ms), Objective: 156 * ms, Remaining: 60 * ms, Priority: -1},
	}
	names := []string{"late", "long", "short", "veryLate", "important", "begun"}
	slices.SortFunc(names, func(a, b string) int { return plan.Compare(jobs[a], jobs[b], at(60*ms)) })
	want := []string{"begun", "important", "short", "long", "veryLate", "late"}
	if diff := cmp.Diff(want, names); diff != "" {
		t.Error(diff)
	}
}

func TestOnlyJobsThatNeverStartedExpire(t *testing.T) {
	w := plan.WaitingJob{Arrived: start, Objective: 100 * ms, Remaining: 50 * ms}
	got := []bool{w.Expired(at(249 * ms)), w.Expired(at(251 * ms))}
	w.Started = true
	got = append(got, w.Expired(at(time.Hour)))
	if diff := cmp.Diff([]bool{false, true, false}, got); diff != "" {
		t.Error(diff)
	}
}

func cores(n int) model.Resources { return model.Resources{MilliCores: n * 1000} }

func TestPlaceFitsTightlyAndAvoidsSuspectWorkers(t *testing.T) {
	cases := []struct {
		name       string
		candidates []plan.Candidate
		want       int
	}{
		{"tightest", []plan.Candidate{{Free: cores(64)}, {Free: cores(30)}, {Free: cores(40)}}, 1},
		{"too small", []plan.Candidate{{Free: cores(26)}}, -1},
		{"suspect last", []plan.Candidate{{Free: cores(27), Health: plan.Suspect}, {Free: cores(64)}}, 1},
		{"suspect if the others are full", []plan.Candidate{{Free: cores(27), Health: plan.Suspect}, {Free: cores(1)}}, 0},
		{"ejected never", []plan.Candidate{{Free: cores(64), Health: plan.Ejected}}, -1},
		{"near the data", []plan.Candidate{{Free: cores(30)}, {Free: cores(64), NearData: true}}, 1},
	}
	for _, c := range cases {
		if got := plan.Place(cores(27), time.Minute, c.candidates); got != c.want {
			t.Errorf("%s: candidate %d, want %d", c.name, got, c.want)
		}
	}
}

func TestPlaceLeavesFastWorkersToTasksWithLittleSlack(t *testing.T) {
	slow, usual, fast := 170*ms, 100*ms, 70*ms
	cases := []struct {
		name       string
		left       time.Duration
		candidates []plan.Candidate
		want       int
	}{
		{"much slack", 300 * ms, []plan.Candidate{{Free: cores(30), Run: fast}, {Free: cores(64), Run: slow}}, 1},
		{"some slack", 180 * ms, []plan.Candidate{{Free: cores(30), Run: fast}, {Free: cores(64), Run: slow}, {Free: cores(40), Run: usual}}, 2},
		{"no slack", 60 * ms, []plan.Candidate{{Free: cores(30), Run: slow}, {Free: cores(64), Run: fast}, {Free: cores(40), Run: usual}}, 1},
		{"too late", -time.Second, []plan.Candidate{{Free: cores(30), Run: slow}, {Free: cores(64), Run: fast}}, 1},
		{"equal and too late", -time.Second, []plan.Candidate{{Free: cores(64), Run: usual}, {Free: cores(30), Run: usual}}, 1},
		{"healthy first", 100 * ms, []plan.Candidate{{Free: cores(30), Run: fast, Health: plan.Suspect}, {Free: cores(64), Run: slow}}, 1},
		{"near the data if in time", 300 * ms, []plan.Candidate{{Free: cores(30), Run: slow}, {Free: cores(64), Run: fast, NearData: true}}, 1},
		{"far if near is late", 100 * ms, []plan.Candidate{{Free: cores(30), Run: fast}, {Free: cores(64), Run: slow, NearData: true}}, 0},
	}
	for _, c := range cases {
		if got := plan.Place(cores(27), c.left, c.candidates); got != c.want {
			t.Errorf("%s: candidate %d, want %d", c.name, got, c.want)
		}
	}
}

func TestTaskAwaitsAFasterWorkerOnlyIfItThenEndsInTime(t *testing.T) {
	got := []bool{
		plan.AwaitFaster(170*ms, 160*ms, 150*ms),
		plan.AwaitFaster(170*ms, 180*ms, 150*ms), // in time on the free one
		plan.AwaitFaster(170*ms, 160*ms, 165*ms), // late on both
	}
	if diff := cmp.Diff([]bool{true, false, false}, got); diff != "" {
		t.Errorf("decisions (-want +got):\n%s", diff)
	}
}

func TestWaitFollowsTheEndsOfRunningTasks(t *testing.T) {
	b := plan.Backlog{
		Capacity: 100, Free: 10, Ahead: 30, MeanRun: 200 * ms,
		ExpectedReleases: []plan.ExpectedRelease{{MilliCores: 40, In: 50 * ms}, {MilliCores: 50, In: 20 * ms}},
	}
	got := []time.Duration{
		plan.Backlog{Capacity: 100, Free: 50, Ahead: 20}.EstimateWait(30),
		b.EstimateWait(20),  // 40 missing: the first end is enough
		b.EstimateWait(60),  // 80 missing: both ends
		b.EstimateWait(160), // 90 missing beyond both ends
	}
	want := []time.Duration{0, 20 * ms, 50 * ms, 50*ms + 380*ms}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestLateJobsAreKeptForAShortWaitOnly(t *testing.T) {
	cases := []struct {
		wait, age time.Duration
		want      bool
	}{
		{120 * ms, 0, true},       // ends within two objectives of 100 ms
		{160 * ms, 0, false},      // ends after two objectives
		{15 * ms, 60 * ms, true},  // late, and misses the objective by a quarter of it
		{16 * ms, 60 * ms, false}, // late, and misses the objective by more
		{1 * ms, 80 * ms, false},  // late for long, and has to wait longer
		{0, time.Minute, true},    // late, and starts now
	}
	for _, c := range cases {
		times := plan.JobTiming{CriticalPath: 50 * ms, Objective: 100 * ms, CallerTimeout: time.Hour, Age: c.age}
		if got := plan.Keep(c.wait, times); got != c.want {
			t.Errorf("wait %v at the age of %v: keep is %v", c.wait, c.age, got)
		}
	}
}

// A wait that is estimated a little too short would make a job late that was just in time, while
// other data centres could have run it: a margin is left for the error.
func TestJobsThatAreOnlyJustInTimeCountAsLate(t *testing.T) {
	times := plan.JobTiming{CriticalPath: 60 * ms, Objective: 160 * ms, CallerTimeout: time.Hour, Age: 10 * ms}
	got := []bool{plan.InTime(66*ms, times), plan.InTime(67*ms, times), plan.InTime(90*ms, times)}
	if diff := cmp.Diff([]bool{true, false, false}, got); diff != "" {
		t.Error(diff)
	}
	if slack := plan.Slack(times); slack != 66*ms {
		t.Errorf("slack %v, want 66ms", slack)
	}
	times.Age = time.Second
	if slack := plan.Slack(times); slack != 0 {
		t.Errorf("slack of a late job %v, want 0", slack)
	}
}

// A caller with little time left has submitted its job before, unless other callers of the queue
// only have about twice as much patience.
func TestCallersWithLittleTimeLeftHaveWaitedBefore(t *testing.T) {
	got := []time.Duration{
		plan.WaitedBefore(600*ms, 1900*ms),
		plan.WaitedBefore(1900*ms, 1900*ms),
		plan.WaitedBefore(1800*ms, 3900*ms), // just above the share
	}
	if diff := cmp.Diff([]time.Duration{1300 * ms, 0, 0}, got); diff != "" {
		t.Error(diff)
	}
}

// A job that can't end before its caller gives up is refused at once.
func TestJobsEndBeforeTheirCallersGiveUp(t *testing.T) {
	times := plan.JobTiming{CriticalPath: 900 * ms, Objective: 1500 * ms, CallerTimeout: 1900 * ms, Age: 200 * ms}
	got := []bool{plan.Admit(800*ms, times), plan.Admit(801*ms, times), plan.Keep(800*ms, times), plan.Keep(801*ms, times)}
	if diff := cmp.Diff([]bool{true, false, true, false}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against timeouts of all workers on a machine that becomes eight times slower for a
// while: timers fire 150 ms late, then in time again.
func TestTimeoutsGrowWhileTheProcessIsLate(t *testing.T) {
	lag := plan.UpdateLag(0, time.Millisecond)
	got := []time.Duration{plan.ResponseTimeout(30*ms, lag)}
	lag = plan.UpdateLag(lag, 150*ms)
	got = append(got, plan.ResponseTimeout(30*ms, lag))
	for range 30 { // 0.6 s
		lag = plan.UpdateLag(lag, 0)
	}
	got = append(got, plan.ResponseTimeout(30*ms, lag).Round(ms))
	if diff := cmp.Diff([]time.Duration{30 * ms, 280 * ms, 30 * ms}, got); diff != "" {
		t.Error(diff)
	}
}

func TestOnlyLastingLagMakesAProcessSlow(t *testing.T) {
	var s plan.SlowDetector
	s.Record(600 * ms) // a single pause
	for range 20 {
		s.Record(ms)
		if s.IsSlow() {
			t.Fatal("a single pause makes the process slow")
		}
	}
	for range 10 {
		s.Record(120 * ms)
	}
	slow := s.IsSlow()
	for range 5 {
		s.Record(ms)
	}
	if diff := cmp.Diff([]bool{true, false}, []bool{slow, s.IsSlow()}); diff != "" {
		t.Error(diff)
	}
}

func TestInfeasibleTasks(t *testing.T) {
	if plan.Infeasible(900*ms, 450*ms) || !plan.Infeasible(900*ms, 449*ms) {
		t.Error("a task must be infeasible exactly below half of its estimate")
	}
}

func TestRetryAfterIsSpread(t *testing.T) {
	got := []time.Duration{plan.RetryAfter(0, 0), plan.RetryAfter(time.Second, 0.5), plan.RetryAfter(time.Hour, 0.999)}
	if got[0] < 200*ms || got[1] != 1500*ms || got[2] > 10*time.Second {
		t.Errorf("retry after %v", got)
	}
}

func TestWorkerThatFailsJobsInARowIsEjected(t *testing.T) {
	var h plan.Health
	h.RecordFailure("a", at(0))
	h.RecordFailure("a", at(1)) // counts once, since the job may be at fault
	got := []plan.HealthState{h.State(at(2))}
	h.RecordFailure("b", at(2))
	got = append(got, h.State(at(3)), h.State(at(1100*ms)))
	h.RecordStart()
	got = append(got, h.State(at(1100*ms)))
	h.RecordCompletion(60*ms, 60*ms)
	got = append(got, h.State(at(1200*ms)))
	want := []plan.HealthState{plan.Suspect, plan.Ejected, plan.Suspect, plan.Ejected, plan.Healthy}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Jobs that always fail do so on each worker: a failure on the second worker clears the first
// one.
func TestWorkerWithRetractedFailuresIsHealthy(t *testing.T) {
	var h plan.Health
	h.RecordFailure("a", at(0))
	h.RecordFailure("b", at(1))
	got := []plan.HealthState{h.State(at(2))}
	h.RetractFailure("b")
	h.RetractFailure("unknown")
	got = append(got, h.State(at(2)))
	h.RetractFailure("a")
	got = append(got, h.State(at(2)))
	if diff := cmp.Diff([]plan.HealthState{plan.Ejected, plan.Suspect, plan.Healthy}, got); diff != "" {
		t.Error(diff)
	}

	h.RecordStall(at(3)) // a stall is not attributed to a job
	h.RecordFailure("c", at(4))
	h.RetractFailure("c")
	if h.State(at(5)) != plan.Ejected {
		t.Error("a retracted failure clears a worker with a stalled run")
	}
}

func TestSlowRunDoesNotClearAWorker(t *testing.T) {
	var h plan.Health
	h.RecordFailure("a", at(0))
	h.RecordCompletion(400*ms, 60*ms)
	h.RecordFailure("b", at(1))
	if h.State(at(2)) != plan.Ejected {
		t.Error("a slow run clears the worker of a failure")
	}
}

func TestEjectionGrowsUntilARunSucceeds(t *testing.T) {
	var h plan.Health
	h.RecordFailure("a", at(0))
	var lasted []time.Duration
	now := at(0)
	for i := range 5 {
		h.RecordFailure(fmt.Sprint(i), now)
		d := time.Duration(0)
		for h.State(now.Add(d)) == plan.Ejected {
			d += 100 * ms
		}
		lasted = append(lasted, d)
		now = now.Add(d)
	}
	want := []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second}
	if diff := cmp.Diff(want, lasted); diff != "" {
		t.Error(diff)
	}
}

func TestSlowWorkerIsSuspectUntilItIsFast(t *testing.T) {
	var h plan.Health
	h.RecordCompletion(400*ms, 60*ms)
	slow := h.State(start)
	for range 8 {
		h.RecordCompletion(60*ms, 60*ms)
	}
	if diff := cmp.Diff([]plan.HealthState{plan.Suspect, plan.Healthy}, []plan.HealthState{slow, h.State(start)}); diff != "" {
		t.Error(diff)
	}
}

func TestOnlyRunsThatLastMuchLongerThanANewOneAreMoved(t *testing.T) {
	cases := []struct {
		elapsed time.Duration
		percent int
		want    bool
	}{
		{200 * ms, 0, true},   // stalled
		{200 * ms, 10, true},  // 1800 ms left
		{200 * ms, 60, false}, // 133 ms left
		{100 * ms, 30, false}, // 233 ms left, a new run and its cost take 280
	}
	for _, c := range cases {
		if got := plan.ShouldMove(c.elapsed, c.percent, 60*ms); got != c.want {
			t.Errorf("elapsed %v, done %d%%: move is %v", c.elapsed, c.percent, got)
		}
	}
}

// A worker is unresponsive after one request without a response, unless it has lost single
// requests before.
func TestLossyWorkerStaysInUse(t *testing.T) {
	var h plan.Health
	h.RecordNoResponse()
	got := []plan.HealthState{h.State(at(0))}
	h.RecordResponse(at(5 * ms))
	got = append(got, h.State(at(5*ms)))
	h.RecordNoResponse()
	h.RecordNoResponse()
	got = append(got, h.State(at(50*ms)))
	h.RecordNoResponse()
	got = append(got, h.State(at(70*ms)))
	h.RecordResponse(at(90 * ms))
	h.RecordNoResponse()
	got = append(got, h.State(at(100*ms)), h.State(at(2100*ms)))
	want := []plan.HealthState{plan.Ejected, plan.Healthy, plan.Healthy, plan.Ejected, plan.Healthy, plan.Ejected}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A tenth of the requests to all workers is lost: no worker is ejected for it.
func TestSingleLostStartsDoNotEject(t *testing.T) {
	var h plan.Health
	for range 10 {
		h.RecordIgnoredRequest(start)
		h.RecordAcceptedStart()
	}
	got := []plan.HealthState{h.State(start)}
	h.RecordIgnoredRequest(start)
	h.RecordIgnoredRequest(start)
	got = append(got, h.State(start))
	if diff := cmp.Diff([]plan.HealthState{plan.Healthy, plan.Ejected}, got); diff != "" {
		t.Error(diff)
	}
}

func ExampleCriticalPath() {
	steps := []model.Step{{}, {}, {After: []int{0, 1}}}
	fmt.Println(plan.CriticalPath(steps, []time.Duration{100 * ms, 300 * ms, 50 * ms}))
	// Output: 350ms
}

func ExampleObjective() {
	r := model.Route{Stretch: 1.6, Allowance: 60 * ms}
	fmt.Println(plan.Objective(r, 200*ms))
	// Output: 380ms
}

package near_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/model"
	"foxtailmux/near"
)

const ms = time.Millisecond

func TestTaskIsHeldIfItEndsEarlierNearItsData(t *testing.T) {
	cases := []struct {
		name    string
		task    near.Task
		release time.Duration
		want    bool
	}{
		{"release within the gain", near.Task{Run: 60 * ms, FarFactor: 3}, 119 * ms, true},
		{"release after the gain", near.Task{Run: 60 * ms, FarFactor: 3}, 120 * ms, false},
		{"small gain", near.Task{Run: 60 * ms, FarFactor: 1.5}, 31 * ms, false},
		{"long task", near.Task{Run: 900 * ms, FarFactor: 1.5}, 400 * ms, true},
		{"held before", near.Task{Run: 60 * ms, FarFactor: 3, Held: 50 * ms}, 80 * ms, false},
		{"no difference", near.Task{Run: 60 * ms, FarFactor: 1}, 0, false},
		{"unknown run time", near.Task{FarFactor: 3}, ms, false},
	}
	for _, c := range cases {
		if got := near.Hold(c.task, c.release); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestOverdueRunPromisesNoRelease(t *testing.T) {
	type answer struct {
		In time.Duration
		OK bool
	}
	var got []answer
	for _, elapsed := range []time.Duration{20 * ms, 60 * ms, 86 * ms, 87 * ms} {
		in, ok := near.ReleaseIn(elapsed, 60*ms)
		got = append(got, answer{in, ok})
	}
	if diff := cmp.Diff([]answer{{40 * ms, true}, {27 * ms, true}, {ms, true}, {0, false}}, got); diff != "" {
		t.Error(diff)
	}
}

func cores(n int) model.Resources { return model.Resources{MilliCores: n * 1000} }

func anyWorker(int) bool { return true }

// place is the answer of a forecast.
type place struct {
	In     time.Duration
	Worker int
	OK     bool
}

func next(f *near.Forecast, needs model.Resources, usable func(int) bool) place {
	in, worker, ok := f.Next(needs, usable)
	return place{in, worker, ok}
}

func TestForecastCountsPlacesOfWholeTasks(t *testing.T) {
	f := near.NewForecast([]model.Resources{cores(2), cores(0)}, []near.Release{
		{In: 30 * ms, Worker: 1, Resources: cores(4)},
		{In: 10 * ms, Worker: 0, Resources: cores(4)},
		{In: 50 * ms, Worker: 1, Resources: cores(4)},
	})
	got := []place{
		next(f, cores(6), anyWorker), // with what was free before
		next(f, cores(8), anyWorker), // after two releases on one worker, not on two
		next(f, cores(9), anyWorker),
		next(f, cores(4), func(w int) bool { return w == 1 }),
	}
	want := []place{{10 * ms, 0, true}, {50 * ms, 1, true}, {}, {30 * ms, 1, true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Each task of a crowd gets a release of its own, the later ones the release of those before them.
func TestCrowdTakesOneReleaseEach(t *testing.T) {
	f := near.NewForecast([]model.Resources{cores(0), cores(0)}, []near.Release{
		{In: 10 * ms, Worker: 0, Resources: cores(4)},
		{In: 30 * ms, Worker: 1, Resources: cores(4)},
	})
	task := near.Task{Run: 60 * ms, FarFactor: 2.5}
	var held []place
	for range 10 {
		p := next(f, cores(4), anyWorker)
		if !p.OK || !near.Hold(task, p.In) {
			break
		}
		f.Take(p.Worker, cores(4), p.In, task.Run)
		held = append(held, p)
	}
	want := []place{{10 * ms, 0, true}, {30 * ms, 1, true}, {70 * ms, 0, true}}
	if diff := cmp.Diff(want, held); diff != "" {
		t.Error(diff)
	}
}

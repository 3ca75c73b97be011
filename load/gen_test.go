package load

import (
	"encoding/json"
	"testing"
	"time"
)

func generate(t *testing.T, name string, seed uint64, count int) []Submission {
	t.Helper()
	preset, err := NewPreset(name)
	if err != nil {
		t.Fatal(err)
	}
	g := NewGenerator(GeneratorOptions{Preset: preset, Seed: seed, RunID: "r", TimeScale: 1, Utilisation: 0.8})
	var all []Submission
	for range count {
		all = append(all, g.Next())
	}
	return all
}

func encode(t *testing.T, all []Submission) string {
	t.Helper()
	content, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func TestGeneratorIsDeterministicPerSeed(t *testing.T) {
	for name := range presets {
		first := encode(t, generate(t, name, 7, 500))
		if second := encode(t, generate(t, name, 7, 500)); first != second {
			t.Errorf("%s: the same seed gave different submissions", name)
		}
		if first == encode(t, generate(t, name, 8, 500)) {
			t.Errorf("%s: different seeds gave the same submissions", name)
		}
	}
}

func TestGeneratorKeepsToThePreset(t *testing.T) {
	for name, build := range presets {
		preset := build()
		all := generate(t, name, 1, 10_000)
		var work, longest time.Duration
		var neverFits, cancelled, resubmitted, keyed, wrong, tasks int
		var previous time.Duration
		for _, s := range all {
			if s.SubmitAt < previous {
				t.Fatalf("%s: job %d arrives before its predecessor", name, s.Index)
			}
			if !s.UsesTicket && (s.CancelAt > 0 || s.ResubmitAt > 0) {
				t.Fatalf("%s: job %d is cancelled or resubmitted without a ticket", name, s.Index)
			}
			previous = s.SubmitAt
			work += s.Work
			longest = max(longest, s.Ideal)
			neverFits += boolToInt(s.NeverFits)
			cancelled += boolToInt(s.CancelAt > 0)
			resubmitted += boolToInt(s.ResubmitAt > 0)
			keyed += boolToInt(s.Job.IdempotencyKey != "")
			for _, task := range s.Job.Tasks {
				tasks++
				wrong += boolToInt(task.ExpectedMillis > 5*s.Ideal.Milliseconds())
			}
		}

		utilisation := work.Seconds() / previous.Seconds() / float64(preset.TotalSlots())
		if utilisation < 0.7 || utilisation > 0.9 {
			t.Errorf("%s: utilisation is %.3f, want about 0.8", name, utilisation)
		}
		if longest < 2*time.Second {
			t.Errorf("%s: no job has an ideal response time of 2 s or more", name)
		}
		for property, n := range map[string]int{"neverFits": neverFits, "cancelled": cancelled, "resubmitted": resubmitted, "keyed": keyed, "wrong": wrong} {
			if n == 0 || n > tasks/2 {
				t.Errorf("%s: %d jobs or tasks of %d tasks are %s", name, n, tasks, property)
			}
		}
	}
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

func TestIdealOfAWideJobIsBoundedByTheSlots(t *testing.T) {
	cases := []struct {
		longest, work time.Duration
		slots         int
		want          time.Duration
	}{
		{300 * time.Millisecond, 600 * time.Millisecond, 8, 300 * time.Millisecond},
		{300 * time.Millisecond, 8 * time.Second, 8, time.Second},
	}
	for _, c := range cases {
		if got := idealResponse(c.longest, c.work, c.slots); got != c.want {
			t.Errorf("ideal(%v, %v, %d) = %v, want %v", c.longest, c.work, c.slots, got, c.want)
		}
	}
}

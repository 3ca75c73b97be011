package worker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var testRules = EjectionRules{Failures: 3, Backoff: time.Second, MaxBackoff: 3 * time.Second}

func TestHealthEjectsAfterRepeatedFailures(t *testing.T) {
	now := time.Now()
	var h Health

	got := []bool{
		h.RecordFailure(testRules, true, now),
		h.RecordFailure(testRules, true, now),
		h.RecordFailure(testRules, true, now),
	}
	if diff := cmp.Diff([]bool{false, false, true}, got); diff != "" {
		t.Errorf("ejected (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, h.AllowedRuns(8, now)); diff != "" {
		t.Errorf("allowed while ejected (-want +got):\n%s", diff)
	}
}

func TestHealthProbesWithOneTaskAndBacksOff(t *testing.T) {
	now := time.Now()
	var h Health
	for range 3 {
		h.RecordFailure(testRules, true, now)
	}

	var backoffs []time.Duration
	for range 4 {
		backoffs = append(backoffs, h.Backoff)
		now = now.Add(h.Backoff)
		if diff := cmp.Diff(1, h.AllowedRuns(8, now)); diff != "" {
			t.Fatalf("allowed as a probe (-want +got):\n%s", diff)
		}
		h.RecordFailure(testRules, true, now)
	}
	want := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second}
	if diff := cmp.Diff(want, backoffs); diff != "" {
		t.Errorf("backoffs (-want +got):\n%s", diff)
	}

	h.RecordSuccess()
	if diff := cmp.Diff(8, h.AllowedRuns(8, now)); diff != "" {
		t.Errorf("allowed after a success (-want +got):\n%s", diff)
	}
}

func TestWorkerIsNotEjectedUnlessAllowed(t *testing.T) {
	now := time.Now()
	var h Health
	for range 10 {
		if h.RecordFailure(testRules, false, now) {
			t.Fatal("the worker was ejected though mayEject is false")
		}
	}
}

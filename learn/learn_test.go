package learn

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func ExampleEstimator() {
	var e Estimator
	fmt.Println(e.Expect("quote", time.Second))

	for range 95 {
		e.Observe("quote", 200*time.Millisecond)
	}
	fmt.Println(e.Expect("quote", time.Second).Round(time.Millisecond))
	// Output:
	// 1s
	// 240ms
}

func TestEstimateFollowsAChange(t *testing.T) {
	var e Estimator
	for range 1000 {
		e.Observe("quote", 100*time.Millisecond)
	}
	for range 200 {
		e.Observe("quote", 500*time.Millisecond)
	}

	got := e.Expect("quote", time.Hour)
	if got < 450*time.Millisecond+priorPart(1200) || got > 500*time.Millisecond+priorPart(1200) {
		t.Errorf("estimate is %v after 200 tasks of 500ms", got)
	}
}

// priorPart is what a declared run time of one hour adds to the estimate after n observations.
func priorPart(n float64) time.Duration {
	return time.Duration(float64(time.Hour) * priorWeight / (priorWeight + n))
}

func TestServicesAreBounded(t *testing.T) {
	var e Estimator
	for i := range maxServices + 10 {
		e.Observe(fmt.Sprint(i), time.Second)
	}
	if diff := cmp.Diff(maxServices, len(e.services)); diff != "" {
		t.Errorf("services (-want +got):\n%s", diff)
	}
}

package home_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
)

// Guards against log lines without bound for a job that is sent from home to home.
func TestRecordedAttemptsAreBounded(t *testing.T) {
	var a home.Attempts
	var want []string
	for n := range 18 {
		end := a.Begin(fmt.Sprintf("%d ", n))
		if n != 1 {
			end("moved")
		}
		if n < 16 {
			want = append(want, fmt.Sprintf("%d %s", n, map[bool]string{true: "open", false: "moved"}[n == 1]))
		}
	}
	if diff := cmp.Diff(append(want, "2 more"), a.List()); diff != "" {
		t.Errorf("attempts (-want +got):\n%s", diff)
	}
	var none *home.Attempts
	none.Begin("a")("moved")
	if diff := cmp.Diff([]string(nil), none.List()); diff != "" {
		t.Errorf("attempts of none (-want +got):\n%s", diff)
	}
}

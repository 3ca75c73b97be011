package home_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// activityLine holds the counts of a report that a test expects.
type activityLine struct {
	Message     string `json:"message"`
	Submissions int    `json:"submissions"`
	Starts      int    `json:"starts"`
	Resends     int    `json:"resends"`
	Questions   int    `json:"questions"`
}

func TestHomeReportsItsActivity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 4)
		var logged bytes.Buffer
		dc.logWriter = &logged
		h := dc.readyHome(1)
		submit(h, submission("a", 3))
		h.StartableTasks(submission("b", 1))
		time.Sleep(3 * time.Second)
		dc.close(h)

		var got []activityLine
		for line := range bytes.Lines(logged.Bytes()) {
			var l activityLine
			if err := json.Unmarshal(line, &l); err != nil {
				t.Fatal(err)
			}
			if l.Message == "home activity" && l.Submissions > 0 {
				got = append(got, l)
			}
		}
		want := []activityLine{{Message: "home activity", Submissions: 1, Starts: 3, Questions: 1}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("reports (-want +got):\n%s", diff)
		}
	})
}

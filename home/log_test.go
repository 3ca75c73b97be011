package home_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
)

// submissionLine holds the fields of a log line that tell one submission of a job from another.
type submissionLine struct {
	Message           string `json:"message"`
	Job               string `json:"job"`
	Home              string `json:"home"`
	Token             int64  `json:"token"`
	Origin            string `json:"origin"`
	OriginIncarnation string `json:"originIncarnation"`
	Submission        int64  `json:"submission"`
	Submissions       int    `json:"submissions"`
	Resumed           bool   `json:"resumed"`
	AcceptedMillis    int64  `json:"acceptedMillis"`
	TransitMillis     *int64 `json:"transitMillis"`
	LastStartMillis   int64  `json:"lastStartMillis"`
	Ends              bool   `json:"ends"`
}

// submissionLines returns the lines of a log with one of the messages.
func submissionLines(t *testing.T, logged []byte, messages ...string) []submissionLine {
	t.Helper()
	var got []submissionLine
	for line := range bytes.Lines(logged) {
		var l submissionLine
		if err := json.Unmarshal(line, &l); err != nil {
			t.Fatal(err)
		}
		for _, m := range messages {
			if l.Message == m {
				got = append(got, l)
			}
		}
	}
	return got
}

// Guards against logs that can't tell which of two submissions a home ran, and what ended it.
func TestLogTellsTheSubmissionsOfAJobApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		var logged bytes.Buffer
		dc.logWriter = &logged
		h := dc.readyHome(7)

		s := submission("a", 1)
		s.Incarnation, s.Number, s.Age, s.Transit = "f1", 12, 40*time.Millisecond, 15*time.Millisecond
		submit(h, s)
		s = submission("b", 1)
		s.Origin, s.Incarnation, s.Number, s.Transit, s.Resumed = "other", "f2", 13, home.UnknownTransit, true
		go submit(h, s)
		time.Sleep(runTime / 2)
		h.Cancel(s.Key(), home.SubmissionID{Origin: "other", Incarnation: "f2", Number: 11})
		h.Cancel(s.Key(), s.ID())
		dc.close(h)

		transit := int64(15)
		want := []submissionLine{
			{
				Message: "job ended", Job: "a", Home: "kochi", Token: 7, Origin: "entry", OriginIncarnation: "f1", Submission: 12,
				Submissions: 1, AcceptedMillis: 40, TransitMillis: &transit, LastStartMillis: 40,
			},
			{Message: "cancel received", Job: "b", Home: "kochi", Token: 7, Origin: "other", OriginIncarnation: "f2", Submission: 11},
			{Message: "cancel received", Job: "b", Home: "kochi", Token: 7, Origin: "other", OriginIncarnation: "f2", Submission: 13, Ends: true},
			{
				Message: "job ended", Job: "b", Home: "kochi", Token: 7, Origin: "other", OriginIncarnation: "f2", Submission: 13,
				Submissions: 1, Resumed: true,
			},
		}
		got := submissionLines(t, logged.Bytes(), "job ended", "cancel received")
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("lines (-want +got):\n%s", diff)
		}
	})
}

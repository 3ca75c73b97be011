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

	Part     string   `json:"part"`
	Runs     int      `json:"runs"`
	FirstRun string   `json:"firstRun"`
	LastRun  string   `json:"lastRun"`
	Earlier  []string `json:"earlierSubmissions"`
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
				Runs: 1, FirstRun: "117440513 on w0 at 40 ms", LastRun: "117440513 on w0 at 40 ms",
			},
			{Message: "cancel received", Job: "b", Home: "kochi", Token: 7, Origin: "other", OriginIncarnation: "f2", Submission: 11},
			{Message: "cancel received", Job: "b", Home: "kochi", Token: 7, Origin: "other", OriginIncarnation: "f2", Submission: 13, Ends: true},
			{
				Message: "job ended", Job: "b", Home: "kochi", Token: 7, Origin: "other", OriginIncarnation: "f2", Submission: 13,
				Submissions: 1, Resumed: true, Runs: 1, FirstRun: "117440514 on w0 at 0 ms", LastRun: "117440514 on w0 at 0 ms",
			},
		}
		got := submissionLines(t, logged.Bytes(), "job ended", "cancel received")
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("lines (-want +got):\n%s", diff)
		}
	})
}

// Guards against logs that can't tell which submissions shared a job, when and where its tasks started, and
// which of its parts a home ran.
func TestLogTellsTheRunsAndTheEarlierSubmissionsOfAJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 1)
		var logged bytes.Buffer
		dc.logWriter = &logged
		h := dc.readyHome(7)

		const submissions = 6
		const interval = 5 * time.Millisecond
		s := submission("a", 6)
		s.Part = &home.Part{First: 2, Count: 3}
		for n := range int64(submissions) {
			s.Origin, s.Incarnation, s.Number = "entry", "f1", n+1
			go submit(h, s)
			time.Sleep(interval)
		}
		time.Sleep(4 * runTime)
		dc.close(h)

		want := []submissionLine{{
			Message: "job ended", Job: "a", Part: "2+3", Home: "kochi", Token: 7, Origin: "entry", OriginIncarnation: "f1", Submission: submissions,
			Submissions: submissions, TransitMillis: new(int64), LastStartMillis: 61,
			Runs: 3, FirstRun: "117440513 on w0 at 0 ms", LastRun: "117440515 on w0 at 61 ms",
			Earlier: []string{"entry/f1/1 until 5 ms", "entry/f1/3 until 15 ms", "entry/f1/4 until 20 ms", "entry/f1/5 until 25 ms"},
		}}
		if diff := cmp.Diff(want, submissionLines(t, logged.Bytes(), "job ended")); diff != "" {
			t.Errorf("lines (-want +got):\n%s", diff)
		}
	})
}

// Guards against logs that take a run that a home took over for one that it started.
func TestLogTellsAdoptedRunsFromOwnOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 1)
		dc.workers["w0"].RunTime = func(string) time.Duration { return 5 * runTime }
		earlier := dc.readyHome(7)
		s := submission("a", 1)
		go submit(earlier, s)
		time.Sleep(runTime / 3)
		earlier.Close()
		var logged bytes.Buffer
		dc.logWriter = &logged
		later := dc.newHome(8)
		s.Resumed = true
		submit(later, s)
		dc.close(later)
		<-earlier.Done()

		got := submissionLines(t, logged.Bytes(), "job ended")
		for i := range got {
			got[i] = submissionLine{Token: got[i].Token, Runs: got[i].Runs, FirstRun: got[i].FirstRun, LastRun: got[i].LastRun}
		}
		want := []submissionLine{{Token: 8, Runs: 1, FirstRun: "117440513 adopted on w0 at 1 ms", LastRun: "117440513 adopted on w0 at 1 ms"}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("lines (-want +got):\n%s", diff)
		}
	})
}

// Guards against a record of an incident, which cuts lines off after 200 bytes, without the origin of a job, its
// home and its last start.
func TestOriginAndStartStandInTheFirstBytesOfALine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxBytes = 200 - len(`"instance":"edge-osr-b-2","dataCentre":"osr-b",`)
		dc := newTestCentre(t, 1)
		var logged bytes.Buffer
		dc.logWriter = &logged
		h := dc.readyHome(1234)
		s := submission("5c0e7a21d94b36f8", 1)
		s.Origin, s.Age = "edge-osr-a-1", 1200*time.Millisecond
		submit(h, s)
		dc.close(h)
		want := `"tookMillis":1261,"origin":"edge-osr-a-1","lastStartMillis":1200,"token":1234`
		if end := bytes.Index(logged.Bytes(), []byte(want)) + len(want); end < len(want) || end > maxBytes {
			t.Errorf("the fields end at byte %d of %s", end, logged.Bytes())
		}
	})
}

package logger_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"foxtailmux/logger"
	"foxtailmux/model"
	"foxtailmux/setup"
)

// newLogger returns a logger and the buffer that it writes to.
func newLogger(t *testing.T, format setup.Format) (*logger.Logger, *bytes.Buffer) {
	t.Helper()
	s := setup.Default()
	s.Instance = "entry-1"
	s.DataCentre = "kochi"
	s.Log.Format = format

	var out bytes.Buffer
	l, err := logger.New(s, &out)
	if err != nil {
		t.Fatal(err)
	}
	return l, &out
}

var request = logger.Request{
	JobID:     "j1",
	Team:      "malabar",
	Service:   "quote",
	Method:    "POST",
	Path:      "/v1/jobs",
	Status:    503,
	JobResult: model.Failed,
	Ran:       model.RanNo,
	Failure:   model.FailOverloaded,
	Tasks:     3,
	Took:      1500 * time.Microsecond,
}

func TestRequestLineNamesJobTeamInstanceAndDataCentre(t *testing.T) {
	l, out := newLogger(t, setup.FormatJSON)
	l.Request(request)

	var got map[string]any
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if _, err := time.Parse(time.RFC3339, got["time"].(string)); err != nil {
		t.Error(err)
	}
	delete(got, "time")

	want := map[string]any{
		"level": "warn", "instance": "entry-1", "dataCentre": "kochi", "jobId": "j1",
		"team": "malabar", "service": "quote", "result": "failed", "ran": "no",
		"failure": "overloaded", "tasks": 3.0, "method": "POST", "path": "/v1/jobs",
		"status": 503.0, "tookMicros": 1500.0, "message": "request",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A caller must not be able to forge log lines by a line break in the path of a request.
func TestConsoleLineStaysOneLine(t *testing.T) {
	l, out := newLogger(t, setup.FormatConsole)
	forged := request
	forged.Path = "/v1/jobs\n2026 INF forged"
	l.Request(forged)

	if n := strings.Count(out.String(), "\n"); n != 1 {
		t.Errorf("%d line ends in %q", n, out)
	}
	if !strings.Contains(out.String(), `jobId="j1"`) {
		t.Errorf("no job in %q", out)
	}
}

func TestLevelChangesWhileRunning(t *testing.T) {
	l, out := newLogger(t, setup.FormatJSON)
	l.Debug().Msg("hidden")
	if out.Len() != 0 {
		t.Errorf("got %q below the level", out)
	}

	if err := l.SetLevel("debug"); err != nil {
		t.Fatal(err)
	}
	l.Debug().Msg("shown")
	if !strings.Contains(out.String(), "shown") {
		t.Errorf("got %q after the change", out)
	}

	var e *logger.Error
	if err := l.SetLevel("loud"); !errors.As(err, &e) || e.Kind != logger.KindLevel {
		t.Errorf("got %v for an unknown level", err)
	}
	out.Reset()
	l.Debug().Msg("still shown")
	if out.Len() == 0 {
		t.Error("an unknown level changed the level")
	}
}

func TestUnknownFormatIsRefused(t *testing.T) {
	s := setup.Default()
	s.Log.Format = "xml"
	var e *logger.Error
	if _, err := logger.New(s, &bytes.Buffer{}); !errors.As(err, &e) || e.Kind != logger.KindFormat {
		t.Errorf("got %v", err)
	}
}

func TestConcurrentLinesStayWhole(t *testing.T) {
	const writers, lines = 8, 50
	l, out := newLogger(t, setup.FormatJSON)

	var group conc.WaitGroup
	for range writers {
		group.Go(func() {
			for range lines {
				l.Request(request)
			}
		})
	}
	group.Wait()

	got := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	if diff := cmp.Diff(writers*lines, len(got)); diff != "" {
		t.Error(diff)
	}
	for _, line := range got {
		if !json.Valid(line) {
			t.Errorf("broken line %q", line)
		}
	}
}

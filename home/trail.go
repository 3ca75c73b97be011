package home

import (
	"fmt"
	"strconv"
	"time"

	"github.com/phuslu/log"
)

// maxEarlierSubmissions bounds the submissions that the line of a job's end names beside the last one.
const maxEarlierSubmissions = 4

// trail is what the line of a job's end tells about its runs and about the submissions before its last one.
type trail struct {
	runs     int
	first    runStart
	last     runStart
	replaced []replacedSubmission
}

// runStart is the start of a run, or its adoption from an earlier home.
type runStart struct {
	run     int64
	worker  string
	adopted bool
	at      time.Time
}

// replacedSubmission is a submission that counted for its job until another one joined the job.
type replacedSubmission struct {
	id    SubmissionID
	until time.Time
}

// addRun adds the run that a task has just got.
func (t *trail) addRun(of *task, adopted bool) {
	t.last = runStart{run: of.run, worker: of.worker.info.ID, adopted: adopted, at: of.startedAt}
	if t.runs++; t.runs == 1 {
		t.first = t.last
	}
}

// addReplaced adds a submission that another one has just replaced. The first one and the latest are kept.
func (t *trail) addReplaced(id SubmissionID, now time.Time) {
	if len(t.replaced) == maxEarlierSubmissions {
		t.replaced = append(t.replaced[:1], t.replaced[2:]...)
	}
	t.replaced = append(t.replaced, replacedSubmission{id, now})
}

// addTo adds the trail to a log line, with times from the arrival of the job at its origin.
func (t *trail) addTo(l *log.Entry, arrivedAt time.Time) {
	l.Int("runs", t.runs)
	if t.runs > 0 {
		l.Str("firstRun", t.first.describe(arrivedAt)).Str("lastRun", t.last.describe(arrivedAt))
	}
	if len(t.replaced) == 0 {
		return
	}
	list := make([]string, len(t.replaced))
	for i, r := range t.replaced {
		list[i] = fmt.Sprintf("%s/%s/%d until %d ms", r.id.Origin, r.id.Incarnation, r.id.Number, r.until.Sub(arrivedAt).Milliseconds())
	}
	l.Strs("earlierSubmissions", list)
}

func (r runStart) describe(arrivedAt time.Time) string {
	text := strconv.FormatInt(r.run, 10)
	if r.adopted {
		text += " adopted"
	}
	return fmt.Sprintf("%s on %s at %d ms", text, r.worker, r.at.Sub(arrivedAt).Milliseconds())
}

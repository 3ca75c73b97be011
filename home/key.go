package home

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// Key identifies a job, or a part of one, at a home: everything that the outcome depends on, since
// submissions with the same key share one run and its outcome. The id alone does not tell jobs of
// two queues apart, nor the parts of two divisions of a job, nor submissions of other content.
type Key struct {
	ID      string `json:"id"`
	Queue   string `json:"queue"`
	Part    Part   `json:"part"`    // Count is 0 for a whole job
	Content uint64 `json:"content"` // model.Batch.Digest
}

// String returns the id, followed by the first task and the number of tasks of a part.
func (k Key) String() string {
	if k.Part.Count == 0 {
		return k.ID
	}
	return fmt.Sprintf("%s#%d+%d", k.ID, k.Part.First, k.Part.Count)
}

// hasTask reports whether a task of that name belongs to the job or part.
func (k Key) hasTask(name string) bool {
	rest, ok := strings.CutPrefix(name, k.ID+".")
	if !ok || k.Part.Count == 0 {
		return ok
	}
	index, err := strconv.Atoi(rest[strings.LastIndexByte(rest, '.')+1:])
	return err == nil && index >= k.Part.First && index < k.Part.First+k.Part.Count
}

// Key returns the key of the submitted job or part.
func (s Submission) Key() Key {
	k := Key{ID: s.Batch.ID, Queue: s.Batch.Queue, Content: s.Content}
	if s.Part != nil {
		k.Part = *s.Part
	}
	return k
}

// SubmissionID identifies one submission of a job by its origin.
type SubmissionID struct {
	Origin      string `json:"origin"`
	Incarnation string `json:"incarnation"` // of the origin
	Number      int64  `json:"number"`      // rises with each submission of the incarnation; 0 is unknown
}

// ID returns the identity of the submission.
func (s Submission) ID() SubmissionID {
	return SubmissionID{Origin: s.Origin, Incarnation: s.Incarnation, Number: s.Number}
}

// addTo adds the identity to a log line.
func (id SubmissionID) addTo(l *log.Entry) *log.Entry {
	return l.Str("origin", id.Origin).Str("originIncarnation", id.Incarnation).Int64("submission", id.Number)
}

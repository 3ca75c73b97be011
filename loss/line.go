package loss

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

// Line holds the fields of a log line that tell what became of a request. Lines of all kinds
// share the struct; a field that a line does not have is zero.
type Line struct {
	Time       time.Time `json:"time"`
	Instance   string    `json:"instance"`
	DataCentre string    `json:"dataCentre"`
	Message    string    `json:"message"`

	Job                     string `json:"job"`
	Queue                   string `json:"queue"`
	Status                  int    `json:"status"`
	Result                  string `json:"verdict"`
	Reason                  string `json:"reason"`
	TookMillis              int64  `json:"tookMillis"`
	ObjectiveMillis         int64  `json:"objectiveMillis"`
	MeasuredObjectiveMillis int64  `json:"measuredObjectiveMillis"` // by the run times of its tasks
	LastStartMillis         int64  `json:"lastStartMillis"`         // from the arrival of a job to the latest start of a task

	Claim       int    `json:"claim"`     // CPU that a job needs, in thousandths of a core
	Free        int    `json:"free"`      // CPU that is free at its home, in thousandths of a core
	Tasks       int    `json:"tasks"`     // of the job
	Startable   int    `json:"startable"` // tasks that could start in all data centres in time
	Incarnation string `json:"incarnation"`
}

// Messages of the log lines that the package reads.
const (
	msgAnswered    = "request answered"
	msgEnded       = "job ended"
	msgNotAdmitted = "job not admitted"
	msgNotDivided  = "job not divided, the data centres have too little capacity in time"
	msgRunFailed   = "run failed"
	msgRunLost     = "run ended without a result"
	msgRunMoved    = "run makes no headway and is moved"
	msgRunAdopted  = "run taken over"
	msgNoHome      = "home did not answer"
	msgListening   = "listening"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Read calls handle for each JSON line of a log and returns the number of lines without JSON,
// which it passes over. Text before the JSON of a line, such as the name of a process, is
// ignored. Every error is an *Error.
func Read(r io.Reader, handle func(Line)) (skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		var l Line
		if start < 0 || json.Unmarshal(scanner.Bytes()[start:], &l) != nil || l.Message == "" {
			skipped++
			continue
		}
		handle(l)
	}
	if err := scanner.Err(); err != nil {
		return skipped, &Error{Op: "read log", Kind: KindInput, Err: err}
	}
	return skipped, nil
}

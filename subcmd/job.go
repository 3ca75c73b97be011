package subcmd

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"foxtailmux/model"
)

const (
	maxJobBytes = 256 << 20
	maxJobTasks = 100_000
	maxDeadline = 24 * time.Hour
)

// jobFlags are the flags that describe a job.
type jobFlags struct {
	file       string
	team       string
	service    string
	tasks      int
	payload    string
	expected   time.Duration
	deadline   time.Duration
	repeatable bool
	key        string
}

func (f *jobFlags) bind(fs *flag.FlagSet) {
	fs.StringVar(&f.file, "job", "", "JSON file with the job; - reads standard input")
	fs.StringVar(&f.team, "team", "", "team that submits")
	fs.StringVar(&f.service, "service", "", "service that runs the tasks")
	fs.IntVar(&f.tasks, "tasks", 1, "number of equal tasks")
	fs.StringVar(&f.payload, "payload", "", "JSON payload of each task")
	fs.DurationVar(&f.expected, "expected", 0, "expected run time of each task")
	fs.DurationVar(&f.deadline, "deadline", 0, "time until the answer; 0 takes the service's default")
	fs.BoolVar(&f.repeatable, "repeatable", false, "a task may be started again after an unknown outcome")
	fs.StringVar(&f.key, "key", "", "idempotency key of your own")
}

// job returns the job of the file given with -job, in which -deadline and -key replace the
// values of the file, or else the job that the other flags describe.
func (f *jobFlags) job(stdin io.Reader) (model.Job, error) {
	if f.file == "" {
		return f.jobFromFlags()
	}
	if f.hasJobFlags() {
		return model.Job{}, usageError("submit", "-job can't be combined with -team, -service, -tasks, -payload, -expected or -repeatable")
	}

	job, err := readJob(f.file, stdin)
	if err != nil {
		return model.Job{}, err
	}

	err = f.applyTo(&job)
	return job, err
}

// hasJobFlags reports whether a flag is set that describes the job in place of a file.
func (f *jobFlags) hasJobFlags() bool {
	return f.team != "" || f.service != "" || f.tasks != 1 || f.payload != "" || f.expected != 0 || f.repeatable
}

// jobFromFlags returns the job that the flags describe.
func (f *jobFlags) jobFromFlags() (model.Job, error) {
	if f.team == "" || f.service == "" {
		return model.Job{}, usageError("submit", "give -job, or -team and -service")
	}
	if f.tasks < 1 || f.tasks > maxJobTasks {
		return model.Job{}, usageError("submit", "flag -tasks: %d is not between 1 and %d", f.tasks, maxJobTasks)
	}
	if f.payload != "" && !json.Valid([]byte(f.payload)) {
		return model.Job{}, usageError("submit", "flag -payload: %q is not JSON", f.payload)
	}
	if f.expected < 0 {
		return model.Job{}, usageError("submit", "flag -expected: %v is negative", f.expected)
	}

	job := model.Job{Team: f.team, Service: f.service, Repeatable: f.repeatable}
	task := model.Task{Payload: json.RawMessage(f.payload), ExpectedMillis: f.expected.Milliseconds()}
	for range f.tasks {
		job.Tasks = append(job.Tasks, task)
	}

	err := f.applyTo(&job)
	return job, err
}

// applyTo sets the deadline and the idempotency key of a job to those of the flags, if given.
func (f *jobFlags) applyTo(job *model.Job) error {
	if f.deadline != 0 && (f.deadline < time.Millisecond || f.deadline > maxDeadline) {
		return usageError("submit", "flag -deadline: %v is not between 1ms and %v", f.deadline, maxDeadline)
	}
	if f.deadline > 0 {
		job.DeadlineMillis = f.deadline.Milliseconds()
	}
	if f.key != "" {
		job.IdempotencyKey = f.key
	}
	return nil
}

// readJob reads a job from a JSON file, or from standard input if path is "-".
func readJob(path string, stdin io.Reader) (model.Job, error) {
	text, err := readInput(path, stdin)
	if err != nil {
		return model.Job{}, inputError("submit", "%v", err)
	}

	var job model.Job
	if err := decodeJob(text, &job); err != nil {
		return model.Job{}, inputError("submit", "%s%s: %v", path, errorPosition(text, err), err)
	}
	if rule := validateJob(job); rule != "" {
		return model.Job{}, inputError("submit", "%s: %s", path, rule)
	}
	return job, nil
}

func readInput(path string, stdin io.Reader) ([]byte, error) {
	if path == "-" {
		return readLimited(path, stdin)
	}

	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return readLimited(path, file)
}

// readLimited reads all of r. It fails if r has more than maxJobBytes.
func readLimited(path string, r io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxJobBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxJobBytes {
		return nil, fmt.Errorf("%s: is larger than %d bytes", path, maxJobBytes)
	}
	return text, nil
}

// decodeJob decodes a single JSON object without unknown fields.
func decodeJob(text []byte, job *model.Job) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(job); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("holds more than one job")
	}
	return nil
}

// errorPosition returns the position of a JSON error in the text as ":line:column", or "" if
// the error has none.
func errorPosition(text []byte, err error) string {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	offset := int64(0)
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &mismatch):
		offset = mismatch.Offset
	}
	if offset <= 0 || offset > int64(len(text)) {
		return ""
	}

	before := text[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Sprintf(":%d:%d", line, column)
}

// validateJob returns the first rule that a job breaks, or "".
func validateJob(job model.Job) string {
	switch {
	case job.Team == "":
		return "team must be given"
	case job.Service == "":
		return "service must be given"
	case len(job.Tasks) == 0:
		return "tasks must hold at least one task"
	case job.DeadlineMillis < 0 || job.DeadlineMillis > maxDeadline.Milliseconds():
		return fmt.Sprintf("deadlineMillis: %d is not between 0 and %d", job.DeadlineMillis, maxDeadline.Milliseconds())
	}
	return ""
}

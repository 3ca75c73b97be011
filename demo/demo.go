// Package demo runs stand-ins for the platform and the workers and two entry
// instances in one process, sends jobs to the instances over TCP on the loopback
// interface, checks every answer and prints a table.
package demo

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"
)

// options set the size of a demo run.
type options struct {
	jobs      int
	interval  time.Duration // between two submissions
	timeLimit time.Duration // of the whole run
}

var defaultOptions = options{
	jobs:      600,
	interval:  10 * time.Millisecond,
	timeLimit: 18 * time.Second,
}

// Run runs the demo and prints its table to stdout. When an answer or an event
// of the workers violates the contract with callers, or the demo can't run, it
// copies the logs of the instances to stderr and returns an *Error.
func Run(ctx context.Context, stdout, stderr io.Writer) error {
	return run(ctx, defaultOptions, stdout, stderr)
}

func run(ctx context.Context, o options, stdout, stderr io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeLimit)
	defer cancel()

	logs := &logBuffer{}
	err := runJobs(ctx, o, logs, stdout)
	if err != nil {
		logs.copyTo(stderr)
	}
	return err
}

// runJobs starts a testbed, submits all jobs, prints the table and checks the
// answers.
func runJobs(ctx context.Context, o options, logs io.Writer, stdout io.Writer) error {
	bed, err := newTestbed(ctx, logs)
	if err != nil {
		return err
	}
	defer bed.close()

	if err := bed.injectFaults(); err != nil {
		return err
	}
	outcomes, err := bed.submitAll(ctx, o)
	if err != nil {
		return err
	}

	events := bed.events()
	problems := check(outcomes, events)
	if err := printTable(stdout, outcomes, events, problems); err != nil {
		return &Error{Op: "print", Kind: KindEnded, Err: err}
	}
	return problemsError(problems)
}

// logBuffer keeps the logs of the instances in memory. It may be used by
// several goroutines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends a log line.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) copyTo(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = w.Write(l.text.Bytes()) // the demo has failed already
}

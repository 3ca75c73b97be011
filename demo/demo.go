// Package demo runs a platform stand-in, worker stand-ins and two entry
// instances in one process, sends jobs through them over TCP on the loopback
// interface, checks every answer and prints a table.
package demo

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"
)

// options are the size of a run.
type options struct {
	jobs      int
	interval  time.Duration // between two jobs
	timeLimit time.Duration // for the whole run
}

var standard = options{
	jobs:      600,
	interval:  10 * time.Millisecond,
	timeLimit: 18 * time.Second,
}

// Run runs the demo and prints its table to stdout. If an answer or the
// workers' events break a rule it prints the logs of the instances to stderr
// and returns an *Error.
func Run(ctx context.Context, stdout, stderr io.Writer) error {
	return run(ctx, standard, stdout, stderr)
}

func run(ctx context.Context, o options, stdout, stderr io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeLimit)
	defer cancel()

	logs := &logBuffer{}
	err := play(ctx, o, logs, stdout)
	if err != nil {
		logs.copyTo(stderr)
	}
	return err
}

func play(ctx context.Context, o options, logs io.Writer, stdout io.Writer) error {
	stage, err := newStage(ctx, logs)
	if err != nil {
		return err
	}
	defer stage.close()

	if err := stage.injectFaults(); err != nil {
		return err
	}
	outcomes, err := stage.drive(ctx, o)
	if err != nil {
		return err
	}

	events := stage.events()
	problems := check(outcomes, events)
	if err := printTable(stdout, outcomes, events, problems); err != nil {
		return &Error{Op: "print", Kind: KindEnded, Err: err}
	}
	return verdict(problems)
}

// logBuffer keeps the logs of the instances.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends a line.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) copyTo(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = w.Write(l.text.Bytes()) // the run has failed already
}

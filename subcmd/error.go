package subcmd

import (
	"errors"

	"github.com/rotisserie/eris"

	"foxtailmux/setup"
)

// Kind classifies an error and determines the exit code.
type Kind string

// The kinds of error. KindUsage and KindInput lead to ExitUsage, KindFailed to ExitFailed.
const (
	KindUsage  Kind = "usage"  // wrong command, flag or argument
	KindInput  Kind = "input"  // invalid file or settings
	KindFailed Kind = "failed" // the command was understood and failed
)

// Exit codes of the program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Error is the error of a command. Op is the name of the command.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the name of the command and the cause.
func (e *Error) Error() string {
	if e.Op == program {
		return e.Err.Error()
	}
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func usageError(op, format string, args ...any) error {
	return &Error{Op: op, Kind: KindUsage, Err: eris.Errorf(format, args...)}
}

func inputError(op, format string, args ...any) error {
	return &Error{Op: op, Kind: KindInput, Err: eris.Errorf(format, args...)}
}

func failedError(op, format string, args ...any) error {
	return &Error{Op: op, Kind: KindFailed, Err: eris.Errorf(format, args...)}
}

// exitCode returns the exit code of the program for an error; ExitFailed if its type is
// unknown.
func exitCode(err error) int {
	var settings *setup.Error
	if errors.As(err, &settings) {
		return ExitUsage
	}

	var e *Error
	if errors.As(err, &e) && e.Kind != KindFailed {
		return ExitUsage
	}
	return ExitFailed
}

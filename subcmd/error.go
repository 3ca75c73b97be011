package subcmd

import (
	"errors"

	"github.com/rotisserie/eris"

	"foxtailmux/setup"
)

// Kind classifies an Error; it decides the exit code.
type Kind string

// The kinds of error.
const (
	KindUsage  Kind = "usage"  // wrong command, flag or argument
	KindInput  Kind = "input"  // wrong file or settings
	KindFailed Kind = "failed" // the command was understood and failed
)

// Exit codes of the program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Error is how a command failed. Op is the command's name.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the command and its cause.
func (e *Error) Error() string {
	if e.Op == program {
		return e.Err.Error()
	}
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the inner error.
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

// exitCode returns ExitFailed for an error of unknown type.
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

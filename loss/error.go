package loss

import "fmt"

// Kind classifies an error.
type Kind string

// Kinds of errors.
const (
	KindInput  Kind = "input"  // a log can't be read
	KindOutput Kind = "output" // a plot can't be written
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("loss: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

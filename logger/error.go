package logger

// Kind classifies an Error.
type Kind string

// The kinds of error.
const (
	KindLevel  Kind = "level"
	KindFormat Kind = "format"
)

// Error tells which operation of the logger failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "logger: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the inner error.
func (e *Error) Unwrap() error { return e.Err }

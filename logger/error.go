package logger

// Kind classifies an Error.
type Kind string

// KindLevel: the name of a log level is unknown. KindFormat: the log format is unknown.
const (
	KindLevel  Kind = "level"
	KindFormat Kind = "format"
)

// Error is the type of the errors of New and SetLevel.
type Error struct {
	Op   string // failed operation
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return "logger: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

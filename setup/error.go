package setup

import (
	"fmt"
	"strings"
)

// Kind classifies an Error.
type Kind string

// The kinds of error.
const (
	KindFile   Kind = "file"   // the file can't be read or is too large
	KindSyntax Kind = "syntax" // invalid YAML, an unknown field or a value of the wrong type
	KindValue  Kind = "value"  // a value is out of its bounds or malformed
)

// Error is an invalid setting or an unreadable settings file. Source is the file,
// environment variable or flag that set the value; Line and Column start at 1
// in a file and are 0 elsewhere. Field is the path of the field, such as
// callers.addr.
type Error struct {
	Op     string
	Kind   Kind
	Source string
	Line   int
	Column int
	Field  string
	Err    error
}

// Error returns source, position, field and cause on one line.
func (e *Error) Error() string {
	var b strings.Builder
	if e.Source != "" {
		b.WriteString(e.Source)
		if e.Line > 0 {
			fmt.Fprintf(&b, ":%d:%d", e.Line, e.Column)
		}
		b.WriteString(": ")
	}
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	b.WriteString(e.Err.Error())
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

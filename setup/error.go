package setup

import (
	"fmt"
	"strings"
)

// Kind classifies an Error.
type Kind string

// The kinds of error.
const (
	KindFile   Kind = "file"   // the file can't be read
	KindSyntax Kind = "syntax" // not YAML, an unknown field or a wrong type
	KindValue  Kind = "value"  // a value breaks its rule
)

// Error tells which setting is wrong and where it was given. Source is the
// file, variable or flag; Line and Column are 0 outside a file.
type Error struct {
	Op     string
	Kind   Kind
	Source string
	Line   int
	Column int
	Field  string
	Err    error
}

// Error returns the place and the broken rule on one line.
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

// Unwrap returns the inner error.
func (e *Error) Unwrap() error { return e.Err }

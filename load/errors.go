// Package load generates open-loop traffic for entry instances, checks every
// answer and measures response time, messages, refusals and fairness.
package load

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	KindOptions Kind = "options"
	KindMetrics Kind = "metrics"
	KindCluster Kind = "cluster"
	KindOutput  Kind = "output"

	// KindViolation is an answer that broke its contract.
	KindViolation Kind = "violation"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("load: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

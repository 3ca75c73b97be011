// Package load sends jobs to entry instances at the planned times whether or
// not earlier ones were answered (open loop). It checks every answer and
// measures response times, messages between processes, refusals and the
// fairness among teams.
package load

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	KindOptions   Kind = "options"   // options, a preset or an experiment are not valid
	KindMetrics   Kind = "metrics"   // the metrics of an instance can't be read
	KindCluster   Kind = "cluster"   // a cluster in this process did not start
	KindOutput    Kind = "output"    // a plot can't be drawn
	KindViolation Kind = "violation" // an answer broke the contract with its caller
)

// Error is the error type of this package. Op names the operation that failed.
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

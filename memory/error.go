package memory

import "fmt"

// Kind classifies errors.
type Kind string

// Kinds of errors.
const (
	// KindFull means that the bytes do not fit into the budget, and that no other connection gives way.
	KindFull Kind = "full"

	// KindEvicted means that the connection was closed in favour of another one.
	KindEvicted Kind = "evicted"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
}

// Error returns the operation and the kind.
func (e *Error) Error() string { return fmt.Sprintf("memory: %s: %s", e.Op, e.Kind) }

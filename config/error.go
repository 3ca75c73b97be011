package config

import "fmt"

// Kind classifies the errors of this package.
type Kind string

// The kinds of error. KindInvalid is input that breaks a rule. KindRaceLost
// is a change that another operator's overtook; nothing of it took effect.
// KindUnknown is a change that may have taken effect. KindStore is a store
// that could not be used; nothing was changed. KindCorrupt is stored data
// that does not match its digest or form. KindNoVersion is a store that holds no
// version yet.
const (
	KindInvalid   Kind = "invalid"
	KindRaceLost  Kind = "raceLost"
	KindUnknown   Kind = "unknown"
	KindStore     Kind = "store"
	KindCorrupt   Kind = "corrupt"
	KindNoVersion Kind = "none"
)

type Error struct {
	Op     string
	Kind   Kind
	Winner *Entry
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("config: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

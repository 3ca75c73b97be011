package config

import "fmt"

// Kind classifies the errors of this package.
type Kind string

// The kinds of error:
//   - KindInvalid: the input breaks a rule.
//   - KindRaceLost: another change was committed first; nothing of this one
//     took effect.
//   - KindUnknown: the change may or may not have taken effect.
//   - KindStore: the store failed; nothing was changed.
//   - KindCorrupt: stored data does not match its digest or can't be decoded.
//   - KindNoVersion: the store holds no version yet, or the instance does not
//     have the requested one in force.
const (
	KindInvalid   Kind = "invalid"
	KindRaceLost  Kind = "raceLost"
	KindUnknown   Kind = "unknown"
	KindStore     Kind = "store"
	KindCorrupt   Kind = "corrupt"
	KindNoVersion Kind = "none"
)

// Error is an error of this package. Op names the operation that failed. Winner
// is the entry that was committed first, for KindRaceLost if it could be read.
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

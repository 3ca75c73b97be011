package claim

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	KindConflict     Kind = "conflict"  // the key was used with another job
	KindStoreDown    Kind = "storeDown" // the table could not be asked; the claim may have taken effect
	KindContextEnded Kind = "ended"     // the caller's context ended; the claim may have taken effect
	KindClosed       Kind = "closed"    // the claimer was closed; the claim may have taken effect
)

// Error is the error type of this package. With every kind but KindConflict
// a claim that took effect names a job that was not begun.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return "claim " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

package claim

// Kind classifies the cause of an Error.
type Kind string

// The kinds of Error.
const (
	KindConflict     Kind = "conflict"  // the key was claimed with another digest
	KindStoreDown    Kind = "storeDown" // the table failed, or too many claims wait; the claim may have taken effect
	KindContextEnded Kind = "ended"     // the caller's context ended; the claim may have taken effect
	KindClosed       Kind = "closed"    // the claimer was closed; the claim may have taken effect
)

// Error is the error type of this package. If a claim took effect in spite of an
// error of a kind other than KindConflict, its row names a job that was not
// started.
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

package ticket

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	KindMalformed  Kind = "malformed"  // not the text of an id
	KindUnknown    Kind = "unknown"    // never issued, or issued by an instance whose ids this store doesn't hold
	KindExpired    Kind = "expired"    // issued, and no longer held; its job may have run
	KindDropped    Kind = "dropped"    // used, and its answer was dropped before the id expired
	KindConflict   Kind = "conflict"   // used before with another job
	KindFull       Kind = "full"       // the store would hold more ids than its limit
	KindHandedOver Kind = "handedOver" // another instance holds the id, or is about to adopt it
	KindUnused     Kind = "unused"     // issued, and no job was submitted on it yet
)

// Error is the error type of this package. Op names the failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return "ticket " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

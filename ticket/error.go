package ticket

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	KindMalformed  Kind = "malformed"  // not an id of any instance
	KindUnknown    Kind = "unknown"    // never minted, or minted by an instance that is not held here
	KindExpired    Kind = "expired"    // minted and forgotten; its job may have run
	KindDropped    Kind = "dropped"    // used, and its answer is no longer kept
	KindConflict   Kind = "conflict"   // used before with another job
	KindFull       Kind = "full"       // the bound on held ids is reached
	KindHandedOver Kind = "handedOver" // another instance answers for the id, or soon will
	KindUnused     Kind = "unused"     // minted, and no job was submitted on it yet
)

// Error is the error type of this package.
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

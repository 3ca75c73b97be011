// Package ticket issues the ids of jobs and keeps, for a bounded time, the state of
// each: unused, open or answered. A ticket is an id that a caller fetched in
// advance, to submit a job on it more than once without running it twice. The
// store is kept in memory. When its instance stops as planned, a handover moves its
// content to another instance, which adopts it.
package ticket

import (
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	incarnationDigits = 16
	counterDigits     = 16
	separator         = '-'
	idLength          = incarnationDigits + 1 + counterDigits
)

// ID is the parsed id of a job.
type ID struct {
	Incarnation string // of the instance that issued it, 16 lower-case hex digits
	Counter     uint64 // position in the sequence of ids that the incarnation issued
}

// String returns the canonical text of the id, the only one that Parse accepts.
func (i ID) String() string {
	return fmt.Sprintf("%s%c%016x", i.Incarnation, separator, i.Counter)
}

// Parse parses the text of an id. For a text in any other layout than that of
// String, it returns an *Error of kind KindMalformed.
func Parse(id string) (ID, error) {
	if len(id) != idLength || id[incarnationDigits] != separator {
		return ID{}, malformed(id)
	}

	incarnation, digits := id[:incarnationDigits], id[incarnationDigits+1:]
	if !isLowerHex(incarnation) || !isLowerHex(digits) {
		return ID{}, malformed(id)
	}

	counter, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return ID{}, malformed(id)
	}
	return ID{Incarnation: incarnation, Counter: counter}, nil
}

func isLowerHex(text string) bool {
	for _, r := range text {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return true
}

func malformed(id string) error {
	if len(id) > 2*idLength {
		id = id[:2*idLength]
	}
	return &Error{Op: "parse", Kind: KindMalformed, Err: eris.Errorf("%q is not an id", id)}
}

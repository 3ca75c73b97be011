// Package ticket mints the ids of jobs and keeps, for a bounded time, what
// became of each: unused, open or answered. The store lives in memory; at a
// planned stop its content moves to another instance.
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

// ID is a parsed id: who minted it and its place in the minter's sequence.
type ID struct {
	Incarnation string
	Counter     uint64
}

// String returns the only text that Parse accepts for the id.
func (i ID) String() string {
	return fmt.Sprintf("%s%c%016x", i.Incarnation, separator, i.Counter)
}

// Parse reads an id. Any deviation from the fixed layout is an Error of kind
// KindMalformed.
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

package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// sorted returns a copy with each list sorted by name and no nil list.
func (d Document) sorted() Document {
	d.Services = sortedBy(d.Services, func(s Service) string { return s.Name })
	d.Pools = sortedBy(d.Pools, func(p Pool) string { return p.Name })
	d.Teams = sortedBy(d.Teams, func(t Team) string { return t.Name })
	d.Access = sortedBy(d.Access, func(k AccessKey) string { return k.Name })
	return d
}

func sortedBy[T any](items []T, name func(T) string) []T {
	result := append([]T{}, items...)
	slices.SortStableFunc(result, func(a, b T) int {
		return cmp.Compare(name(a), name(b))
	})
	return result
}

// Canonical returns the JSON encoding that the digest is computed from: lists
// sorted by name, durations in nanoseconds.
func (d Document) Canonical() []byte {
	data, err := json.Marshal(d.sorted())
	if err != nil {
		panic(err) // fails only for NaN and infinity, which the rules exclude
	}
	return data
}

// Digest returns the SHA-256 of the canonical encoding in lower-case hex.
func (d Document) Digest() string {
	return digestOf(d.Canonical())
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Decode parses a canonical encoding after comparing it with its digest. Both
// failures are of KindCorrupt. An unknown field is an error, because this
// release would not apply the setting that the field stands for.
func Decode(data []byte, digest string) (Document, error) {
	if err := checkDigest(data, digest); err != nil {
		return Document{}, err
	}

	var d Document
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return Document{}, &Error{Op: "decode", Kind: KindCorrupt, Err: eris.Wrap(err, "decode")}
	}
	return d, nil
}

func checkDigest(data []byte, digest string) error {
	got := digestOf(data)
	if got == digest {
		return nil
	}
	err := eris.Errorf("%d bytes have the digest %s, want %s", len(data), got, digest)
	return &Error{Op: "decode", Kind: KindCorrupt, Err: err}
}

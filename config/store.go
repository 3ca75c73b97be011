package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/table"
)

// Names in the platform's store: the row of the last entry, the prefix of the
// rows with one entry each, and the prefix of the objects with the documents,
// each followed by the document's digest.
const (
	HeadKey       = "config/head"
	HistoryPrefix = "config/history/"
	ObjectPrefix  = "config-"
)

// Reader reads the platform's table and objects.
type Reader interface {
	Get(ctx context.Context, key string) (table.Row, error)
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Scanner reads rows in key order.
type Scanner interface {
	Reader
	Scan(ctx context.Context, prefix, after string, limit int) (table.ScanPage, error)
}

// Store reads and writes the platform's table and objects.
type Store interface {
	Scanner
	Commit(ctx context.Context, t table.Transaction) (table.CommitResult, error)
	PutObject(ctx context.Context, name string, data []byte) error
}

// Entry is one change in the history of the configuration, not an entry
// instance. Digest is that of the version's document, ChangeID a random id of
// the attempt to apply it. Hash is the SHA-256 of all other fields and Previous
// the Hash of the entry before, so the entries form a hash chain. The head row
// holds a copy of the last entry.
type Entry struct {
	Number   int64     `json:"number"`
	Digest   string    `json:"digest"`
	ChangeID string    `json:"changeId"`
	Who      string    `json:"who"`
	When     time.Time `json:"when"`
	Why      string    `json:"why"`
	Previous string    `json:"previous"`
	Hash     string    `json:"hash"`
}

// ComputeHash returns the hash over all fields but Hash, in lower-case hex.
func (e Entry) ComputeHash() string {
	e.Hash = ""
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // fails only for a year beyond 9999
	}
	return digestOf(data)
}

// String returns the entry in one line, without its digest and hashes.
func (e Entry) String() string {
	return fmt.Sprintf("version %d by %s at %s: %s", e.Number, e.Who, e.When.Format(time.RFC3339), e.Why)
}

// historyKey pads the number with zeros, so that keys sort in the order of the
// numbers.
func historyKey(number int64) string {
	return fmt.Sprintf("%s%010d", HistoryPrefix, number)
}

func objectName(digest string) string {
	return ObjectPrefix + digest
}

func parseEntry(value []byte) (Entry, error) {
	var e Entry
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return Entry{}, eris.Wrap(err, "decode the entry")
	}
	return e, e.check()
}

// check returns an error unless the fields are well-formed and match the hash.
func (e Entry) check() error {
	if e.Number < 1 || !digestPattern.MatchString(e.Digest) {
		return eris.Errorf("entry has the number %d and the digest %q", e.Number, e.Digest)
	}
	if got := e.ComputeHash(); got != e.Hash {
		return eris.Errorf("entry %d has the hash %s, says %s", e.Number, got, e.Hash)
	}
	return nil
}

// head is the last entry of the history with the version of its row, which a
// change names as the condition of its transaction. Both are zero before the
// first change.
type head struct {
	Entry
	rowVersion int64
}

func readHead(ctx context.Context, store Reader) (head, error) {
	row, err := store.Get(ctx, HeadKey)
	if err != nil {
		return head{}, &Error{Op: "read the head", Kind: KindStore, Err: err}
	}
	if row.Version == 0 {
		return head{}, nil
	}

	entry, err := parseEntry(row.Value)
	if err != nil {
		return head{}, &Error{Op: "read the head", Kind: KindCorrupt, Err: err}
	}
	return head{Entry: entry, rowVersion: row.Version}, nil
}

// ReadNewest reads the newest version from the store. The error is of
// KindNoVersion if there is none yet.
func ReadNewest(ctx context.Context, store Reader) (Version, error) {
	h, err := readHead(ctx, store)
	if err != nil {
		return Version{}, err
	}
	if h.Number == 0 {
		return Version{}, &Error{Op: "read the version", Kind: KindNoVersion, Err: eris.New("no version was applied yet")}
	}

	doc, err := readDocument(ctx, store, h.Digest)
	if err != nil {
		return Version{}, err
	}
	return Version{Number: h.Number, Digest: h.Digest, Document: doc}, nil
}

func readDocument(ctx context.Context, store Reader, digest string) (Document, error) {
	data, err := store.GetObject(ctx, objectName(digest))
	if err != nil {
		return Document{}, &Error{Op: "read the document", Kind: KindStore, Err: err}
	}
	return Decode(data, digest)
}

// isKind reports whether err wraps a table.Error of that kind.
func isKind(err error, kind table.Kind) bool {
	var failure *table.Error
	return errors.As(err, &failure) && failure.Kind == kind
}

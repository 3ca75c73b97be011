package config

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/table"
)

// Backoff between attempts to write a document or to resolve a commit whose
// response was lost.
const (
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = time.Second
)

// ApplyResult is the outcome of Apply. Unchanged is set if the document was in
// force already; Entry is then the history entry of the version in force.
type ApplyResult struct {
	Unchanged bool  `json:"unchanged"`
	Entry     Entry `json:"entry"`
}

// Apply stores a document as the newest version of the configuration, which
// the watchers of all instances then bring into force. The error is of
// KindInvalid if the document breaks a rule or who or why is empty, of
// KindRaceLost if another change was committed first, of KindStore if the store
// failed and nothing was changed, of KindCorrupt if the newest entry in the
// store can't be decoded, and of KindUnknown if the context ended before Apply
// could find out whether the change took effect.
func Apply(ctx context.Context, store Store, doc Document, who, why string) (ApplyResult, error) {
	return apply(ctx, store, doc, who, why, func(head) error { return nil })
}

// ApplyOnVersion is Apply with the condition that the newest version has the
// given number; 0 stands for a store without a version. If another version is
// the newest, the error is of KindRaceLost; if there is none yet, it is of
// KindNoVersion.
func ApplyOnVersion(ctx context.Context, store Store, number int64, doc Document, who, why string) (ApplyResult, error) {
	return apply(ctx, store, doc, who, why, func(before head) error {
		switch {
		case before.Number == number:
			return nil
		case before.Number == 0:
			return &Error{Op: "apply", Kind: KindNoVersion, Err: eris.Errorf("version %d was to be in force, but there is none yet", number)}
		default:
			return lostToWinner(before.Entry)
		}
	})
}

func apply(ctx context.Context, store Store, doc Document, who, why string, precondition func(head) error) (ApplyResult, error) {
	who, why = strings.TrimSpace(who), strings.TrimSpace(why)
	if err := checkChange(doc, who, why); err != nil {
		return ApplyResult{}, err
	}

	before, err := readHead(ctx, store)
	if err != nil {
		return ApplyResult{}, err
	}
	if err := precondition(before); err != nil {
		return ApplyResult{}, err
	}
	data := doc.Canonical()
	digest := digestOf(data)
	// The object is written even if this document is in force already, which
	// repairs a damaged copy in the store.
	if err := putVerified(ctx, store, digest, data); err != nil {
		return ApplyResult{}, err
	}
	if digest == before.Digest {
		return ApplyResult{Unchanged: true, Entry: before.Entry}, nil
	}
	entry := nextEntry(before, digest, who, why)
	return commitEntry(ctx, store, before, entry)
}

// checkChange returns an error of KindInvalid unless the operator, the reason
// and the document of a change are valid.
func checkChange(doc Document, who, why string) error {
	if who == "" || why == "" {
		return &Error{Op: "apply", Kind: KindInvalid, Err: eris.New("a change needs an operator's name and a reason")}
	}
	if problems := Validate(doc, Plugins{}); len(problems) > 0 {
		return &Error{Op: "apply", Kind: KindInvalid, Err: problems}
	}
	return nil
}

func nextEntry(before head, digest, who, why string) Entry {
	e := Entry{
		Number:   before.Number + 1,
		Digest:   digest,
		ChangeID: rand.Text(),
		Who:      who,
		When:     time.Now().UTC().Truncate(time.Millisecond),
		Why:      why,
		Previous: before.Hash,
	}
	e.Hash = e.ComputeHash()
	return e
}

// putVerified stores the document and reads it back, so that no version ever
// refers to a partly written object. The object is named by the digest of its
// bytes, so a put whose response was lost can be repeated safely.
func putVerified(ctx context.Context, store Store, digest string, data []byte) error {
	name := objectName(digest)
	b := newBackoff()
	for {
		err := putOnce(ctx, store, name, data)
		if err == nil {
			return nil
		}
		if !isKind(err, table.KindUnknown) || !b.wait(ctx) {
			return &Error{Op: "store the document", Kind: KindStore, Err: eris.Wrap(err, "nothing was changed")}
		}
	}
}

func putOnce(ctx context.Context, store Store, name string, data []byte) error {
	if err := store.PutObject(ctx, name, data); err != nil {
		return err
	}

	got, err := store.GetObject(ctx, name)
	if err != nil {
		return err
	}
	if !bytes.Equal(got, data) {
		return eris.Errorf("the object %s reads back as %d bytes that differ from the %d written", name, len(got), len(data))
	}
	return nil
}

// commitEntry writes the entry to the head row and to its history row in one
// transaction, on the condition that nobody changed either since the head was
// read, whose state then is passed as before.
func commitEntry(ctx context.Context, store Store, before head, entry Entry) (ApplyResult, error) {
	t, err := newTransaction(before, entry)
	if err != nil {
		return ApplyResult{}, &Error{Op: "apply", Kind: KindInvalid, Err: err}
	}

	commit, err := store.Commit(ctx, t)
	switch {
	case err == nil && commit.Committed:
		return ApplyResult{Entry: entry}, nil
	case err == nil:
		return ApplyResult{}, raceLostError(ctx, store, entry)
	case isKind(err, table.KindNotSent) || isKind(err, table.KindRefused):
		return ApplyResult{}, &Error{Op: "apply", Kind: KindStore, Err: eris.Wrap(err, "nothing was changed")}
	default:
		return resolve(ctx, store, t, entry)
	}
}

func newTransaction(before head, entry Entry) (table.Transaction, error) {
	value, err := json.Marshal(entry)
	if err != nil {
		return table.Transaction{}, eris.Wrap(err, "encode the entry")
	}
	return table.Transaction{
		Conditions: []table.Condition{
			{Key: HeadKey, Version: before.rowVersion},
			{Key: historyKey(entry.Number), Version: 0},
		},
		Puts: []table.Put{
			{Key: HeadKey, Value: value},
			{Key: historyKey(entry.Number), Value: value},
		},
	}, nil
}

// raceLostError returns an error of KindRaceLost for an entry whose commit met
// a conflict. It names the winning entry if the store can still be read.
func raceLostError(ctx context.Context, store Reader, entry Entry) error {
	failure := &Error{Op: "apply", Kind: KindRaceLost, Err: eris.New("another change came first; its entry could not be read")}
	row, err := store.Get(ctx, historyKey(entry.Number))
	if err != nil {
		return failure
	}
	winner, err := parseEntry(row.Value)
	if err != nil {
		return failure
	}
	return lostToWinner(winner)
}

func lostToWinner(winner Entry) error {
	return &Error{
		Op:     "apply",
		Kind:   KindRaceLost,
		Winner: &winner,
		Err:    eris.Errorf("another change came first, nothing of this one took effect: %s", winner),
	}
}

// resolve finds out whether a transaction whose response was lost has been
// committed, from the history row of the entry's number. As long as that row
// is missing, the first request may still be in transit, so the transaction is
// sent again: its conditions let at most one of the two commit.
func resolve(ctx context.Context, store Store, t table.Transaction, entry Entry) (ApplyResult, error) {
	b := newBackoff()
	for b.wait(ctx) {
		row, err := store.Get(ctx, historyKey(entry.Number))
		if err != nil {
			continue
		}
		if row.Version > 0 {
			return compareStored(row, entry)
		}

		commit, err := store.Commit(ctx, t)
		if err == nil && commit.Committed {
			return ApplyResult{Entry: entry}, nil
		}
	}
	return ApplyResult{}, &Error{Op: "apply", Kind: KindUnknown, Err: eris.Errorf(
		"the change may have taken effect: look for the change id %s at version %d in `config history` before applying again",
		entry.ChangeID, entry.Number)}
}

// compareStored returns success if the stored history row holds this entry, an
// error of KindRaceLost if it holds the entry of another change, and one of
// KindCorrupt if it can't be decoded.
func compareStored(row table.Row, entry Entry) (ApplyResult, error) {
	stored, err := parseEntry(row.Value)
	if err != nil {
		return ApplyResult{}, &Error{Op: "apply", Kind: KindCorrupt, Err: err}
	}
	if stored.ChangeID == entry.ChangeID {
		return ApplyResult{Entry: entry}, nil
	}
	return ApplyResult{}, lostToWinner(stored)
}

// backoff waits between attempts, twice as long each time up to
// maxRetryBackoff.
type backoff struct {
	next time.Duration
}

func newBackoff() *backoff {
	return &backoff{next: minRetryBackoff}
}

// wait returns false if the context ended before the delay was over.
func (b *backoff) wait(ctx context.Context) bool {
	timer := time.NewTimer(b.next)
	defer timer.Stop()
	b.next = min(2*b.next, maxRetryBackoff)

	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// KindOf returns the kind of an error of this package, or "" for other errors.
func KindOf(err error) Kind {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

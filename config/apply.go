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

const (
	minSettleBackoff = 50 * time.Millisecond
	maxSettleBackoff = time.Second
)

// ApplyResult is the outcome of Apply. Unchanged tells that the document was in
// force already; then Entry is the one that brought it.
type ApplyResult struct {
	Unchanged bool  `json:"unchanged"`
	Entry     Entry `json:"entry"`
}

// Apply makes a document the newest version. It fails with KindInvalid for a
// document that breaks a rule or a change without who and why; with
// KindRaceLost if another change came first; with KindStore if nothing was
// changed; with KindUnknown if the change may have taken effect when the
// context ended.
func Apply(ctx context.Context, store Store, doc Document, who, why string) (ApplyResult, error) {
	return apply(ctx, store, doc, who, why, func(head) error { return nil })
}

// ApplyOnVersion is Apply that loses, with KindRaceLost, unless the version of that
// number is in force. 0 asks that there is none yet.
func ApplyOnVersion(ctx context.Context, store Store, number int64, doc Document, who, why string) (ApplyResult, error) {
	return apply(ctx, store, doc, who, why, func(before head) error {
		switch {
		case before.Number == number:
			return nil
		case before.Number == 0:
			return &Error{Op: "apply", Kind: KindNoVersion, Err: eris.Errorf("version %d was to be in force, but there is none yet", number)}
		default:
			return lostTo(before.Entry)
		}
	})
}

func apply(ctx context.Context, store Store, doc Document, who, why string, accepts func(head) error) (ApplyResult, error) {
	who, why = strings.TrimSpace(who), strings.TrimSpace(why)
	if err := checkChange(doc, who, why); err != nil {
		return ApplyResult{}, err
	}

	before, err := readHead(ctx, store)
	if err != nil {
		return ApplyResult{}, err
	}
	if err := accepts(before); err != nil {
		return ApplyResult{}, err
	}
	data := doc.Canonical()
	digest := digestOf(data)
	// Writing the document of the version in force mends a damaged object.
	if err := putVerified(ctx, store, digest, data); err != nil {
		return ApplyResult{}, err
	}
	if digest == before.Digest {
		return ApplyResult{Unchanged: true, Entry: before.Entry}, nil
	}
	entry := nextEntry(before, digest, who, why)
	return commitEntry(ctx, store, before, entry)
}

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
// names an object that was written in part. The name is the digest of the
// bytes, hence a put whose answer was lost is safe to send again.
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

func commitEntry(ctx context.Context, store Store, before head, entry Entry) (ApplyResult, error) {
	t, err := transactionOf(before, entry)
	if err != nil {
		return ApplyResult{}, &Error{Op: "apply", Kind: KindInvalid, Err: err}
	}

	commit, err := store.Commit(ctx, t)
	switch {
	case err == nil && commit.Committed:
		return ApplyResult{Entry: entry}, nil
	case err == nil:
		return ApplyResult{}, raceLost(ctx, store, entry)
	case isKind(err, table.KindNotSent) || isKind(err, table.KindRefused):
		return ApplyResult{}, &Error{Op: "apply", Kind: KindStore, Err: eris.Wrap(err, "nothing was changed")}
	default:
		return settle(ctx, store, t, entry)
	}
}

func transactionOf(before head, entry Entry) (table.Transaction, error) {
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

// raceLost names the winner as well as the store still tells it.
func raceLost(ctx context.Context, store Reader, entry Entry) error {
	failure := &Error{Op: "apply", Kind: KindRaceLost, Err: eris.New("another change came first; its entry could not be read")}
	row, err := store.Get(ctx, historyKey(entry.Number))
	if err != nil {
		return failure
	}
	winner, err := parseEntry(row.Value)
	if err != nil {
		return failure
	}
	return lostTo(winner)
}

func lostTo(winner Entry) error {
	return &Error{
		Op:     "apply",
		Kind:   KindRaceLost,
		Winner: &winner,
		Err:    eris.Errorf("another change came first, nothing of this one took effect: %s", winner),
	}
}

// settle finds out what became of a transaction whose answer was lost. The
// entry of the number decides. As long as there is none, the transaction may
// still be on its way, so it is sent again: its conditions let one of the
// two through at most.
func settle(ctx context.Context, store Store, t table.Transaction, entry Entry) (ApplyResult, error) {
	b := newBackoff()
	for b.wait(ctx) {
		row, err := store.Get(ctx, historyKey(entry.Number))
		if err != nil {
			continue
		}
		if row.Version > 0 {
			return decide(row, entry)
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

func decide(row table.Row, entry Entry) (ApplyResult, error) {
	stored, err := parseEntry(row.Value)
	if err != nil {
		return ApplyResult{}, &Error{Op: "apply", Kind: KindCorrupt, Err: err}
	}
	if stored.ChangeID == entry.ChangeID {
		return ApplyResult{Entry: entry}, nil
	}
	return ApplyResult{}, lostTo(stored)
}

// backoff waits twice as long each time, up to a bound.
type backoff struct {
	next time.Duration
}

func newBackoff() *backoff {
	return &backoff{next: minSettleBackoff}
}

// wait returns false if the context ended first.
func (b *backoff) wait(ctx context.Context) bool {
	timer := time.NewTimer(b.next)
	defer timer.Stop()
	b.next = min(2*b.next, maxSettleBackoff)

	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// KindOf returns the kind of an error of this package, or nothing.
func KindOf(err error) Kind {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

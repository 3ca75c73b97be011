package config

import (
	"context"
	"fmt"

	"foxtailmux/table"
)

// historyPageRows is how many rows one scan of the history requests.
const historyPageRows = 200

// HistoryReport holds all changes, oldest first. Verified is set if the numbers
// have no gap, every hash is right and the head is the last entry; Problems
// describes each violation. Revisions is filled by AddChanges.
type HistoryReport struct {
	Entries   []Entry    `json:"entries"`
	Revisions []Revision `json:"revisions,omitempty"`
	Verified  bool       `json:"verified"`
	Problems  []string   `json:"problems"`
}

// History reads all changes from the store and verifies their hash chain. A
// broken chain or a corrupt head is reported in Problems; the error is set only
// if the store failed.
func History(ctx context.Context, store Scanner) (HistoryReport, error) {
	last, err := readHead(ctx, store)
	if err != nil && KindOf(err) != KindCorrupt {
		return HistoryReport{}, err
	}
	headErr := err

	r := HistoryReport{Entries: []Entry{}, Problems: []string{}}
	if headErr != nil {
		r.Problems = append(r.Problems, headErr.Error())
	}
	if err := r.scan(ctx, store, last.Number, headErr == nil); err != nil {
		return HistoryReport{}, err
	}
	r.verify()
	if headErr == nil {
		r.verifyHead(last)
	}
	r.Verified = len(r.Problems) == 0
	return r, nil
}

// scan reads the history rows. If bounded, it stops after the entry numbered
// last, the head that was read before: later entries were committed during the
// scan.
func (r *HistoryReport) scan(ctx context.Context, store Scanner, last int64, bounded bool) error {
	after := ""
	for {
		page, err := store.Scan(ctx, HistoryPrefix, after, historyPageRows)
		if err != nil {
			return &Error{Op: "history", Kind: KindStore, Err: err}
		}
		for _, row := range page.Rows {
			if bounded && row.Key > historyKey(last) {
				return nil
			}
			r.addRow(row)
			after = row.Key
		}
		if !page.More {
			return nil
		}
	}
}

func (r *HistoryReport) addRow(row table.Row) {
	entry, err := parseEntry(row.Value)
	if err != nil {
		r.Problems = append(r.Problems, fmt.Sprintf("%s: %v", row.Key, err))
		return
	}
	if row.Key != historyKey(entry.Number) {
		r.Problems = append(r.Problems, fmt.Sprintf("%s holds the entry %d", row.Key, entry.Number))
	}
	if row.Version != 1 {
		r.Problems = append(r.Problems, fmt.Sprintf("%s was written %d times", row.Key, row.Version))
	}
	r.Entries = append(r.Entries, entry)
}

// verify checks that the entries are numbered from 1 and linked by their hashes.
func (r *HistoryReport) verify() {
	var before Entry
	for _, e := range r.Entries {
		if e.Number != before.Number+1 {
			r.Problems = append(r.Problems, fmt.Sprintf("entry %d follows entry %d", e.Number, before.Number))
		}
		if e.Previous != before.Hash {
			r.Problems = append(r.Problems, fmt.Sprintf("entry %d names the entry before it by the hash %q, that has %q", e.Number, e.Previous, before.Hash))
		}
		before = e
	}
}

func (r *HistoryReport) verifyHead(h head) {
	var last Entry
	if len(r.Entries) > 0 {
		last = r.Entries[len(r.Entries)-1]
	}
	if h.Hash != last.Hash {
		r.Problems = append(r.Problems, fmt.Sprintf("the head is entry %d with the hash %q, the last entry is %d with %q", h.Number, h.Hash, last.Number, last.Hash))
	}
}

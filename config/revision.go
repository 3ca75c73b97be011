package config

import (
	"context"
	"fmt"
	"io"

	"foxtailmux/table"
)

// Revision lists the changes from one version to the next, Number.
type Revision struct {
	Number  int64    `json:"number"`
	Changes []Change `json:"changes"`
}

// AddChanges reads the documents of all entries and fills Revisions with the
// changes of each. A missing or corrupt document is added to Problems; the
// error is set only if the store failed.
func (r *HistoryReport) AddChanges(ctx context.Context, store Reader) error {
	r.Revisions = []Revision{}
	var before Document
	for _, e := range r.Entries {
		doc, err := readDocument(ctx, store, e.Digest)
		if err != nil {
			if KindOf(err) != KindCorrupt && !isKind(err, table.KindRefused) {
				return err
			}
			r.Problems = append(r.Problems, fmt.Sprintf("document of entry %d: %v", e.Number, err))
			r.Verified = false
			continue
		}
		r.Revisions = append(r.Revisions, Revision{Number: e.Number, Changes: Diff(before, doc)})
		before = doc
	}
	return nil
}

func (r HistoryReport) writeChanges(w io.Writer) error {
	for _, revision := range r.Revisions {
		if _, err := fmt.Fprintf(w, "version %d\n", revision.Number); err != nil {
			return err
		}
		for _, c := range revision.Changes {
			if _, err := fmt.Fprintf(w, "  %s\n", c); err != nil {
				return err
			}
		}
	}
	return nil
}

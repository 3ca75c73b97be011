package config

import (
	"context"
	"fmt"
	"io"

	"foxtailmux/table"
)

// Revision is what one version changed against the one before it.
type Revision struct {
	Number  int64    `json:"number"`
	Changes []Change `json:"changes"`
}

// AddChanges reads the document of every entry and adds what each changed.
// A document that is missing or corrupt is a problem of the history; the
// error is set only if the store could not be used.
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

package fakes

import (
	"slices"
	"strings"
	"sync"

	"foxtailmux/table"
)

// maxScanRows bounds the number of rows in a page of a scan.
const maxScanRows = 1000

// rows is an in-memory table with transactions.
type rows struct {
	mu    sync.Mutex
	byKey map[string]table.Row
}

func newRows() *rows {
	return &rows{byKey: map[string]table.Row{}}
}

func (r *rows) get(key string) table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lookup(key)
}

func (r *rows) lookup(key string) table.Row {
	if row, ok := r.byKey[key]; ok {
		return row
	}
	return table.Row{Key: key}
}

// apply commits the transaction atomically, or returns the rows whose versions
// differ from its conditions.
func (r *rows) apply(tx table.Transaction) table.CommitResult {
	r.mu.Lock()
	defer r.mu.Unlock()

	var conflicts []table.Row
	for _, c := range tx.Conditions {
		if row := r.lookup(c.Key); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return table.CommitResult{Conflicts: conflicts}
	}

	for _, p := range tx.Puts {
		version := r.lookup(p.Key).Version + 1
		r.byKey[p.Key] = table.Row{Key: p.Key, Value: p.Value, Version: version}
	}
	for _, key := range tx.Deletes {
		delete(r.byKey, key)
	}
	return table.CommitResult{Committed: true}
}

// scan returns the rows with the prefix whose keys are greater than after, in the
// order of their keys.
func (r *rows) scan(prefix, after string, limit int) table.ScanPage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit <= 0 || limit > maxScanRows {
		limit = maxScanRows
	}

	var keys []string
	for key := range r.byKey {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)

	more := len(keys) > limit
	if more {
		keys = keys[:limit]
	}
	page := table.ScanPage{Rows: []table.Row{}, More: more}
	for _, key := range keys {
		page.Rows = append(page.Rows, r.byKey[key])
	}
	return page
}

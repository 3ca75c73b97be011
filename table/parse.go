package table

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"foxtailmux/model"
)

// parseRow decodes a row and checks that it has the requested key.
func parseRow(body []byte, key string) (Row, error) {
	var r Row
	if err := json.Unmarshal(body, &r); err != nil {
		return Row{}, eris.Wrap(err, "malformed row")
	}
	if r.Key != key {
		return Row{}, eris.Errorf("asked for row %q, got %q", key, r.Key)
	}
	return checkRow(r)
}

// checkRow checks that the row has a value exactly if its version is above 0. A JSON
// null counts as no value.
func checkRow(r Row) (Row, error) {
	if bytes.Equal(r.Value, []byte("null")) {
		r.Value = nil
	}
	if r.Version < 0 {
		return Row{}, eris.Errorf("row %q has version %d", r.Key, r.Version)
	}
	if exists := r.Version > 0; exists != (len(r.Value) > 0) {
		return Row{}, eris.Errorf("row %q of version %d has a value of %d bytes", r.Key, r.Version, len(r.Value))
	}
	return r, nil
}

func parseScan(body []byte, prefix, after string, limit int) (ScanPage, error) {
	if err := requireFields(body, "rows"); err != nil {
		return ScanPage{}, err
	}

	var s ScanPage
	if err := json.Unmarshal(body, &s); err != nil {
		return ScanPage{}, eris.Wrap(err, "malformed page")
	}
	if len(s.Rows) > limit {
		return ScanPage{}, eris.Errorf("asked for %d rows, got %d", limit, len(s.Rows))
	}
	if s.More && len(s.Rows) == 0 {
		return ScanPage{}, eris.New("an empty page says that more rows follow")
	}

	last := after
	for i, r := range s.Rows {
		if !strings.HasPrefix(r.Key, prefix) || r.Key <= last || r.Version == 0 {
			return ScanPage{}, eris.Errorf("row %q of version %d does not belong after %q in a scan of %q", r.Key, r.Version, last, prefix)
		}

		checked, err := checkRow(r)
		if err != nil {
			return ScanPage{}, err
		}
		s.Rows[i] = checked
		last = r.Key
	}
	return s, nil
}

// parseCommit decodes the response to a transaction and checks it against the HTTP
// status and the transaction's conditions.
func parseCommit(body []byte, status int, t Transaction) (CommitResult, error) {
	if err := requireFields(body, "committed"); err != nil {
		return CommitResult{}, err
	}

	var c CommitResult
	if err := json.Unmarshal(body, &c); err != nil {
		return CommitResult{}, eris.Wrap(err, "malformed commit")
	}
	if c.Committed != (status == http.StatusOK) {
		return CommitResult{}, eris.Errorf("status %d says committed: %t", status, c.Committed)
	}
	if c.Committed != (len(c.Conflicts) == 0) {
		return CommitResult{}, eris.Errorf("committed: %t with %d conflicts", c.Committed, len(c.Conflicts))
	}

	for i, r := range c.Conflicts {
		if !isConflict(r, t.Conditions) {
			return CommitResult{}, eris.Errorf("row %q of version %d breaks no condition", r.Key, r.Version)
		}

		checked, err := checkRow(r)
		if err != nil {
			return CommitResult{}, err
		}
		c.Conflicts[i] = checked
	}
	return c, nil
}

func isConflict(r Row, conditions []Condition) bool {
	return slices.ContainsFunc(conditions, func(c Condition) bool {
		return c.Key == r.Key && c.Version != r.Version
	})
}

func parseInstances(body []byte) (model.InstanceList, error) {
	if err := requireFields(body, "workers", "entries"); err != nil {
		return model.InstanceList{}, err
	}

	var l model.InstanceList
	if err := json.Unmarshal(body, &l); err != nil {
		return model.InstanceList{}, eris.Wrap(err, "malformed list")
	}
	for _, w := range l.Workers {
		if w.ID == "" || w.Addr == "" {
			return model.InstanceList{}, eris.Errorf("worker %q has the address %q", w.ID, w.Addr)
		}
	}
	for _, e := range l.Entries {
		if e.ID == "" {
			return model.InstanceList{}, eris.New("an entry instance has no id")
		}
	}
	return l, nil
}

// requireFields checks that a response has the named fields. Decoding into a struct
// does not distinguish a missing field from an empty one.
func requireFields(body []byte, names ...string) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return eris.Wrap(err, "malformed answer")
	}
	for _, name := range names {
		if _, ok := fields[name]; !ok {
			return eris.Errorf("answer lacks the field %q", name)
		}
	}
	return nil
}

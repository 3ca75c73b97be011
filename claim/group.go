package claim

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"foxtailmux/table"
)

// maxReads limits the concurrent reads after a transaction with an unknown outcome.
const maxReads = 8

func newID() string { return rand.Text() }

// commitGroup sends one transaction for the group and handles its outcome.
func (c *Claimer) commitGroup(group []*request) {
	t, err := transaction(group)
	if err != nil {
		c.failAll(group, err)
		return
	}

	ctx, cancel := context.WithTimeout(c.ctx, c.options.Timeout)
	result, err := c.table.Commit(ctx, t)
	cancel()

	switch {
	case err == nil && result.Committed:
		for _, r := range group {
			c.complete(r, r.row)
		}
	case err == nil:
		c.resolveConflicts(group, result.Conflicts)
	case hadNoEffect(err):
		c.failAll(group, eris.Wrap(err, "commit"))
	default:
		c.readBack(group)
	}
}

func transaction(group []*request) (table.Transaction, error) {
	var t table.Transaction
	for _, r := range group {
		value, err := json.Marshal(r.row)
		if err != nil {
			return t, eris.Wrap(err, "encode the row")
		}
		t.Conditions = append(t.Conditions, table.Condition{Key: r.key})
		t.Puts = append(t.Puts, table.Put{Key: r.key, Value: value})
	}
	return t, nil
}

func hadNoEffect(err error) bool {
	var e *table.Error
	return errors.As(err, &e) && (e.Kind == table.KindNotSent || e.Kind == table.KindRefused)
}

// resolveConflicts completes the requests whose rows exist and requeues the others,
// since a transaction with conflicts writes nothing. A conflict with the request's
// own row comes from an earlier transaction whose response was lost. If no row of
// the group exists, the transaction counts as one without a usable outcome.
func (c *Claimer) resolveConflicts(group []*request, conflicts []table.Row) {
	present := make(map[string]table.Row, len(conflicts))
	for _, row := range conflicts {
		present[row.Key] = row
	}

	var rest []*request
	for _, r := range group {
		row, conflicted := present[r.key]
		if !conflicted || row.Version == 0 {
			rest = append(rest, r)
			continue
		}
		c.completeFromRow(r, row)
	}

	if len(rest) == len(group) {
		c.requeueOrFail(rest)
		return
	}
	c.requeue(rest)
}

func (c *Claimer) completeFromRow(r *request, row table.Row) {
	winner, err := decodeRow(row)
	if err != nil {
		c.fail(r, eris.Wrapf(err, "row %s", r.key))
		return
	}
	c.complete(r, winner)
}

// readBack reads the rows of a group whose transaction may have taken effect. That
// transaction may still write a row that is absent now, so the request is sent
// again with the same claim id, by which it recognises either write as its own.
func (c *Claimer) readBack(group []*request) {
	absent := make([]bool, len(group))
	reads := pool.New().WithMaxGoroutines(maxReads)
	for i, r := range group {
		reads.Go(func() {
			ctx, cancel := context.WithTimeout(c.ctx, c.options.Timeout)
			defer cancel()

			row, err := c.table.Get(ctx, r.key)
			switch {
			case err != nil:
				c.fail(r, eris.Wrap(err, "read back a claim whose answer was lost"))
			case row.Version == 0:
				absent[i] = true
			default:
				c.completeFromRow(r, row)
			}
		})
	}
	reads.Wait()

	var rest []*request
	for i, r := range group {
		if absent[i] {
			rest = append(rest, r)
		}
	}
	c.requeueOrFail(rest)
}

func (c *Claimer) failAll(group []*request, err error) {
	for _, r := range group {
		c.fail(r, err)
	}
}

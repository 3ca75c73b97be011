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

// maxReads bounds the reads in flight after a transaction ended unknown.
const maxReads = 8

func newID() string { return rand.Text() }

// settle sends one transaction for the group and acts on its outcome.
func (c *Claimer) settle(group []*request) {
	t, err := transaction(group)
	if err != nil {
		c.failAll(group, err)
		return
	}

	ctx, cancel := context.WithTimeout(c.ctx, c.options.Timeout)
	commit, err := c.table.Commit(ctx, t)
	cancel()

	switch {
	case err == nil && commit.Committed:
		for _, r := range group {
			c.decide(r, r.row)
		}
	case err == nil:
		c.resolve(group, commit.Conflicts)
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

// resolve answers the requests whose rows exist and queues the others again,
// since nothing of the transaction was written. A conflict with the request's
// own row comes from an earlier transaction whose answer was lost.
func (c *Claimer) resolve(group []*request, conflicts []table.Row) {
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
		c.found(r, row)
	}

	if len(rest) == len(group) {
		c.retry(rest)
		return
	}
	c.again(rest)
}

func (c *Claimer) found(r *request, row table.Row) {
	holder, err := decode(row)
	if err != nil {
		c.fail(r, eris.Wrapf(err, "row %s", r.key))
		return
	}
	c.decide(r, holder)
}

// readBack settles a group whose transaction may have taken effect. A row that
// is absent may still be written by it, so its request is sent again with the
// same claim id, which recognises either write as its own.
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
				c.found(r, row)
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
	c.retry(rest)
}

func (c *Claimer) failAll(group []*request, err error) {
	for _, r := range group {
		c.fail(r, err)
	}
}

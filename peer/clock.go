package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// clockInterval is the time between two readings of a peer's clock on a connection that is in use.
	clockInterval = 2 * time.Second

	// clockWindow is the time over which readings are combined. It is short enough for the drift of clocks
	// not to matter.
	clockWindow = 30 * time.Second
)

// clockOffset bounds by how much the clock of the other end of a connection is ahead of the own one.
type clockOffset struct {
	least, most time.Duration
	began       time.Duration // of the first reading, on the own clock
	readAt      time.Duration // of the latest reading, on the own clock
}

// newClockOffset returns the bounds from one reading of the other clock, by a request that was sent and
// whose response was received at times of the own clock.
func newClockOffset(reading, sentAt, receivedAt time.Duration) clockOffset {
	return clockOffset{least: reading - receivedAt, most: reading - sentAt, began: sentAt, readAt: receivedAt}
}

// combine returns the bounds from this and a later reading. If they contradict each other, one of the clocks
// has stood still, such as during a pause of a virtual machine, and the later one holds.
func (o clockOffset) combine(next clockOffset) clockOffset {
	if next.began-o.began > clockWindow || next.least > o.most || next.most < o.least {
		return next
	}
	next.least, next.most, next.began = max(o.least, next.least), min(o.most, next.most), o.began
	return next
}

// recordClock takes in a reading of the clock of the other end.
func (c *conn) recordClock(o clockOffset) {
	if before := c.offset.Load(); before != nil {
		o = before.combine(o)
	}
	c.offset.Store(&o)
}

// clockIsDue reports whether the clock of the other end is to be read again.
func (c *conn) clockIsDue() bool {
	o := c.offset.Load()
	return o != nil && c.stream.options.Clock()-o.readAt > clockInterval
}

// requestMeta is sent with each request on a connection whose other end's clock is known. SentAt is the
// latest time at which the call can have begun, by that clock.
type requestMeta struct {
	SentAt time.Duration `json:"sentAt"`
}

// meta returns the option that sends when a call began, by the own clock.
func (c *conn) meta(began time.Duration) []jsonrpc2.CallOption {
	o := c.offset.Load()
	if o == nil {
		return nil
	}
	return []jsonrpc2.CallOption{jsonrpc2.Meta(requestMeta{SentAt: began + o.most})}
}

type transitKey struct{}

// arrival tells how long a request was under way.
type arrival struct {
	sentAt time.Duration
	clock  func() time.Duration
}

// withArrival returns the context of the handler of a request.
func withArrival(ctx context.Context, req *jsonrpc2.Request, clock func() time.Duration) (context.Context, error) {
	if req.Meta == nil {
		return ctx, nil // the other end has not read the clock
	}
	var m requestMeta
	if err := json.Unmarshal(*req.Meta, &m); err != nil {
		return ctx, eris.Wrap(err, "decode meta")
	}
	return context.WithValue(ctx, transitKey{}, arrival{sentAt: m.SentAt, clock: clock}), nil
}

// Transit returns how long ago the call of a request began, given the context of its handler. A pause
// of either process counts. It is too short by at most Options.ProbeTimeout, and not too long. It returns false if
// the other end did not say.
func Transit(ctx context.Context) (time.Duration, bool) {
	a, ok := ctx.Value(transitKey{}).(arrival)
	if !ok {
		return 0, false
	}
	return max(a.clock()-a.sentAt, 0), true
}

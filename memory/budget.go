// Package memory bounds the memory and the connections that callers can make a process hold. It counts the
// bytes of requests that are being received, and closes connections in favour of others when there is no
// room. It does no input or output itself.
package memory

import (
	"sync"
	"sync/atomic"
	"time"
)

// Reasons for which a connection is closed.
const (
	ClosedForConnection = "connection" // in favour of a new connection
	ClosedForBytes      = "bytes"      // in favour of the bytes of another request
	RefusedConnection   = "refused"    // a new connection for which none gives way
)

// Observer records metrics. Held records what is in use, and Closed a connection that was closed for one
// of the reasons. Both are called with locks held and must not call back.
type Observer interface {
	Held(bytes int64, connections int)
	Closed(reason string)
}

// Budget is the memory for the requests of all callers. It is safe for concurrent use.
type Budget struct {
	limits   Limits
	observer Observer

	mu       sync.Mutex
	released *sync.Cond // signals that bytes were released or an account was evicted
	held     int64
	closing  int64      // of held, bytes of evicted accounts that are not closed yet
	open     []*Account // not evicted
	claims   []Claim    // buffer for decisions
}

// NewBudget returns a budget of which nothing is in use.
func NewBudget(l Limits, o Observer) *Budget {
	b := &Budget{limits: l, observer: o}
	b.released = sync.NewCond(&b.mu)
	return b
}

// Limits returns the limits of the budget.
func (b *Budget) Limits() Limits { return b.limits }

// Account is the part of one connection in the budget. Its phase is changed by the goroutine that serves
// the connection, and by an eviction.
type Account struct {
	budget *Budget
	evict  func()

	phase  atomic.Int32
	since  atomic.Int64 // begin of the phase, Unix nanoseconds
	served atomic.Bool

	bytes int64 // guarded by budget.mu
	index int   // in budget.open, -1 if it is in there no longer; guarded by budget.mu
}

// Open returns the account of a new connection, or nil if there is no place. To get one, it may evict
// another connection. evict closes the connection; it is called at most once, from any goroutine, and
// must not call back.
func (b *Budget) Open(evict func()) *Account {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.open) >= b.limits.Connections {
		worst := WorstConnection(b.listClaims(), now)
		if worst < 0 {
			b.observer.Closed(RefusedConnection)
			return nil
		}
		b.evict(b.open[worst], ClosedForConnection)
	}
	a := &Account{budget: b, evict: evict, index: len(b.open)}
	a.since.Store(now.UnixNano())
	b.open = append(b.open, a)
	b.observe()
	return a
}

// listClaims describes the open accounts. The result is valid until the next call.
func (b *Budget) listClaims() []Claim {
	b.claims = b.claims[:0]
	for _, a := range b.open {
		b.claims = append(b.claims, Claim{
			Phase: Phase(a.phase.Load()), Since: time.Unix(0, a.since.Load()), Served: a.served.Load(), Bytes: a.bytes,
		})
	}
	return b.claims
}

// evict closes a connection unless its phase has changed to Serving since the decision. Its bytes stay in
// use until its goroutine closes the account.
func (b *Budget) evict(a *Account, reason string) {
	seen := Phase(a.phase.Load())
	if seen == Serving || !a.phase.CompareAndSwap(int32(seen), int32(Evicted)) {
		return
	}
	b.remove(a)
	b.closing += a.bytes
	b.observer.Closed(reason)
	a.evict()
	b.released.Broadcast() // the account may itself be waiting for bytes
}

func (b *Budget) remove(a *Account) {
	if a.index < 0 {
		return
	}
	last := len(b.open) - 1
	b.open[a.index] = b.open[last]
	b.open[a.index].index = a.index
	b.open[last] = nil
	b.open = b.open[:last]
	a.index = -1
}

func (b *Budget) observe() { b.observer.Held(b.held, len(b.open)) }

// Grow reserves bytes for a connection. If there is no room, it evicts connections with incomplete
// requests and waits until they have released theirs. It returns an *Error of KindFull if that does not
// help, or of KindEvicted if the connection itself was evicted.
func (a *Account) Grow(n int64) error {
	const op = "reserve bytes"
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case a.Phase() == Evicted:
			return &Error{Op: op, Kind: KindEvicted}
		case n > b.limits.Bytes:
			return &Error{Op: op, Kind: KindFull}
		case b.held+n <= b.limits.Bytes:
			a.bytes += n
			b.held += n
			b.observe()
			return nil
		}
		if b.held-b.closing+n <= b.limits.Bytes {
			b.released.Wait()
			continue
		}
		worst := WorstRequest(b.listClaims())
		if worst < 0 || b.open[worst] == a {
			return &Error{Op: op, Kind: KindFull}
		}
		b.evict(b.open[worst], ClosedForBytes)
	}
}

// Shrink releases bytes.
func (a *Account) Shrink(n int64) {
	if n == 0 {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(a, n)
}

// Close releases the connection's place and all of its bytes. It may be called more than once.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(a)
	b.release(a, a.bytes)
}

// release releases bytes of an account. The caller holds mu.
func (b *Budget) release(a *Account, n int64) {
	a.bytes -= n
	b.held -= n
	if a.Phase() == Evicted {
		b.closing -= n
	}
	b.observe()
	b.released.Broadcast()
}

// Phase returns the phase of the connection.
func (a *Account) Phase() Phase { return Phase(a.phase.Load()) }

// Change changes the phase of the connection from one to another, and reports whether it was in the first
// one. It never is if the connection was evicted.
func (a *Account) Change(from, to Phase) bool {
	if a.Phase() != from {
		return false
	}
	if to != Serving {
		a.since.Store(time.Now().UnixNano()) // first, so that the new phase is never taken for an old one
	}
	if !a.phase.CompareAndSwap(int32(from), int32(to)) {
		return false
	}
	if to == Idle {
		a.served.Store(true)
	}
	return true
}

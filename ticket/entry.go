package ticket

import (
	"context"
	"sync"
	"time"
	"unsafe"

	"foxtailmux/model"
)

// Entry is an id on which a job was submitted: the job is open, or its answer is
// kept.
type Entry struct {
	store     *Store
	id        ID
	digest    string // of the job; if empty, every submission may join
	transient bool   // of a job without a ticket: removed as soon as it has its answer

	mu       sync.Mutex
	answer   *model.Answer
	expires  time.Time     // zero while the job is open
	done     chan struct{} // made by the first call of Wait, closed with the answer
	cancel   func()
	canceled bool
}

// ID returns the id of the entry's job.
func (e *Entry) ID() string { return e.id.String() }

// Finish sets the answer of the job and passes it to all callers of Wait. If
// nothing of the job ran and it was not cancelled, the id becomes unused again, so
// that a later submission can start the job. Otherwise the answer is kept for later
// submissions. Finish returns false and changes nothing if the entry has an answer
// already.
func (e *Entry) Finish(answer model.Answer) bool {
	limits := e.store.limits()
	e.store.mu.Lock()
	defer e.store.mu.Unlock()

	if !e.setAnswer(answer) {
		return false
	}
	e.store.recordAnswer(e, limits)
	return true
}

// setAnswer sets the answer unless there is one, and reports whether it did.
func (e *Entry) setAnswer(answer model.Answer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.answer != nil {
		return false
	}
	e.answer = &answer
	e.cancel = nil
	if e.done != nil {
		close(e.done)
	}
	return true
}

// Wait returns the answer as soon as there is one, or the context's error if the
// context ends first.
func (e *Entry) Wait(ctx context.Context) (model.Answer, error) {
	e.mu.Lock()
	if e.answer != nil {
		defer e.mu.Unlock()
		return *e.answer, nil
	}
	if e.done == nil {
		e.done = make(chan struct{})
	}
	done := e.done
	e.mu.Unlock()

	select {
	case <-done:
		return *e.status().Answer, nil
	case <-ctx.Done():
		return model.Answer{}, ctx.Err()
	}
}

// OnCancel sets the function that stops the job when it is cancelled. It calls the
// function at once if the job was cancelled already.
func (e *Entry) OnCancel(cancel func()) {
	e.mu.Lock()
	canceled := e.canceled
	if e.answer == nil {
		e.cancel = cancel
	}
	e.mu.Unlock()

	if canceled {
		cancel()
	}
}

// markCanceled records that the job was cancelled and returns the function that
// stops it, or nil if there is none.
func (e *Entry) markCanceled() (cancel func()) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.canceled = true
	return e.cancel
}

// entryOverheadBytes is the approximate memory of an entry and its answer, without
// the results of the tasks and the reason of a failure.
const entryOverheadBytes = 512

// memoryBytes returns the approximate memory of an answered entry.
func (e *Entry) memoryBytes() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	n := entryOverheadBytes
	for _, task := range e.answer.Tasks {
		n += cap(task) + int(unsafe.Sizeof(task))
	}
	if e.answer.Error != nil {
		n += len(e.answer.Error.Reason)
	}
	return int64(n)
}

// reusable reports whether the id of an answered entry becomes unused again,
// because nothing of its job ran and nobody cancelled it.
func (e *Entry) reusable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.answer.Ran == model.RanNo && !e.canceled
}

func (e *Entry) status() model.JobStatus {
	e.mu.Lock()
	defer e.mu.Unlock()

	return model.JobStatus{JobID: e.ID(), Open: e.answer == nil, Answer: e.answer}
}

// expiresAt returns when the answer expires, the zero time while the job is open.
func (e *Entry) expiresAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.expires
}

func (e *Entry) setExpires(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.expires = at
}

func (e *Entry) expired(now time.Time) bool {
	expires := e.expiresAt()
	return !expires.IsZero() && !now.Before(expires)
}

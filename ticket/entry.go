package ticket

import (
	"context"
	"sync"
	"time"
	"unsafe"

	"foxtailmux/model"
)

// Entry is a job in progress or answered.
type Entry struct {
	store     *Store
	id        ID
	digest    string // empty accepts every job
	transient bool   // forgotten with its answer

	mu       sync.Mutex
	answer   *model.Answer
	expires  time.Time     // zero while the job is open
	done     chan struct{} // made by the first waiter
	cancel   func()
	canceled bool
}

// ID returns the id of the entry's job.
func (e *Entry) ID() string { return e.id.String() }

// Finish gives the answer to all who wait. Unless it says that nothing ran,
// it is kept for those who ask later; else the id is unused again. An id that
// was cancelled keeps either. Finish reports false, and changes nothing, if
// the entry had an answer before.
func (e *Entry) Finish(answer model.Answer) bool {
	limits := e.store.limits()
	e.store.mu.Lock()
	defer e.store.mu.Unlock()

	if !e.settle(answer) {
		return false
	}
	e.store.finished(e, limits)
	return true
}

func (e *Entry) settle(answer model.Answer) bool {
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

// Wait returns the answer when there is one, or the context's error.
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

// OnCancel sets what stops the job. It is called at once if the job was
// cancelled already.
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

// markCanceled returns what stops the job, which may be nil.
func (e *Entry) markCanceled() (cancel func()) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.canceled = true
	return e.cancel
}

// entryBytes is about the memory of an entry and its answer without the
// answer's texts.
const entryBytes = 512

// bytes returns about the memory that an answered entry takes up.
func (e *Entry) bytes() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	n := entryBytes
	for _, task := range e.answer.Tasks {
		n += cap(task) + int(unsafe.Sizeof(task))
	}
	if e.answer.Error != nil {
		n += len(e.answer.Error.Reason)
	}
	return int64(n)
}

// reusable reports whether the answer leaves the id to a later submission.
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

// expiresAt returns the zero time while the entry is open.
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

// Package pause notices that the process did not run for a while. What it was
// asked before may have been answered by others since, so contexts that are
// guarded by a Watch end then.
package pause

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// period is the time between two looks at the clock.
	period = 200 * time.Millisecond

	// threshold is the shortest gap between two looks that counts as a pause.
	threshold = time.Second
)

// ErrPaused is the cause of a context that ended because of a pause.
var ErrPaused = eris.New("the process was paused")

// Detector looks at the clock and ends the contexts that it guards after a pause.
type Detector struct {
	mu     sync.Mutex
	seenAt time.Time
	wokeAt time.Time // when the last pause was noticed
	guards map[*guard]struct{}
}

// guard is one context that ends with a pause.
type guard struct {
	cancel context.CancelCauseFunc
}

// NewDetector returns a detector whose Run is still to be called.
func NewDetector() *Detector {
	return &Detector{seenAt: time.Now(), guards: map[*guard]struct{}{}}
}

// Run looks at the clock until the context ends.
func (w *Detector) Run(ctx context.Context) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		w.look()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

type watchKey struct{}

// Guard returns a context that ends with the parent, with the function, or
// with a pause of the process. Contexts derived from it end too.
func (w *Detector) Guard(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.WithValue(parent, watchKey{}, w))
	gd := &guard{cancel: cancel}

	w.look()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.guards[gd] = struct{}{}
	return ctx, func() { w.release(gd) }
}

func (w *Detector) release(gd *guard) {
	gd.cancel(context.Canceled)

	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.guards, gd)
}

// look ends the guarded contexts if the last look was too long ago. Whoever
// looks first after a pause ends them before it goes on.
func (w *Detector) look() {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := time.Now()
	gap := now.Sub(w.seenAt)
	w.seenAt = now
	if gap < threshold {
		return
	}
	w.wokeAt = now
	for gd := range w.guards {
		gd.cancel(eris.Wrapf(ErrPaused, "for %v", gap.Round(time.Millisecond)))
		delete(w.guards, gd)
	}
}

// PausedWithin reports whether a pause was noticed within the window before now.
func (w *Detector) PausedWithin(window time.Duration) bool {
	w.look()
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.wokeAt.IsZero() && time.Since(w.wokeAt) < window
}

// Check returns why the context has ended, or nil. It looks at the clock
// itself, since after a pause no timer and no other goroutine may have run
// yet. A context that no Watch guards ends by its deadline only.
func Check(ctx context.Context) error {
	if w, ok := ctx.Value(watchKey{}).(*Detector); ok {
		w.look()
	}
	deadline, ok := ctx.Deadline()
	if ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}

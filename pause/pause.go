// Package pause detects that the process was not scheduled for a while, such as during a
// suspension of the machine. Other instances may have taken over its work in the meantime,
// so contexts that are guarded by a Detector end after a pause.
package pause

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// checkInterval is the time between two checks of the clock.
	checkInterval = 200 * time.Millisecond

	// minPause is the shortest gap between two checks that counts as a pause.
	minPause = time.Second
)

// ErrPaused is the cause of a context that ended because of a pause.
var ErrPaused = eris.New("the process was paused")

// Pause is a time during which the process did not run. The zero value stands for none.
type Pause struct {
	Length    time.Duration
	Suspended time.Duration // part of Length during which the machine was suspended
	EndedAt   time.Time     // when the pause was detected, right after its end
}

// Detector checks the clock periodically and ends the contexts that it guards after a pause.
type Detector struct {
	suspendedTime func() time.Duration // since the machine booted

	mu          sync.Mutex
	checkedAt   time.Time
	suspendedAt time.Duration // value of suspendedTime at checkedAt
	last        Pause
	guards      map[*guard]struct{}
}

// guard is a context that ends after a pause.
type guard struct {
	cancel context.CancelCauseFunc
}

// NewDetector returns a detector whose periodic checks start with Run.
func NewDetector() *Detector { return newDetector(suspendedTime) }

func newDetector(suspendedTime func() time.Duration) *Detector {
	return &Detector{
		suspendedTime: suspendedTime, checkedAt: time.Now(), suspendedAt: suspendedTime(), guards: map[*guard]struct{}{},
	}
}

// Run checks the clock periodically until the context ends.
func (d *Detector) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		d.checkClock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

type detectorKey struct{}

// Guard returns a context that ends with its parent, when the returned function is called,
// or after a pause of the process. Contexts derived from it end too.
func (d *Detector) Guard(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.WithValue(parent, detectorKey{}, d))
	gd := &guard{cancel: cancel}

	d.checkClock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.guards[gd] = struct{}{}
	return ctx, func() { d.release(gd) }
}

func (d *Detector) release(gd *guard) {
	gd.cancel(context.Canceled)

	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.guards, gd)
}

// checkClock ends the guarded contexts if the last check was too long ago. Every function
// that depends on pauses calls it first, so that the contexts have ended before it goes on.
func (d *Detector) checkClock() {
	d.mu.Lock()
	defer d.mu.Unlock()

	now, suspended := time.Now(), d.suspendedTime()
	p := Pause{Suspended: max(suspended-d.suspendedAt, 0), EndedAt: now}
	p.Length = now.Sub(d.checkedAt) + p.Suspended
	d.checkedAt, d.suspendedAt = now, suspended
	if p.Length < minPause {
		return
	}
	d.last = p
	for gd := range d.guards {
		gd.cancel(eris.Wrapf(ErrPaused, "for %v", p.Length.Round(time.Millisecond)))
		delete(d.guards, gd)
	}
}

// PausedWithin reports whether a pause was detected within the window before now.
func (d *Detector) PausedWithin(window time.Duration) bool {
	p := d.Last()
	return p.Length > 0 && time.Since(p.EndedAt) < window
}

// Last returns the latest pause.
func (d *Detector) Last() Pause {
	d.checkClock()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last
}

// Check returns why the context has ended, or nil. It checks the clock itself, since right
// after a pause the timers and the goroutine of Run may not have run yet. A context that no
// Detector guards ends by its deadline only.
func Check(ctx context.Context) error {
	if d, ok := ctx.Value(detectorKey{}).(*Detector); ok {
		d.checkClock()
	}
	deadline, ok := ctx.Deadline()
	if ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}

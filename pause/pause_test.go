package pause

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestGuardedContextsEndWithAPause(t *testing.T) {
	for name, c := range map[string]struct {
		looks int // at a distance of gap
		gap   time.Duration
		ended bool
	}{
		"looks in time":         {looks: 20, gap: threshold - time.Millisecond},
		"a pause":               {looks: 1, gap: threshold, ended: true},
		"a pause after a while": {looks: 2, gap: 2 * threshold, ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewDetector()
				guarded, cancel := w.Guard(t.Context())
				defer cancel()
				derived, cancelDerived := context.WithTimeout(guarded, time.Hour)
				defer cancelDerived()

				var err error
				for range c.looks {
					time.Sleep(c.gap)
					err = Check(derived)
				}
				if diff := cmp.Diff(c.ended, err != nil); diff != "" {
					t.Errorf("ended (-want +got):\n%s", diff)
				}
				if c.ended && !errors.Is(context.Cause(derived), ErrPaused) {
					t.Errorf("cause is %v", context.Cause(derived))
				}

				if diff := cmp.Diff(c.ended, w.PausedWithin(time.Second)); diff != "" {
					t.Errorf("recent pause (-want +got):\n%s", diff)
				}
				fresh, cancelFresh := w.Guard(t.Context())
				defer cancelFresh()
				if err := Check(fresh); err != nil {
					t.Errorf("a context guarded after the pause: %v", err)
				}
			})
		})
	}
}

func TestRunningWatchSeesNoPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewDetector()
		running, stop := context.WithCancel(t.Context())
		go w.Run(running)
		guarded, cancel := w.Guard(t.Context())
		defer cancel()

		time.Sleep(time.Minute)
		if err := Check(guarded); err != nil || w.PausedWithin(time.Hour) {
			t.Errorf("a pause was seen: %v", err)
		}
		stop()
	})
}

func TestCheckSeesADeadlineByTheClock(t *testing.T) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	if err := Check(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}

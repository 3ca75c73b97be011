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
		checks int // number of checks, with the gap between them
		gap    time.Duration
		ended  bool
	}{
		"checks in time":        {checks: 20, gap: minPause - time.Millisecond},
		"a pause":               {checks: 1, gap: minPause, ended: true},
		"a pause after a while": {checks: 2, gap: 2 * minPause, ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := NewDetector()
				guarded, cancel := d.Guard(t.Context())
				defer cancel()
				derived, cancelDerived := context.WithTimeout(guarded, time.Hour)
				defer cancelDerived()

				var err error
				for range c.checks {
					time.Sleep(c.gap)
					err = Check(derived)
				}
				if diff := cmp.Diff(c.ended, err != nil); diff != "" {
					t.Errorf("ended (-want +got):\n%s", diff)
				}
				if c.ended && !errors.Is(context.Cause(derived), ErrPaused) {
					t.Errorf("cause is %v, want ErrPaused", context.Cause(derived))
				}

				if diff := cmp.Diff(c.ended, d.PausedWithin(time.Second)); diff != "" {
					t.Errorf("recent pause (-want +got):\n%s", diff)
				}
				fresh, cancelFresh := d.Guard(t.Context())
				defer cancelFresh()
				if err := Check(fresh); err != nil {
					t.Errorf("a context guarded after the pause: %v", err)
				}
			})
		})
	}
}

func TestRunningDetectorSeesNoPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDetector()
		running, stop := context.WithCancel(t.Context())
		go d.Run(running)
		guarded, cancel := d.Guard(t.Context())
		defer cancel()

		time.Sleep(time.Minute)
		if err := Check(guarded); err != nil || d.PausedWithin(time.Hour) {
			t.Errorf("a pause was detected: %v", err)
		}
		stop()
	})
}

func TestCheckSeesADeadlineByTheClock(t *testing.T) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	if err := Check(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want context.DeadlineExceeded", err)
	}
}

// Guards against work on outdated beliefs after a suspension of the machine, which the monotonic
// clock does not count.
func TestSuspensionIsAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		d := newDetector(func() time.Duration { return suspended })
		guarded, cancel := d.Guard(t.Context())
		defer cancel()

		time.Sleep(100 * time.Millisecond)
		suspended = 4 * time.Second
		if err := Check(guarded); !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want context.Canceled", err)
		}
		want := Pause{Length: 4100 * time.Millisecond, Suspended: 4 * time.Second, EndedAt: time.Now()}
		if diff := cmp.Diff(want, d.Last()); diff != "" {
			t.Errorf("last pause (-want +got):\n%s", diff)
		}
	})
}

func TestTimeSinceBootRises(t *testing.T) {
	if a, b := SinceBoot(), SinceBoot(); a <= 0 || b < a {
		t.Fatal(a, b)
	}
}

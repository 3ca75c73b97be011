package peer

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/pause"
)

// testClock is a clock that is set by hand.
type testClock struct{ now atomic.Int64 }

func (c *testClock) read() time.Duration { return time.Duration(c.now.Load()) }

func (c *testClock) advance(d time.Duration) { c.now.Add(int64(d)) }

// aheadBy returns a clock that is ahead of this one.
func (c *testClock) aheadBy(d time.Duration) func() time.Duration {
	return func() time.Duration { return c.read() + d }
}

// transit is what a handler gets from Transit.
type transit struct {
	Took  time.Duration
	Known bool
}

// transitHandler returns a handler that returns the transit of its request, delayed by a time.
func transitHandler(delay func()) Handler {
	return func(ctx context.Context, _ json.RawMessage) (any, error) {
		delay()
		took, ok := Transit(ctx)
		return transit{took, ok}, nil
	}
}

// Guards against a request that is taken for new although it was held up: its transit is known from the
// first one on, whatever the clocks of the two instances show.
func TestTransitIsKnownFromTheFirstRequestOn(t *testing.T) {
	for name, ahead := range map[string]time.Duration{"sender ahead": 7 * time.Hour, "sender behind": -7 * time.Hour, "equal": 0} {
		t.Run(name, func(t *testing.T) {
			clock := &testClock{}
			clock.advance(24 * time.Hour)
			sender, receiver := optionsFor("a"), optionsFor("b")
			sender.Clock, receiver.Clock = clock.aheadBy(ahead), clock.read
			a, b := startGroup(t, sender), startGroup(t, receiver)
			b.Handle("at once", transitHandler(func() {}))
			b.Handle("held up", transitHandler(func() { clock.advance(3 * time.Second) }))
			a.SetPeer("b", b.Addr())
			var got []transit
			for _, method := range []string{"at once", "held up", "at once"} {
				var tr transit
				if err := call(t, a, "b", method, nil, &tr); err != nil {
					t.Fatal(err)
				}
				got = append(got, tr)
			}
			if diff := cmp.Diff([]transit{{0, true}, {3 * time.Second, true}, {0, true}}, got); diff != "" {
				t.Errorf("transit (-want +got):\n%s", diff)
			}
		})
	}
}

// A request of an instance that can't read the clock has no transit.
func TestTransitIsUnknownWithoutAClock(t *testing.T) {
	receiver := optionsFor("b")
	receiver.Clock = func() time.Duration { return 0 }
	a, b := startGroup(t, optionsFor("a")), startGroup(t, receiver)
	b.Handle("run", transitHandler(func() {}))
	a.SetPeer("b", b.Addr())
	var got transit
	if err := call(t, a, "b", "run", nil, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(transit{}, got); diff != "" {
		t.Errorf("transit (-want +got):\n%s", diff)
	}
}

// Guards against requests that are refused as late for long: the clock of the sender stood still with its
// machine, so that its requests look as if they had been under way for that time.
func TestClockThatJumpedMakesNoRequestLateForLong(t *testing.T) {
	const (
		jump  = 4 * time.Second
		small = 100 * time.Millisecond
	)
	for name, senderStood := range map[string]bool{"sender stood still": true, "receiver stood still": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ahead testClock // how far the clock that goes on has got ahead
			sender, receiver := optionsFor("a"), optionsFor("b")
			goesOn, want := &sender.Clock, time.Duration(0)
			if senderStood {
				goesOn, want = &receiver.Clock, jump
			}
			*goesOn = func() time.Duration { return pause.SinceBoot() + ahead.read() }
			a, b := startGroup(t, sender), startGroup(t, receiver)
			b.Handle("run", transitHandler(func() {}))
			a.SetPeer("b", b.Addr())
			measure := func() time.Duration {
				var tr transit
				if err := call(t, a, "b", "run", nil, &tr); err != nil {
					t.Fatal(err)
				}
				if !tr.Known {
					t.Fatal("transit is unknown")
				}
				return tr.Took
			}
			if got := measure(); got > small {
				t.Fatalf("transit %v before the jump", got)
			}
			ahead.advance(jump)
			if got := measure(); got < want-small || got > want+small {
				t.Fatalf("transit %v after the jump, want %v", got, want)
			}
			for began := time.Now(); time.Since(began) < clockInterval+time.Second; time.Sleep(20 * time.Millisecond) {
				measure()
			}
			if got := measure(); got > small {
				t.Errorf("transit %v long after the jump", got)
			}
			c := a.link("b").current.Load()
			if o := c.offset.Load(); o.most-o.least > small {
				t.Errorf("offset between %v and %v", o.least, o.most)
			}
		})
	}
}

// A reading that spans a suspension bounds nothing: its connection is not used.
func TestReadingOfTheClockThatTookTooLongIsNotUsed(t *testing.T) {
	var reads atomic.Int32
	sender := optionsFor("a")
	sender.Clock = func() time.Duration {
		if reads.Add(1) <= 2 { // at the begin of the call and of its ping
			return time.Hour
		}
		return time.Hour + 4*time.Second
	}
	a, b := startGroup(t, sender), startGroup(t, optionsFor("b"))
	b.Handle("run", transitHandler(func() {}))
	a.SetPeer("b", b.Addr())
	if err := call(t, a, "b", "run", nil, nil); err == nil {
		t.Error("the first call was sent")
	}
	time.Sleep(2 * defaultMinBackoff)
	if err := call(t, a, "b", "run", nil, nil); err != nil {
		t.Error(err)
	}
}

// The bounds hold whichever way is slow, and stay close while clocks differ in their rate.
func TestClockOffset(t *testing.T) {
	const ahead = 7 * time.Hour
	type reading struct{ sent, there, back time.Duration }
	combine := func(readings ...reading) [2]time.Duration {
		var o clockOffset
		for i, r := range readings {
			next := newClockOffset(r.sent+r.there+ahead, r.sent, r.sent+r.there+r.back)
			if o = o.combine(next); i == 0 {
				o = next
			}
		}
		return [2]time.Duration{o.least - ahead, o.most - ahead}
	}
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		readings []reading
		want     [2]time.Duration
	}{
		"one":                          {[]reading{{0, 3 * ms, 2 * ms}}, [2]time.Duration{-2 * ms, 3 * ms}},
		"slow there":                   {[]reading{{0, 3 * ms, 2 * ms}, {time.Second, 400 * ms, 1 * ms}}, [2]time.Duration{-1 * ms, 3 * ms}},
		"slow back":                    {[]reading{{0, 300 * ms, 2 * ms}, {time.Second, 2 * ms, 400 * ms}}, [2]time.Duration{-2 * ms, 2 * ms}},
		"the path has become slower":   {[]reading{{0, 3 * ms, 2 * ms}, {clockWindow + ms, 9 * ms, 8 * ms}}, [2]time.Duration{-8 * ms, 9 * ms}},
		"all readings were slow there": {[]reading{{0, 400 * ms, 2 * ms}, {time.Second, 450 * ms, 2 * ms}}, [2]time.Duration{-2 * ms, 400 * ms}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, combine(c.readings...)); diff != "" {
				t.Errorf("bounds less the true offset (-want +got):\n%s", diff)
			}
		})
	}
	for name, rate := range map[string]float64{"fast": 1.001, "slow": 0.999} {
		var o clockOffset
		for at := time.Duration(0); at < time.Hour; at += clockInterval {
			own := time.Duration(float64(at) * rate)
			next := newClockOffset(at+ms, own, own+2*ms)
			if o = o.combine(next); at == 0 {
				o = next
			}
			if off := o.most - (at - own); off < -40*ms || off > 40*ms {
				t.Fatalf("%s: the bound is off by %v after %v", name, off, at)
			}
		}
	}
}

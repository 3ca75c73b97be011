package fleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against two homes of a data centre whose link flaps: a check that succeeded while the link was back counted
// when the next cut was noticed, and an instance elsewhere claimed the home during that cut.
func TestDataCentreIsReachableByRecentChecksInARowOnly(t *testing.T) {
	const review = maintainInterval
	type phase struct {
		length    time.Duration
		suspected bool // the home is suspected, so that the data centre is checked
		linkUp    bool
		want      time.Duration // for which the data centre counts as reachable
	}
	const cutNoticed = 1050 * time.Millisecond
	cases := map[string][]phase{
		"instances lost": {{2 * time.Second, true, true, 1200 * time.Millisecond}},
		"cut off":        {{2 * time.Second, true, false, 0}},
		"link flaps": {
			{time.Second, true, false, 0},           // first cut
			{300 * time.Millisecond, true, true, 0}, // until heartbeats arrive
			{cutNoticed, false, false, 0},           // second cut, not noticed yet
			{4 * time.Second, true, false, 0},
		},
		"link flaps for longer": {
			{time.Second, true, false, 0},
			{600 * time.Millisecond, true, true, 0},
			{cutNoticed, false, false, 0},
			{4 * time.Second, true, false, 0},
		},
		"cut off after its instances were lost": {
			{time.Second, true, true, 200 * time.Millisecond}, {4 * time.Second, true, false, maxCheckAge},
		},
		"suspected once more": {
			{2 * time.Second, true, true, 1200 * time.Millisecond},
			{time.Second, false, true, 0},
			{2 * time.Second, true, true, 1200 * time.Millisecond},
		},
	}
	for name, phases := range cases {
		r, now, busyUntil := reachability{}, time.Now(), time.Time{}
		for i, p := range phases {
			var got time.Duration
			for range p.length / review {
				now = now.Add(review)
				if r.checking && !now.Before(busyUntil) {
					r.end(now, p.linkUp)
				}
				if !p.suspected {
					continue
				}
				if r.begin(now) {
					if busyUntil = now; !p.linkUp {
						busyUntil = now.Add(maxDials * dialTimeout)
					}
				}
				if r.checking && !now.Before(busyUntil) {
					r.end(now, p.linkUp)
				}
				if r.holds(now) {
					got += review
				}
			}
			if got > p.want || got < p.want-2*review {
				t.Errorf("%s, phase %d: reachable for %v, want %v", name, i, got, p.want)
			}
		}
	}
	if diff := cmp.Diff(true, maxCheckAge < cutNoticed); diff != "" {
		t.Errorf("a check is over before the next cut is noticed (-want +got):\n%s", diff)
	}
}

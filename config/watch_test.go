package config

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// maxChangeDelay is how long a change may take from its commit until it is in
// force in every instance that reaches the store.
const maxChangeDelay = 9 * time.Second

func startWatcher(t *testing.T, o WatcherOptions) *Watcher {
	t.Helper()
	w := NewWatcher(o)
	if err := w.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return w
}

func stopWatcher(t *testing.T, w *Watcher) {
	t.Helper()
	if err := w.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	<-w.Done()
}

func currentNumber(w *Watcher) int64 {
	if v := w.Current(); v != nil {
		return v.Number
	}
	return 0
}

func mustHaveVersion(t *testing.T, w *Watcher, want int64) {
	t.Helper()
	if diff := cmp.Diff(want, currentNumber(w)); diff != "" {
		t.Error(diff, w.Status("a", "b").Error)
	}
}

func TestWatcherWaitsForAStoreThatIsDownAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		mustApply(t, s, 1)
		s.setFault(always(fault{down: true}))
		w := startWatcher(t, WatcherOptions{Store: s})
		defer stopWatcher(t, w)

		time.Sleep(time.Minute)
		if w.Ready() || w.Status("a", "b").Error == "" {
			t.Errorf("without a store: ready %t, status %+v, want not ready and an error", w.Ready(), w.Status("a", "b"))
		}
		s.setFault(nil)
		time.Sleep(maxChangeDelay)
		mustHaveVersion(t, w, 1)
	})
}

func TestWatcherKeepsItsVersionWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		mustApply(t, s, 1)
		w := startWatcher(t, WatcherOptions{Store: s})
		defer stopWatcher(t, w)
		synctest.Wait()

		for _, f := range []fault{{down: true}, {delay: time.Hour}} {
			s.setFault(always(f))
			time.Sleep(time.Hour)
			mustHaveVersion(t, w, 1)
			if status := w.Status("a", "b"); status.Error == "" || status.PolledMillis < (50*time.Minute).Milliseconds() {
				t.Errorf("an outage of an hour is not reported: %+v", status)
			}
		}
		s.setFault(nil)
		mustApply(t, s, 2)
		time.Sleep(maxChangeDelay)
		mustHaveVersion(t, w, 2)
	})
}

func TestWatcherNeverTakesALowerOrEqualNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		first := mustApply(t, s, 1)
		second := mustApply(t, s, 2)
		w := startWatcher(t, WatcherOptions{Store: s})
		defer stopWatcher(t, w)
		synctest.Wait()
		mustHaveVersion(t, w, 2)

		w.Offer(1, first.Digest)
		w.Offer(2, first.Digest)
		w.Offer(0, first.Digest)
		s.edit(func() { s.rows[HeadKey] = s.rows[historyKey(1)] })
		time.Sleep(time.Minute)
		mustHaveVersion(t, w, 2)
		if diff := cmp.Diff(second.Digest, w.Current().Digest); diff != "" {
			t.Error(diff)
		}
	})
}

func TestOfferIsTakenFromAPeerWhileTheStoreIsDown(t *testing.T) {
	for _, f := range []fault{{down: true}, {delay: time.Hour}} {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			s.setFault(always(f))
			doc := document(7)
			fetch := func(context.Context, int64, int64, string) (PeerVersion, error) { return peerVersionOf(7, doc), nil }
			w := startWatcher(t, WatcherOptions{Store: s, Fetch: fetch})
			defer stopWatcher(t, w)
			time.Sleep(time.Minute)

			w.Offer(7, doc.Digest())
			time.Sleep(2*attemptTimeout + pollTimeAllowance)
			mustHaveVersion(t, w, 7)
		})
	}
}

// pollTimeAllowance covers a poll that is in progress when an offer arrives.
const pollTimeAllowance = attemptTimeout

func TestOfferIsTakenBeforeTheNextPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		mustApply(t, s, 1)
		w := startWatcher(t, WatcherOptions{Store: s})
		defer stopWatcher(t, w)
		synctest.Wait()

		second := mustApply(t, s, 2)
		w.Offer(2, second.Digest)
		synctest.Wait()
		mustHaveVersion(t, w, 2)
	})
}

func TestCorruptObjectsAreRefusedReportedAndRetried(t *testing.T) {
	for _, corrupt := range [][]byte{nil, []byte("{}"), document(2).Canonical()[:100], document(3).Canonical()} {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			mustApply(t, s, 1)
			fetch := func(_ context.Context, _, _ int64, digest string) (PeerVersion, error) {
				return PeerVersion{Document: corrupt, Entries: []Entry{entryOf(2, digest, "")}}, nil
			}
			w := startWatcher(t, WatcherOptions{Store: s, Fetch: fetch})
			defer stopWatcher(t, w)
			synctest.Wait()

			entry := mustApply(t, s, 2)
			s.edit(func() { s.objects[objectName(entry.Digest)] = corrupt })
			w.Offer(2, entry.Digest)
			time.Sleep(time.Minute)
			mustHaveVersion(t, w, 1)
			if w.Status("a", "b").Error == "" {
				t.Error("a corrupt object is not reported")
			}

			s.edit(func() { s.objects[objectName(entry.Digest)] = document(2).Canonical() })
			time.Sleep(maxChangeDelay)
			mustHaveVersion(t, w, 2)
			if diff := cmp.Diff("", w.Status("a", "b").Error); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestDocumentThatThisProcessCannotServeIsRefusedAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		mustApply(t, s, 1)
		w := startWatcher(t, WatcherOptions{Store: s, Plugins: Plugins{Policies: []string{"other"}}})
		defer stopWatcher(t, w)
		time.Sleep(time.Minute)
		mustHaveVersion(t, w, 0)
		if w.Status("a", "b").Error == "" {
			t.Error("a document with an unknown plug-in is not reported")
		}
	})
}

// A newer release may write fields that are unknown to this one.
func TestDocumentWithAnUnknownFieldIsRefusedAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		mustApply(t, s, 1)
		w := startWatcher(t, WatcherOptions{Store: s})
		defer stopWatcher(t, w)
		synctest.Wait()

		newer := bytes.Replace(document(2).Canonical(), []byte(`"limits":{`), []byte(`"limits":{"colour":1,`), 1)
		h, err := readHead(t.Context(), s)
		if err != nil {
			t.Fatal(err)
		}
		s.objects[objectName(digestOf(newer))] = newer
		if _, err := commitEntry(t.Context(), s, h, nextEntry(h, digestOf(newer), "ana", "why")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		mustHaveVersion(t, w, 1)
		if text := w.Status("a", "b").Error; !strings.Contains(text, `unknown field "colour"`) {
			t.Error(text)
		}

		mustApply(t, s, 3)
		time.Sleep(maxChangeDelay)
		mustHaveVersion(t, w, 3)
	})
}

// The canonical encoding must not change, so that instances of the previous
// release accept documents from a newer one.
func TestCanonicalFormOfTheExampleIsThatOfEarlierReleases(t *testing.T) {
	const digest = "2daaa7270a163c47281533a3735a8c4c35424580ecb825a7b833ccc6549976df"
	if diff := cmp.Diff(digest, Example().Digest()); diff != "" {
		t.Error(diff)
	}
}

func TestUnavailableOffersDoNotDelayPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		mustApply(t, s, 1)
		fetch := func(ctx context.Context, _, _ int64, _ string) (PeerVersion, error) {
			<-ctx.Done()
			return PeerVersion{}, ctx.Err()
		}
		w := startWatcher(t, WatcherOptions{Store: s, Fetch: fetch})
		defer stopWatcher(t, w)
		synctest.Wait()

		for n := range int64(2 * maxOffers) {
			w.Offer(1000+n, document(1000+int(n)).Digest())
		}
		mustApply(t, s, 2)
		time.Sleep(maxChangeDelay)
		mustHaveVersion(t, w, 2)
	})
}

func TestUnavailableOfferDoesNotHideALowerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.setFault(always(fault{down: true}))
		doc := document(7)
		fetch := func(_ context.Context, _, number int64, _ string) (PeerVersion, error) {
			if number != 7 {
				return PeerVersion{}, eris.New("not here")
			}
			return peerVersionOf(7, doc), nil
		}
		w := startWatcher(t, WatcherOptions{Store: s, Fetch: fetch})
		defer stopWatcher(t, w)
		synctest.Wait()

		w.Offer(8, document(8).Digest())
		synctest.Wait()
		w.Offer(7, doc.Digest())
		time.Sleep(2 * retryDelay)
		mustHaveVersion(t, w, 7)
	})
}

func TestOffersAreBoundedAndDroppedAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.setFault(always(fault{down: true}))
		doc := document(7)
		fetch := func(_ context.Context, _, number int64, _ string) (PeerVersion, error) {
			if number != 7 {
				return PeerVersion{}, eris.New("not here")
			}
			return peerVersionOf(7, doc), nil
		}
		w := startWatcher(t, WatcherOptions{Store: s, Fetch: fetch})
		defer stopWatcher(t, w)
		for n := range int64(maxOffers) {
			w.Offer(1000+n, document(1000+int(n)).Digest())
		}
		w.Offer(7, doc.Digest())
		time.Sleep(time.Second)
		mustHaveVersion(t, w, 0)

		time.Sleep((maxOffers + 1) * maxOfferFailures * retryDelay)
		w.Offer(7, doc.Digest())
		time.Sleep(2 * retryDelay)
		mustHaveVersion(t, w, 7)
	})
}

func TestInstallRefusesAnOvertakenVersion(t *testing.T) {
	w := NewWatcher(WatcherOptions{})
	var r recorder
	w.Subscribe(r.add)
	for _, n := range []int64{2, 1, 2, 3} {
		w.install(&Version{Number: n}, nil, []Entry{{Number: n}})
	}
	if diff := cmp.Diff([]int64{2, 3}, r.numbers); diff != "" {
		t.Error(diff)
	}
}

func TestStopEndsAnUnansweredCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.setFault(always(fault{delay: time.Hour}))
		w := startWatcher(t, WatcherOptions{Store: s})
		synctest.Wait()
		stopWatcher(t, w)
		stopWatcher(t, NewWatcher(WatcherOptions{Store: s}))
	})
}

// recorder is a subscriber that records each version and when it came into force.
type recorder struct {
	mu      sync.Mutex
	numbers []int64
	times   []time.Time
}

func (r *recorder) add(v *Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.numbers = append(r.numbers, v.Number)
	r.times = append(r.times, time.Now())
}

func (r *recorder) mustIncrease(t *testing.T) {
	t.Helper()
	for i := 1; i < len(r.numbers); i++ {
		if r.numbers[i] <= r.numbers[i-1] {
			t.Fatalf("version %d after %d", r.numbers[i], r.numbers[i-1])
		}
	}
}

// inForceAt returns when the version or a later one came into force.
func (r *recorder) inForceAt(t *testing.T, number int64) time.Time {
	t.Helper()
	for i, n := range r.numbers {
		if n >= number {
			return r.times[i]
		}
	}
	t.Fatalf("version %d never came into force", number)
	return time.Time{}
}

func TestVersionsOnlyIncreaseUnderRacesFaultsAndOffers(t *testing.T) {
	seed, r := seededRandom(t)
	faults := newRandom(seed, 1)
	synctest.Test(t, func(t *testing.T) {
		const changes, watchers = 200, 4
		s := newFakeStore()
		entries := []Entry{mustApply(t, s, 0)}
		fetch := func(_ context.Context, after, number int64, digest string) (PeerVersion, error) {
			if number%3 == 0 {
				return PeerVersion{}, eris.New("not here")
			}
			return s.versionForPeer(after, number, digest)
		}
		all := make([]*Watcher, watchers)
		records := make([]recorder, watchers)
		for i := range all {
			all[i] = startWatcher(t, WatcherOptions{Store: s, Fetch: fetch})
			all[i].Subscribe(records[i].add)
		}

		for n := 1; n <= changes; n++ {
			s.setFault(nil)
			entries = append(entries, mustApply(t, s, n))
			s.setFault(func(string) fault {
				return fault{down: faults.IntN(3) == 0, delay: time.Duration(faults.IntN(3000)) * time.Millisecond, responseLost: faults.IntN(5) == 0}
			})
			var group conc.WaitGroup
			for range 5 {
				e := entries[r.IntN(len(entries))]
				w := all[r.IntN(watchers)]
				group.Go(func() { w.Offer(e.Number, e.Digest) })
			}
			group.Wait()
			time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		}
		s.setFault(nil)
		time.Sleep(maxChangeDelay)
		for i, w := range all {
			mustHaveVersion(t, w, changes+1)
			stopWatcher(t, w)
			records[i].mustIncrease(t)
		}
	})
}

func TestADayOfChangesIsInForceEverywhereInTime(t *testing.T) {
	seed, r := seededRandom(t)
	faults := newRandom(seed, 1)
	synctest.Test(t, func(t *testing.T) {
		const changes, watchers = 1100, 7
		s := newFakeStore()
		s.setFault(func(op string) fault {
			f := fault{delay: time.Duration(faults.IntN(200)) * time.Millisecond}
			f.responseLost = faults.IntN(50) == 0
			f.down = op == "get" && faults.IntN(50) == 0
			return f
		})
		all := make([]*Watcher, watchers)
		records := make([]recorder, watchers)
		for i := range all {
			all[i] = startWatcher(t, WatcherOptions{Store: s})
			all[i].Subscribe(records[i].add)
		}

		accepted := make([]time.Time, 0, changes)
		for n := range changes {
			applyUntilAccepted(t, s, n)
			accepted = append(accepted, time.Now())
			time.Sleep(time.Duration(r.IntN(4000)) * time.Millisecond)
		}
		time.Sleep(maxChangeDelay)

		var longest time.Duration
		for i, w := range all {
			stopWatcher(t, w)
			records[i].mustIncrease(t)
			for n, since := range accepted {
				took := records[i].inForceAt(t, int64(n+1)).Sub(since)
				longest = max(longest, took)
			}
		}
		t.Logf("%d changes at %d watchers, longest %v", changes, watchers, longest)
		if longest > maxChangeDelay {
			t.Errorf("a change took %v", longest)
		}
	})
}

// applyUntilAccepted applies a document, again if the store failed and nothing was
// changed.
func applyUntilAccepted(t *testing.T, s Store, n int) {
	t.Helper()
	for {
		_, err := Apply(t.Context(), s, document(n), "ana", "day")
		if err == nil {
			return
		}
		if KindOf(err) != KindStore {
			t.Fatal(err)
		}
	}
}

package config

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestOfferThatTheStoreDoesNotHaveIsRefusedAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		mustApply(t, s, 1)
		doc := document(9)
		fetch := func(context.Context, int64, int64, string) (PeerVersion, error) { return peerVersionOf(1000, doc), nil }
		w := startWatcher(t, WatcherOptions{Store: s, Fetch: fetch})
		defer stopWatcher(t, w)
		synctest.Wait()

		reads := 0
		s.setFault(func(string) fault { reads++; return fault{} })
		for range 100 {
			w.Offer(1000, doc.Digest())
			synctest.Wait()
		}
		mustHaveVersion(t, w, 1)
		if text := w.Status("a", "b").Error; !strings.Contains(text, "the store has version 1") {
			t.Error(text)
		}
		if reads > 2 {
			t.Errorf("a repeated wrong offer caused %d reads", reads)
		}
		s.setFault(nil)
		mustApply(t, s, 2)
		time.Sleep(maxChangeDelay)
		mustHaveVersion(t, w, 2)
	})
}

// While the store is down, a peer's version is accepted only if its entries
// continue the hash chain of the version in force.
func TestOfferWithoutStoreNeedsAnUnbrokenChain(t *testing.T) {
	doc := document(5)
	chainFrom := func(from Entry, digests ...string) []Entry {
		var entries []Entry
		for _, digest := range digests {
			from = entryOf(from.Number+1, digest, from.Hash)
			entries = append(entries, from)
		}
		return entries
	}
	between, last := document(4).Digest(), doc.Digest()
	tests := map[string]struct {
		entries func(inForce Entry) []Entry
		want    int64
	}{
		"the chain leads there": {func(e Entry) []Entry { return chainFrom(e, between, last) }, 3},
		"no entries":            {func(Entry) []Entry { return nil }, 1},
		"another chain":         {func(Entry) []Entry { return chainFrom(entryOf(1, between, ""), between, last) }, 1},
		"only the last entry":   {func(e Entry) []Entry { return chainFrom(e, between, last)[1:] }, 1},
		"a gap": {func(e Entry) []Entry {
			all := chainFrom(e, between, between, last)
			return []Entry{all[0], all[2]}
		}, 1},
		"a broken link": {func(e Entry) []Entry {
			return []Entry{entryOf(2, between, e.Hash), entryOf(3, last, "elsewhere")}
		}, 1},
		"a number too high": {func(e Entry) []Entry {
			all := chainFrom(e, last)
			all[0].Number = 3
			all[0].Hash = all[0].ComputeHash()
			return all
		}, 1},
		"an entry changed": {func(e Entry) []Entry {
			all := chainFrom(e, between, last)
			all[0].Who = "mallory"
			return all
		}, 1},
		"the entries of another version": {func(e Entry) []Entry { return chainFrom(e, between, between) }, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				inForce := mustApply(t, s, 1)
				fetch := func(context.Context, int64, int64, string) (PeerVersion, error) {
					return PeerVersion{Document: doc.Canonical(), Entries: test.entries(inForce)}, nil
				}
				w := startWatcher(t, WatcherOptions{Store: s, Fetch: fetch})
				defer stopWatcher(t, w)
				synctest.Wait()
				s.setFault(always(fault{down: true}))

				w.Offer(3, doc.Digest())
				time.Sleep(time.Minute)
				mustHaveVersion(t, w, test.want)
			})
		})
	}
}

// Three instances in a row, of which only the first reaches the store and each
// of the others fetches versions from the one before.
func TestVersionsPassFromPeerToPeerWithTheirChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		entry := mustApply(t, s, 0)
		away := newFakeStore()
		away.setFault(always(fault{down: true}))
		first := startWatcher(t, WatcherOptions{Store: s})
		defer stopWatcher(t, first)
		next := func(before *Watcher) *Watcher {
			w := startWatcher(t, WatcherOptions{Store: away, Fetch: func(_ context.Context, after, _ int64, digest string) (PeerVersion, error) {
				return before.VersionForPeer(after, digest)
			}})
			before.Subscribe(func(v *Version) { w.Offer(v.Number, v.Digest) })
			return w
		}
		second := next(first)
		defer stopWatcher(t, second)
		third := next(second)
		defer stopWatcher(t, third)
		time.Sleep(maxChangeDelay)
		mustHaveVersion(t, third, 1)

		// Several changes are committed between two polls.
		for n := 1; n <= 40; n++ {
			entry = mustApply(t, s, n)
			time.Sleep(time.Duration(n%7) * 200 * time.Millisecond)
		}
		time.Sleep(maxChangeDelay)
		for _, w := range []*Watcher{first, second, third} {
			mustHaveVersion(t, w, 41)
			if diff := cmp.Diff(entry, w.entryInForce()); diff != "" {
				t.Error(diff)
			}
		}
		if _, err := third.VersionForPeer(1, document(1).Digest()); KindOf(err) != KindNoVersion {
			t.Errorf("a version that is not in force was supplied: %v", err)
		}
	})
}

func TestChainIsBoundedAndBeginsAnewWithoutALink(t *testing.T) {
	var chain []Entry
	last := Entry{}
	for range maxChainEntries + 10 {
		last = entryOf(last.Number+1, "d", last.Hash)
		chain = extendChain(chain, []Entry{last})
	}
	if diff := cmp.Diff(maxChainEntries, len(chain)); diff != "" {
		t.Error(diff)
	}
	if err := checkChain(chain); err == nil {
		t.Error("entries with malformed digests pass")
	}
	far := entryOf(last.Number+2, "d", "elsewhere")
	if diff := cmp.Diff([]Entry{far}, extendChain(chain, []Entry{far})); diff != "" {
		t.Error(diff)
	}
}

func TestStoreThatLostVersionsIsReported(t *testing.T) {
	for name, want := range map[string]string{"older": "older than version 2", "other": "another version 2"} {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			mustApply(t, s, 1)
			old := s.rows[HeadKey]
			mustApply(t, s, 2)
			w := startWatcher(t, WatcherOptions{Store: s})
			defer stopWatcher(t, w)
			synctest.Wait()

			s.edit(func() { s.rows[HeadKey] = old })
			if name == "other" {
				delete(s.rows, historyKey(2))
				mustApply(t, s, 3)
			}
			time.Sleep(maxChangeDelay)
			mustHaveVersion(t, w, 2)
			if text := w.Status("a", "b").Error; !strings.Contains(text, want) {
				t.Errorf("%s: %q", name, text)
			}
		})
	}
}

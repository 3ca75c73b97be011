package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"
)

func TestApplyStatesWhatIsInForceAlready(t *testing.T) {
	s := newFakeStore()
	first := mustApply(t, s, 1)

	again, err := Apply(t.Context(), s, document(1), "bor", "again")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(ApplyResult{Unchanged: true, Entry: first}, again); diff != "" {
		t.Error(diff)
	}
}

func TestApplyOfWhatIsInForceMendsADamagedObject(t *testing.T) {
	s := newFakeStore()
	entry := mustApply(t, s, 1)
	s.objects[objectName(entry.Digest)] = []byte("half")
	if _, err := ReadNewest(t.Context(), s); KindOf(err) != KindCorrupt {
		t.Errorf("got %v", err)
	}

	mustApply(t, s, 1)
	version, err := ReadNewest(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Version{Number: 1, Digest: entry.Digest, Document: document(1).sorted()}, version); diff != "" {
		t.Error(diff)
	}
	mustHaveHistory(t, s, 1, entry)
}

func TestApplyOnAnotherVersionLoses(t *testing.T) {
	s := newFakeStore()
	if _, err := ApplyOnVersion(t.Context(), s, 1, document(1), "ana", "why"); KindOf(err) != KindNoVersion {
		t.Errorf("got %v", err)
	}
	if _, err := ApplyOnVersion(t.Context(), s, 0, document(1), "ana", "why"); err != nil {
		t.Fatal(err)
	}
	first := mustApply(t, s, 1)
	for _, on := range []int64{0, 2} {
		_, err := ApplyOnVersion(t.Context(), s, on, document(2), "ana", "why")
		var lost *Error
		if !errors.As(err, &lost) || lost.Kind != KindRaceLost {
			t.Fatalf("got %v", err)
		}
		if diff := cmp.Diff(&first, lost.Winner); diff != "" {
			t.Error(diff)
		}
	}
	mustHaveHistory(t, s, 1, first)
}

func TestApplyNeedsWhoWhyAndAValidDocument(t *testing.T) {
	s := newFakeStore()
	broken := document(1)
	broken.Retry.MaxAttempts = 0
	for _, err := range []error{
		applyError(t, s, document(1), "", "why"),
		applyError(t, s, document(1), "ana", " "),
		applyError(t, s, broken, "ana", "why"),
	} {
		if diff := cmp.Diff(KindInvalid, KindOf(err)); diff != "" {
			t.Error(diff, err)
		}
	}
	if diff := cmp.Diff(0, len(s.rows)); diff != "" {
		t.Error(diff)
	}
}

func applyError(t *testing.T, s Store, d Document, who, why string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := Apply(ctx, s, d, who, why)
	return err
}

func TestLostAnswersAreSettled(t *testing.T) {
	faults := map[string]func(string) fault{
		"commit took effect":  failNext("commit", fault{lost: true}),
		"commit never came":   failNext("commit", fault{dropped: true}),
		"object never came":   failNext("putObject", fault{dropped: true}),
		"commit comes late":   failNext("commit", fault{late: 3 * time.Second}),
		"commit races itself": failNext("commit", fault{late: minSettleBackoff}),
		"object was written":  failNext("putObject", fault{lost: true}),
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				mustApply(t, s, 1)
				s.setFault(f)
				entry := mustApply(t, s, 2)
				s.setFault(nil)
				time.Sleep(10 * time.Second)
				mustHaveHistory(t, s, 2, entry)
			})
		})
	}
}

func mustHaveHistory(t *testing.T, s *fakeStore, count int, last Entry) {
	t.Helper()
	history, err := History(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{}, history.Problems); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(count, len(history.Entries)); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(last, history.Entries[count-1]); diff != "" {
		t.Error(diff)
	}
}

// The change of the first operator takes effect, its answer is lost and two
// others follow before it can look.
func TestLostAnswerIsSettledAfterFurtherChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.setFault(failNext("commit", fault{lost: true}))
		var first ApplyResult
		var err error
		var group conc.WaitGroup
		group.Go(func() { first, err = Apply(t.Context(), s, document(1), "ana", "first") })
		synctest.Wait()
		mustApply(t, s, 2)
		mustApply(t, s, 3)
		group.Wait()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(int64(1), first.Entry.Number); diff != "" {
			t.Error(diff)
		}
	})
}

func TestUnsettledChangeSaysSoAndHowToFindOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		committing := false
		s.setFault(func(op string) fault {
			if op == "commit" && !committing {
				committing = true
				return fault{lost: true}
			}
			return fault{down: committing}
		})
		err := applyError(t, s, document(1), "ana", "why")
		if diff := cmp.Diff(KindUnknown, KindOf(err)); diff != "" {
			t.Fatal(diff, err)
		}

		s.setFault(nil)
		history, historyErr := History(t.Context(), s)
		if historyErr != nil {
			t.Fatal(historyErr)
		}
		if id := history.Entries[0].ChangeID; !strings.Contains(err.Error(), id) {
			t.Errorf("%v does not name the change %s", err, id)
		}
	})
}

func TestStoreDownChangesNothing(t *testing.T) {
	for _, op := range []string{"get", "putObject", "getObject", "commit"} {
		t.Run(op, func(t *testing.T) {
			s := newFakeStore()
			entry := mustApply(t, s, 1)
			s.setFault(failNext(op, fault{down: true}))
			err := applyError(t, s, document(2), "ana", "why")
			if diff := cmp.Diff(KindStore, KindOf(err)); diff != "" {
				t.Error(diff, err)
			}
			s.setFault(nil)
			mustHaveHistory(t, s, 1, entry)
		})
	}
}

func TestHalfWrittenObjectNeverBecomesAVersion(t *testing.T) {
	s := newFakeStore()
	entry := mustApply(t, s, 1)
	s.setFault(failNext("putObject", fault{half: true}))
	if err := applyError(t, s, document(2), "ana", "why"); KindOf(err) != KindStore {
		t.Errorf("got %v", err)
	}
	s.setFault(nil)
	mustHaveHistory(t, s, 1, entry)
}

func TestRacingOperatorsHaveOneWinnerAndLosersWhoKnowIt(t *testing.T) {
	seed, _ := seeded(t)
	const rounds = 100
	for _, operators := range []int{2, 5} {
		for round := range uint64(rounds) {
			r := randomOf(seed, round)
			synctest.Test(t, func(t *testing.T) { race(t, operators, r) })
		}
	}
}

func race(t *testing.T, operators int, r *rand.Rand) {
	s := newFakeStore()
	mustApply(t, s, 0)
	s.setFault(func(op string) fault {
		f := fault{delay: time.Duration(r.IntN(20)) * time.Millisecond}
		if op == "commit" && r.IntN(3) == 0 {
			f.lost = true
		}
		if op == "commit" && r.IntN(4) == 0 {
			f.late = time.Duration(1+r.IntN(500)) * time.Millisecond
		}
		return f
	})

	names := []string{"ana", "bor", "cene", "devi", "eva"}
	applied := make([]ApplyResult, operators)
	errs := make([]error, operators)
	ready := make(chan struct{})
	var group conc.WaitGroup
	for i := range operators {
		group.Go(func() {
			h, data := start(t, s, i)
			<-ready
			entry := nextEntry(h, digestOf(data), names[i], "because")
			applied[i], errs[i] = commitEntry(t.Context(), s, h, entry)
		})
	}
	synctest.Wait()
	time.Sleep(time.Second)
	close(ready)
	group.Wait()
	time.Sleep(time.Second)
	s.setFault(nil)

	history, err := History(t.Context(), s)
	if err != nil || !history.Verified {
		t.Fatal(err, history.Problems)
	}
	if diff := cmp.Diff(2, len(history.Entries)); diff != "" {
		t.Fatal(diff)
	}
	winner := history.Entries[1]
	for i, err := range errs {
		if names[i] == winner.Who {
			if diff := cmp.Diff(ApplyResult{Entry: winner}, applied[i]); err != nil || diff != "" {
				t.Error(err, diff)
			}
			continue
		}
		var lost *Error
		if !errors.As(err, &lost) || lost.Kind != KindRaceLost {
			t.Errorf("%s: %v", names[i], err)
			continue
		}
		if diff := cmp.Diff(&winner, lost.Winner); diff != "" {
			t.Error(diff)
		}
	}
}

// start carries an operator's change up to the commit, so that all of them
// build on the same version.
func start(t *testing.T, s Store, i int) (head, []byte) {
	h, err := readHead(t.Context(), s)
	if err != nil {
		t.Error(err)
	}
	data := document(1 + i).Canonical()
	if err := putVerified(t.Context(), s, digestOf(data), data); err != nil {
		t.Error(err)
	}
	return h, data
}

func TestHistoryShowsTampering(t *testing.T) {
	tampers := map[string]func(*testing.T, *fakeStore){
		"who changed": func(t *testing.T, s *fakeStore) {
			s.rewrite(t, historyKey(2), func(e *Entry) { e.Who = "mallory" })
		},
		"who changed with its hash": func(t *testing.T, s *fakeStore) {
			s.rewrite(t, historyKey(2), func(e *Entry) { e.Who = "mallory"; e.Hash = e.ComputeHash() })
		},
		"entry removed": func(_ *testing.T, s *fakeStore) { delete(s.rows, historyKey(2)) },
		"last removed":  func(_ *testing.T, s *fakeStore) { delete(s.rows, historyKey(3)) },
		"last changed with its hash": func(t *testing.T, s *fakeStore) {
			s.rewrite(t, historyKey(3), func(e *Entry) { e.Why = "other"; e.Hash = e.ComputeHash() })
		},
		"entry cut out and the chain mended": func(t *testing.T, s *fakeStore) {
			mend := func(e *Entry) { e.Previous = s.entry(t, historyKey(1)).Hash; e.Hash = e.ComputeHash() }
			delete(s.rows, historyKey(2))
			s.rewrite(t, historyKey(3), mend)
			s.rewrite(t, HeadKey, mend)
		},
		"head went back": func(_ *testing.T, s *fakeStore) {
			row := s.rows[HeadKey]
			row.Value = s.rows[historyKey(2)].Value
			s.rows[HeadKey] = row
			row = s.rows[historyKey(2)]
			row.Version = 2
			s.rows[historyKey(2)] = row
		},
	}
	for name, tamper := range tampers {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			for n := range 3 {
				mustApply(t, s, n)
			}
			tamper(t, s)
			history, err := History(t.Context(), s)
			if err != nil {
				t.Fatal(err)
			}
			if history.Verified {
				t.Error("verified")
			}
		})
	}
}

// The row of the number alone must not decide, in case it was removed.
func TestChangeOnAnOldHeadLosesEvenIfItsNumberIsFree(t *testing.T) {
	s := newFakeStore()
	mustApply(t, s, 1)
	old, err := readHead(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, s, 2)
	delete(s.rows, historyKey(2))

	_, err = commitEntry(t.Context(), s, old, nextEntry(old, document(3).Digest(), "ana", "why"))
	if diff := cmp.Diff(KindRaceLost, KindOf(err)); diff != "" {
		t.Error(diff, err)
	}
}

// A head that was set back must not let a change write over the history.
func TestChangeNeverWritesOverAnEntry(t *testing.T) {
	s := newFakeStore()
	mustApply(t, s, 1)
	second := mustApply(t, s, 2)
	s.rows[HeadKey] = s.rows[historyKey(1)]

	err := applyError(t, s, document(3), "ana", "why")
	var lost *Error
	if !errors.As(err, &lost) || lost.Kind != KindRaceLost {
		t.Fatalf("got %v", err)
	}
	if diff := cmp.Diff(&second, lost.Winner); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(second, s.entry(t, historyKey(2))); diff != "" {
		t.Error(diff)
	}
}

func TestHistoryReadsEveryPage(t *testing.T) {
	s := newFakeStore()
	var last Entry
	for n := range historyPage + 5 {
		last = mustApply(t, s, n)
	}
	mustHaveHistory(t, s, historyPage+5, last)
}

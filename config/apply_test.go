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

func TestApplyReportsDocumentAlreadyInForce(t *testing.T) {
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

func TestApplyOfVersionInForceRepairsDamagedObject(t *testing.T) {
	s := newFakeStore()
	entry := mustApply(t, s, 1)
	s.objects[objectName(entry.Digest)] = []byte("half")
	if _, err := ReadNewest(t.Context(), s); KindOf(err) != KindCorrupt {
		t.Errorf("got %v, want an error of KindCorrupt", err)
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
		t.Errorf("got %v, want an error of KindNoVersion", err)
	}
	if _, err := ApplyOnVersion(t.Context(), s, 0, document(1), "ana", "why"); err != nil {
		t.Fatal(err)
	}
	first := mustApply(t, s, 1)
	for _, on := range []int64{0, 2} {
		_, err := ApplyOnVersion(t.Context(), s, on, document(2), "ana", "why")
		var lost *Error
		if !errors.As(err, &lost) || lost.Kind != KindRaceLost {
			t.Fatalf("got %v, want an error of KindRaceLost", err)
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

func TestLostResponsesAreResolved(t *testing.T) {
	faults := map[string]func(string) fault{
		"commit took effect":  failNext("commit", fault{responseLost: true}),
		"commit never came":   failNext("commit", fault{requestLost: true}),
		"object never came":   failNext("putObject", fault{requestLost: true}),
		"commit comes late":   failNext("commit", fault{appliedAfter: 3 * time.Second}),
		"commit races itself": failNext("commit", fault{appliedAfter: minRetryBackoff}),
		"object was written":  failNext("putObject", fault{responseLost: true}),
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

// mustHaveHistory fails the test unless the history is valid, has that many
// entries and ends with last.
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

// Guards against a committed change that is reported as overtaken: the first
// operator's commit takes effect but its response is lost, and two more changes
// are committed before Apply reads the history.
func TestLostResponseIsResolvedAfterFurtherChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.setFault(failNext("commit", fault{responseLost: true}))
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

func TestUnresolvedChangeNamesItsChangeID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		committing := false
		s.setFault(func(op string) fault {
			if op == "commit" && !committing {
				committing = true
				return fault{responseLost: true}
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
	s.setFault(failNext("putObject", fault{truncated: true}))
	if err := applyError(t, s, document(2), "ana", "why"); KindOf(err) != KindStore {
		t.Errorf("got %v, want an error of KindStore", err)
	}
	s.setFault(nil)
	mustHaveHistory(t, s, 1, entry)
}

func TestRacingOperatorsHaveOneWinnerNamedToTheOthers(t *testing.T) {
	seed, _ := seededRandom(t)
	const rounds = 100
	for _, operators := range []int{2, 5} {
		for round := range uint64(rounds) {
			r := newRandom(seed, round)
			synctest.Test(t, func(t *testing.T) { race(t, operators, r) })
		}
	}
}

// race lets operators commit a change to the same version at the same moment,
// with random delays and lost responses, and checks that one of them wins and
// that the errors of the others name the winning entry.
func race(t *testing.T, operators int, r *rand.Rand) {
	s := newFakeStore()
	mustApply(t, s, 0)
	s.setFault(func(op string) fault {
		f := fault{delay: time.Duration(r.IntN(20)) * time.Millisecond}
		if op == "commit" && r.IntN(3) == 0 {
			f.responseLost = true
		}
		if op == "commit" && r.IntN(4) == 0 {
			f.appliedAfter = time.Duration(1+r.IntN(500)) * time.Millisecond
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
			h, data := prepareChange(t, s, i)
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

// prepareChange reads the head and stores the document of an operator's change,
// everything but the commit, so that all operators build on the same version.
func prepareChange(t *testing.T, s Store, i int) (head, []byte) {
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
		"entry removed and the chain relinked": func(t *testing.T, s *fakeStore) {
			relink := func(e *Entry) { e.Previous = s.entry(t, historyKey(1)).Hash; e.Hash = e.ComputeHash() }
			delete(s.rows, historyKey(2))
			s.rewrite(t, historyKey(3), relink)
			s.rewrite(t, HeadKey, relink)
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
				t.Error("a history with tampered rows is verified")
			}
		})
	}
}

// Guards against a commit on an outdated head when the history row of the next
// number is missing: the condition on the head row has to refuse it.
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

// Guards against a change that overwrites the history after the head row was set
// back to an older entry.
func TestChangeNeverWritesOverAnEntry(t *testing.T) {
	s := newFakeStore()
	mustApply(t, s, 1)
	second := mustApply(t, s, 2)
	s.rows[HeadKey] = s.rows[historyKey(1)]

	err := applyError(t, s, document(3), "ana", "why")
	var lost *Error
	if !errors.As(err, &lost) || lost.Kind != KindRaceLost {
		t.Fatalf("got %v, want an error of KindRaceLost", err)
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
	for n := range historyPageRows + 5 {
		last = mustApply(t, s, n)
	}
	mustHaveHistory(t, s, historyPageRows+5, last)
}

package ticket

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestOldestAnswersAreDroppedAboveTheBoundAndNeverRunAgain checks that the id of a
// dropped answer is refused. If it became unused again, a resubmission would run its
// job twice.
func TestOldestAnswersAreDroppedAboveTheBoundAndNeverRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := (&Entry{answer: new(answerOf("", 3000))}).memoryBytes()
		s := NewStore(issuer, fixed(Limits{MaxHeldIDs: 10, Retention: time.Minute, MaxAnswerBytes: 2 * one}))
		defer s.Close()
		ids, err := s.Issue(6)
		if err != nil {
			t.Fatal(err)
		}
		for _, id := range ids[:4] {
			begin(t, s, id, true).Finish(answerOf(id, 3000))
		}
		begin(t, s, ids[4], true)

		check := func() {
			for k, id := range ids[:2] {
				_, _, err := s.Begin(id, "d")
				if diff := cmp.Diff(KindDropped, kindOf(err)); diff != "" {
					t.Fatalf("id %d (-want +got):\n%s", k, diff)
				}
			}
			for _, id := range ids[2:4] {
				begin(t, s, id, false)
			}
		}
		check()
		time.Sleep(2 * time.Second) // the sweep runs
		check()
		synctest.Wait()
		held, open := s.Size()
		s.mu.Lock()
		defer s.mu.Unlock()
		if held != 4 || open != 1 || s.answerBytes > 2*one {
			t.Fatalf("%d ids held, %d open, %d bytes", held, open, s.answerBytes)
		}
	})
}

// TestDroppedAnswerIsNotHandedOverAsUnused checks that a batch is handed over without
// its dropped ids. The adopter would otherwise run the job of a dropped answer again.
func TestDroppedAnswerIsNotHandedOverAsUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewStore(issuer, fixed(Limits{MaxHeldIDs: 10, Retention: time.Minute, MaxAnswerBytes: 1}))
		defer a.Close()
		b := newStore(t, adopter)
		ids, err := a.Issue(3)
		if err != nil {
			t.Fatal(err)
		}
		begin(t, a, ids[1], true).Finish(complete(ids[1], "1"))
		h, _ := a.Export(t.Context())
		if err := b.Import(h); err != nil {
			t.Fatal(err)
		}
		_, _, err = b.Begin(ids[1], "d")
		wantKind(t, err, KindExpired)
		begin(t, b, ids[0], true)
		begin(t, b, ids[2], true)
	})
}

func TestUsedUpBatchesTakeNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore(issuer, fixed(Limits{MaxHeldIDs: 10, Retention: time.Hour, AnswerRetention: time.Second}))
		defer s.Close()
		for range 100 {
			id := issueOne(t, s)
			begin(t, s, id, true).Finish(complete(id, "1"))
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		held, _ := s.Size()
		s.mu.Lock()
		defer s.mu.Unlock()
		seq := s.sequences[issuer]
		if held != 0 || s.answerBytes != 0 || len(seq.batches) != 0 || len(seq.entries) != 0 {
			t.Fatalf("%d ids held, %d bytes, %d batches, %d entries", held, s.answerBytes, len(seq.batches), len(seq.entries))
		}
	})
}

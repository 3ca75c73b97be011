package ticket

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"foxtailmux/model"
)

// refusal returns the answer to a job of which nothing ran.
func refusal(id string) model.Answer {
	return model.Fail(id, model.RanNo, model.FailQuota, "quota used up")
}

func TestRefusedRunLeavesItsIDUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(t, issuer)
		id := issueOne(t, s)
		e := begin(t, s, id, true)
		var joined model.Answer
		go func() { joined, _ = begin(t, s, id, false).Wait(t.Context()) }()
		synctest.Wait()
		e.Finish(refusal(id))
		synctest.Wait()
		if diff := cmp.Diff(refusal(id), joined); diff != "" {
			t.Fatal(diff)
		}

		_, err := s.Lookup(id)
		wantKind(t, err, KindUnused)
		if held, open := s.Size(); held != 1 || open != 0 {
			t.Fatalf("%d ids held, %d open", held, open)
		}
		begin(t, s, id, true).Finish(complete(id, "1"))
		begin(t, s, id, false)
	})
}

func TestCancelOfAnOpenJobIsFinalThoughItDidNotRun(t *testing.T) {
	s := newStore(t, issuer)
	id := issueOne(t, s)
	e := begin(t, s, id, true)
	if err := s.Cancel(id); err != nil {
		t.Fatal(err)
	}
	e.Finish(refusal(id))
	begin(t, s, id, false)
}

func TestRefusedIDIsKeptForAnotherRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(t, issuer)
		id := issueOne(t, s)
		e := begin(t, s, id, true)
		time.Sleep(2 * time.Minute) // longer than the retention of the unused id
		e.Finish(refusal(id))
		time.Sleep(50 * time.Second)
		begin(t, s, id, true).Finish(refusal(id))
		time.Sleep(50 * time.Second)
		begin(t, s, id, true).Finish(complete(id, "1"))
	})
}

func TestRefusedIDIsHandedOverAsUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newStore(t, issuer), newStore(t, adopter)
		id := issueOne(t, a)
		e := begin(t, a, id, true)
		exported := make(chan Handover, 1)
		go func() {
			h, _ := a.Export(t.Context())
			exported <- h
		}()
		synctest.Wait()
		e.Finish(refusal(id))
		_, _, err := a.Begin(id, "d")
		wantKind(t, err, KindHandedOver)
		if err := b.Import(<-exported); err != nil {
			t.Fatal(err)
		}
		begin(t, b, id, true)
	})
}

// TestAnIDRunsAgainOnlyAfterARefusal compares the store with a model over random
// sequences of calls. The model holds for each id whether it is running, has a final
// answer or was cancelled.
func TestAnIDRunsAgainOnlyAfterARefusal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore(issuer, fixed(Limits{MaxHeldIDs: 100, Retention: time.Hour}))
		defer s.Close()
		ids, err := s.Issue(3)
		if err != nil {
			t.Fatal(err)
		}
		running := map[string]*Entry{}
		settled := map[string]bool{}
		canceled := map[string]bool{}

		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				e, first, err := s.Begin(id, "d")
				wantFirst := running[id] == nil && !settled[id]
				if err != nil || first != wantFirst {
					t.Fatalf("begin %s: first %v, want %v, error %v", id, first, wantFirst, err)
				}
				if first {
					running[id] = e
				}
			},
			"finish": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				e := running[id]
				if e == nil {
					return
				}
				answers := []model.Answer{complete(id, "1"), refusal(id), model.Fail(id, model.RanMaybe, model.FailWorkerLost, "no reply")}
				answer := rapid.SampledFrom(answers).Draw(t, "answer")
				e.Finish(answer)
				delete(running, id)
				settled[id] = answer.Ran != model.RanNo || canceled[id]
			},
			"cancel": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				if err := s.Cancel(id); err != nil {
					t.Fatal(err)
				}
				canceled[id] = true
				settled[id] = settled[id] || running[id] == nil
			},
			"": func(t *rapid.T) {
				if held, open := s.Size(); held != len(ids) || open != len(running) {
					t.Fatalf("%d ids held, want %d; %d open, want %d", held, len(ids), open, len(running))
				}
			},
		})
	})
}

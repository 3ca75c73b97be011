package ticket

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"foxtailmux/model"
)

const (
	issuer  = "00000000000000aa"
	adopter = "00000000000000bb"
)

// fixed returns a function that always returns the limits l.
func fixed(l Limits) func() Limits { return func() Limits { return l } }

func newStore(t testing.TB, incarnation string) *Store {
	s := NewStore(incarnation, fixed(Limits{MaxHeldIDs: 100, Retention: time.Minute}))
	t.Cleanup(func() {
		s.Close()
		<-s.Done()
	})
	return s
}

// issueOne issues a single id.
func issueOne(t testing.TB, s *Store) string {
	t.Helper()
	ids, err := s.Issue(1)
	if err != nil {
		t.Fatal(err)
	}
	return ids[0]
}

func complete(id, text string) model.Answer {
	return model.Answer{JobID: id, Result: model.Complete, Ran: model.RanYes, Tasks: []json.RawMessage{json.RawMessage(text)}}
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

func wantKind(t testing.TB, err error, want Kind) {
	t.Helper()
	if diff := cmp.Diff(want, kindOf(err)); diff != "" {
		t.Fatalf("kind of %v (-want +got):\n%s", err, diff)
	}
}

func begin(t testing.TB, s *Store, id string, wantFirst bool) *Entry {
	t.Helper()
	e, first, err := s.Begin(id, "d")
	if err != nil || first != wantFirst {
		t.Fatalf("begin %s: first %v, error %v", id, first, err)
	}
	return e
}

func FuzzParseAcceptsOnlyCanonicalText(f *testing.F) {
	for _, seed := range []string{"", issuer, issuer + "-0000000000000001", issuer + "-000000000000000G", issuer + "_0000000000000001", "00000000000000AA-0000000000000001", issuer + "-00000000000000010", issuer + "-+000000000000001"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := Parse(text)
		if err != nil {
			wantKind(t, err, KindMalformed)
			return
		}
		if diff := cmp.Diff(text, id.String()); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestParseInvertsString(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := ID{Incarnation: rapid.StringMatching("[0-9a-f]{16}").Draw(t, "incarnation"), Counter: rapid.Uint64().Draw(t, "counter")}
		got, err := Parse(want.String())
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Fatal(err, diff)
		}
	})
}

func TestResubmissionJoinsBeforeAndAfterTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(t, issuer)
		id := issueOne(t, s)
		e := begin(t, s, id, true)

		var during model.Answer
		go func() { during, _ = begin(t, s, id, false).Wait(t.Context()) }()
		synctest.Wait()
		want := complete(id, "1")
		if !e.Finish(want) || e.Finish(complete(id, "2")) {
			t.Fatal("an entry takes exactly one answer")
		}
		synctest.Wait()

		after, err := begin(t, s, id, false).Wait(t.Context())
		if diff := cmp.Diff([]model.Answer{want, want}, []model.Answer{during, after}); diff != "" || err != nil {
			t.Fatal(err, diff)
		}
		_, _, err = s.Begin(id, "other")
		wantKind(t, err, KindConflict)
	})
}

func TestIDsExpireButNeverBecomeUnusedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := Limits{MaxHeldIDs: 3, Retention: time.Minute}
		s := NewStore(issuer, func() Limits { return limits })
		defer s.Close()
		ids, err := s.Issue(3)
		if err != nil {
			t.Fatal(err)
		}
		_, err = s.Issue(1)
		wantKind(t, err, KindFull)
		_, _, err = s.Begin(ID{Incarnation: issuer, Counter: 3}.String(), "d")
		wantKind(t, err, KindUnknown)

		// The answer expires long before its batch.
		open := begin(t, s, ids[0], true)
		limits.AnswerRetention = 2 * time.Second
		begin(t, s, ids[1], true).Finish(complete(ids[1], "1"))
		time.Sleep(time.Second)
		begin(t, s, ids[1], false)
		time.Sleep(9 * time.Second)
		for range 2 {
			_, _, err = s.Begin(ids[1], "d")
			wantKind(t, err, KindDropped)
			wantKind(t, s.Cancel(ids[1]), KindDropped)
		}
		if held, _ := s.Size(); held != 2 {
			t.Fatalf("%d ids held, want 2", held)
		}

		time.Sleep(time.Minute)
		for _, id := range ids[1:] {
			_, _, err = s.Begin(id, "d")
			wantKind(t, err, KindExpired)
		}
		begin(t, s, ids[0], false)
		open.Finish(complete(ids[0], "1"))
		time.Sleep(5 * time.Second)
		_, _, err = s.Begin(ids[0], "d")
		wantKind(t, err, KindExpired)
		if _, err = s.Issue(3); err != nil {
			t.Fatalf("expired ids still count as held: %v", err)
		}
	})
}

func TestReleasedIDFreesCapacityUnlessItIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(t, issuer)
		released, used := issueOne(t, s), issueOne(t, s)
		begin(t, s, used, true)
		s.Release(released)
		s.Release(used)
		_, _, err := s.Begin(released, "d")
		wantKind(t, err, KindExpired)
		time.Sleep(2 * time.Second)
		begin(t, s, used, false)
		if held, open := s.Size(); held != 1 || open != 1 {
			t.Fatalf("%d ids held, %d open", held, open)
		}
	})
}

func TestCancelStopsTheJobOrUsesUpTheUnusedID(t *testing.T) {
	s := newStore(t, issuer)
	open, unused := issueOne(t, s), issueOne(t, s)
	e := begin(t, s, open, true)
	var stops int
	e.OnCancel(func() { stops++ })
	for _, id := range []string{open, unused} {
		if err := s.Cancel(id); err != nil {
			t.Fatal(err)
		}
	}
	e.OnCancel(func() { stops++ })
	if diff := cmp.Diff(2, stops); diff != "" {
		t.Fatal(diff)
	}

	answer, err := begin(t, s, unused, false).Wait(t.Context())
	if err != nil || answer.Ran != model.RanNo || answer.Error.Kind != model.FailCancelled {
		t.Fatal(answer, err)
	}
}

func TestStartedJobIsForgottenWithItsAnswer(t *testing.T) {
	s := newStore(t, issuer)
	e := s.BeginWithoutTicket()
	_, _, err := s.Begin(e.ID(), "")
	wantKind(t, err, KindConflict)
	if status, err := s.Lookup(e.ID()); err != nil || !status.Open {
		t.Fatal(status, err)
	}
	e.Finish(complete(e.ID(), "1"))
	_, err = s.Lookup(e.ID())
	wantKind(t, err, KindExpired)
	if held, open := s.Size(); held != 0 || open != 0 {
		t.Fatalf("%d ids held, %d open", held, open)
	}
}

func TestHandoverWaitsForOpenJobsAndMovesAllIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newStore(t, issuer), newStore(t, adopter)
		ids, _ := a.Issue(5)
		lone := issueOne(t, a)
		begin(t, a, ids[1], true).Finish(complete(ids[1], "1"))
		open := begin(t, a, ids[3], true)

		exported := make(chan Handover, 1)
		go func() {
			h, cut := a.Export(t.Context())
			if cut != 0 {
				t.Errorf("%d jobs cut", cut)
			}
			exported <- h
		}()
		synctest.Wait()
		begin(t, a, ids[3], false)
		_, _, err := a.Begin(ids[0], "d")
		wantKind(t, err, KindHandedOver)
		wantKind(t, a.Cancel(ids[0]), KindHandedOver)
		_, err = a.Lookup(ids[0])
		wantKind(t, err, KindHandedOver)
		_, err = a.Issue(1)
		wantKind(t, err, KindHandedOver)
		if len(exported) != 0 {
			t.Fatal("exported with an open job")
		}
		open.Finish(complete(ids[3], "3"))

		text, err := json.Marshal(<-exported)
		var wire Handover
		if err != nil || json.Unmarshal(text, &wire) != nil {
			t.Fatal(err)
		}
		parts := wire.Split(600)
		if len(parts) < 2 {
			t.Fatalf("%d parts", len(parts))
		}
		for _, p := range parts {
			if text, _ := json.Marshal(p); len(text) > 600 {
				t.Fatalf("part of %d bytes", len(text))
			}
			if err := b.Import(p); err != nil {
				t.Fatal(err)
			}
		}

		for i, wantFirst := range []bool{true, false, true, false, true} {
			begin(t, b, ids[i], wantFirst)
		}
		for _, p := range parts { // a late copy must not make ids unused on which jobs began
			if err := b.Import(p); err != nil {
				t.Fatal(err)
			}
		}
		begin(t, b, ids[0], false)
		begin(t, b, lone, true)
		if answer, err := begin(t, b, ids[3], false).Wait(t.Context()); err != nil || string(answer.Tasks[0]) != "3" {
			t.Fatal(answer, err)
		}
		wantKind(t, a.Import(parts[0]), KindHandedOver)

		_, _, err = b.Begin(a.BeginWithoutTicket().ID(), "d") // its job runs at the issuer
		wantKind(t, err, KindExpired)
	})
}

// A part of a handover may arrive again long after it was imported. Its ids must not
// become unused again, or their jobs would run twice.
func TestLateCopyOfAnExpiredHandoverMakesNoIDUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newStore(t, issuer), newStore(t, adopter)
		id := issueOne(t, a)
		h, _ := a.Export(t.Context())
		if err := b.Import(h); err != nil {
			t.Fatal(err)
		}
		begin(t, b, id, true).Finish(complete(id, "1"))
		time.Sleep(time.Hour)
		if err := b.Import(h); err != nil {
			t.Fatal(err)
		}
		_, _, err := b.Begin(id, "d")
		wantKind(t, err, KindExpired)
	})
}

func TestExportLeavesOutJobsStillOpenAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newStore(t, issuer), newStore(t, adopter)
		id := issueOne(t, a)
		begin(t, a, id, true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		h, cut := a.Export(ctx)
		if cut != 1 {
			t.Fatalf("%d jobs cut", cut)
		}
		if err := b.Import(h); err != nil {
			t.Fatal(err)
		}
		_, _, err := b.Begin(id, "d")
		wantKind(t, err, KindExpired)
	})
}

func TestImportRefusesContradictoryHandovers(t *testing.T) {
	s := newStore(t, adopter)
	for _, q := range []SequenceState{
		{Incarnation: "short"},
		{Incarnation: issuer, Next: 1, Unused: []IDRange{{First: 0, End: 2}}},
		{Incarnation: issuer, Next: 9, Unused: []IDRange{{First: 3, End: 5}, {First: 4, End: 6}}},
		{Incarnation: issuer, Next: 1, Answered: []AnsweredID{{Counter: 1}}},
		{Incarnation: issuer, Next: 9, Answered: []AnsweredID{{Counter: 3}, {Counter: 3}}},
		{Incarnation: issuer, Next: 9, Unused: []IDRange{{End: 2}, {First: 3, End: 5}}, Answered: []AnsweredID{{Counter: 2}, {Counter: 4}}},
	} {
		wantKind(t, s.Import(Handover{Sequences: []SequenceState{q}}), KindMalformed)
	}
	wantKind(t, s.Import(Handover{Sequences: []SequenceState{{Incarnation: issuer, Next: 500, Unused: []IDRange{{End: 500}}}}}), KindFull)
}

// seed logs and returns the seed of a random test: the value of FOXTAILMUX_SEED if
// it is set, else one from the clock.
func seed(t testing.TB) uint64 {
	n := uint64(time.Now().UnixNano())
	if text := os.Getenv("FOXTAILMUX_SEED"); text != "" {
		n, _ = strconv.ParseUint(text, 10, 64)
	}
	t.Logf("FOXTAILMUX_SEED=%d", n)
	return n
}

// beginModel accepts the history of an id if all answers to its submissions are the
// same.
var beginModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[string][]porcupine.Operation)
		for _, op := range history {
			byID[op.Input.(string)] = append(byID[op.Input.(string)], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byID {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		answer := output.(string)
		switch {
		case answer == "":
			return true, state
		case state == "":
			return true, answer
		}
		return state == answer, state
	},
}

func TestConcurrentSubmissionsOfAnIDSeeOneRun(t *testing.T) {
	random := rand.New(rand.NewPCG(seed(t), 1))
	a, b := newStore(t, issuer), newStore(t, adopter)
	ids, err := a.Issue(40)
	if err != nil {
		t.Fatal(err)
	}

	var mu sync.Mutex
	var history []porcupine.Operation
	runs := make(map[string]int)
	submit := func(client int, id string, s *Store) {
		call := time.Now().UnixNano()
		output := ""
		if e, first, err := s.Begin(id, "d"); err == nil {
			if first {
				mu.Lock()
				runs[id]++
				mu.Unlock()
				runtime.Gosched()
				e.Finish(complete(id, strconv.Itoa(client)))
			}
			answer, _ := e.Wait(t.Context())
			output = string(answer.Tasks[0])
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: id, Call: call, Output: output, Return: time.Now().UnixNano()})
	}

	var wg sync.WaitGroup
	for client := range 8 {
		picks := random.Perm(len(ids))
		wg.Go(func() {
			for i, pick := range picks {
				s := a
				if i%2 == client%2 {
					s = b
				}
				submit(client, ids[pick], s)
			}
		})
	}
	wg.Go(func() {
		h, _ := a.Export(t.Context())
		for _, p := range h.Split(1000) {
			if err := b.Import(p); err != nil {
				t.Error(err)
			}
		}
	})
	wg.Wait()

	if !porcupine.CheckOperations(beginModel, history) {
		t.Error("an id has two different answers")
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// BenchmarkBytesPerTicket measures the heap memory of a ticket in each state, and
// the part of it that the store counts against Limits.MaxAnswerBytes.
func BenchmarkBytesPerTicket(b *testing.B) {
	const tickets = 100_000
	nothing := func(*Store, string) {}
	open := func(s *Store, id string) { begin(b, s, id, true) }
	answered := func(s *Store, id string) { begin(b, s, id, true).Finish(answerOf(id, 1500)) }
	for name, c := range map[string]struct {
		use    func(*Store, string)
		limits Limits
	}{
		"unused":   {nothing, Limits{}},
		"open":     {open, Limits{}},
		"answered": {answered, Limits{}},
		"dropped":  {answered, Limits{MaxAnswerBytes: 1}},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				c.limits.MaxHeldIDs, c.limits.Retention = tickets, time.Hour
				before := heap()
				s := NewStore(issuer, fixed(c.limits))
				for range tickets / 100 {
					ids, _ := s.Issue(100)
					for _, id := range ids {
						c.use(s, id)
					}
				}
				b.ReportMetric(float64(heap()-before)/tickets, "B/ticket")
				b.ReportMetric(float64(s.answerBytes)/tickets, "counted-B/ticket")
				s.Close()
			}
		})
	}
}

// answerOf returns a complete answer with three results of together n bytes.
func answerOf(id string, n int) model.Answer {
	a := model.Answer{JobID: id, Result: model.Complete, Ran: model.RanYes}
	for range 3 {
		a.Tasks = append(a.Tasks, json.RawMessage(bytes.Repeat([]byte("1"), n/3)))
	}
	return a
}

// heap returns the bytes of live objects on the heap.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func ExampleStore_Begin() {
	store := NewStore("00000000000000aa", func() Limits { return Limits{MaxHeldIDs: 10, Retention: time.Minute} })
	defer store.Close()
	ids, _ := store.Issue(1)

	entry, first, _ := store.Begin(ids[0], "digest of the job")
	if first {
		entry.Finish(model.Answer{JobID: entry.ID(), Result: model.Complete, Ran: model.RanYes})
	}
	answer, _ := entry.Wait(context.Background())
	fmt.Println(first, answer.Result)
	// Output: true complete
}

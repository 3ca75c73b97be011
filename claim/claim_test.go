package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"foxtailmux/table"
)

// fakeTable is a table in memory. The hooks onCommit and onGet inject faults.
type fakeTable struct {
	onCommit func(n int, t table.Transaction, apply func() table.CommitResult) (table.CommitResult, error)
	onGet    func(key string) error

	mu        sync.Mutex
	rows      map[string]table.Row
	commits   int
	inFlight  int
	startedAt []time.Time
	sizes     []int
}

func newTable() *fakeTable { return &fakeTable{rows: make(map[string]table.Row)} }

func (f *fakeTable) Get(ctx context.Context, key string) (table.Row, error) {
	if f.onGet != nil {
		if err := f.onGet(key); err != nil {
			return table.Row{}, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[key], ctx.Err()
}

func (f *fakeTable) Commit(_ context.Context, t table.Transaction) (table.CommitResult, error) {
	f.mu.Lock()
	f.commits++
	f.startedAt = append(f.startedAt, time.Now())
	f.sizes = append(f.sizes, len(t.Puts))
	n := f.commits
	f.mu.Unlock()

	apply := func() table.CommitResult { return f.apply(t) }
	if f.onCommit != nil {
		return f.onCommit(n, t, apply)
	}
	return apply(), nil
}

func (f *fakeTable) apply(t table.Transaction) table.CommitResult {
	f.mu.Lock()
	defer f.mu.Unlock()

	var conflicts []table.Row
	for _, c := range t.Conditions {
		if row := f.rows[c.Key]; row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return table.CommitResult{Conflicts: conflicts}
	}
	for _, p := range t.Puts {
		f.rows[p.Key] = table.Row{Key: p.Key, Value: p.Value, Version: f.rows[p.Key].Version + 1}
	}
	for _, key := range t.Deletes {
		delete(f.rows, key)
	}
	return table.CommitResult{Committed: true}
}

func (f *fakeTable) Scan(_ context.Context, _, _ string, _ int) (table.ScanPage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	var scan table.ScanPage
	for _, row := range f.rows {
		scan.Rows = append(scan.Rows, row)
	}
	return scan, nil
}

func tableError(k table.Kind) error {
	return &table.Error{Op: "commit", Kind: k, Err: errors.New("injected")}
}

func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

func newClaimer(t testing.TB, f *fakeTable, o Options) *Claimer {
	if o.Interval == nil {
		o.Interval = constant(20 * time.Millisecond)
	}
	c := New(f, o)
	t.Cleanup(func() {
		c.Close()
		<-c.Done()
	})
	return c
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

type outcome struct {
	Claim Claim
	Kind  Kind
}

func claimKey(c *Claimer, key, digest, jobID string) outcome {
	got, err := c.Claim(context.Background(), "team", key, digest, jobID)
	return outcome{got, kindOf(err)}
}

func checkOutcome(t testing.TB, want, got outcome) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("claim (-want +got):\n%s", diff)
	}
}

func first(jobID string) outcome  { return outcome{Claim: Claim{JobID: jobID, First: true}} }
func joined(jobID string) outcome { return outcome{Claim: Claim{JobID: jobID}} }

func TestSecondClaimOfAKeyReturnsTheFirstJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTable()
		a, b := newClaimer(t, f, Options{}), newClaimer(t, f, Options{})
		checkOutcome(t, first("j1"), claimKey(a, "k", "d", "j1"))
		checkOutcome(t, joined("j1"), claimKey(b, "k", "d", "j2"))
		checkOutcome(t, outcome{Kind: KindConflict}, claimKey(b, "k", "other", "j3"))

		got, err := b.Claim(t.Context(), "team2", "k", "d", "j4")
		checkOutcome(t, first("j4"), outcome{got, kindOf(err)})
	})
}

func TestOneTransactionIsSentPerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTable()
		f.onCommit = func(_ int, _ table.Transaction, apply func() table.CommitResult) (table.CommitResult, error) {
			f.inFlight++
			if f.inFlight > 1 {
				t.Error("two transactions in flight")
			}
			time.Sleep(5 * time.Millisecond)
			f.inFlight--
			return apply(), nil
		}
		c := newClaimer(t, f, Options{MaxRows: 10})
		var wg sync.WaitGroup
		for i := range 26 {
			wg.Go(func() { checkOutcome(t, first(strconv.Itoa(i)), claimKey(c, strconv.Itoa(i), "d", strconv.Itoa(i))) })
			if i == 0 {
				synctest.Wait()
			}
		}
		wg.Wait()

		var gaps []time.Duration
		for i := 1; i < len(f.startedAt); i++ {
			gaps = append(gaps, f.startedAt[i].Sub(f.startedAt[i-1]))
		}
		if diff := cmp.Diff([]int{1, 10, 10, 5}, f.sizes); diff != "" {
			t.Fatal(diff)
		}
		if diff := cmp.Diff([]time.Duration{20e6, 20e6, 20e6}, gaps); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestEqualKeysInAGroupShareARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTable()
		c := newClaimer(t, f, Options{})
		f.onCommit = func(_ int, _ table.Transaction, apply func() table.CommitResult) (table.CommitResult, error) {
			time.Sleep(time.Second)
			return apply(), nil
		}
		got := make([]outcome, 3)
		for i, digest := range []string{"d", "d", "other"} {
			go func() { got[i] = claimKey(c, "k", digest, fmt.Sprint("j", i)) }()
			synctest.Wait()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if diff := cmp.Diff([]outcome{first("j0"), joined("j0"), {Kind: KindConflict}}, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// A conflict makes a whole transaction fail. Its rows without a conflict have to be
// sent again without new rows, whose conflicts would delay them once more.
func TestConflictDelaysOtherRowsAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTable()
		holder := newClaimer(t, f, Options{})
		for i := range 50 {
			checkOutcome(t, first("old"), claimKey(holder, fmt.Sprint("taken", i), "d", "old"))
		}

		sent := make(map[string]int)
		f.onCommit = func(_ int, tx table.Transaction, apply func() table.CommitResult) (table.CommitResult, error) {
			for _, p := range tx.Puts {
				sent[p.Key]++
			}
			return apply(), nil
		}
		c := newClaimer(t, f, Options{MaxRows: 4})
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() { checkOutcome(t, first("new"), claimKey(c, fmt.Sprint("free", i), "d", "new")) })
			wg.Go(func() { checkOutcome(t, joined("old"), claimKey(c, fmt.Sprint("taken", i), "d", "new")) })
		}
		wg.Wait()
		for key, n := range sent {
			if n > 2 {
				t.Errorf("%s was sent %d times", key, n)
			}
		}
	})
}

// The response to a commit is lost, and the commit takes effect at once, late or
// never.
func TestCommitWithLostResponseIsReadBack(t *testing.T) {
	for name, appliedAfter := range map[string]time.Duration{"landed": 0, "lands late": 30 * time.Millisecond, "never landed": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTable()
				f.onCommit = func(n int, _ table.Transaction, apply func() table.CommitResult) (table.CommitResult, error) {
					if n > 1 {
						time.Sleep(20 * time.Millisecond)
						return apply(), nil
					}
					if appliedAfter == 0 {
						apply()
					} else if appliedAfter < time.Hour {
						time.AfterFunc(appliedAfter, func() { apply() })
					}
					return table.CommitResult{}, tableError(table.KindUnknown)
				}
				c := newClaimer(t, f, Options{})
				checkOutcome(t, first("j1"), claimKey(c, "k", "d", "j1"))
				checkOutcome(t, joined("j1"), claimKey(c, "k", "d", "j2"))
			})
		})
	}
}

func TestLostRaceAfterALostResponseJoinsTheWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTable()
		checkOutcome(t, first("j1"), claimKey(newClaimer(t, f, Options{}), "k", "d", "j1"))
		f.onCommit = func(int, table.Transaction, func() table.CommitResult) (table.CommitResult, error) {
			return table.CommitResult{}, errors.New("of no known kind")
		}
		checkOutcome(t, joined("j1"), claimKey(newClaimer(t, f, Options{}), "k", "d", "j2"))
	})
}

func TestStoreFailureIsReportedAndRecovers(t *testing.T) {
	for _, kind := range []table.Kind{table.KindNotSent, table.KindRefused, table.KindUnknown} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTable()
				f.onCommit = func(n int, _ table.Transaction, apply func() table.CommitResult) (table.CommitResult, error) {
					if n > 1 {
						return apply(), nil
					}
					if kind == table.KindUnknown {
						apply()
					}
					return table.CommitResult{}, tableError(kind)
				}
				reads := 0
				f.onGet = func(string) error {
					reads++
					return tableError(table.KindNotSent)
				}
				c := newClaimer(t, f, Options{})
				checkOutcome(t, outcome{Kind: KindStoreDown}, claimKey(c, "k", "d", "j1"))

				// A claim that took effect names the job id of the failed submission.
				next := first("j2")
				if kind == table.KindUnknown {
					next = joined("j1")
				} else if reads > 0 {
					t.Fatal("read back a transaction that had no effect")
				}
				checkOutcome(t, next, claimKey(c, "k", "d", "j2"))
			})
		})
	}
}

func TestTransactionsWithUnknownOutcomeAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTable()
		f.onCommit = func(n int, _ table.Transaction, _ func() table.CommitResult) (table.CommitResult, error) {
			if n%2 == 0 {
				return table.CommitResult{}, nil
			}
			return table.CommitResult{}, tableError(table.KindUnknown)
		}
		c := newClaimer(t, f, Options{MaxAttempts: 3})
		checkOutcome(t, outcome{Kind: KindStoreDown}, claimKey(c, "k", "d", "j1"))
		if diff := cmp.Diff(3, f.commits); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestPendingClaimsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClaimer(t, newTable(), Options{MaxPending: 1, Interval: constant(time.Minute)})
		checkOutcome(t, first("j0"), claimKey(c, "k0", "d", "j0"))
		go claimKey(c, "k1", "d", "j1")
		synctest.Wait()
		checkOutcome(t, outcome{Kind: KindStoreDown}, claimKey(c, "k2", "d", "j2"))
	})
}

func TestAbandonedClaimIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTable()
		c := newClaimer(t, f, Options{Interval: constant(time.Minute)})
		checkOutcome(t, first("j1"), claimKey(c, "k1", "d", "j1"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Claim(ctx, "team", "k2", "d", "j2")
		checkOutcome(t, outcome{Kind: KindContextEnded}, outcome{Kind: kindOf(err)})

		time.Sleep(2 * time.Minute)
		if diff := cmp.Diff(1, f.commits); diff != "" {
			t.Fatal(diff)
		}
		go claimKey(c, "k3", "d", "j3")
		synctest.Wait()
		waiter := make(chan outcome, 1)
		go func() { waiter <- claimKey(c, "k4", "d", "j4") }()
		synctest.Wait()
		c.Close()
		checkOutcome(t, outcome{Kind: KindClosed}, <-waiter)
		checkOutcome(t, outcome{Kind: KindClosed}, claimKey(c, "k5", "d", "j5"))
	})
}

func TestSweeperMeasuresAgeAgainstTheNewestClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTable()
		c := newClaimer(t, f, Options{})
		checkOutcome(t, first("j1"), claimKey(c, "old", "d", "j1"))
		s := NewSweeper(f, constant(time.Hour), constant(24*time.Hour))
		defer s.Close()

		// The age is measured against the newest claim, so the old one stays
		// until there is a newer one.
		time.Sleep(72 * time.Hour)
		checkOutcome(t, joined("j1"), claimKey(c, "old", "d", "j2"))
		checkOutcome(t, first("j3"), claimKey(c, "new", "d", "j3"))
		time.Sleep(3 * time.Hour)
		checkOutcome(t, first("j4"), claimKey(c, "old", "d", "j4"))
		checkOutcome(t, joined("j3"), claimKey(c, "new", "d", "j5"))
	})
}

func TestRowKeysOfDifferentKeysDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		team, key := rapid.String().Draw(t, "team"), rapid.String().Draw(t, "key")
		team2, key2 := rapid.String().Draw(t, "team2"), rapid.String().Draw(t, "key2")
		same := team == team2 && key == key2
		if diff := cmp.Diff(same, rowKey(team, key) == rowKey(team2, key2)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// claimModel is the sequential specification: a key has one job, that of the first
// claim.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			byKey[op.Input.([2]string)[0]] = append(byKey[op.Input.([2]string)[0]], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		own, got := input.([2]string)[1], output.(outcome)
		switch {
		case got.Kind == KindStoreDown:
			return true, state // if the claim took effect, a later join shows it
		case got.Claim.First:
			return state == "" && got.Claim.JobID == own, own
		}
		return state == got.Claim.JobID || state == "", got.Claim.JobID
	},
}

// Several claimers claim the same keys while commits fail, take effect late or lose
// their response, and reads fail. The history has to be linearizable.
func TestRacingClaimsUnderFaultsHaveOneWinner(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	if text := os.Getenv("FOXTAILMUX_SEED"); text != "" {
		seed, _ = strconv.ParseUint(text, 10, 64)
	}
	t.Logf("FOXTAILMUX_SEED=%d", seed)

	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 2))
		var mu sync.Mutex
		draw := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(n)
		}
		f := newTable()
		f.onCommit = func(_ int, _ table.Transaction, apply func() table.CommitResult) (table.CommitResult, error) {
			time.Sleep(time.Duration(draw(30)) * time.Millisecond)
			switch draw(5) {
			case 0:
				return table.CommitResult{}, tableError(table.KindNotSent)
			case 1:
				apply()
				return table.CommitResult{}, tableError(table.KindUnknown)
			case 2:
				time.AfterFunc(time.Duration(draw(60))*time.Millisecond, func() { apply() })
				return table.CommitResult{}, tableError(table.KindUnknown)
			}
			return apply(), nil
		}
		f.onGet = func(string) error {
			if draw(4) == 0 {
				return tableError(table.KindNotSent)
			}
			return nil
		}
		claimers := []*Claimer{newClaimer(t, f, Options{}), newClaimer(t, f, Options{}), newClaimer(t, f, Options{})}

		var history []porcupine.Operation
		var wg sync.WaitGroup
		for client := range 30 {
			wg.Go(func() {
				for i := range 4 {
					time.Sleep(time.Duration(draw(50)) * time.Millisecond)
					key, job := fmt.Sprint("k", draw(12)), fmt.Sprint(client, ".", i)
					call := time.Now().UnixNano()
					got := claimKey(claimers[draw(len(claimers))], key, "d", job)
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: client, Input: [2]string{key, job}, Call: call, Output: got, Return: time.Now().UnixNano()})
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		if !porcupine.CheckOperations(claimModel, history) {
			t.Fatal("a key was claimed by two jobs")
		}
	})
}

func BenchmarkClaimsPerTransaction(b *testing.B) {
	f := newTable()
	c := newClaimer(b, f, Options{Interval: constant(2 * time.Millisecond)})
	var n int
	var mu sync.Mutex
	b.SetParallelism(20)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mu.Lock()
			n++
			key := strconv.Itoa(n)
			mu.Unlock()
			checkOutcome(b, first(key), claimKey(c, key, "d", key))
		}
	})
	b.ReportMetric(float64(n)/float64(f.commits), "claims/transaction")
}

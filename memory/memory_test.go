package memory_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/memory"
)

func ExampleShare() {
	fmt.Printf("%+v\n", memory.Share(144<<20, 3075, 2000))
	fmt.Printf("%+v\n", memory.Share(0, 0, 2000))
	// Output:
	// {Connections:576 Bytes:18874368}
	// {Connections:2000 Bytes:67108864}
}

// The limits leave room for the crowd of ordinary callers on every machine: some fifty connections, and a
// body of the largest size that a configuration allows on the deployments.
func TestShareLeavesRoomForOrdinaryCallers(t *testing.T) {
	for _, memoryMiB := range []int64{0, 64, 144, 184, 1024} {
		for _, descriptors := range []int{0, 1024, 3075} {
			l := memory.Share(memoryMiB<<20, descriptors, 2000)
			if l.Connections < 200 || l.Bytes < 8<<20 {
				t.Errorf("%d MiB, %d descriptors: %+v", memoryMiB, descriptors, l)
			}
			if memoryMiB > 0 && 2*(int64(l.Connections)*memory.ConnectionBytes+l.Bytes) > memory.CollectAt(memoryMiB<<20)+1<<20 {
				t.Errorf("%d MiB, %d descriptors: %+v", memoryMiB, descriptors, l)
			}
		}
	}
}

func TestWhichConnectionGivesWay(t *testing.T) {
	now := time.Unix(1000, 0)
	claim := func(p memory.Phase, age time.Duration, served bool, bytes int64) memory.Claim {
		return memory.Claim{Phase: p, Since: now.Add(-age), Served: served, Bytes: bytes}
	}
	type choice struct{ Connection, Request int }
	cases := map[string]struct {
		claims []memory.Claim
		want   choice
	}{
		"none": {nil, choice{-1, -1}},
		"only requests that are served": {
			[]memory.Claim{claim(memory.Serving, time.Hour, false, 9), claim(memory.Serving, time.Hour, true, 9)},
			choice{-1, -1},
		},
		"the oldest incomplete request": {
			[]memory.Claim{claim(memory.Receiving, time.Second, false, 9), claim(memory.Receiving, 2*time.Second, false, 9)},
			choice{1, 1},
		},
		"a new caller before one that was served": {
			[]memory.Claim{claim(memory.Receiving, time.Hour, true, 9), claim(memory.Receiving, time.Second, false, 9)},
			choice{1, 1},
		},
		"only who holds bytes, for bytes": {
			[]memory.Claim{claim(memory.Receiving, time.Hour, false, 0), claim(memory.Receiving, time.Second, true, 9)},
			choice{0, 1},
		},
		"an incomplete request before an idle connection": {
			[]memory.Claim{claim(memory.Idle, time.Hour, true, 0), claim(memory.Receiving, time.Second, true, 9)},
			choice{1, 1},
		},
		"the connection that was idle longest": {
			[]memory.Claim{claim(memory.Idle, time.Minute, true, 0), claim(memory.Idle, time.Hour, true, 0)},
			choice{1, -1},
		},
		"no connection that was just used": {
			[]memory.Claim{claim(memory.Idle, time.Millisecond, true, 0)},
			choice{-1, -1},
		},
	}
	for name, c := range cases {
		got := choice{memory.WorstConnection(c.claims, now), memory.WorstRequest(c.claims)}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// usage is an Observer that keeps the latest values.
type usage struct {
	Bytes       int64
	Connections int
	ClosedBy    map[string]int
}

func (u *usage) Held(bytes int64, connections int) { u.Bytes, u.Connections = bytes, connections }

func (u *usage) Closed(reason string) {
	if u.ClosedBy == nil {
		u.ClosedBy = map[string]int{}
	}
	u.ClosedBy[reason]++
}

// The oldest incomplete request gives its bytes to the newest, which waits until they are released. A
// request that is being served keeps them.
func TestBytesAreGivenToTheNewestRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &usage{}
		b := memory.NewBudget(memory.Limits{Connections: 3, Bytes: 100}, u)
		accounts := make([]*memory.Account, 3)
		for i := range accounts {
			accounts[i] = b.Open(func() {
				go func() {
					time.Sleep(time.Second) // until the goroutine of the connection has noticed
					accounts[i].Close()
				}()
			})
			time.Sleep(time.Second)
		}
		grow := func(i int, n int64) memory.Kind {
			var known *memory.Error
			if err := accounts[i].Grow(n); errors.As(err, &known) {
				return known.Kind
			}
			return ""
		}
		got := []memory.Kind{grow(0, 60), grow(1, 40)}
		accounts[1].Change(memory.Receiving, memory.Serving)
		began := time.Now()
		got = append(got, grow(2, 50), grow(0, 1), grow(2, 20), grow(1, 101))
		if diff := cmp.Diff([]memory.Kind{"", "", "", memory.KindEvicted, memory.KindFull, memory.KindFull}, got); diff != "" {
			t.Errorf("results (-want +got):\n%s", diff)
		}
		if waited := time.Since(began); waited != time.Second {
			t.Errorf("waited for %v", waited)
		}
		accounts[2].Shrink(50)
		want := &usage{Bytes: 40, Connections: 2, ClosedBy: map[string]int{memory.ClosedForBytes: 1}}
		if diff := cmp.Diff(want, u); diff != "" {
			t.Errorf("in use (-want +got):\n%s", diff)
		}
	})
}

// A new connection gets the place of one that sends nothing, and none of one that is being served.
func TestPlaceOfAConnectionThatSendsNothing(t *testing.T) {
	u := &usage{}
	b := memory.NewBudget(memory.Limits{Connections: 2, Bytes: 100}, u)
	var evicted []string
	open := func(name string) *memory.Account { return b.Open(func() { evicted = append(evicted, name) }) }
	a := open("a")
	open("b")
	a.Change(memory.Receiving, memory.Serving)
	c := open("c")
	c.Change(memory.Receiving, memory.Serving)
	refused := open("d") == nil
	c.Close()
	c.Close()
	want := &usage{Connections: 1, ClosedBy: map[string]int{memory.ClosedForConnection: 1, memory.RefusedConnection: 1}}
	if diff := cmp.Diff(want, u); diff != "" || !refused {
		t.Errorf("in use, refused %v (-want +got):\n%s", refused, diff)
	}
	if diff := cmp.Diff([]string{"b"}, evicted); diff != "" {
		t.Errorf("evicted (-want +got):\n%s", diff)
	}
}

// A request waits for the bytes of a connection that was closed for its place and has not noticed it yet.
func TestBytesOfAClosedConnectionAreAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(memory.Limits{Connections: 1, Bytes: 100}, &usage{})
		var first *memory.Account
		first = b.Open(func() { time.AfterFunc(time.Second, func() { first.Close() }) })
		if err := first.Grow(80); err != nil {
			t.Fatal(err)
		}
		if err := b.Open(func() {}).Grow(80); err != nil {
			t.Error(err)
		}
	})
}

// A connection that goes on sending its incomplete request does not become a newer one by that.
func TestChangeFromAnotherPhaseKeepsTheAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(memory.Limits{Connections: 2, Bytes: 100}, &usage{})
		var evicted []string
		older := b.Open(func() { evicted = append(evicted, "older") })
		time.Sleep(time.Second)
		b.Open(func() { evicted = append(evicted, "newer") })
		time.Sleep(time.Second)
		older.Change(memory.Serving, memory.Receiving)
		b.Open(func() {})
		if diff := cmp.Diff([]string{"older"}, evicted); diff != "" {
			t.Errorf("evicted (-want +got):\n%s", diff)
		}
	})
}

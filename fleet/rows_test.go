package fleet

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
	"foxtailmux/model"
	"foxtailmux/plan"
	"foxtailmux/table"
	"foxtailmux/watch"
)

// rowStore is a store in memory. Each change is in the history of its table.
type rowStore struct {
	mu      sync.Mutex
	history []table.Row
	changed chan struct{}
	commits int
}

func newRowStore() *rowStore { return &rowStore{changed: make(chan struct{})} }

func (s *rowStore) add(rows ...table.Row) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		row.Version = int64(len(s.history)) + 1
		s.history = append(s.history, row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return int64(len(s.history))
}

// latest returns the latest change of a row.
func (s *rowStore) latest(key string) (row table.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.history {
		if r.Key == key {
			row = r
		}
	}
	return row
}

// List returns all changes, which a cache reads as the rows if none is deleted.
func (s *rowStore) List(ctx context.Context, name string) (table.Changes, error) {
	return s.Watch(ctx, name, 0, 0)
}

// Watch returns the changes of a table after a version.
func (s *rowStore) Watch(ctx context.Context, name string, after int64, wait time.Duration) (table.Changes, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		c, next := table.Changes{Version: int64(len(s.history))}, s.changed
		for _, row := range s.history {
			if row.Version > after && strings.HasPrefix(row.Key, name+"/") {
				c.Rows = append(c.Rows, row)
			}
		}
		s.mu.Unlock()
		if len(c.Rows) > 0 {
			return c, nil
		}
		select {
		case <-next:
		case <-deadline:
			return c, nil
		case <-ctx.Done():
			return c, ctx.Err()
		}
	}
}

// Commit writes the rows of a transaction without conditions.
func (s *rowStore) Commit(_ context.Context, t table.Transaction) (table.CommitResult, error) {
	var rows []table.Row
	for _, p := range t.Puts {
		rows = append(rows, table.Row{Key: p.Key, Value: p.Value})
	}
	version := s.add(rows...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	return table.CommitResult{Committed: true, Version: version}, nil
}

// newRegistered returns an instance that follows the homes and the instances of a store.
func newRegistered(t *testing.T, s *rowStore) listener {
	t.Helper()
	in := newListener(t)
	in.self.Instance, in.self.DataCentre, in.self.Addr, in.self.Cores = "entry", "kochi", "127.0.0.1:7020", 1
	in.store, in.startedAt = s, time.Now().Add(-time.Minute)
	in.homeTable = watch.New(homesTableName, s, nil, func([]table.Row) {}, &in.log.Logger)
	in.instanceTable = watch.New(instancesTableName, s, nil, in.onInstances, &in.log.Logger)
	in.workerTable = watch.New("workers", s, nil, func([]table.Row) {}, &in.log.Logger)
	go in.homeTable.Run(in.ctx)
	go in.instanceTable.Run(in.ctx)
	return in
}

// ownRow returns the row that an instance writes of itself.
func ownRow(t *testing.T, in listener) table.Row {
	t.Helper()
	value, err := json.Marshal(in.self)
	if err != nil {
		t.Fatal(err)
	}
	return table.Row{Key: instancesTableName + "/" + in.self.Instance, Value: value}
}

// Guards against a live instance that no other can call: its row was removed, or replaced by a late write of
// an earlier incarnation at another address, and was not written again.
func TestInstanceWhoseRowIsLostWritesItAgain(t *testing.T) {
	s := newRowStore()
	in := newRegistered(t, s)
	own := ownRow(t, in)
	other := own
	other.Value = json.RawMessage(`{"instance":"entry","dataCentre":"kochi","addr":"127.0.0.1:7021","processor":1}`)
	in.background.Go(func() { in.register(in.ctx) })
	for _, c := range []struct {
		name string
		lost *table.Row
	}{
		{"first start", nil},
		{"removed", &table.Row{Key: own.Key, Deleted: true}},
		{"replaced", &other},
	} {
		if c.lost != nil {
			s.add(*c.lost)
		}
		var got table.Row
		for range 300 {
			if got = s.latest(own.Key); cmp.Equal(own.Value, got.Value) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if diff := cmp.Diff(string(own.Value), string(got.Value)); diff != "" {
			t.Errorf("%s: row (-want +got):\n%s", c.name, diff)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(3 * registerRetryInterval)
	if diff := cmp.Diff(3, s.commits); diff != "" {
		t.Errorf("commits (-want +got):\n%s", diff)
	}
}

// Guards against a home that no other instance sends heartbeats or calls to: it claimed before its row was in the
// list of instances, or without having read the list.
func TestInstanceThatIsNotListedClaimsNoHome(t *testing.T) {
	s := newRowStore()
	in := newRegistered(t, s)
	for range 100 {
		if in.homeTable.StoreReachable() && in.instanceTable.IsLoaded() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if in.shouldClaim("kochi", homeRow{}) {
		t.Error("it claims before it is listed")
	}
	s.add(ownRow(t, in))
	for range 100 {
		if in.shouldClaim("kochi", homeRow{}) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("it does not claim once it is listed")
}

// Guards against a job that is refused, or answered as lost, though its home lives: the row of the home arrived before
// that of the instance, whose address was not known yet.
func TestJobWaitsUntilItsHomeCanBeCalled(t *testing.T) {
	for name, resumed := range map[string]bool{"new": false, "resumed": true} {
		t.Run(name, func(t *testing.T) {
			in := newListener(t)
			in.self.Instance, in.self.Incarnation, in.startedAt = "entry", "1", time.Now()
			in.reservations, in.link = map[string]reservation{}, plan.NewLink(0)
			other := startGroup(t, "other")
			other.Handle(methodRun, func(context.Context, json.RawMessage) (any, error) {
				return home.Outcome{Result: home.Succeeded}, nil
			})
			in.hear(`{"instance":"other","incarnation":"1","nextMillis":60000}`)
			in.homeTable = watch.New(homesTableName, nil, nil, func([]table.Row) {}, &in.log.Logger)
			in.homeTable.ApplyWrite(table.Row{Key: homeKey("kochi"), Value: []byte(`{"instance":"other","incarnation":"1"}`), Version: 9})
			time.Sleep(50 * time.Millisecond) // until the heartbeat has arrived
			row := table.Row{Key: instancesTableName + "/other", Value: []byte(`{"instance":"other","dataCentre":"kochi","addr":"` + other.Addr() + `"}`), Version: 10}
			time.AfterFunc(300*time.Millisecond, func() { in.onInstances([]table.Row{row}) })

			j := newForwarding("kochi")
			j.resumed = resumed
			s := home.Submission{Batch: model.Batch{ID: "a"}, Origin: "entry", Incarnation: "1", TimeLeft: 2 * time.Second}
			s.Route = model.Route{Stretch: 2, Allowance: time.Second}
			got := in.forward(t.Context(), s, j, time.Now())
			if diff := cmp.Diff(home.Succeeded, got.Result); diff != "" {
				t.Errorf("result, %q (-want +got):\n%s", got.Reason, diff)
			}
		})
	}
}

// Guards against jobs of a live origin that are cancelled, and a task that runs twice: an origin whose row the home does not
// have is heard and served, and a cancel for a home without a row is delivered once the row is there.
func TestInstanceThatIsNotListedIsHeardServedAndTold(t *testing.T) {
	in := newListener(t)
	told := make(chan struct{}, 1)
	other := startGroup(t, "other")
	other.Handle(methodCancel, func(context.Context, json.RawMessage) (any, error) {
		told <- struct{}{}
		return struct{}{}, nil
	})
	in.peers.Handle(methodRouting, in.serveRouting)
	in.applyRouting(&model.Routing{Version: 5}, "test")
	in.hear(`{"instance":"other","incarnation":"1","nextMillis":250}`)
	other.SetPeer("entry", in.peers.Addr())
	var served model.Routing
	if err := other.Call(t.Context(), "entry", methodRouting, struct{}{}, &served); err != nil {
		t.Error(err)
	}
	time.Sleep(50 * time.Millisecond) // until the heartbeat has arrived
	heard := time.Since(in.lastMessage("other", "1")) < time.Second
	if diff := cmp.Diff([]any{true, int64(5)}, []any{heard, served.Version}); diff != "" {
		t.Errorf("heard, served version (-want +got):\n%s", diff)
	}

	s := home.Submission{Batch: model.Batch{ID: "a"}, Origin: "entry", Incarnation: "1", Number: 4, TimeLeft: 3 * time.Second}
	in.cancelAt("other", "kochi", s, context.Canceled)
	if diff := cmp.Diff([]int64{4}, in.undeliveredCancels()); diff != "" {
		t.Errorf("announced (-want +got):\n%s", diff)
	}
	time.Sleep(300 * time.Millisecond)
	in.onInstances([]table.Row{{Key: instancesTableName + "/other", Value: []byte(`{"instance":"other","addr":"` + other.Addr() + `"}`), Version: 1}})
	select {
	case <-told:
	case <-time.After(2 * time.Second):
		t.Error("the cancel was not delivered")
	}
}

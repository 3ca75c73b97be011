package config

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/table"
)

// fault describes a failure of one call to the fake store:
//   - down: the request is not sent.
//   - responseLost: the request takes effect, its response is lost.
//   - requestLost: the request is lost, which looks the same to the client.
//   - appliedAfter: the write takes effect that long after the call returned
//     with an unknown outcome.
//   - delay: the call takes that long.
//   - truncated: only the first half of an object is stored.
type fault struct {
	down         bool
	responseLost bool
	requestLost  bool
	appliedAfter time.Duration
	delay        time.Duration
	truncated    bool
}

// fakeStore is a Store in memory. fault, if set, returns the fault of each call.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	objects map[string][]byte
	fault   func(op string) fault
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]table.Row{}, objects: map[string][]byte{}}
}

func (s *fakeStore) setFault(f func(op string) fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *fakeStore) call(ctx context.Context, op string, act func(fault)) error {
	s.mu.Lock()
	var f fault
	if s.fault != nil {
		f = s.fault(op)
	}
	s.mu.Unlock()
	if f.down {
		return &table.Error{Op: op, Kind: table.KindNotSent, Err: eris.New("down")}
	}

	select {
	case <-time.After(f.delay):
	case <-ctx.Done():
		return &table.Error{Op: op, Kind: table.KindUnknown, Err: ctx.Err()}
	}
	unknown := &table.Error{Op: op, Kind: table.KindUnknown, Err: eris.New("response lost")}
	if f.requestLost {
		return unknown
	}
	if f.appliedAfter > 0 {
		time.AfterFunc(f.appliedAfter, func() { s.locked(f, act) })
		return unknown
	}
	s.locked(f, act)
	if f.responseLost {
		return unknown
	}
	return nil
}

func (s *fakeStore) locked(f fault, act func(fault)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	act(f)
}

func (s *fakeStore) Get(ctx context.Context, key string) (row table.Row, err error) {
	err = s.call(ctx, "get", func(fault) { row = s.row(key) })
	return row, err
}

func (s *fakeStore) row(key string) table.Row {
	row := s.rows[key]
	row.Key = key
	return row
}

func (s *fakeStore) Commit(ctx context.Context, t table.Transaction) (table.CommitResult, error) {
	// A write with appliedAfter runs after this call has returned, so it must
	// not share the result variable.
	var commit table.CommitResult
	err := s.call(ctx, "commit", func(fault) {
		for _, c := range t.Conditions {
			if row := s.row(c.Key); row.Version != c.Version {
				commit.Conflicts = append(commit.Conflicts, row)
			}
		}
		commit.Committed = len(commit.Conflicts) == 0
		if commit.Committed {
			s.put(t.Puts)
		}
	})
	if err != nil {
		return table.CommitResult{}, err
	}
	return commit, nil
}

func (s *fakeStore) put(puts []table.Put) {
	for _, p := range puts {
		s.rows[p.Key] = table.Row{Key: p.Key, Value: p.Value, Version: s.rows[p.Key].Version + 1}
	}
}

func (s *fakeStore) Scan(ctx context.Context, prefix, after string, limit int) (page table.ScanPage, err error) {
	err = s.call(ctx, "scan", func(fault) {
		for _, row := range s.rows {
			if strings.HasPrefix(row.Key, prefix) && row.Key > after {
				page.Rows = append(page.Rows, row)
			}
		}
		slices.SortFunc(page.Rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
		page.More = len(page.Rows) > limit
		page.Rows = page.Rows[:min(len(page.Rows), limit)]
	})
	return page, err
}

func (s *fakeStore) PutObject(ctx context.Context, name string, data []byte) error {
	return s.call(ctx, "putObject", func(f fault) {
		if f.truncated {
			data = data[:len(data)/2]
		}
		s.objects[name] = slices.Clone(data)
	})
}

func (s *fakeStore) GetObject(ctx context.Context, name string) (data []byte, err error) {
	found := false
	err = s.call(ctx, "getObject", func(fault) {
		data, found = s.objects[name]
		data = slices.Clone(data)
	})
	if err == nil && !found {
		err = &table.Error{Op: "get object", Kind: table.KindRefused, Err: table.ErrNotFound}
	}
	return data, err
}

// edit changes the stored data without a call of the Store interface.
func (s *fakeStore) edit(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) entry(t *testing.T, key string) Entry {
	t.Helper()
	var e Entry
	if err := json.Unmarshal(s.rows[key].Value, &e); err != nil {
		t.Fatal(err)
	}
	return e
}

// rewrite changes the entry in a row without raising the row's version.
func (s *fakeStore) rewrite(t *testing.T, key string, change func(*Entry)) {
	t.Helper()
	e := s.entry(t, key)
	change(&e)
	value, err := json.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	row := s.rows[key]
	row.Value = value
	s.rows[key] = row
}

// failNext returns a fault function that fails the next call of an operation.
func failNext(op string, f fault) func(string) fault {
	used := false
	return func(called string) fault {
		if used || called != op {
			return fault{}
		}
		used = true
		return f
	}
}

func always(f fault) func(string) fault {
	return func(string) fault { return f }
}

// document returns a valid document, a different one for each n.
func document(n int) Document {
	d := Example()
	d.Limits.MaxOpenJobs = 1 + n
	return d
}

func mustApply(t *testing.T, s Store, n int) Entry {
	t.Helper()
	applied, err := Apply(t.Context(), s, document(n), "ana", "test "+strconv.Itoa(n))
	if err != nil {
		t.Fatal(err)
	}
	return applied.Entry
}

// seededRandom returns the seed of the test, FOXTAILMUX_SEED or 1, and a random
// source with it.
func seededRandom(t *testing.T) (uint64, *rand.Rand) {
	t.Helper()
	seed := uint64(1)
	if text := os.Getenv("FOXTAILMUX_SEED"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seed = parsed
	}
	t.Logf("FOXTAILMUX_SEED=%d", seed)
	return seed, newRandom(seed, 0)
}

// newRandom returns a random source, to be used by one goroutine or under one
// lock. Sources with the same seed and stream give the same values.
func newRandom(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// entryOf returns an entry with its hash computed.
func entryOf(number int64, digest, previous string) Entry {
	e := Entry{Number: number, Digest: digest, ChangeID: "c", Who: "ana", Why: "why", Previous: previous}
	e.Hash = e.ComputeHash()
	return e
}

// peerVersionOf returns a version as a peer sends it to an instance that has none
// in force.
func peerVersionOf(number int64, doc Document) PeerVersion {
	return PeerVersion{Document: doc.Canonical(), Entries: []Entry{entryOf(number, doc.Digest(), "before")}}
}

// versionForPeer returns a version with the entries after a number, as a peer that
// has the whole history would.
func (s *fakeStore) versionForPeer(after, number int64, digest string) (PeerVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	version := PeerVersion{Document: s.objects[objectName(digest)]}
	if after == 0 {
		after = number - 1
	}
	for n := after + 1; n <= number; n++ {
		e, err := parseEntry(s.rows[historyKey(n)].Value)
		if err != nil {
			return PeerVersion{}, err
		}
		version.Entries = append(version.Entries, e)
	}
	return version, nil
}

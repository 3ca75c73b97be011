package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"foxtailmux/config"
	"foxtailmux/fakes"
	"foxtailmux/table"
)

const raceRounds = 6

func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	t.Parallel()
	r := newRandom(t)
	c := startCentre(t, 2, 1)
	w := watchConfig(t, c.entries...)
	number := int64(1)
	for _, operators := range []int{2, 5} {
		for range raceRounds {
			c.platform.SetFaults(fakes.PlatformFaults{
				LoseResponses: []float64{0, 0.3}[r.IntN(2)],
				SlowMillis:    r.Int64N(20),
			})
			winner := raceOperators(t, c, operators, number)
			c.platform.SetFaults(fakes.PlatformFaults{})

			number++
			if diff := cmp.Diff(number, winner.Number); diff != "" {
				t.Fatal(diff)
			}
			entries := mustHaveHistory(t, c.platform.Addr(), int(number))
			if diff := cmp.Diff(winner, entries[number-1]); diff != "" {
				t.Errorf("winner (-reported +stored):\n%s", diff)
			}
		}
	}
	w.mustReach(number, time.Now(), c.entries...)
}

// raceOperators lets several operators concurrently replace the same version, each
// with a different folder. It returns the entry of the only winner, which the error
// of every loser must contain.
func raceOperators(t *testing.T, c *testCentre, operators int, on int64) config.Entry {
	t.Helper()

	applied := make([]config.ApplyResult, operators)
	refused := make([]*commandError, operators)
	folders := make([]string, operators)
	for i := range folders {
		folders[i] = numberedFolder(t, int(on)*100+i)
	}
	var group conc.WaitGroup
	for i := range operators {
		group.Go(func() {
			applied[i], refused[i] = applyFolder(t, c.platform.Addr(), folders[i],
				"--who", fmt.Sprintf("operator-%d", i), "--on", strconv.FormatInt(on, 10))
		})
	}
	group.Wait()

	var winners []config.Entry
	for i := range operators {
		if refused[i] == nil {
			winners = append(winners, applied[i].Entry)
		}
	}
	if len(winners) != 1 {
		t.Fatalf("%d winners among %d operators: %+v", len(winners), operators, refused)
	}
	for i, loser := range refused {
		if loser == nil {
			continue
		}
		if diff := cmp.Diff(config.KindRaceLost, loser.Error.Kind); diff != "" {
			t.Errorf("operator %d: %s %s", i, diff, loser.Error.Reason)
		}
		if diff := cmp.Diff(&winners[0], loser.Error.Winner); diff != "" {
			t.Errorf("operator %d names as the winner (-want +got):\n%s", i, diff)
		}
	}
	return winners[0]
}

func TestApplyIsResolvedAfterLostResponses(t *testing.T) {
	t.Parallel()
	c := startCentre(t, 2, 1)
	w := watchConfig(t, c.entries...)
	store := startLossyProxy(t, c.platform.Addr())
	for n := 1; n <= 2; n++ {
		store.loseResponses(table.ObjectsPath, n)
		store.loseResponses(table.TransactionPath, n)
		number := mustApply(t, store.addr(), numberedFolder(t, n))
		accepted := time.Now()

		if diff := cmp.Diff(int64(1+n), number); diff != "" {
			t.Error(diff)
		}
		mustHaveHistory(t, c.platform.Addr(), 1+n)
		w.mustReach(number, accepted, c.entries...)
	}
	if diff := cmp.Diff(int64(5), store.lostResponses.Load()); diff != "" {
		t.Errorf("lost responses (-want +got):\n%s", diff)
	}
}

func TestStoreDownAtApplyChangesNothing(t *testing.T) {
	t.Parallel()
	c := startCentre(t, 1, 1)
	w := watchConfig(t, c.entries...)
	folder := numberedFolder(t, 1)

	c.platform.SetFaults(fakes.PlatformFaults{Down: true})
	_, refused := applyFolder(t, c.platform.Addr(), folder, "--timeout", "3s")
	if refused == nil || refused.Error.Kind != config.KindStore {
		t.Fatalf("%+v", refused)
	}
	c.platform.SetFaults(fakes.PlatformFaults{})
	mustHaveHistory(t, c.platform.Addr(), 1)
	w.mustKeep(1, c.entries...)

	number := mustApply(t, c.platform.Addr(), folder)
	w.mustReach(number, time.Now(), c.entries...)
}

func TestStoreDownAtStartKeepsAnInstanceUnready(t *testing.T) {
	t.Parallel()
	platform, err := fakes.StartPlatform(fakes.PlatformOptions{Faults: fakes.PlatformFaults{Down: true}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	p := startEntry(t, "entry-1", platform.Addr())
	w := watchConfig(t, p)

	waitFor(t, "the instance reports why it has no version", func() bool {
		s := w.statusOf(p)
		return s.Version == 0 && s.Error != ""
	})
	response, err := http.Get("http://" + p.field("operators") + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(`{"error":"no configuration is in force yet"}`, string(body)); diff != "" {
		t.Error(response.StatusCode, diff)
	}

	platform.SetFaults(fakes.PlatformFaults{})
	number := mustApply(t, platform.Addr(), exampleFolder)
	w.mustReach(number, time.Now(), p)
}

func TestNewInstanceTakesTheVersionOfItsPeersWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	c := startCentre(t, 2, 1)
	w := watchConfig(t, c.entries...)
	number := mustApply(t, c.platform.Addr(), numberedFolder(t, 1))
	w.mustReach(number, time.Now(), c.entries...)

	c.platform.SetFaults(fakes.PlatformFaults{Down: true})
	fresh := c.start(t, 2)
	w.add(fresh)
	w.mustReach(number, time.Now(), fresh)
	w.mustKeep(number, c.entries...)
}

func TestInstancesServeOnWhileTheStoreIsDownAndCatchUp(t *testing.T) {
	t.Parallel()
	c := startCentre(t, 2, 2)
	w := watchConfig(t, c.entries...)
	for _, f := range []fakes.PlatformFaults{{Down: true}, {SlowMillis: 20_000}} {
		before := w.statusOf(c.entries[0]).Version
		c.platform.SetFaults(f)
		for _, p := range c.entries {
			waitFor(t, p.name+" reports that the store is unreachable", func() bool {
				s := w.statusOf(p)
				return s.Error != "" && s.PolledMillis > 3000
			})
		}
		w.mustKeep(before, c.entries...)
		a, err := newCaller(c.addrs...).submit(newJob("down", 3, 10*time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		checkComplete(t, "down", 3, a)

		c.platform.SetFaults(fakes.PlatformFaults{})
		number := mustApply(t, c.platform.Addr(), numberedFolder(t, int(before)))
		w.mustReach(number, time.Now(), c.entries...)
	}
}

// Guards against a faulty writer that commits a version whose object is truncated
// or is another document: no instance may put it in force until the object is
// correct.
func TestCorruptObjectIsNeverInForce(t *testing.T) {
	t.Parallel()
	c := startCentre(t, 2, 1)
	w := watchConfig(t, c.entries...)
	store := table.NewClient(c.platform.Addr(), time.Second)
	data := config.Example()
	data.Limits.MaxOpenJobs = 77
	content := data.Canonical()

	commitWithoutChecks(t, store, data.Digest(), content[:len(content)/2])
	for _, p := range c.entries {
		waitFor(t, p.name+" reports the object", func() bool { return w.statusOf(p).Error != "" })
	}
	w.mustKeep(1, c.entries...)

	putObject(t, store, data.Digest(), config.Example().Canonical())
	polled := c.platform.Counters().Reads + 10
	waitFor(t, "the instances read the other document", func() bool { return c.platform.Counters().Reads > polled })
	w.mustKeep(1, c.entries...)

	putObject(t, store, data.Digest(), content)
	w.mustReach(2, time.Now(), c.entries...)

	c.platform.SetFaults(fakes.PlatformFaults{CorruptObjects: true})
	if _, refused := applyFolder(t, c.platform.Addr(), numberedFolder(t, 1)); refused == nil || refused.Error.Kind != config.KindStore {
		t.Errorf("%+v", refused)
	}
	c.platform.SetFaults(fakes.PlatformFaults{})
	mustHaveHistory(t, c.platform.Addr(), 2)
}

// commitWithoutChecks commits a version with the digest and stores the object,
// whether or not the object has that digest.
func commitWithoutChecks(t *testing.T, store *table.Client, digest string, object []byte) config.Entry {
	t.Helper()

	putObject(t, store, digest, object)
	head, err := store.Get(t.Context(), config.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	var last config.Entry
	if err := json.Unmarshal(head.Value, &last); err != nil {
		t.Fatal(err)
	}

	entry := config.Entry{
		Number: last.Number + 1, Digest: digest, ChangeID: "by-hand", Who: "test", Why: "test",
		When: time.Now().UTC().Truncate(time.Millisecond), Previous: last.Hash,
	}
	entry.Hash = entry.ComputeHash()
	value, err := json.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	commit, err := store.Commit(t.Context(), table.Transaction{
		Conditions: []table.Condition{{Key: config.HeadKey, Version: head.Version}},
		Puts: []table.Put{
			{Key: config.HeadKey, Value: value},
			{Key: fmt.Sprintf("%s%010d", config.HistoryPrefix, entry.Number), Value: value},
		},
	})
	if err != nil || !commit.Committed {
		t.Fatal(err, commit)
	}
	return entry
}

func putObject(t *testing.T, store *table.Client, digest string, data []byte) {
	t.Helper()
	if err := store.PutObject(t.Context(), config.ObjectPrefix+digest, data); err != nil {
		t.Fatal(err)
	}
}

package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"foxtailmux/claim"
	"foxtailmux/model"
	"foxtailmux/table"
	"foxtailmux/ticket"
)

// lostCall is an injected error of a call. sent is what its method Sent returns.
type lostCall struct{ sent bool }

func (e lostCall) Error() string { return "injected" }
func (e lostCall) Sent() bool    { return e.sent }

// network connects the nodes, injects faults into their calls, and is the table of
// the claims.
type network struct {
	mu    sync.Mutex
	nodes []*node
	calls map[string]int // by method

	// fault replaces the delivery of a call: run executes it at the peer.
	fault     func(to *node, method string, run func() error) error
	rows      map[string]table.Row
	tableDown bool // requests to the table fail

	history []porcupine.Operation // the starts of jobs
}

// recordStart appends the start of a job to the history.
func (n *network) recordStart(job model.Job) {
	n.mu.Lock()
	defer n.mu.Unlock()

	now := time.Now().UnixNano()
	n.history = append(n.history, porcupine.Operation{ClientId: -1, Input: job.Ticket + job.IdempotencyKey, Call: now, Output: started{}, Return: now})
}

// started is the output of an operation that records the start of a job.
type started struct{}

// node is an entry instance, and its Peers and its Runner.
type node struct {
	net         *network
	name        string
	handlers    map[string]func(context.Context, json.RawMessage) (any, error)
	intake      *Intake
	store       *ticket.Store
	unreachable bool

	mu              sync.Mutex
	starts          map[string]int // by job id
	work            time.Duration
	refuse          bool
	refusesAtRandom func() bool
	started         func()
}

func (n *node) Find(incarnation string) (string, bool) {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	for _, o := range n.net.nodes {
		if o.name == incarnation && !o.unreachable && o != n {
			return "peer " + o.name, true
		}
	}
	return "", false
}

func (n *node) LiveIncarnations() []string {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	var others []string
	for _, o := range n.net.nodes {
		if o != n && !o.unreachable {
			others = append(others, o.name)
		}
	}
	return others
}

func (n *node) Handle(method string, f func(context.Context, json.RawMessage) (any, error)) {
	n.handlers[method] = f
}

func (n *node) Call(ctx context.Context, peerID, method string, params, result any) error {
	text, _ := json.Marshal(params)
	var loose any // decode and encode again, as a codec may change the order of the keys
	_ = json.Unmarshal(text, &loose)
	text, _ = json.Marshal(loose)
	n.net.mu.Lock()
	n.net.calls[method]++
	to := n.net.nodes[slices.IndexFunc(n.net.nodes, func(o *node) bool { return "peer "+o.name == peerID })]
	fault := n.net.fault
	n.net.mu.Unlock()

	done := make(chan error, 1)
	var answer []byte
	run := func() error {
		got, err := to.handlers[method](context.WithoutCancel(ctx), text)
		if err == nil {
			answer, _ = json.Marshal(got)
		}
		return err
	}
	go func() {
		if fault == nil {
			done <- run()
			return
		}
		done <- fault(to, method, run)
	}()

	select {
	case err := <-done:
		if err != nil || result == nil {
			return err
		}
		return json.Unmarshal(answer, result)
	case <-ctx.Done():
		return lostCall{sent: true}
	}
}

// Run records the start of the job and completes it after n.work, unless the
// context is done before or the node refuses jobs.
func (n *node) Run(ctx context.Context, id string, job model.Job) model.Answer {
	if n.refuse || (n.refusesAtRandom != nil && n.refusesAtRandom()) {
		return model.Fail(id, model.RanNo, model.FailOverloaded, "full")
	}
	n.mu.Lock()
	n.starts[id]++
	n.mu.Unlock()
	if n.started != nil {
		n.started()
	}
	n.net.recordStart(job)

	select {
	case <-time.After(n.work):
		return model.Answer{JobID: id, Result: model.Complete, Ran: model.RanYes, Tasks: []json.RawMessage{job.Tasks[0].Payload}}
	case <-ctx.Done():
		return model.Fail(id, model.RanYes, contextFailureKind(ctx), "stopped")
	}
}

func (n *network) Get(_ context.Context, key string) (table.Row, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tableDown {
		return table.Row{}, errors.New("down")
	}
	return n.rows[key], nil
}

func (n *network) Commit(_ context.Context, t table.Transaction) (table.CommitResult, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range t.Puts {
		if row, ok := n.rows[p.Key]; ok {
			return table.CommitResult{Conflicts: []table.Row{row}}, nil
		}
	}
	for _, p := range t.Puts { // while the table is down, the write succeeds and its response is lost
		n.rows[p.Key] = table.Row{Key: p.Key, Value: p.Value, Version: 1}
	}
	if n.tableDown {
		return table.CommitResult{}, errors.New("answer lost")
	}
	return table.CommitResult{Committed: true}, nil
}

// cluster returns a network with nodes whose incarnations are 1, 2, 3 and so on.
func cluster(t testing.TB, size int) (*network, []*node) {
	net := &network{calls: make(map[string]int), rows: make(map[string]table.Row)}
	for k := range size {
		net.add(t, fmt.Sprintf("%016x", k+1))
	}
	return net, net.nodes
}

func (n *network) add(t testing.TB, name string) {
	o := &node{net: n, name: name, handlers: make(map[string]func(context.Context, json.RawMessage) (any, error)), starts: make(map[string]int), work: 100 * time.Millisecond}
	o.store = ticket.NewStore(name, func() ticket.Limits { return ticket.Limits{MaxHeldIDs: 1000, Retention: time.Minute} })
	claimer := claim.New(n, claim.Options{Interval: func() time.Duration { return 20 * time.Millisecond }})
	o.intake = New(Options{Incarnation: name, MaxPartBytes: 1000}, o.store, claimer, o, o)
	n.mu.Lock()
	n.nodes = append(n.nodes, o)
	n.mu.Unlock()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		o.intake.Close(ctx)
		claimer.Close()
		o.store.Close()
		<-claimer.Done()
		<-o.store.Done()
	})
}

// starts counts the starts of a job on all nodes.
func (n *network) starts(id string) int {
	total := 0
	for _, o := range n.nodes {
		o.mu.Lock()
		total += o.starts[id]
		o.mu.Unlock()
	}
	return total
}

func tickets(t testing.TB, n *node, count int) []string {
	t.Helper()
	batch, err := n.intake.IssueTickets(count)
	if err != nil {
		t.Fatal(err)
	}
	return batch.Tickets
}

// job returns a job whose payload a JSON codec may encode in another way.
func job(id, key string) model.Job {
	return model.Job{Team: "team", Tasks: []model.Task{{Payload: json.RawMessage(`{"z":1,"a":"<"}`)}}, DeadlineMillis: 1000, Ticket: id, IdempotencyKey: key}
}

// summary holds the fields of an answer that the tests compare.
type summary struct {
	Result      model.Result
	Ran         model.Ran
	ThisAttempt model.Ran
	Kind        model.FailureKind
}

func summarize(a model.Answer) summary {
	s := summary{Result: a.Result, Ran: a.Ran, ThisAttempt: a.ThisAttempt}
	if a.Error != nil {
		s.Kind = a.Error.Kind
	}
	return s
}

var complete = summary{Result: model.Complete, Ran: model.RanYes}

func failed(ran, this model.Ran, kind model.FailureKind) summary {
	return summary{model.Failed, ran, this, kind}
}

func wantAnswer(t testing.TB, want summary, got model.Answer) {
	t.Helper()
	if diff := cmp.Diff(want, summarize(got)); diff != "" {
		t.Fatalf("answer (-want +got):\n%s", diff)
	}
}

func wantStarts(t testing.TB, net *network, id string, want int) {
	t.Helper()
	if diff := cmp.Diff(want, net.starts(id)); diff != "" {
		t.Fatalf("starts of %s (-want +got):\n%s", id, diff)
	}
}

func TestTicketRunsOnceAtItsIssuerWhereverItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := cluster(t, 3)
		id := tickets(t, nodes[0], 1)[0]
		answers := make([]model.Answer, 9)
		for k := range answers { // submitted before, during and after the run
			go func() { answers[k] = nodes[k%3].intake.Submit(t.Context(), job(id, "")) }()
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		for _, a := range answers {
			wantAnswer(t, complete, a)
		}
		wantStarts(t, net, id, 1)

		other := job(id, "")
		other.Tasks[0].Payload = json.RawMessage(`"q"`)
		wantAnswer(t, failed(model.RanMaybe, model.RanNo, model.FailKeyConflict), nodes[1].intake.Submit(t.Context(), other))
		unknown := ticket.ID{Incarnation: nodes[0].name, Counter: 999}.String()
		wantAnswer(t, failed(model.RanNo, "", model.FailUnknownID), nodes[1].intake.Submit(t.Context(), job(unknown, "")))
		wantAnswer(t, failed(model.RanNo, "", model.FailUnknownID), nodes[1].intake.Submit(t.Context(), job("x", "")))
		wantAnswer(t, failed(model.RanNo, "", model.FailBadRequest), nodes[1].intake.Submit(t.Context(), job(id, "k")))
		time.Sleep(2 * time.Minute)
		wantAnswer(t, failed(model.RanMaybe, model.RanNo, model.FailUnknownID), nodes[1].intake.Submit(t.Context(), job(id, "")))
		wantStarts(t, net, id, 1)
	})
}

// TestIssuerUnreachable checks what the answer claims when the issuer of a ticket can't
// be reached: ThisAttempt is "no" only if the issuer never received the submission, and
// the submission is never sent twice.
func TestIssuerUnreachable(t *testing.T) {
	for name, c := range map[string]struct {
		dead  bool
		fault func(to *node, method string, run func() error) error
		this  model.Ran
		runs  int
	}{
		"dead":              {dead: true, this: model.RanNo},
		"not sent":          {fault: func(*node, string, func() error) error { return lostCall{sent: false} }, this: model.RanNo},
		"unknown error":     {fault: func(*node, string, func() error) error { return errors.New("odd") }, this: model.RanMaybe},
		"answer lost":       {fault: func(_ *node, _ string, run func() error) error { _ = run(); return lostCall{sent: true} }, this: model.RanMaybe, runs: 1},
		"paused for a time": {fault: func(_ *node, _ string, run func() error) error { time.Sleep(5 * time.Second); return run() }, this: model.RanMaybe, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net, nodes := cluster(t, 3)
				id := tickets(t, nodes[0], 1)[0]
				nodes[0].unreachable, net.fault = c.dead, c.fault
				if c.dead {
					net.fault = nil
				}
				for range 2 {
					wantAnswer(t, failed(model.RanMaybe, c.this, model.FailIssuerLost), nodes[1].intake.Submit(t.Context(), job(id, "")))
				}
				if diff := cmp.Diff(map[bool]int{true: 0, false: 2}[c.dead], net.calls[methodSubmit]); diff != "" {
					t.Fatalf("forwards:\n%s", diff)
				}
				if c.dead && net.calls[methodHolder] != 1 {
					t.Fatalf("%d queries for the holder", net.calls[methodHolder])
				}
				time.Sleep(10 * time.Second)
				wantStarts(t, net, id, c.runs)
			})
		})
	}
}

// An instance that has just started does not know its peers yet. Submissions that arrive
// in this time have to wait for the issuer instead of failing.
func TestIssuerThatBecomesKnownSoonAfterTheStartIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := cluster(t, 3)
		id := tickets(t, nodes[0], 1)[0]
		nodes[0].unreachable = true // not yet known to the peers
		go func() {
			time.Sleep(200 * time.Millisecond)
			net.mu.Lock()
			defer net.mu.Unlock()
			nodes[0].unreachable = false
		}()
		got := make([]model.Answer, 4)
		for k := range got {
			go func() { got[k] = nodes[1+k%2].intake.Submit(t.Context(), job(id, "")) }()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		for _, a := range got {
			wantAnswer(t, complete, a)
		}
		wantStarts(t, net, id, 1)
	})
}

// Each submission on a ticket of a removed instance would otherwise wait for
// searchTimeout and query the peers.
func TestSearchForARemovedIssuerEndsAndIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := cluster(t, 3)
		id := tickets(t, nodes[0], 1)[0]
		nodes[0].unreachable = true
		for _, limit := range []time.Duration{searchTimeout, 0, 0} {
			began := time.Now()
			wantAnswer(t, failed(model.RanMaybe, model.RanNo, model.FailIssuerLost), nodes[1].intake.Submit(t.Context(), job(id, "")))
			if took := time.Since(began); took != limit {
				t.Fatalf("the search took %v, want %v", took, limit)
			}
		}
		if diff := cmp.Diff(1, net.calls[methodHolder]); diff != "" {
			t.Fatalf("queries (-want +got):\n%s", diff)
		}
	})
}

// Two instances that both take the other for the holder would otherwise forward a
// submission to each other without end.
func TestForwardedSubmissionIsNotForwardedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := cluster(t, 2)
		id := tickets(t, nodes[0], 1)[0]
		got, err := nodes[1].intake.serveSubmit(t.Context(), submitParams{ID: id, Job: job(id, ""), Digest: "d", LeftMillis: 1000, Forwards: 1})
		if err != nil || net.calls[methodSubmit] != 0 {
			t.Fatal(err, net.calls)
		}
		wantAnswer(t, failed(model.RanMaybe, model.RanNo, model.FailIssuerLost), got)
		for _, p := range []submitParams{{Job: job("", ""), Digest: "d"}, {ID: id, Job: job(id, "")}} {
			if _, err := nodes[1].intake.serveSubmit(t.Context(), p); err == nil {
				t.Fatalf("an incomplete submission was accepted: %+v", p)
			}
		}

		nodes[1].intake.holders.set(nodes[0].name, "gone")
		got, err = nodes[1].intake.serveSubmit(t.Context(), submitParams{ID: id, Job: job(id, ""), Digest: "d", LeftMillis: 1000, Forwards: 1})
		if err != nil || net.calls[methodHolder] != 0 {
			t.Fatal(err, net.calls)
		}
		wantAnswer(t, failed(model.RanMaybe, model.RanNo, model.FailIssuerLost), got)
	})
}

func TestHoldersFollowAChainOfHandovers(t *testing.T) {
	h := holders{adopters: make(map[string]string)}
	h.set("a", "b")
	h.set("b", "c")
	holder, ok := h.lookup("a")
	if diff := cmp.Diff("c", holder); !ok || diff != "" {
		t.Fatal(ok, diff)
	}
	h.set("c", "a")
	h.lookup("a") // terminates although the chain is a cycle
}

// A peer that runs a job up to its deadline answers a little later. The forwarding
// instance has to wait for this answer, which states that the job ran.
func TestAnswerOfAPeerAtTheDeadlineArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := cluster(t, 2)
		net.fault = func(_ *node, _ string, run func() error) error {
			time.Sleep(10 * time.Millisecond)
			defer time.Sleep(10 * time.Millisecond)
			return run()
		}
		nodes[0].work = time.Hour
		id := tickets(t, nodes[0], 1)[0]
		wantAnswer(t, failed(model.RanYes, "", model.FailDeadline), nodes[1].intake.Submit(t.Context(), job(id, "")))
	})
}

func TestDisconnectedCallerStopsOnlyAJobWithoutTicketOrKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := cluster(t, 2)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		id := tickets(t, nodes[0], 1)[0]
		got := make([]model.Answer, 3)
		for k, j := range []model.Job{job("", ""), job(id, ""), job("", "key")} {
			go func() { got[k] = nodes[0].intake.Submit(ctx, j) }()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		wantAnswer(t, failed(model.RanYes, "", model.FailDeadline), got[0])
		for k := 1; k < 3; k++ {
			wantAnswer(t, failed(model.RanMaybe, model.RanMaybe, model.FailDeadline), got[k])
		}
		wantAnswer(t, complete, nodes[1].intake.Submit(t.Context(), job(id, "")))
		wantAnswer(t, complete, nodes[1].intake.Submit(t.Context(), job("", "key")))
		wantStarts(t, net, id, 1)
	})
}

func TestJobsWithoutTicketOrKeyRunOnEachSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := cluster(t, 1)
		for range 3 {
			wantAnswer(t, complete, nodes[0].intake.Submit(t.Context(), job("", "")))
		}
		if diff := cmp.Diff(3, len(nodes[0].starts)); diff != "" {
			t.Fatal(diff)
		}
		nodes[0].refuse = true
		wantAnswer(t, failed(model.RanNo, "", model.FailOverloaded), nodes[0].intake.Submit(t.Context(), job("", "")))
		nodes[0].intake.Close(t.Context())
		<-nodes[0].intake.Done()
		wantAnswer(t, failed(model.RanNo, "", model.FailStopping), nodes[0].intake.Submit(t.Context(), job("", "")))
		wantAnswer(t, failed(model.RanMaybe, model.RanNo, model.FailStopping), nodes[0].intake.Submit(t.Context(), job("", "k")))
	})
}

// The monotonic clock of the Go runtime stops while a machine is suspended. Without a
// second clock, a job would be started after its deadline when the machine resumes.
func TestSuspendedInstanceStartsNothingPastTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := cluster(t, 1)
		var suspended time.Duration
		nodes[0].intake.options.Clock = func() time.Duration {
			suspended += time.Second // a second passes between two calls
			return suspended
		}
		id := tickets(t, nodes[0], 1)[0]
		wantAnswer(t, failed(model.RanNo, "", model.FailDeadline), nodes[0].intake.Submit(t.Context(), job(id, "")))
		wantStarts(t, net, id, 0)
	})
}

func TestRefusedTicketOrKeyRunsOnItsNextSubmission(t *testing.T) {
	for _, key := range []string{"", "key"} {
		t.Run(key, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net, nodes := cluster(t, 3)
				j := job("", key)
				if key == "" {
					j.Ticket = tickets(t, nodes[0], 1)[0]
				}
				nodes[0].refuse = true
				for k := range 3 {
					wantAnswer(t, failed(model.RanNo, "", model.FailOverloaded), nodes[k%2].intake.Submit(t.Context(), j))
				}

				nodes[0].refuse = false
				got := nodes[2].intake.Submit(t.Context(), j)
				wantAnswer(t, complete, got)
				wantAnswer(t, complete, nodes[1].intake.Submit(t.Context(), j))
				wantStarts(t, net, got.JobID, 1)
			})
		})
	}
}

func TestPanicOfTheRunnerFailsTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := cluster(t, 1)
		nodes[0].started = func() { panic("injected") }
		id := tickets(t, nodes[0], 1)[0]
		for range 2 {
			wantAnswer(t, failed(model.RanMaybe, "", model.FailInternal), nodes[0].intake.Submit(t.Context(), job(id, "")))
		}
	})
}

func TestKeyRunsOnceAcrossInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := cluster(t, 3)
		got := make([]model.Answer, 6)
		for k := range got {
			go func() { got[k] = nodes[k%3].intake.Submit(t.Context(), job("", "key")) }()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		for _, a := range got {
			wantAnswer(t, complete, a)
			wantStarts(t, net, a.JobID, 1)
			if a.JobID != got[0].JobID {
				t.Fatal("two jobs for one key")
			}
		}
		for _, n := range nodes {
			for counter := range uint64(2) { // ids that were issued for the key but not claimed
				id := ticket.ID{Incarnation: n.name, Counter: counter}.String()
				if _, err := n.store.Lookup(id); id != got[0].JobID && ticketErrorKind(err) != ticket.KindExpired {
					t.Fatalf("%s: %v", id, err)
				}
			}
		}
		other := job("", "key")
		other.Repeatable = true
		wantAnswer(t, failed(model.RanMaybe, model.RanNo, model.FailKeyConflict), nodes[0].intake.Submit(t.Context(), other))
		time.Sleep(2 * time.Minute)
		wantAnswer(t, failed(model.RanMaybe, model.RanNo, model.FailKeyUsed), nodes[1].intake.Submit(t.Context(), job("", "key")))
	})
}

// A claim whose response was lost may have taken effect. The id that it set for the key
// has to remain usable.
func TestClaimWithALostResponseIsBegunByTheNextSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := cluster(t, 2)
		net.tableDown = true
		refused := nodes[0].intake.Submit(t.Context(), job("", "key"))
		wantAnswer(t, failed(model.RanMaybe, model.RanNo, model.FailStoreDown), refused)
		if refused.JobID != "" || refused.Error.RetryAfterMillis == 0 || len(nodes[0].starts) != 0 {
			t.Fatal(refused, nodes[0].starts)
		}

		net.tableDown = false
		got := nodes[1].intake.Submit(t.Context(), job("", "key"))
		wantAnswer(t, complete, got)
		if diff := cmp.Diff(1, nodes[0].starts[got.JobID]); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestStatusAndCancelReachTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := cluster(t, 2)
		ids := tickets(t, nodes[0], 2)
		var got model.Answer
		go func() { got = nodes[0].intake.Submit(t.Context(), job(ids[0], "")) }()
		synctest.Wait()

		for _, n := range nodes {
			status, err := n.intake.Status(t.Context(), ids[0])
			if diff := cmp.Diff(model.JobStatus{JobID: ids[0], Open: true}, status); err != nil || diff != "" {
				t.Fatal(err, diff)
			}
			var e *Error
			if _, err := n.intake.Status(t.Context(), ids[1]); !errors.As(err, &e) || e.Failure().Kind != model.FailUnknownID {
				t.Fatal(err)
			}
		}
		for _, id := range ids {
			if err := nodes[1].intake.Cancel(t.Context(), id); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		wantAnswer(t, failed(model.RanYes, "", model.FailCancelled), got)
		wantAnswer(t, failed(model.RanNo, "", model.FailCancelled), nodes[1].intake.Submit(t.Context(), job(ids[1], "")))

		nodes[0].unreachable = true
		status, err := nodes[1].intake.Status(t.Context(), ids[0])
		if err != nil {
			t.Fatal(err)
		}
		wantAnswer(t, failed(model.RanMaybe, "", model.FailIssuerLost), *status.Answer)
	})
}

func TestHandoverNeitherLosesNorRepeatsJobs(t *testing.T) {
	for name, fault := range map[string]func(to *node, method string, run func() error) error{
		"no fault": nil,
		"answer to the adoption lost": func() func(to *node, method string, run func() error) error {
			var calls atomic.Int64
			return func(_ *node, method string, run func() error) error {
				err := run()
				if method == methodAdopt && calls.Add(1)%2 == 1 {
					return lostCall{sent: true}
				}
				return err
			}
		}(),
		"preferred peer not reached": func(to *node, method string, run func() error) error {
			if method == methodAdopt && to.name == "0000000000000002" {
				return lostCall{sent: false}
			}
			return run()
		},
		"announcement lost": func(_ *node, method string, run func() error) error {
			if method == methodHolder {
				time.Sleep(50 * time.Millisecond)
				return errors.New("lost")
			}
			return run()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net, nodes := cluster(t, 4)
				ids := tickets(t, nodes[0], 30)
				submit := func(n *node, id string) { wantAnswer(t, complete, n.intake.Submit(t.Context(), job(id, ""))) }
				submit(nodes[0], ids[0])
				var wg sync.WaitGroup
				wg.Go(func() { submit(nodes[3], ids[1]) }) // still open when the handover begins
				synctest.Wait()

				net.fault = fault
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				wg.Go(func() {
					if err := nodes[0].intake.HandOver(ctx); err != nil {
						t.Error(err)
					}
				})
				synctest.Wait()
				for k, id := range ids[:10] { // sent to the stopping instance
					wg.Go(func() { submit(nodes[[]int{0, 3}[k%2]], id) })
				}
				wg.Go(func() { wantAnswer(t, complete, nodes[0].intake.Submit(t.Context(), job("", "key"))) })
				wg.Go(func() {
					if status, err := nodes[3].intake.Status(t.Context(), ids[1]); err != nil || status.JobID != ids[1] {
						t.Error(status, err)
					}
				})
				wg.Go(func() {
					if err := nodes[0].intake.Cancel(t.Context(), ids[29]); err != nil {
						t.Error(err)
					}
				})
				wg.Wait()
				wantAnswer(t, failed(model.RanNo, "", model.FailCancelled), nodes[2].intake.Submit(t.Context(), job(ids[29], "")))
				ids = ids[:29]

				nodes[0].unreachable = true
				net.fault = nil
				for k, id := range ids {
					submit(nodes[1+k%3], id)
					wantStarts(t, net, id, 1)
				}
				if err := nodes[1].intake.HandOver(ctx); err != nil { // a second handover, to the next peer
					t.Fatal(err)
				}
				nodes[1].unreachable = true
				for k, id := range ids {
					submit(nodes[2+k%2], id)
					wantStarts(t, net, id, 1)
				}
			})
		})
	}
}

// If two peers adopted the same ids, each could start the job of an id.
func TestHandoverIsNotOfferedToASecondPeerWhenTheFirstMayHaveAdoptedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := cluster(t, 3)
		id := tickets(t, nodes[0], 1)[0]
		net.fault = func(to *node, method string, run func() error) error {
			if method == methodAdopt && to == nodes[1] {
				time.Sleep(30 * time.Second) // paused, and adopts the part afterwards
			}
			return run()
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := nodes[0].intake.HandOver(ctx); err == nil {
			t.Fatal("no error")
		}
		if nodes[2].store.Holds(nodes[0].name) {
			t.Fatal("a second peer adopted the ids")
		}
		wantAnswer(t, failed(model.RanMaybe, model.RanNo, model.FailStopping), nodes[0].intake.Submit(t.Context(), job(id, "")))
		if _, err := nodes[0].intake.IssueTickets(1); err == nil {
			t.Fatal("a stopping instance issued a ticket")
		}
		result, err := nodes[2].intake.serveAdopt(t.Context(), adoptParams{Target: nodes[1].name})
		if err != nil || result.Adopted {
			t.Fatal("adopted a part that was offered to another incarnation", err)
		}
		time.Sleep(time.Minute)
	})
}

func TestHandoverReportsUnfinishedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := cluster(t, 2)
		id := tickets(t, nodes[0], 1)[0]
		nodes[0].work = time.Hour
		slow := job(id, "")
		slow.DeadlineMillis = 60_000
		go nodes[0].intake.Submit(t.Context(), slow)
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		var e *Error
		if err := nodes[0].intake.HandOver(ctx); !errors.As(err, &e) || e.Err.Error() != "1 jobs were still open" {
			t.Fatal(err)
		}
		wantAnswer(t, failed(model.RanMaybe, model.RanNo, model.FailUnknownID), nodes[1].intake.Submit(t.Context(), job(id, "")))
	})
}

func TestDigestCoversAllButDeadlineTicketAndKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := job(rapid.String().Draw(t, "ticket"), rapid.String().Draw(t, "key"))
		a.DeadlineMillis = rapid.Int64().Draw(t, "deadline")
		text, _ := json.Marshal(a)
		var b model.Job
		if err := json.Unmarshal(text, &b); err != nil {
			t.Fatal(err)
		}
		b.Ticket, b.IdempotencyKey, b.DeadlineMillis = "", "", 0
		c := b
		c.Service = rapid.StringN(1, 8, 8).Draw(t, "service")
		one, _ := jobDigest(a)
		two, _ := jobDigest(b)
		three, _ := jobDigest(c)
		if one != two || one == three {
			t.Fatal(one, two, three)
		}
	})
}

// runModel accepts the history of a ticket or key if it has at most one start, if
// no submission after the start got an answer with Ran "no", and if all complete
// answers come after the start and name the same job.
var runModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byName := make(map[string][]porcupine.Operation)
		for _, op := range history {
			byName[op.Input.(string)] = append(byName[op.Input.(string)], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byName {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		a, answered := output.(model.Answer)
		switch {
		case !answered:
			return state == "", "started"
		case a.Ran == model.RanNo:
			return state == "", state
		case a.Result != model.Complete:
			return true, state
		}
		return state == "started" || state == a.JobID, a.JobID
	},
}

// TestRacingSubmissionsUnderFaultsRunOnce submits the same tickets and keys from many
// callers at several instances, with lost and delayed calls, refused jobs and a handover,
// and checks that no job starts twice and that no answer contradicts a start.
func TestRacingSubmissionsUnderFaultsRunOnce(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	if text := os.Getenv("FOXTAILMUX_SEED"); text != "" {
		seed, _ = strconv.ParseUint(text, 10, 64)
	}
	t.Logf("FOXTAILMUX_SEED=%d", seed)

	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 3))
		var mu sync.Mutex
		draw := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(n)
		}
		net, nodes := cluster(t, 4)
		ids := append(tickets(t, nodes[0], 8), tickets(t, nodes[1], 8)...)
		net.fault = func(_ *node, _ string, run func() error) error {
			time.Sleep(time.Duration(draw(20)) * time.Millisecond)
			switch draw(8) {
			case 0:
				return lostCall{sent: false}
			case 1:
				_ = run()
				return lostCall{sent: true}
			case 2:
				time.Sleep(time.Duration(draw(3000)) * time.Millisecond)
			}
			return run()
		}

		for _, n := range nodes {
			n.refusesAtRandom = func() bool { return draw(3) == 0 }
		}

		var history []porcupine.Operation
		var wg sync.WaitGroup
		for client := range 20 {
			wg.Go(func() {
				for range 5 {
					time.Sleep(time.Duration(draw(100)) * time.Millisecond)
					j, name := job("", fmt.Sprint("key", draw(6))), ""
					if draw(3) > 0 {
						j = job(ids[draw(len(ids))], "")
					}
					name = j.Ticket + j.IdempotencyKey
					call := time.Now().UnixNano()
					answer := nodes[draw(len(nodes))].intake.Submit(t.Context(), j)
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: client, Input: name, Call: call, Output: answer, Return: time.Now().UnixNano()})
					mu.Unlock()
				}
			})
		}
		wg.Go(func() {
			time.Sleep(time.Duration(draw(300)) * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_ = nodes[0].intake.HandOver(ctx) // may fail because of the injected faults
		})
		wg.Wait()
		time.Sleep(10 * time.Second)

		net.mu.Lock()
		runs := slices.Clone(net.history)
		net.mu.Unlock()
		if !porcupine.CheckOperations(runModel, slices.Concat(history, runs)) {
			t.Error("the answers and starts of a ticket or key contradict one another")
		}
		notRun := map[string]bool{}
		for _, op := range history {
			a := op.Output.(model.Answer)
			if n := net.starts(a.JobID); n > 1 || (n == 0 && a.Result == model.Complete) {
				t.Errorf("%d starts of %s, answer %+v", n, a.JobID, a)
			}
			name := op.Input.(string)
			others, seen := notRun[name]
			notRun[name] = a.Ran == model.RanNo && (others || !seen)
		}
		for _, op := range runs {
			if notRun[op.Input.(string)] {
				t.Errorf("%s started, though all of its answers have ran \"no\"", op.Input)
			}
		}
		for _, id := range ids {
			if n := net.starts(id); n > 1 {
				t.Errorf("%d starts of %s", n, id)
			}
		}
	})
}

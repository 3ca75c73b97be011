package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"foxtailmux/model"
	"foxtailmux/queue"
)

// fakeLocal is a scheduler that runs every task at once, or refuses every job.
type fakeLocal struct {
	slotsByOwner map[string]int
	load         model.Load
	refuses      bool

	mu      sync.Mutex
	ran     []string
	pinned  []string
	waiting []*queue.Job
}

func (l *fakeLocal) Load() model.Load {
	l.mu.Lock()
	defer l.mu.Unlock()

	load := l.load
	load.QueuedTasks += len(l.waiting)
	return load
}

// TakeForwardable returns jobs of one task each.
func (l *fakeLocal) TakeForwardable(_ string, max int) []*queue.Job {
	l.mu.Lock()
	defer l.mu.Unlock()

	taken := l.waiting[:min(max, len(l.waiting))]
	l.waiting = l.waiting[len(taken):]
	return taken
}

func (l *fakeLocal) PoolLoad(string) model.Load         { return l.Load() }
func (l *fakeLocal) SlotsByOwner(string) map[string]int { return l.slotsByOwner }

func (l *fakeLocal) NeverFits(string, model.Resources) bool { return false }

func (l *fakeLocal) Submit(j *queue.Job) error {
	if l.refuses {
		return eris.New("full")
	}
	for _, it := range j.Items {
		l.mu.Lock()
		l.ran = append(l.ran, it.Request.TaskID)
		if j.Pinned {
			l.pinned = append(l.pinned, it.Request.TaskID)
		}
		l.mu.Unlock()
		it.Deliver(done())
	}
	return nil
}

func done() queue.Outcome {
	return queue.Outcome{Reply: model.TaskReply{Outcome: model.OutcomeDone}}
}

// fakePeers passes calls on to other relays, or fails them.
type fakePeers struct {
	peers  []Peer
	relays map[string]*Relay
	fail   error

	mu    sync.Mutex
	calls []string
}

func (p *fakePeers) Alive() []Peer { return p.peers }

func (p *fakePeers) Call(ctx context.Context, peerID, method string, params, result any) error {
	p.mu.Lock()
	p.calls = append(p.calls, method)
	p.mu.Unlock()
	if p.fail != nil {
		return p.fail
	}

	body, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := p.relays[peerID].ServeRun(ctx, body)
	if err != nil {
		return err
	}
	body, err = json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, result)
}

type callFailure struct{ sent bool }

func (f callFailure) Error() string { return fmt.Sprintf("call failed, sent %v", f.sent) }
func (f callFailure) Sent() bool    { return f.sent }

type noopObserver struct{}

func (noopObserver) Forwarded(string)       {}
func (noopObserver) Message(string, string) {}

func newPair(local, remote *fakeLocal) (*Relay, *fakePeers) {
	remoteRelay := &Relay{DataCentre: "dc1", Local: remote, Peers: &fakePeers{}, Observer: noopObserver{}}
	peers := &fakePeers{
		peers:  []Peer{{ID: "e2", DataCentre: "dc1", Load: remote.load}},
		relays: map[string]*Relay{"e2": remoteRelay},
	}
	if local.slotsByOwner == nil {
		local.slotsByOwner = map[string]int{"e2": max(1, remote.load.Slots)}
	}
	localRelay := &Relay{
		DataCentre: "dc1", Local: local, Peers: peers, Observer: noopObserver{},
		SpillOver: func() bool { return true },
	}
	return localRelay, peers
}

func submit(t *testing.T, r *Relay, tasks int) []queue.Outcome {
	t.Helper()

	outcomes := make([]queue.Outcome, tasks)
	var waiting sync.WaitGroup
	waiting.Add(tasks)
	j := &queue.Job{Context: t.Context(), ID: "j", Pool: "p", Deadline: time.Now().Add(time.Minute)}
	for i := range tasks {
		j.Items = append(j.Items, &queue.Item{
			Request: model.StartRequest{TaskID: fmt.Sprint(i)},
			Deliver: func(o queue.Outcome) {
				outcomes[i] = o
				waiting.Done()
			},
		})
	}
	if err := r.Submit(j); err != nil {
		t.Fatal(err)
	}
	waiting.Wait()
	return outcomes
}

func TestJobStaysLocalWhileASlotIsFree(t *testing.T) {
	local := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 3}}
	remote := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r, peers := newPair(local, remote)

	submit(t, r, 3)
	if diff := cmp.Diff([]string(nil), peers.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

func TestWideJobSpreadsInOneCallToEachPeer(t *testing.T) {
	local := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	remote := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r, peers := newPair(local, remote)

	for i, o := range submit(t, r, 16) {
		if o.Reply.Outcome != model.OutcomeDone {
			t.Errorf("task %d: %+v", i, o)
		}
	}
	if diff := cmp.Diff([]string{MethodRun}, peers.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(8, len(remote.ran)); diff != "" {
		t.Errorf("tasks on the peer (-want +got):\n%s", diff)
	}
}

func TestForwardThatWasNotSentRunsLocally(t *testing.T) {
	local := &fakeLocal{load: model.Load{Slots: 8}}
	remote := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r, peers := newPair(local, remote)
	peers.fail = callFailure{sent: false}

	for i, o := range submit(t, r, 4) {
		if o.Reply.Outcome != model.OutcomeDone {
			t.Errorf("task %d: %+v", i, o)
		}
	}
	if diff := cmp.Diff(4, len(local.ran)); diff != "" {
		t.Errorf("tasks run locally (-want +got):\n%s", diff)
	}
}

func TestForwardWithoutAnAnswerIsUnknownAndRunsNowhereElse(t *testing.T) {
	local := &fakeLocal{load: model.Load{Slots: 8}}
	remote := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r, peers := newPair(local, remote)
	peers.fail = callFailure{sent: true}

	for i, o := range submit(t, r, 4) {
		if o.Err == nil || o.NotRun {
			t.Errorf("task %d: %+v, want an unconfirmed outcome", i, o)
		}
	}
	if diff := cmp.Diff([]string(nil), local.ran); diff != "" {
		t.Errorf("tasks run locally (-want +got):\n%s", diff)
	}
}

func TestTasksThatThePeerRefusesRunLocally(t *testing.T) {
	local := &fakeLocal{load: model.Load{Slots: 8}}
	remote := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}, refuses: true}
	r, _ := newPair(local, remote)

	submit(t, r, 4)
	if diff := cmp.Diff(4, len(local.ran)); diff != "" {
		t.Errorf("tasks run locally (-want +got):\n%s", diff)
	}
}

func TestExpiredBatchIsNotRun(t *testing.T) {
	local := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r := &Relay{Local: local, Peers: &fakePeers{}, Observer: noopObserver{}}

	got, err := r.ServeRun(t.Context(), json.RawMessage(`{"jobId":"j","leftMillis":0,"tasks":[{},{}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := BatchReply{Outcomes: []TaskOutcome{{NotRun: true}, {NotRun: true}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reply (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string(nil), local.ran); diff != "" {
		t.Errorf("tasks run locally (-want +got):\n%s", diff)
	}
}

func TestRefusedJobSpillsOverToADataCentreWithFreeSlots(t *testing.T) {
	local := &fakeLocal{load: model.Load{Slots: 8}, refuses: true}
	remote := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r, peers := newPair(local, remote)
	peers.peers[0].DataCentre = "dc2"

	submit(t, r, 4)
	if diff := cmp.Diff(4, len(remote.ran)); diff != "" {
		t.Errorf("tasks run in the other data centre (-want +got):\n%s", diff)
	}
}

// Right after an entry instance joined, it may own the workers although its last
// heartbeat, sent before that, reported no slots.
func TestJobIsForwardedToAPeerOfUnknownSizeRatherThanRefused(t *testing.T) {
	local := &fakeLocal{refuses: true}
	remote := &fakeLocal{}
	r, _ := newPair(local, remote)

	submit(t, r, 4)
	if diff := cmp.Diff(4, len(remote.ran)); diff != "" {
		t.Errorf("tasks on the peer (-want +got):\n%s", diff)
	}
}

// waitingJobs returns jobs of one task each and a group that is done when all their
// outcomes are delivered.
func waitingJobs(t *testing.T, count int) ([]*queue.Job, *sync.WaitGroup) {
	var ended sync.WaitGroup
	ended.Add(count)
	var jobs []*queue.Job
	for i := range count {
		j := &queue.Job{Context: t.Context(), ID: fmt.Sprint("w", i), Deadline: time.Now().Add(time.Minute)}
		j.Items = []*queue.Item{{
			Request: model.StartRequest{TaskID: j.ID},
			Deliver: func(queue.Outcome) { ended.Done() },
		}}
		jobs = append(jobs, j)
	}
	return jobs, &ended
}

func TestWaitingTasksMoveToAPeerThatBecameIdle(t *testing.T) {
	local := &fakeLocal{load: model.Load{Slots: 1}}
	remote := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 3}}
	r, peers := newPair(local, remote)
	peers.peers[0].Load = model.Load{Slots: 8, QueuedTasks: 100}
	peers.peers[0].LastHeartbeat = time.Now()
	jobs, ended := waitingJobs(t, 3)
	local.waiting = jobs

	r.rebalance("p")
	if len(remote.ran) > 0 {
		t.Fatalf("%v were forwarded to a peer without a free slot", remote.ran)
	}

	r.peerLoads.record("e2", remote.load)
	r.rebalance("p")
	ended.Wait()
	if len(remote.ran) != 3 || len(local.ran) != 0 {
		t.Errorf("%v ran on the peer, %v locally", remote.ran, local.ran)
	}
}

func TestTaskThatAPeerReturnedStaysLocal(t *testing.T) {
	local := &fakeLocal{load: model.Load{Slots: 1}}
	remote := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}, refuses: true}
	r, _ := newPair(local, remote)
	jobs, ended := waitingJobs(t, 2)
	local.waiting = jobs

	r.rebalance("p")
	ended.Wait()
	if len(local.pinned) != 2 {
		t.Errorf("pinned locally: %v, want both", local.pinned)
	}
}

func TestPeerLoadIsTheNewestPlusForwardedTasks(t *testing.T) {
	var l peerLoads
	began := time.Now()
	p := Peer{ID: "e2", Load: model.Load{Slots: 8, FreeSlots: 8}, LastHeartbeat: began}

	check := func(step string, wantFree, wantSince int) {
		t.Helper()
		load, since := l.get(p)
		if load.FreeSlots != wantFree || since != wantSince {
			t.Errorf("%s: %d free, %d since, want %d and %d", step, load.FreeSlots, since, wantFree, wantSince)
		}
	}
	check("first heartbeat", 8, 0)
	l.addForwarded("e2", 3)
	check("forwarded", 8, 3)
	l.record("e2", model.Load{Slots: 8, FreeSlots: 2})
	check("reported by a reply", 2, 0)
	l.addForwarded("e2", 1)
	check("older heartbeat", 2, 1)
	p.Load.FreeSlots, p.LastHeartbeat = 5, time.Now().Add(time.Second)
	check("newer heartbeat", 5, 0)
}

func TestJobIsForwardedToTheOwnerOfItsPool(t *testing.T) {
	// This instance and e2 have free slots of another pool only.
	local := &fakeLocal{load: model.Load{}, slotsByOwner: map[string]int{"e3": 8}, refuses: true}
	remote := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r, peers := newPair(local, remote)
	peers.peers = []Peer{
		{ID: "e2", DataCentre: "dc1", Load: model.Load{Slots: 64, FreeSlots: 64}},
		{ID: "e3", DataCentre: "dc1", Load: model.Load{Slots: 16, FreeSlots: 16}},
	}
	peers.relays["e3"] = peers.relays["e2"]
	delete(peers.relays, "e2")

	submit(t, r, 4)
	if diff := cmp.Diff(4, len(remote.ran)); diff != "" {
		t.Errorf("tasks on the instance with the pool (-want +got):\n%s", diff)
	}
}

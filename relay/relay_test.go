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

// fakeLocal answers every task at once, or refuses all.
type fakeLocal struct {
	homes   map[string]int
	load    model.Load
	refuses bool

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
func (l *fakeLocal) SlotsByOwner(string) map[string]int { return l.homes }

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

// fakePeers routes calls to other relays, or fails them.
type fakePeers struct {
	members []Peer
	relays  map[string]*Relay
	fail    error

	mu    sync.Mutex
	calls []string
}

func (p *fakePeers) Alive() []Peer { return p.members }

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

type nothing struct{}

func (nothing) Forwarded(string)       {}
func (nothing) Message(string, string) {}

func newPair(here, there *fakeLocal) (*Relay, *fakePeers) {
	far := &Relay{DataCentre: "dc1", Local: there, Peers: &fakePeers{}, Observer: nothing{}}
	peers := &fakePeers{
		members: []Peer{{ID: "e2", DataCentre: "dc1", Load: there.load}},
		relays:  map[string]*Relay{"e2": far},
	}
	if here.homes == nil {
		here.homes = map[string]int{"e2": max(1, there.load.Slots)}
	}
	near := &Relay{
		DataCentre: "dc1", Local: here, Peers: peers, Observer: nothing{},
		SpillOver: func() bool { return true },
	}
	return near, peers
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

func TestJobStaysHereWhileASlotIsFree(t *testing.T) {
	here := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 3}}
	there := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r, peers := newPair(here, there)

	submit(t, r, 3)
	if diff := cmp.Diff([]string(nil), peers.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

func TestWideJobSpreadsInOneCallToEachPeer(t *testing.T) {
	here := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	there := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r, peers := newPair(here, there)

	for i, o := range submit(t, r, 16) {
		if o.Reply.Outcome != model.OutcomeDone {
			t.Errorf("task %d: %+v", i, o)
		}
	}
	if diff := cmp.Diff([]string{MethodRun}, peers.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(8, len(there.ran)); diff != "" {
		t.Errorf("tasks on the peer (-want +got):\n%s", diff)
	}
}

func TestForwardThatWasNotSentRunsHere(t *testing.T) {
	here := &fakeLocal{load: model.Load{Slots: 8}}
	there := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r, peers := newPair(here, there)
	peers.fail = callFailure{sent: false}

	for i, o := range submit(t, r, 4) {
		if o.Reply.Outcome != model.OutcomeDone {
			t.Errorf("task %d: %+v", i, o)
		}
	}
	if diff := cmp.Diff(4, len(here.ran)); diff != "" {
		t.Errorf("tasks here (-want +got):\n%s", diff)
	}
}

func TestForwardWithoutAnAnswerIsUnknownAndRunsNowhereElse(t *testing.T) {
	here := &fakeLocal{load: model.Load{Slots: 8}}
	there := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r, peers := newPair(here, there)
	peers.fail = callFailure{sent: true}

	for i, o := range submit(t, r, 4) {
		if o.Err == nil || o.NotRun {
			t.Errorf("task %d: %+v, want an unknown outcome", i, o)
		}
	}
	if diff := cmp.Diff([]string(nil), here.ran); diff != "" {
		t.Errorf("tasks here (-want +got):\n%s", diff)
	}
}

func TestTasksThatThePeerRefusesRunHere(t *testing.T) {
	here := &fakeLocal{load: model.Load{Slots: 8}}
	there := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}, refuses: true}
	r, _ := newPair(here, there)

	submit(t, r, 4)
	if diff := cmp.Diff(4, len(here.ran)); diff != "" {
		t.Errorf("tasks here (-want +got):\n%s", diff)
	}
}

func TestExpiredBatchIsNotRun(t *testing.T) {
	local := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r := &Relay{Local: local, Peers: &fakePeers{}, Observer: nothing{}}

	got, err := r.ServeRun(t.Context(), json.RawMessage(`{"jobId":"j","leftMillis":0,"tasks":[{},{}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := BatchReply{Outcomes: []TaskOutcome{{NotRun: true}, {NotRun: true}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reply (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string(nil), local.ran); diff != "" {
		t.Errorf("tasks here (-want +got):\n%s", diff)
	}
}

func TestRefusedJobSpillsToADataCentreWithRoom(t *testing.T) {
	here := &fakeLocal{load: model.Load{Slots: 8}, refuses: true}
	there := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r, peers := newPair(here, there)
	peers.members[0].DataCentre = "dc2"

	submit(t, r, 4)
	if diff := cmp.Diff(4, len(there.ran)); diff != "" {
		t.Errorf("tasks elsewhere (-want +got):\n%s", diff)
	}
}

// Right after a join the workers may have moved to a peer whose last heartbeat
// was sent before it had any.
func TestJobIsForwardedToAPeerOfUnknownSizeRatherThanRefused(t *testing.T) {
	here := &fakeLocal{refuses: true}
	there := &fakeLocal{}
	r, _ := newPair(here, there)

	submit(t, r, 4)
	if diff := cmp.Diff(4, len(there.ran)); diff != "" {
		t.Errorf("tasks on the peer (-want +got):\n%s", diff)
	}
}

// waitingJobs returns jobs of one task each and a group that ends with them.
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

func TestWaitingTasksMoveToAPeerThatTurnedIdle(t *testing.T) {
	here := &fakeLocal{load: model.Load{Slots: 1}}
	there := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 3}}
	near, peers := newPair(here, there)
	peers.members[0].Load = model.Load{Slots: 8, QueuedTasks: 100}
	peers.members[0].LastHeartbeat = time.Now()
	jobs, ended := waitingJobs(t, 3)
	here.waiting = jobs

	near.rebalance("p")
	if len(there.ran) > 0 {
		t.Fatalf("%v went to a peer without a free slot", there.ran)
	}

	near.loads.tell("e2", there.load)
	near.rebalance("p")
	ended.Wait()
	if len(there.ran) != 3 || len(here.ran) != 0 {
		t.Errorf("%v ran there, %v here", there.ran, here.ran)
	}
}

func TestTaskThatAPeerGaveBackStaysHere(t *testing.T) {
	here := &fakeLocal{load: model.Load{Slots: 1}}
	there := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}, refuses: true}
	near, _ := newPair(here, there)
	jobs, ended := waitingJobs(t, 2)
	here.waiting = jobs

	near.rebalance("p")
	ended.Wait()
	if len(here.pinned) != 2 {
		t.Errorf("pinned here: %v, want both", here.pinned)
	}
}

func TestLoadOfAPeerIsTheNewestPlusWhatWentThereSince(t *testing.T) {
	var l loads
	began := time.Now()
	m := Peer{ID: "e2", Load: model.Load{Slots: 8, FreeSlots: 8}, LastHeartbeat: began}

	check := func(step string, wantFree, wantSince int) {
		t.Helper()
		load, since := l.of(m)
		if load.FreeSlots != wantFree || since != wantSince {
			t.Errorf("%s: %d free, %d since, want %d and %d", step, load.FreeSlots, since, wantFree, wantSince)
		}
	}
	check("first heartbeat", 8, 0)
	l.forwarded("e2", 3)
	check("forwarded", 8, 3)
	l.tell("e2", model.Load{Slots: 8, FreeSlots: 2})
	check("told by a reply", 2, 0)
	l.forwarded("e2", 1)
	check("older heartbeat", 2, 1)
	m.Load.FreeSlots, m.LastHeartbeat = 5, time.Now().Add(time.Second)
	check("newer heartbeat", 5, 0)
}

func TestJobGoesWhereItsPoolHasWorkers(t *testing.T) {
	// This instance and the second have free slots of another pool only.
	here := &fakeLocal{load: model.Load{}, homes: map[string]int{"e3": 8}, refuses: true}
	there := &fakeLocal{load: model.Load{Slots: 8, FreeSlots: 8}}
	r, peers := newPair(here, there)
	peers.members = []Peer{
		{ID: "e2", DataCentre: "dc1", Load: model.Load{Slots: 64, FreeSlots: 64}},
		{ID: "e3", DataCentre: "dc1", Load: model.Load{Slots: 16, FreeSlots: 16}},
	}
	peers.relays["e3"] = peers.relays["e2"]
	delete(peers.relays, "e2")

	submit(t, r, 4)
	if diff := cmp.Diff(4, len(there.ran)); diff != "" {
		t.Errorf("tasks on the instance with the pool (-want +got):\n%s", diff)
	}
}

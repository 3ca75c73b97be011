package sched

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailmux/config"
	"foxtailmux/kernel"
	"foxtailmux/model"
	"foxtailmux/place"
	"foxtailmux/queue"
	"foxtailmux/worker"
)

// Observer counts what the scheduler does.
type Observer interface {
	TaskStarted()
	Retried(reason string)
	Message(purpose, kind string)
	QueueLength(tasks int)
	QueueWait(d time.Duration)
}

// Estimator learns how long tasks run.
type Estimator interface {
	Observe(service string, run time.Duration)
	Expect(service string, declared time.Duration) time.Duration
}

// Scheduler owns the run queue of an instance and the slots of the workers
// that it may start tasks on.
type Scheduler struct {
	self       string
	dataCentre string
	dial       worker.Dialer
	observer   Observer
	estimator  Estimator

	mu        sync.Mutex
	document  config.Document
	maxQueued int
	policy    place.Policy
	owner     place.OwnerFunc
	queue     *queue.Queue
	workers   map[string]*worker.Worker
	owned     []*worker.Worker
	running   map[string]time.Duration // expected run time of the attempts of each pool
	elsewhere []model.Worker

	attempts conc.WaitGroup
}

// New returns a scheduler of the instance self without workers. Apply must be
// called before the first job is submitted.
func New(self, dataCentre string, dial worker.Dialer, observer Observer, estimator Estimator) *Scheduler {
	return &Scheduler{
		self:       self,
		dataCentre: dataCentre,
		dial:       dial,
		observer:   observer,
		estimator:  estimator,
		owner:      func(string) string { return self },
		workers:    map[string]*worker.Worker{},
		running:    map[string]time.Duration{},
	}
}

// SetMaxQueued bounds the tasks of all pools that wait on this instance; 0 is
// no bound.
func (s *Scheduler) SetMaxQueued(tasks int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.maxQueued = tasks
}

// Apply brings a configuration into force.
func (s *Scheduler) Apply(document config.Document) error {
	policy, err := place.Policies.Get(document.Placement.Policy)
	if err != nil {
		return &Error{Op: "apply configuration", Kind: KindPlugin, Err: err}
	}
	order, err := queue.Orders.Get(document.Placement.Order)
	if err != nil {
		return &Error{Op: "apply configuration", Kind: KindPlugin, Err: err}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.document = document
	s.policy = policy
	if s.queue == nil {
		s.queue = queue.New(order)
	}
	s.queue.SetOrder(order)
	s.refreshOwned()
	s.pump()
	return nil
}

// SetOwnerFunc replaces the function that returns the owner of a worker: the
// entry instance that its slots are assigned to. It is called when entry
// instances join or leave.
func (s *Scheduler) SetOwnerFunc(owner place.OwnerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.owner = owner
	s.refreshOwned()
	s.pump()
}

// Submit queues the items of a job. Until it returns an error every item's
// Deliver is called exactly once, after an error none is.
func (s *Scheduler) Submit(j *queue.Job) error {
	for _, it := range j.Items {
		it.ExpectedRun = s.estimator.Expect(it.Request.Service, it.ExpectedRun)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if err := s.admit(j); err != nil {
		return err
	}

	s.queue.Push(j)
	context.AfterFunc(j.Context, func() { s.withdraw(j) })
	s.pump()
	return nil
}

// TakeForwardable removes up to max waiting tasks of a pool that may be
// forwarded to another instance, beginning with the job that is last in the
// queue's order. They are returned in copies of their jobs.
func (s *Scheduler) TakeForwardable(pool string, max int) []*queue.Job {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.queue == nil {
		return nil
	}
	taken := s.queue.TakeLast(pool, time.Now(), max)
	s.observer.QueueLength(s.queue.Len())
	return taken
}

// slots counts the slots of the workers of a pool that take new work.
func (s *Scheduler) slots(pool string) int {
	var sum int
	for _, w := range s.owned {
		if w.Info.Pool == pool && !w.Leaving {
			sum += w.Info.Slots
		}
	}
	return sum
}

// withdraw takes out the items of a job that nobody waits for any more.
func (s *Scheduler) withdraw(j *queue.Job) {
	s.mu.Lock()
	items := s.queue.Remove(j)
	s.observer.QueueLength(s.queue.Len())
	s.mu.Unlock()

	for _, it := range items {
		it.Deliver(endedOutcome(j))
	}
}

func endedOutcome(j *queue.Job) queue.Outcome {
	err := &Error{Op: "wait for a slot", Kind: KindEnded, Err: context.Cause(j.Context)}
	return queue.Outcome{Err: err, NotRun: true}
}

// pump starts waiting tasks while a worker has room. The lock is held.
func (s *Scheduler) pump() {
	if s.queue == nil {
		return
	}

	now := time.Now()
	var unmet []demand
	for s.queue.Len() > 0 && s.startNext(now, &unmet) {
	}
	s.giveBackStranded()
	s.observer.QueueLength(s.queue.Len())
}

func (s *Scheduler) startNext(now time.Time, unmet *[]demand) bool {
	w, j, it := s.next(now, unmet)
	if w == nil {
		return false
	}

	s.claim(w, it)
	s.observer.QueueWait(now.Sub(j.Arrived))
	s.attempts.Go(func() { s.attempt(w, j, it) })
	return true
}

// demand is what decides which workers can take a task.
type demand struct {
	pool  string
	needs model.Resources
}

// next takes the next item out of the queue and chooses its worker. Unmet
// collects the demands that no worker has room for; as long as none gets
// room, they are not looked for again.
func (s *Scheduler) next(now time.Time, unmet *[]demand) (*worker.Worker, *queue.Job, *queue.Item) {
	if !s.anyFree(now) {
		return nil, nil, nil
	}

	var candidates []place.Candidate
	j, it := s.queue.Pop(now, func(j *queue.Job, it *queue.Item) bool {
		wanted := demand{pool: j.Pool, needs: it.Request.Needs}
		if slices.Contains(*unmet, wanted) {
			return false
		}
		candidates = s.candidates(wanted, now)
		if len(candidates) == 0 {
			*unmet = append(*unmet, wanted)
		}
		return len(candidates) > 0
	})
	if it == nil {
		return nil, nil, nil
	}
	return candidates[s.policy.Choose(candidates)].Worker, j, it
}

func (s *Scheduler) anyFree(now time.Time) bool {
	for _, w := range s.owned {
		if w.Free(now) > 0 {
			return true
		}
	}
	return false
}

func (s *Scheduler) candidates(d demand, now time.Time) []place.Candidate {
	var list []place.Candidate
	for _, w := range s.owned {
		free := w.Free(now)
		if free > 0 && w.Info.Pool == d.pool && w.Fits(d.needs) {
			list = append(list, place.Candidate{Worker: w, FreeSlots: free})
		}
	}
	return list
}

// Wait returns when every attempt has ended or the context is done.
func (s *Scheduler) Wait(ctx context.Context) error {
	if err := kernel.Await(ctx, s.attempts.Wait); err != nil {
		return &Error{Op: "wait for attempts", Kind: KindEnded, Err: err}
	}
	return nil
}

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

// Observer receives the events of a Scheduler, for metrics. Its methods are
// called with the scheduler's lock held and must not block. Message counts a
// message to a worker; its purpose is "needed" or "wasted".
type Observer interface {
	TaskStarted()
	Retried(reason string)
	Message(purpose, kind string)
	QueueLength(tasks int)
	QueueWait(d time.Duration)
}

// Estimator estimates the run time of a service's tasks from the run times
// observed so far and the declared one.
type Estimator interface {
	Observe(service string, run time.Duration)
	Expect(service string, declared time.Duration) time.Duration
}

// Scheduler queues the tasks of one entry instance and starts them on workers
// of its data centre. It counts the slots of the workers that its placement
// policy lets it use, called owned workers here, and starts a task only on one
// that has a free slot.
type Scheduler struct {
	self       string
	dataCentre string
	dial       worker.Dialer
	observer   Observer
	estimator  Estimator

	mu            sync.Mutex
	document      config.Document
	maxQueued     int
	policy        place.Policy
	ownerOf       place.OwnerFunc
	queue         *queue.Queue
	workers       map[string]*worker.Worker
	owned         []*worker.Worker
	inFlight      map[string]time.Duration // expected run time of the attempts in progress, by pool
	remoteWorkers []model.Worker           // of the other data centres

	attempts conc.WaitGroup
}

// New returns a scheduler without workers for the entry instance with the ID
// self. Apply must be called before the first job is submitted.
func New(self, dataCentre string, dial worker.Dialer, observer Observer, estimator Estimator) *Scheduler {
	return &Scheduler{
		self:       self,
		dataCentre: dataCentre,
		dial:       dial,
		observer:   observer,
		estimator:  estimator,
		ownerOf:    func(string) string { return self },
		workers:    map[string]*worker.Worker{},
		inFlight:   map[string]time.Duration{},
	}
}

// SetMaxQueued limits the number of tasks of all pools that wait on this
// instance; 0 means no limit.
func (s *Scheduler) SetMaxQueued(tasks int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.maxQueued = tasks
}

// Apply puts a configuration into force. It returns an *Error of KindPlugin if
// the placement policy or the queue order is not registered.
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
	s.dispatch()
	return nil
}

// SetOwnerFunc replaces the function that returns the owner of a worker: the ID of
// the entry instance that the worker's slots are assigned to. SetOwnerFunc has to
// be called after each change of the entry instances.
func (s *Scheduler) SetOwnerFunc(owner place.OwnerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.ownerOf = owner
	s.refreshOwned()
	s.dispatch()
}

// Submit queues the items of a job. If it returns nil, Deliver of every item is
// called exactly once; if it returns an *Error, the job was refused and Deliver
// is never called.
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
	context.AfterFunc(j.Context, func() { s.removeEnded(j) })
	s.dispatch()
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

// acceptingSlots returns the number of slots, free or not, of the owned workers
// of a pool that accept new tasks. The lock is held.
func (s *Scheduler) acceptingSlots(pool string) int {
	var sum int
	for _, w := range s.owned {
		if w.Info.Pool == pool && !w.Leaving {
			sum += w.Info.Slots
		}
	}
	return sum
}

// removeEnded removes the waiting items of a job whose context has ended and
// delivers them as not run.
func (s *Scheduler) removeEnded(j *queue.Job) {
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

// dispatch starts waiting tasks until no owned worker has capacity for one. The
// lock is held.
func (s *Scheduler) dispatch() {
	if s.queue == nil {
		return
	}

	now := time.Now()
	var unsatisfied []requirement
	for s.queue.Len() > 0 && s.startNext(now, &unsatisfied) {
	}
	s.returnUnservable()
	s.observer.QueueLength(s.queue.Len())
}

func (s *Scheduler) startNext(now time.Time, unsatisfied *[]requirement) bool {
	w, j, it := s.chooseNext(now, unsatisfied)
	if w == nil {
		return false
	}

	s.reserve(w, it)
	s.observer.QueueWait(now.Sub(j.Arrived))
	s.attempts.Go(func() { s.attempt(w, j, it) })
	return true
}

// requirement is the part of a task that decides which workers can run it.
type requirement struct {
	pool  string
	needs model.Resources
}

// chooseNext removes the next item that a worker has capacity for from the
// queue and returns it with its job and that worker, or nil. Requirements that
// no worker has capacity for are added to unsatisfied and skipped from then on,
// since a dispatch only takes capacity.
func (s *Scheduler) chooseNext(now time.Time, unsatisfied *[]requirement) (*worker.Worker, *queue.Job, *queue.Item) {
	if !s.anySlotFree(now) {
		return nil, nil, nil
	}

	var candidates []place.Candidate
	j, it := s.queue.Pop(now, func(j *queue.Job, it *queue.Item) bool {
		wanted := requirement{pool: j.Pool, needs: it.Request.Needs}
		if slices.Contains(*unsatisfied, wanted) {
			return false
		}
		candidates = s.candidates(wanted, now)
		if len(candidates) == 0 {
			*unsatisfied = append(*unsatisfied, wanted)
		}
		return len(candidates) > 0
	})
	if it == nil {
		return nil, nil, nil
	}
	return candidates[s.policy.Choose(candidates)].Worker, j, it
}

func (s *Scheduler) anySlotFree(now time.Time) bool {
	for _, w := range s.owned {
		if w.FreeSlots(now) > 0 {
			return true
		}
	}
	return false
}

func (s *Scheduler) candidates(r requirement, now time.Time) []place.Candidate {
	var list []place.Candidate
	for _, w := range s.owned {
		free := w.FreeSlots(now)
		if free > 0 && w.Info.Pool == r.pool && w.Fits(r.needs) {
			list = append(list, place.Candidate{Worker: w, FreeSlots: free})
		}
	}
	return list
}

// Wait returns nil when every attempt in progress has ended, or an *Error of
// KindEnded when the context is done first.
func (s *Scheduler) Wait(ctx context.Context) error {
	if err := kernel.Await(ctx, s.attempts.Wait); err != nil {
		return &Error{Op: "wait for attempts", Kind: KindEnded, Err: err}
	}
	return nil
}

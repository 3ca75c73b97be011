package ticket

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/model"
)

const sweepInterval = time.Second

// Limits bound what a store holds. Retention counts from the minting of an
// unused id, AnswerRetention from the answer of a used one; 0 takes Retention.
// Above MaxAnswerBytes, the oldest answers go first; 0 means no bound.
type Limits struct {
	MaxHeldIDs      int
	Retention       time.Duration
	AnswerRetention time.Duration
	MaxAnswerBytes  int64
}

func (l Limits) answerRetention() time.Duration {
	if l.AnswerRetention == 0 {
		return l.Retention
	}
	return l.AnswerRetention
}

// Store keeps the ids of one entry instance and those it adopted.
type Store struct {
	incarnation string
	limits      func() Limits
	stop        chan struct{}
	stopOnce    sync.Once
	done        chan struct{}

	mu       sync.Mutex
	spaces   map[string]*space
	answered []*Entry // in the order of their answers
	bytes    int64    // of these answers
	held     int
	open     int           // begun ids that wait for their answer
	idle     chan struct{} // made by an export, closed when open is 0
	sealed   bool          // unused ids belong to another instance
}

// NewStore returns the store of an instance and starts its expiry. The
// incarnation is 16 lower-case hex digits.
func NewStore(incarnation string, limits func() Limits) *Store {
	s := &Store{
		incarnation: incarnation,
		limits:      limits,
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
		spaces:      map[string]*space{incarnation: newSpace()},
	}
	go s.sweep()
	return s
}

// Close ends the expiry. What the store holds can still be read.
func (s *Store) Close() { s.stopOnce.Do(func() { close(s.stop) }) }

// Done is closed when the expiry has ended.
func (s *Store) Done() <-chan struct{} { return s.done }

// Issue returns n new ids. KindFull tells that the bound on held ids leaves no
// room for them, KindHandedOver that the instance is stopping.
func (s *Store) Issue(n int) ([]string, error) {
	limits := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.sealed {
		return nil, handedOver("mint", s.incarnation)
	}
	if n < 1 || n > limits.MaxHeldIDs-s.held {
		return nil, &Error{Op: "mint", Kind: KindFull, Err: eris.Errorf("%d ids asked for, %d of %d held", n, s.held, limits.MaxHeldIDs)}
	}

	own := s.spaces[s.incarnation]
	first := own.next
	own.next += uint64(n)
	own.batches = append(own.batches, batch{first: first, end: own.next, expires: time.Now().Add(limits.Retention)})
	s.held += n

	ids := make([]string, n)
	for i := range ids {
		ids[i] = ID{Incarnation: s.incarnation, Counter: first + uint64(i)}.String()
	}
	return ids, nil
}

// Release drops an unused id that was minted alone; it then counts as expired.
func (s *Store) Release(id string) {
	parsed, err := Parse(id)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	sp := s.spaces[parsed.Incarnation]
	if sp == nil {
		return
	}
	if b := sp.batchOf(parsed.Counter); b != nil && b.end-b.first == 1 {
		b.expires = time.Time{}
	}
}

// BeginWithoutTicket begins a job on an id of its own that nobody can resubmit on. The
// entry is forgotten with its answer.
func (s *Store) BeginWithoutTicket() *Entry {
	s.mu.Lock()
	defer s.mu.Unlock()

	own := s.spaces[s.incarnation]
	id := ID{Incarnation: s.incarnation, Counter: own.next}
	own.next++

	e := &Entry{store: s, id: id, transient: true}
	own.entries[id.Counter] = e
	s.held++
	return e
}

// Begin returns the entry of the id. When first is true, the caller has to
// run the job and call Finish; for everyone else there is Wait. The kinds of
// errors are KindMalformed, KindUnknown, KindExpired, KindConflict and
// KindHandedOver.
func (s *Store) Begin(id, digest string) (entry *Entry, first bool, err error) {
	parsed, err := Parse(id)
	if err != nil {
		return nil, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	sp, e, err := s.find("begin", parsed)
	if err != nil {
		return nil, false, err
	}
	if e != nil {
		return joined(e, digest)
	}

	s.open++
	return s.use(sp, parsed, digest), true, nil
}

func joined(e *Entry, digest string) (entry *Entry, first bool, err error) {
	if e.transient || (e.digest != "" && e.digest != digest) {
		return nil, false, &Error{Op: "begin", Kind: KindConflict, Err: eris.Errorf("id %s was used with another job", e.id)}
	}
	return e, false, nil
}

// use makes the entry of an unused id.
func (s *Store) use(sp *space, id ID, digest string) *Entry {
	e := &Entry{store: s, id: id, digest: digest}
	sp.entries[id.Counter] = e
	sp.batchOf(id.Counter).begun++
	return e
}

// find returns the id's space and entry; the entry is nil if the id is unused.
func (s *Store) find(op string, id ID) (*space, *Entry, error) {
	sp := s.spaces[id.Incarnation]
	// The minter of an adopted sequence may have started jobs on ids that came
	// after its hand-over.
	if sp == nil || (id.Counter >= sp.next && id.Incarnation == s.incarnation) {
		return nil, nil, &Error{Op: op, Kind: KindUnknown, Err: eris.Errorf("id %s was never minted here", id)}
	}
	if e := sp.entries[id.Counter]; e != nil {
		return sp, e, nil
	}
	b := sp.batchOf(id.Counter)
	if b == nil || b.expires.IsZero() {
		return nil, nil, &Error{Op: op, Kind: KindExpired, Err: eris.Errorf("id %s is past its retention", id)}
	}
	if b.isSpent(id.Counter) {
		return nil, nil, &Error{Op: op, Kind: KindDropped, Err: eris.Errorf("id %s was used, and its answer is no longer kept", id)}
	}
	if s.sealed {
		return nil, nil, handedOver(op, id.String())
	}
	return sp, nil, nil
}

func handedOver(op, id string) error {
	return &Error{Op: op, Kind: KindHandedOver, Err: eris.Errorf("%s belongs to another instance", id)}
}

// Holds reports whether the store answers for the ids of an incarnation.
func (s *Store) Holds(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.spaces[incarnation] != nil
}

// Size returns how many ids take up room, and how many of them are open.
func (s *Store) Size() (held, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.held, s.open
}

// Cancel stops the id's job. An unused id is answered as cancelled, so that a
// submission that arrives later does not run. The kinds of errors are those
// of Begin.
func (s *Store) Cancel(id string) error {
	parsed, err := Parse(id)
	if err != nil {
		return err
	}
	s.mu.Lock()
	sp, e, err := s.find("cancel", parsed)
	if err != nil {
		s.mu.Unlock()
		return err
	}

	unused := e == nil
	if unused {
		s.open++
		e = s.use(sp, parsed, "")
	}
	stop := e.markCanceled()
	s.mu.Unlock()

	if unused {
		e.Finish(model.Fail(id, model.RanNo, model.FailCancelled, "cancelled before it was submitted"))
		return nil
	}
	if stop != nil {
		stop()
	}
	return nil
}

// Lookup returns the state of the id's job. Besides the kinds of errors of
// Begin there is KindUnused.
func (s *Store) Lookup(id string) (model.JobStatus, error) {
	parsed, err := Parse(id)
	if err != nil {
		return model.JobStatus{}, err
	}
	s.mu.Lock()
	_, e, err := s.find("lookup", parsed)
	s.mu.Unlock()

	if err != nil {
		return model.JobStatus{}, err
	}
	if e == nil {
		return model.JobStatus{}, &Error{Op: "lookup", Kind: KindUnused, Err: eris.Errorf("no job was submitted on id %s", id)}
	}
	return e.status(), nil
}

// finished accounts for an entry that was answered.
func (s *Store) finished(e *Entry, limits Limits) {
	sp := s.spaces[e.id.Incarnation]
	now := time.Now()
	switch {
	case e.transient:
		delete(sp.entries, e.id.Counter)
		s.held--
		return
	case e.reusable():
		sp.giveBack(e.id.Counter, now.Add(limits.Retention))
	default:
		e.setExpires(now.Add(limits.answerRetention()))
		s.keep(e)
		s.evict(limits.MaxAnswerBytes)
	}

	s.open--
	if s.open == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

func (s *Store) sweep() {
	defer close(s.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ticker.C:
			s.expire(time.Now())
		case <-s.stop:
			return
		}
	}
}

func (s *Store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, sp := range s.spaces {
		s.held -= sp.expire(now)
	}

	for len(s.answered) > 0 && s.answered[0].expired(now) {
		s.dropOldest()
	}
}

// keep adds an answered entry to those that are kept.
func (s *Store) keep(e *Entry) {
	s.answered = append(s.answered, e)
	s.bytes += e.bytes()
}

// evict drops the oldest answers above the bound.
func (s *Store) evict(maxBytes int64) {
	for maxBytes > 0 && s.bytes > maxBytes {
		s.dropOldest()
	}
}

// dropOldest forgets an answer. Its id never becomes unused again: the batch
// that covers it, if there still is one, remembers that it is spent.
func (s *Store) dropOldest() {
	e := s.answered[0]
	s.answered[0] = nil
	s.answered = s.answered[1:]
	s.bytes -= e.bytes()
	s.held--
	s.spaces[e.id.Incarnation].spend(e.id.Counter)
}

package ticket

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/model"
)

const sweepInterval = time.Second

// Limits bound the ids and answers that a store holds. MaxHeldIDs counts the
// unused, open and answered ids. Retention is how long an unused id is kept after
// it was issued. AnswerRetention is how long an answer is kept; 0 means Retention.
// While the answers take more than MaxAnswerBytes, the oldest is dropped; 0 means
// no bound.
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

// Store keeps the ids of one entry instance and those that it adopted from others.
// It is safe for concurrent use.
type Store struct {
	incarnation string
	limits      func() Limits
	stop        chan struct{}
	stopOnce    sync.Once
	done        chan struct{}

	mu          sync.Mutex
	sequences   map[string]*idSequence
	answered    []*Entry      // in the order in which they were answered here or adopted
	answerBytes int64         // approximate memory of these answers
	heldIDs     int           // unused, open and answered ids of all sequences
	openJobs    int           // jobs on tickets or keys that have no answer yet
	noneOpen    chan struct{} // made by Export, closed when openJobs is 0
	exported    bool          // set by Export: unused ids belong to another instance from then on
}

// NewStore returns the store of an instance and starts a goroutine that removes
// expired ids until Close. The incarnation consists of 16 lower-case hex digits.
func NewStore(incarnation string, limits func() Limits) *Store {
	s := &Store{
		incarnation: incarnation,
		limits:      limits,
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
		sequences:   map[string]*idSequence{incarnation: newIDSequence()},
	}
	go s.sweep()
	return s
}

// Close ends the removal of expired ids. The store can still be read.
func (s *Store) Close() { s.stopOnce.Do(func() { close(s.stop) }) }

// Done returns a channel that is closed when the removal of expired ids has ended.
func (s *Store) Done() <-chan struct{} { return s.done }

// Issue returns n new ids. An *Error of kind KindFull means that the store would
// hold more than MaxHeldIDs, one of kind KindHandedOver that the instance is
// stopping.
func (s *Store) Issue(n int) ([]string, error) {
	limits := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.exported {
		return nil, handedOver("mint", s.incarnation)
	}
	if n < 1 || n > limits.MaxHeldIDs-s.heldIDs {
		return nil, &Error{Op: "mint", Kind: KindFull, Err: eris.Errorf("%d ids asked for, %d of %d held", n, s.heldIDs, limits.MaxHeldIDs)}
	}

	own := s.sequences[s.incarnation]
	first := own.next
	own.next += uint64(n)
	own.batches = append(own.batches, batch{first: first, end: own.next, expires: time.Now().Add(limits.Retention)})
	s.heldIDs += n

	ids := make([]string, n)
	for i := range ids {
		ids[i] = ID{Incarnation: s.incarnation, Counter: first + uint64(i)}.String()
	}
	return ids, nil
}

// Release gives up an unused id that was issued alone; it then counts as expired.
// It does nothing for an id of a larger batch.
func (s *Store) Release(id string) {
	parsed, err := Parse(id)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	seq := s.sequences[parsed.Incarnation]
	if seq == nil {
		return
	}
	if b := seq.batchOf(parsed.Counter); b != nil && b.end-b.first == 1 {
		b.expires = time.Time{}
	}
}

// BeginWithoutTicket begins a job on a new id that no other submission can use.
// The entry is removed as soon as it has its answer.
func (s *Store) BeginWithoutTicket() *Entry {
	s.mu.Lock()
	defer s.mu.Unlock()

	own := s.sequences[s.incarnation]
	id := ID{Incarnation: s.incarnation, Counter: own.next}
	own.next++

	e := &Entry{store: s, id: id, transient: true}
	own.entries[id.Counter] = e
	s.heldIDs++
	return e
}

// Begin returns the entry of the id for a job with the given digest. If first is
// true, this is the first submission: the caller has to run the job and call
// Finish. Otherwise the caller gets the answer from Wait. Errors are of kind
// KindMalformed, KindUnknown, KindExpired, KindDropped, KindConflict or
// KindHandedOver.
func (s *Store) Begin(id, digest string) (entry *Entry, first bool, err error) {
	parsed, err := Parse(id)
	if err != nil {
		return nil, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	seq, e, err := s.find("begin", parsed)
	if err != nil {
		return nil, false, err
	}
	if e != nil {
		return joinEntry(e, digest)
	}

	s.openJobs++
	return s.addEntry(seq, parsed, digest), true, nil
}

// joinEntry returns the entry to a later submission, unless it was made for another
// job.
func joinEntry(e *Entry, digest string) (entry *Entry, first bool, err error) {
	if e.transient || (e.digest != "" && e.digest != digest) {
		return nil, false, &Error{Op: "begin", Kind: KindConflict, Err: eris.Errorf("id %s was used with another job", e.id)}
	}
	return e, false, nil
}

// addEntry adds an entry for an unused id.
func (s *Store) addEntry(seq *idSequence, id ID, digest string) *Entry {
	e := &Entry{store: s, id: id, digest: digest}
	seq.entries[id.Counter] = e
	seq.batchOf(id.Counter).begunCount++
	return e
}

// find returns the sequence and the entry of an id; the entry is nil if the id is
// unused.
func (s *Store) find(op string, id ID) (*idSequence, *Entry, error) {
	seq := s.sequences[id.Incarnation]
	// In an adopted sequence, an id from next on counts as expired rather than as
	// never issued: its issuer may have started jobs without a ticket on such ids
	// after the export.
	if seq == nil || (id.Counter >= seq.next && id.Incarnation == s.incarnation) {
		return nil, nil, &Error{Op: op, Kind: KindUnknown, Err: eris.Errorf("id %s was never minted here", id)}
	}
	if e := seq.entries[id.Counter]; e != nil {
		return seq, e, nil
	}
	b := seq.batchOf(id.Counter)
	if b == nil || b.expires.IsZero() {
		return nil, nil, &Error{Op: op, Kind: KindExpired, Err: eris.Errorf("id %s is past its retention", id)}
	}
	if b.isDropped(id.Counter) {
		return nil, nil, &Error{Op: op, Kind: KindDropped, Err: eris.Errorf("id %s was used, and its answer is no longer kept", id)}
	}
	if s.exported {
		return nil, nil, handedOver(op, id.String())
	}
	return seq, nil, nil
}

func handedOver(op, id string) error {
	return &Error{Op: op, Kind: KindHandedOver, Err: eris.Errorf("%s belongs to another instance", id)}
}

// Holds reports whether the store holds the ids of an incarnation, as its issuer or
// by adoption.
func (s *Store) Holds(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.sequences[incarnation] != nil
}

// Size returns the number of unused, open and answered ids, and the number of open
// jobs on tickets or keys.
func (s *Store) Size() (held, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.heldIDs, s.openJobs
}

// Cancel stops the job of the id. An unused id gets the answer that its job was
// cancelled, so that a submission that arrives later does not run. Errors are of
// the kinds that Begin returns, except KindConflict.
func (s *Store) Cancel(id string) error {
	parsed, err := Parse(id)
	if err != nil {
		return err
	}
	s.mu.Lock()
	seq, e, err := s.find("cancel", parsed)
	if err != nil {
		s.mu.Unlock()
		return err
	}

	unused := e == nil
	if unused {
		s.openJobs++
		e = s.addEntry(seq, parsed, "")
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

// Lookup returns the state of the job of the id. Errors are of the kinds that
// Cancel returns, or of kind KindUnused if no job was submitted on the id yet.
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

// recordAnswer updates the store after an entry got its answer: it removes the
// entry, makes its id unused again, or retains the answer.
func (s *Store) recordAnswer(e *Entry, limits Limits) {
	seq := s.sequences[e.id.Incarnation]
	now := time.Now()
	switch {
	case e.transient:
		delete(seq.entries, e.id.Counter)
		s.heldIDs--
		return
	case e.reusable():
		seq.makeUnused(e.id.Counter, now.Add(limits.Retention))
	default:
		e.setExpires(now.Add(limits.answerRetention()))
		s.retain(e)
		s.evict(limits.MaxAnswerBytes)
	}

	s.openJobs--
	if s.openJobs == 0 && s.noneOpen != nil {
		close(s.noneOpen)
		s.noneOpen = nil
	}
}

// sweep removes expired ids every sweepInterval until Close.
func (s *Store) sweep() {
	defer close(s.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ticker.C:
			s.removeExpired(time.Now())
		case <-s.stop:
			return
		}
	}
}

// removeExpired removes the unused ids and the answers that have expired. An answer
// stays while one that the store got before has not expired.
func (s *Store) removeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, seq := range s.sequences {
		s.heldIDs -= seq.removeExpired(now)
	}

	for len(s.answered) > 0 && s.answered[0].expired(now) {
		s.dropOldest()
	}
}

// retain adds an entry to the kept answers.
func (s *Store) retain(e *Entry) {
	s.answered = append(s.answered, e)
	s.answerBytes += e.memoryBytes()
}

// evict drops the oldest answers until the others take at most maxBytes.
func (s *Store) evict(maxBytes int64) {
	for maxBytes > 0 && s.answerBytes > maxBytes {
		s.dropOldest()
	}
}

// dropOldest drops the oldest answer. Its id must never become unused again, since
// its job would run twice: the batch that covers the id, if there still is one,
// marks it as dropped.
func (s *Store) dropOldest() {
	e := s.answered[0]
	s.answered[0] = nil
	s.answered = s.answered[1:]
	s.answerBytes -= e.memoryBytes()
	s.heldIDs--
	s.sequences[e.id.Incarnation].dropEntry(e.id.Counter)
}

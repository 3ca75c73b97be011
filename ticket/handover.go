package ticket

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/model"
)

// maxAdoptedShare bounds what imports may bring the store to, as a multiple
// of Limits.MaxOpen.
const maxAdoptedShare = 2

// maxSequences bounds the incarnations that a store answers for. An adopted
// one stays known for the life of the process, so that a late copy of its
// hand-over is recognised.
const maxSequences = 4096

// Handover is what a stopping instance passes on. Times travel as what is
// left of them, since the clocks of two instances need not agree.
type Handover struct {
	Part      int             `json:"part"`
	Parts     int             `json:"parts"`
	Sequences []SequenceState `json:"spaces"`
}

// SequenceState is the state of one incarnation's ids. Ids below Next that are
// neither in Unused nor in Answered are expired.
type SequenceState struct {
	Incarnation string       `json:"incarnation"`
	Next        uint64       `json:"next"`
	Unused      []IDRange    `json:"unused,omitempty"`
	Answered    []AnsweredID `json:"answered,omitempty"`
}

// IDRange is a run of unused ids, End excluded.
type IDRange struct {
	First      uint64 `json:"first"`
	End        uint64 `json:"end"`
	LeftMillis int64  `json:"leftMillis"`
}

// AnsweredID is an id whose job has its answer.
type AnsweredID struct {
	Counter    uint64       `json:"counter"`
	Digest     string       `json:"digest"`
	LeftMillis int64        `json:"leftMillis"`
	Answer     model.Answer `json:"answer"`
}

// Export closes the store to new jobs, waits for the open ones and returns
// what is left. From the first moment on, every call on an unused id returns
// KindHandedOver; a used one can still be joined and asked for. When the
// context ends early, cut counts the jobs that were still open; they are left
// out.
func (s *Store) Export(ctx context.Context) (handover Handover, cut int) {
	s.mu.Lock()
	s.sealed = true
	idle := s.idle
	if s.open > 0 && idle == nil {
		idle = make(chan struct{})
		s.idle = idle
	}
	s.mu.Unlock()

	if idle != nil {
		select {
		case <-idle:
		case <-ctx.Done():
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	handover = Handover{Parts: 1}
	for incarnation, sp := range s.spaces {
		handover.Sequences = append(handover.Sequences, sp.export(incarnation, now))
	}
	return handover, s.open
}

func (s *space) export(incarnation string, now time.Time) SequenceState {
	q := SequenceState{Incarnation: incarnation, Next: s.next}
	for _, b := range s.batches {
		q.Unused = append(q.Unused, s.unused(b, now)...)
	}
	for counter, e := range s.entries {
		expires := e.expiresAt()
		if e.transient || expires.IsZero() {
			continue
		}
		left := expires.Sub(now).Milliseconds()
		q.Answered = append(q.Answered, AnsweredID{Counter: counter, Digest: e.digest, LeftMillis: left, Answer: *e.status().Answer})
	}
	slices.SortFunc(q.Answered, func(a, b AnsweredID) int { return int(int64(a.Counter) - int64(b.Counter)) })
	return q
}

// unused returns the runs of a batch that no job was begun on.
func (s *space) unused(b batch, now time.Time) []IDRange {
	left := b.expires.Sub(now).Milliseconds()
	if left <= 0 {
		return nil
	}

	var spans []IDRange
	first := b.first
	for counter := b.first; counter <= b.end; counter++ {
		if counter < b.end && s.entries[counter] == nil && !b.isSpent(counter) {
			continue
		}
		if first < counter {
			spans = append(spans, IDRange{First: first, End: counter, LeftMillis: left})
		}
		first = counter + 1
	}
	return spans
}

// Import adopts a part of what another instance held. The same part again
// changes nothing. KindFull and KindHandedOver tell that nothing of it was
// adopted, KindMalformed that it contradicts itself.
func (s *Store) Import(h Handover) error {
	limits := s.limits()
	limit := maxAdoptedShare * limits.MaxHeldIDs
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.sealed {
		return handedOver("import", s.incarnation)
	}
	if err := h.check(); err != nil {
		return err
	}
	if ids := h.ids(); ids > limit-s.held {
		return &Error{Op: "import", Kind: KindFull, Err: eris.Errorf("%d ids offered, %d of %d held", ids, s.held, limit)}
	}

	if len(s.spaces)+len(h.Sequences) > maxSequences {
		return &Error{Op: "import", Kind: KindFull, Err: eris.Errorf("%d sequences held", len(s.spaces))}
	}

	now := time.Now()
	for _, q := range h.Sequences {
		s.adopt(q, h.Part, now)
	}
	s.evict(limits.MaxAnswerBytes)
	return nil
}

func (s *Store) adopt(q SequenceState, part int, now time.Time) {
	if q.Incarnation == s.incarnation {
		return
	}
	sp := s.spaces[q.Incarnation]
	if sp == nil {
		sp = newSpace()
		sp.parts = make(map[int]bool)
		s.spaces[q.Incarnation] = sp
	}
	if sp.parts == nil || sp.parts[part] {
		return
	}

	before := sp.held()
	sp.parts[part] = true
	sp.next = max(sp.next, q.Next)
	for _, u := range q.Unused {
		sp.batches = append(sp.batches, batch{first: u.First, end: u.End, expires: now.Add(millis(u.LeftMillis))})
	}
	slices.SortFunc(sp.batches, func(a, b batch) int { return int(int64(a.first) - int64(b.first)) })
	for _, a := range q.Answered {
		if sp.entries[a.Counter] != nil {
			continue
		}
		e := s.adopted(q.Incarnation, a, now)
		sp.entries[a.Counter] = e
		s.keep(e)
	}
	s.held += int(sp.held() - before)
}

func (s *Store) adopted(incarnation string, a AnsweredID, now time.Time) *Entry {
	return &Entry{
		store:   s,
		id:      ID{Incarnation: incarnation, Counter: a.Counter},
		digest:  a.Digest,
		answer:  &a.Answer,
		expires: now.Add(millis(a.LeftMillis)),
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// check refuses sequences whose ids are out of order or out of range.
func (h Handover) check() error {
	for _, q := range h.Sequences {
		if _, err := Parse(ID{Incarnation: q.Incarnation}.String()); err != nil {
			return err
		}
		var end uint64
		for _, u := range q.Unused {
			if u.First < end || u.End <= u.First || u.End > q.Next {
				return &Error{Op: "import", Kind: KindMalformed, Err: eris.Errorf("span %d to %d of %d is out of order", u.First, u.End, q.Next)}
			}
			end = u.End
		}
		if err := q.checkAnswered(); err != nil {
			return err
		}
	}
	return nil
}

// checkAnswered refuses answered ids that are out of order, were never minted
// or are unused at the same time. The spans are in order.
func (q SequenceState) checkAnswered() error {
	least := uint64(0)
	unused := q.Unused
	for _, a := range q.Answered {
		if a.Counter < least || a.Counter >= q.Next {
			return &Error{Op: "import", Kind: KindMalformed, Err: eris.Errorf("answered id %d of %d is out of order", a.Counter, q.Next)}
		}
		for len(unused) > 0 && unused[0].End <= a.Counter {
			unused = unused[1:]
		}
		if len(unused) > 0 && unused[0].First <= a.Counter {
			return &Error{Op: "import", Kind: KindMalformed, Err: eris.Errorf("id %d is answered and unused", a.Counter)}
		}
		least = a.Counter + 1
	}
	return nil
}

// ids returns how many ids the hand-over holds, or math.MaxInt if they are
// more.
func (h Handover) ids() int {
	total := 0
	for _, q := range h.Sequences {
		total += len(q.Answered)
		for _, u := range q.Unused {
			size := u.End - u.First
			if size > uint64(math.MaxInt-total) {
				return math.MaxInt
			}
			total += int(size)
		}
	}
	return total
}

// Split divides the hand-over into parts whose JSON form has at most maxBytes
// each. An answer that exceeds them alone is left out, and expires by that.
func (h Handover) Split(maxBytes int) []Handover {
	s := splitter{maxBytes: maxBytes}
	for _, q := range h.Sequences {
		s.begin(q)
		for _, u := range q.Unused {
			if sequence := s.room(u); sequence != nil {
				sequence.Unused = append(sequence.Unused, u)
			}
		}
		for _, a := range q.Answered {
			if sequence := s.room(a); sequence != nil {
				sequence.Answered = append(sequence.Answered, a)
			}
		}
	}

	for i := range s.parts {
		s.parts[i].Part, s.parts[i].Parts = i, len(s.parts)
	}
	return s.parts
}

// The JSON form of a Handover and a Sequence without their elements.
const (
	partOverhead     = 128
	sequenceOverhead = 128
)

// splitter fills one part after the other.
type splitter struct {
	maxBytes int
	parts    []Handover
	size     int
	current  SequenceState // without elements
}

func (s *splitter) begin(q SequenceState) {
	s.current = SequenceState{Incarnation: q.Incarnation, Next: q.Next}
	if len(s.parts) == 0 || s.size+sequenceOverhead > s.maxBytes {
		s.grow()
		return
	}
	s.append()
}

func (s *splitter) grow() {
	s.parts = append(s.parts, Handover{})
	s.size = partOverhead
	s.append()
}

func (s *splitter) append() {
	last := &s.parts[len(s.parts)-1]
	last.Sequences = append(last.Sequences, s.current)
	s.size += sequenceOverhead
}

// room returns the sequence that the element goes into, or nil if no part
// can hold it.
func (s *splitter) room(element any) *SequenceState {
	text, err := json.Marshal(element)
	if err != nil || partOverhead+sequenceOverhead+len(text)+1 > s.maxBytes {
		return nil
	}

	if s.size+len(text)+1 > s.maxBytes {
		s.grow()
	}
	s.size += len(text) + 1
	last := &s.parts[len(s.parts)-1]
	return &last.Sequences[len(last.Sequences)-1]
}

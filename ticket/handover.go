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

// maxImportFactor bounds the ids that a store may hold after an import, as a
// multiple of Limits.MaxHeldIDs.
const maxImportFactor = 2

// maxSequences bounds the incarnations whose ids a store holds. An adopted sequence
// is kept until the process ends, even when it is empty, so that a late copy of its
// handover is recognised and not imported again.
const maxSequences = 4096

// Handover is a part of the state that a stopping instance transfers to another.
// It is numbered Part, from 0, of Parts. Expiry times are transferred as the
// remaining time, since the clocks of two instances may differ.
type Handover struct {
	Part      int             `json:"part"`
	Parts     int             `json:"parts"`
	Sequences []SequenceState `json:"spaces"`
}

// SequenceState is the state of the ids that one incarnation issued. Ids below Next
// that are neither in Unused nor in Answered are expired.
type SequenceState struct {
	Incarnation string       `json:"incarnation"`
	Next        uint64       `json:"next"`
	Unused      []IDRange    `json:"unused,omitempty"`
	Answered    []AnsweredID `json:"answered,omitempty"`
}

// IDRange is a range of unused ids from First up to but not including End, which
// expire in LeftMillis.
type IDRange struct {
	First      uint64 `json:"first"`
	End        uint64 `json:"end"`
	LeftMillis int64  `json:"leftMillis"`
}

// AnsweredID is an id whose job has its answer, which expires in LeftMillis.
type AnsweredID struct {
	Counter    uint64       `json:"counter"`
	Digest     string       `json:"digest"`
	LeftMillis int64        `json:"leftMillis"`
	Answer     model.Answer `json:"answer"`
}

// Export closes the store to new jobs, waits for the open ones and returns the
// unused and answered ids. As soon as it is called, every call on an unused id
// fails with KindHandedOver; open and answered ids can still be joined and looked
// up. If the context ends before the open jobs do, unfinished is their number, and
// their ids are left out.
func (s *Store) Export(ctx context.Context) (handover Handover, unfinished int) {
	s.mu.Lock()
	s.exported = true
	noneOpen := s.noneOpen
	if s.openJobs > 0 && noneOpen == nil {
		noneOpen = make(chan struct{})
		s.noneOpen = noneOpen
	}
	s.mu.Unlock()

	if noneOpen != nil {
		select {
		case <-noneOpen:
		case <-ctx.Done():
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	handover = Handover{Parts: 1}
	for incarnation, seq := range s.sequences {
		handover.Sequences = append(handover.Sequences, seq.export(incarnation, now))
	}
	return handover, s.openJobs
}

// export returns the unused and answered ids, without those of jobs that have no
// ticket.
func (s *idSequence) export(incarnation string, now time.Time) SequenceState {
	q := SequenceState{Incarnation: incarnation, Next: s.next}
	for _, b := range s.batches {
		q.Unused = append(q.Unused, s.unusedRanges(b, now)...)
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

// unusedRanges returns the ranges of a batch on whose ids no job began.
func (s *idSequence) unusedRanges(b batch, now time.Time) []IDRange {
	left := b.expires.Sub(now).Milliseconds()
	if left <= 0 {
		return nil
	}

	var spans []IDRange
	first := b.first
	for counter := b.first; counter <= b.end; counter++ {
		if counter < b.end && s.entries[counter] == nil && !b.isDropped(counter) {
			continue
		}
		if first < counter {
			spans = append(spans, IDRange{First: first, End: counter, LeftMillis: left})
		}
		first = counter + 1
	}
	return spans
}

// Import adopts a part of another instance's handover. Importing the same part
// again changes nothing. After an error nothing of the part is adopted: KindFull
// means that the store would hold too many ids or sequences, KindHandedOver that
// this instance is stopping itself, and KindMalformed that the part is not
// consistent.
func (s *Store) Import(h Handover) error {
	limits := s.limits()
	limit := maxImportFactor * limits.MaxHeldIDs
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.exported {
		return handedOver("import", s.incarnation)
	}
	if err := h.validate(); err != nil {
		return err
	}
	if ids := h.countIDs(); ids > limit-s.heldIDs {
		return &Error{Op: "import", Kind: KindFull, Err: eris.Errorf("%d ids offered, %d of %d held", ids, s.heldIDs, limit)}
	}

	if len(s.sequences)+len(h.Sequences) > maxSequences {
		return &Error{Op: "import", Kind: KindFull, Err: eris.Errorf("%d sequences held", len(s.sequences))}
	}

	now := time.Now()
	for _, q := range h.Sequences {
		s.adoptSequence(q, h.Part, now)
	}
	s.evict(limits.MaxAnswerBytes)
	return nil
}

// adoptSequence adds the ids of one incarnation to the store, unless they are the
// store's own or this part of them was imported before.
func (s *Store) adoptSequence(q SequenceState, part int, now time.Time) {
	if q.Incarnation == s.incarnation {
		return
	}
	seq := s.sequences[q.Incarnation]
	if seq == nil {
		seq = newIDSequence()
		seq.importedParts = make(map[int]bool)
		s.sequences[q.Incarnation] = seq
	}
	if seq.importedParts == nil || seq.importedParts[part] {
		return
	}

	before := seq.heldIDs()
	seq.importedParts[part] = true
	seq.next = max(seq.next, q.Next)
	for _, u := range q.Unused {
		seq.batches = append(seq.batches, batch{first: u.First, end: u.End, expires: now.Add(millis(u.LeftMillis))})
	}
	slices.SortFunc(seq.batches, func(a, b batch) int { return int(int64(a.first) - int64(b.first)) })
	for _, a := range q.Answered {
		if seq.entries[a.Counter] != nil {
			continue
		}
		e := s.newAdoptedEntry(q.Incarnation, a, now)
		seq.entries[a.Counter] = e
		s.retain(e)
	}
	s.heldIDs += int(seq.heldIDs() - before)
}

func (s *Store) newAdoptedEntry(incarnation string, a AnsweredID, now time.Time) *Entry {
	return &Entry{
		store:   s,
		id:      ID{Incarnation: incarnation, Counter: a.Counter},
		digest:  a.Digest,
		answer:  &a.Answer,
		expires: now.Add(millis(a.LeftMillis)),
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// validate returns an error of kind KindMalformed if an incarnation is malformed or
// the ids of a sequence are out of order or out of range.
func (h Handover) validate() error {
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
		if err := q.validateAnswered(); err != nil {
			return err
		}
	}
	return nil
}

// validateAnswered returns an error of kind KindMalformed if answered ids are out
// of order, were never issued or are unused at the same time. It requires that the
// ranges of unused ids are in order.
func (q SequenceState) validateAnswered() error {
	minCounter := uint64(0)
	unused := q.Unused
	for _, a := range q.Answered {
		if a.Counter < minCounter || a.Counter >= q.Next {
			return &Error{Op: "import", Kind: KindMalformed, Err: eris.Errorf("answered id %d of %d is out of order", a.Counter, q.Next)}
		}
		for len(unused) > 0 && unused[0].End <= a.Counter {
			unused = unused[1:]
		}
		if len(unused) > 0 && unused[0].First <= a.Counter {
			return &Error{Op: "import", Kind: KindMalformed, Err: eris.Errorf("id %d is answered and unused", a.Counter)}
		}
		minCounter = a.Counter + 1
	}
	return nil
}

// countIDs returns the number of unused and answered ids, at most math.MaxInt.
func (h Handover) countIDs() int {
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

// Split divides the handover into parts whose JSON text has at most maxBytes each.
// An answer that alone exceeds this is left out; its id counts as expired at the
// adopter.
func (h Handover) Split(maxBytes int) []Handover {
	s := splitter{maxBytes: maxBytes}
	for _, q := range h.Sequences {
		s.beginSequence(q)
		for _, u := range q.Unused {
			if sequence := s.sequenceFor(u); sequence != nil {
				sequence.Unused = append(sequence.Unused, u)
			}
		}
		for _, a := range q.Answered {
			if sequence := s.sequenceFor(a); sequence != nil {
				sequence.Answered = append(sequence.Answered, a)
			}
		}
	}

	for i := range s.parts {
		s.parts[i].Part, s.parts[i].Parts = i, len(s.parts)
	}
	return s.parts
}

// Upper bounds on the bytes of the JSON text of a Handover and of a SequenceState
// without their elements.
const (
	partOverheadBytes     = 128
	sequenceOverheadBytes = 128
)

// splitter distributes sequences over parts and fills one part after the other.
type splitter struct {
	maxBytes  int
	parts     []Handover
	sizeBytes int
	current   SequenceState // the sequence that is being added, without its elements
}

// beginSequence continues with the ids of the next incarnation.
func (s *splitter) beginSequence(q SequenceState) {
	s.current = SequenceState{Incarnation: q.Incarnation, Next: q.Next}
	if len(s.parts) == 0 || s.sizeBytes+sequenceOverheadBytes > s.maxBytes {
		s.addPart()
		return
	}
	s.appendSequence()
}

func (s *splitter) addPart() {
	s.parts = append(s.parts, Handover{})
	s.sizeBytes = partOverheadBytes
	s.appendSequence()
}

func (s *splitter) appendSequence() {
	last := &s.parts[len(s.parts)-1]
	last.Sequences = append(last.Sequences, s.current)
	s.sizeBytes += sequenceOverheadBytes
}

// sequenceFor returns the sequence of a part that has enough space left for the
// element, and begins a new part if necessary. It returns nil if the element is too
// large for any part.
func (s *splitter) sequenceFor(element any) *SequenceState {
	text, err := json.Marshal(element)
	if err != nil || partOverheadBytes+sequenceOverheadBytes+len(text)+1 > s.maxBytes {
		return nil
	}

	if s.sizeBytes+len(text)+1 > s.maxBytes {
		s.addPart()
	}
	s.sizeBytes += len(text) + 1
	last := &s.parts[len(s.parts)-1]
	return &last.Sequences[len(last.Sequences)-1]
}

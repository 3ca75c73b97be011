package ticket

import (
	"cmp"
	"slices"
	"time"
)

// idSequence holds the ids that one incarnation issued, with counters below next.
// An id is open or answered if it has an entry, unused if a batch covers it and it
// has no entry, and expired if it has neither. In an unexpired batch, an id whose
// answer was dropped has no entry either and is marked as dropped.
type idSequence struct {
	next          uint64
	batches       []batch // ordered by counter
	entries       map[uint64]*Entry
	importedParts map[int]bool // parts of a handover that were imported; nil for the store's own sequence
}

// batch is a range of ids that were issued together and on which jobs may still
// begin.
type batch struct {
	first, end   uint64    // end is excluded
	begunCount   uint64    // ids that are no longer unused
	expires      time.Time // zero if released
	dropped      []uint64  // bit set by counter: ids whose answer was dropped
	droppedCount uint64
}

const wordBits = 64

func (b *batch) isDropped(counter uint64) bool {
	i := counter - b.first
	return b.dropped != nil && b.dropped[i/wordBits]&(1<<(i%wordBits)) != 0
}

func (b *batch) markDropped(counter uint64) {
	if b.dropped == nil {
		b.dropped = make([]uint64, (b.end-b.first+wordBits-1)/wordBits)
	}
	i := counter - b.first
	b.dropped[i/wordBits] |= 1 << (i % wordBits)
	b.droppedCount++
}

// allDropped reports whether the answer of every id was dropped, so that the batch
// is no longer needed.
func (b *batch) allDropped() bool { return b.droppedCount == b.end-b.first }

func newIDSequence() *idSequence {
	return &idSequence{entries: make(map[uint64]*Entry)}
}

// batchOf returns the batch that covers the counter, or nil.
func (s *idSequence) batchOf(counter uint64) *batch {
	i, found := slices.BinarySearchFunc(s.batches, counter, func(b batch, c uint64) int {
		switch {
		case b.end <= c:
			return -1
		case b.first > c:
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return &s.batches[i]
}

// dropEntry removes the entry of an answered id and marks the id as dropped.
func (s *idSequence) dropEntry(counter uint64) {
	delete(s.entries, counter)
	if b := s.batchOf(counter); b != nil {
		b.markDropped(counter)
	}
}

// makeUnused makes an id unused again whose job did not run. If its batch was
// removed or has only this id, the id is kept until expires.
func (s *idSequence) makeUnused(counter uint64, expires time.Time) {
	delete(s.entries, counter)
	b := s.batchOf(counter)
	if b == nil {
		s.insert(batch{first: counter, end: counter + 1, expires: expires})
		return
	}

	b.begunCount--
	if b.end-b.first == 1 {
		b.expires = expires
	}
}

func (s *idSequence) insert(b batch) {
	i, _ := slices.BinarySearchFunc(s.batches, b.first, func(b batch, first uint64) int {
		return cmp.Compare(b.first, first)
	})
	s.batches = slices.Insert(s.batches, i, b)
}

// heldIDs counts the ids that are unused, open or answered. They take up memory.
func (s *idSequence) heldIDs() uint64 {
	total := uint64(len(s.entries))
	for _, b := range s.batches {
		total += b.end - b.first - b.begunCount
	}
	return total
}

// removeExpired removes the batches that are expired or whose answers were all
// dropped, and returns how many unused ids were in them.
func (s *idSequence) removeExpired(now time.Time) int {
	removed := 0
	s.batches = slices.DeleteFunc(s.batches, func(b batch) bool {
		if now.Before(b.expires) && !b.allDropped() {
			return false
		}
		removed += int(b.end - b.first - b.begunCount)
		return true
	})
	return removed
}

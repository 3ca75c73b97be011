package ticket

import (
	"cmp"
	"slices"
	"time"
)

// space is the id sequence of one incarnation. An id below next is unused if
// a batch covers it and it has no entry; with neither, it is expired.
type space struct {
	next    uint64
	batches []batch // in the order of their counters
	entries map[uint64]*Entry
	parts   map[int]bool // parts of a hand-over taken in so far
}

// batch is a run of ids, minted together, that a job may still be begun on.
type batch struct {
	first, end uint64
	begun      uint64
	expires    time.Time // zero if released
	spent      []uint64  // a bit for each begun id whose answer was dropped
	spentCount uint64
}

const wordBits = 64

func (b *batch) isSpent(counter uint64) bool {
	i := counter - b.first
	return b.spent != nil && b.spent[i/wordBits]&(1<<(i%wordBits)) != 0
}

func (b *batch) spend(counter uint64) {
	if b.spent == nil {
		b.spent = make([]uint64, (b.end-b.first+wordBits-1)/wordBits)
	}
	i := counter - b.first
	b.spent[i/wordBits] |= 1 << (i % wordBits)
	b.spentCount++
}

// used reports whether no id of the batch needs it any longer.
func (b *batch) used() bool { return b.spentCount == b.end-b.first }

func newSpace() *space {
	return &space{entries: make(map[uint64]*Entry)}
}

// batchOf returns the batch that covers the counter, or nil.
func (s *space) batchOf(counter uint64) *batch {
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

// spend forgets the entry of an answered id.
func (s *space) spend(counter uint64) {
	delete(s.entries, counter)
	if b := s.batchOf(counter); b != nil {
		b.spend(counter)
	}
}

// giveBack makes a begun id unused again. One whose batch is gone, or that was
// minted alone, lives on until the given time.
func (s *space) giveBack(counter uint64, expires time.Time) {
	delete(s.entries, counter)
	b := s.batchOf(counter)
	if b == nil {
		s.insert(batch{first: counter, end: counter + 1, expires: expires})
		return
	}

	b.begun--
	if b.end-b.first == 1 {
		b.expires = expires
	}
}

func (s *space) insert(b batch) {
	i, _ := slices.BinarySearchFunc(s.batches, b.first, func(b batch, first uint64) int {
		return cmp.Compare(b.first, first)
	})
	s.batches = slices.Insert(s.batches, i, b)
}

// held counts the ids that take up memory.
func (s *space) held() uint64 {
	total := uint64(len(s.entries))
	for _, b := range s.batches {
		total += b.end - b.first - b.begun
	}
	return total
}

// expire drops the batches that are used up or past their time and returns how
// many unused ids went.
func (s *space) expire(now time.Time) int {
	gone := 0
	s.batches = slices.DeleteFunc(s.batches, func(b batch) bool {
		if now.Before(b.expires) && !b.used() {
			return false
		}
		gone += int(b.end - b.first - b.begun)
		return true
	})
	return gone
}

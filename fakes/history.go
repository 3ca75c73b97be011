package fakes

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"foxtailmux/model"
)

// instanceHistory is the list of instances with its earlier states, so that the
// list can be served with a lag.
type instanceHistory struct {
	mu        sync.Mutex
	workers   map[string]model.Worker
	entries   map[string]model.Entry
	snapshots []snapshot
}

// snapshot is the list as it was from a time on.
type snapshot struct {
	at   time.Time
	list model.InstanceList
}

// maxSnapshots bounds the number of states; the oldest are discarded first.
const maxSnapshots = 4096

func newInstanceHistory() *instanceHistory {
	return &instanceHistory{workers: map[string]model.Worker{}, entries: map[string]model.Entry{}}
}

func (i *instanceHistory) putWorker(w model.Worker) {
	i.update(func() { i.workers[w.ID] = w })
}

func (i *instanceHistory) putEntry(e model.Entry) {
	i.update(func() { i.entries[e.ID] = e })
}

func (i *instanceHistory) removeWorker(id string) {
	i.update(func() { delete(i.workers, id) })
}

func (i *instanceHistory) removeEntry(id string) {
	i.update(func() { delete(i.entries, id) })
}

// update applies a change to the list and records the resulting state.
func (i *instanceHistory) update(apply func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	apply()
	i.snapshots = append(i.snapshots, snapshot{at: time.Now(), list: i.list()})
	if len(i.snapshots) > maxSnapshots {
		i.snapshots = slices.Delete(i.snapshots, 0, len(i.snapshots)-maxSnapshots)
	}
}

func (i *instanceHistory) list() model.InstanceList {
	return model.InstanceList{
		Workers: slices.SortedFunc(maps.Values(i.workers), func(a, b model.Worker) int { return cmp.Compare(a.ID, b.ID) }),
		Entries: slices.SortedFunc(maps.Values(i.entries), func(a, b model.Entry) int { return cmp.Compare(a.ID, b.ID) }),
	}
}

// at returns the list as it was at the given time. It is empty for a time before
// the oldest state that is kept.
func (i *instanceHistory) at(when time.Time) model.InstanceList {
	i.mu.Lock()
	defer i.mu.Unlock()
	for k := len(i.snapshots) - 1; k >= 0; k-- {
		if !i.snapshots[k].at.After(when) {
			return i.snapshots[k].list
		}
	}
	return emptyList()
}

func emptyList() model.InstanceList {
	return model.InstanceList{Workers: []model.Worker{}, Entries: []model.Entry{}}
}

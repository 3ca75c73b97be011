package fakes

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"foxtailmux/model"
)

// instances is the list of instances together with its past, so that a
// reader can be shown an older state.
type instances struct {
	mu      sync.Mutex
	workers map[string]model.Worker
	entries map[string]model.Entry
	past    []snapshot
}

type snapshot struct {
	at   time.Time
	list model.InstanceList
}

// maxSnapshots bounds the past; the oldest states go first.
const maxSnapshots = 4096

func newInstances() *instances {
	return &instances{workers: map[string]model.Worker{}, entries: map[string]model.Entry{}}
}

func (i *instances) putWorker(w model.Worker) {
	i.change(func() { i.workers[w.ID] = w })
}

func (i *instances) putEntry(e model.Entry) {
	i.change(func() { i.entries[e.ID] = e })
}

func (i *instances) removeWorker(id string) {
	i.change(func() { delete(i.workers, id) })
}

func (i *instances) removeEntry(id string) {
	i.change(func() { delete(i.entries, id) })
}

func (i *instances) change(apply func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	apply()
	i.past = append(i.past, snapshot{at: time.Now(), list: i.list()})
	if len(i.past) > maxSnapshots {
		i.past = slices.Delete(i.past, 0, len(i.past)-maxSnapshots)
	}
}

func (i *instances) list() model.InstanceList {
	return model.InstanceList{
		Workers: slices.SortedFunc(maps.Values(i.workers), func(a, b model.Worker) int { return cmp.Compare(a.ID, b.ID) }),
		Entries: slices.SortedFunc(maps.Values(i.entries), func(a, b model.Entry) int { return cmp.Compare(a.ID, b.ID) }),
	}
}

// at returns the list as it was at the given time.
func (i *instances) at(when time.Time) model.InstanceList {
	i.mu.Lock()
	defer i.mu.Unlock()
	for k := len(i.past) - 1; k >= 0; k-- {
		if !i.past[k].at.After(when) {
			return i.past[k].list
		}
	}
	return emptyList()
}

func emptyList() model.InstanceList {
	return model.InstanceList{Workers: []model.Worker{}, Entries: []model.Entry{}}
}

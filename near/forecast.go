package near

import (
	"cmp"
	"slices"
	"time"

	"foxtailmux/model"
)

// Release is the expected release of resources on a worker, which is named by its index in the
// forecast.
type Release struct {
	In        time.Duration
	Worker    int
	Resources model.Resources
}

// Forecast tells when places on the workers of one rack come free, in one pass over the waiting
// tasks. Each task that is held takes a release of its own, the most urgent one first, so that a
// crowd for one rack is held only as far as its places suffice, and the rest starts elsewhere at once.
type Forecast struct {
	free     []model.Resources // by worker, less what tasks have taken
	releases []Release         // by time
}

// NewForecast returns the forecast of workers with free resources and expected releases. It keeps
// both slices.
func NewForecast(free []model.Resources, releases []Release) *Forecast {
	slices.SortFunc(releases, compareReleases)
	return &Forecast{free: free, releases: releases}
}

func compareReleases(a, b Release) int {
	return cmp.Or(cmp.Compare(a.In, b.In), cmp.Compare(a.Worker, b.Worker))
}

// Next returns the first time at which a worker has a free place, and the worker. Usable reports
// whether a worker may run the task. It reports false if no expected release suffices.
func (f *Forecast) Next(needs model.Resources, usable func(worker int) bool) (in time.Duration, worker int, ok bool) {
	free := slices.Clone(f.free)
	for _, r := range f.releases {
		free[r.Worker] = free[r.Worker].Plus(r.Resources)
		if needs.Within(free[r.Worker]) && usable(r.Worker) {
			return r.In, r.Worker, true
		}
	}
	return 0, 0, false
}

// Take records that a task begins on a worker after a time and releases its place after the run time.
// The resources count as taken from now on.
func (f *Forecast) Take(worker int, needs model.Resources, in, run time.Duration) {
	f.free[worker] = f.free[worker].Minus(needs)
	r := Release{In: in + run, Worker: worker, Resources: needs}
	i, _ := slices.BinarySearchFunc(f.releases, r, compareReleases)
	f.releases = slices.Insert(f.releases, i, r)
}

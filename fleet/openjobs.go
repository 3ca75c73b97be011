package fleet

import (
	"slices"
	"sync"
	"time"

	"foxtailmux/beat"
	"foxtailmux/home"
)

// openJobs records where jobs have been open for long, as far as homes have announced it. Used where only time
// would keep two submissions of a job apart: a caller that got no response submits it again at any instance, while
// the home of the first submission may have no sign of that. The zero value is ready to use.
type openJobs struct {
	mu    sync.Mutex
	byJob map[uint32]map[openJobKey]openJob
}

// openJobKey identifies an announced job among those with the same hash.
type openJobKey struct {
	instance, incarnation string
	request               uint16
}

// openJob is where a job is open.
type openJob struct {
	openJobKey
	until time.Time // when its last run has ended at the latest
}

// Record records jobs that an instance has announced. Their leases end that long after their time is over.
func (o *openJobs) Record(instance, incarnation string, list beat.OpenJobs, leases time.Duration) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range list {
		o.add(j.Job, openJob{openJobKey{instance, incarnation, j.Request}, now.Add(j.Left + leases)})
	}
}

// Add records that a job is open.
func (o *openJobs) Add(queue, id string, j openJob) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.add(beat.HashJob(queue, id), j)
}

// add is Add for callers that hold the lock.
func (o *openJobs) add(hash uint32, j openJob) {
	if o.byJob == nil {
		o.byJob = map[uint32]map[openJobKey]openJob{}
	}
	if o.byJob[hash] == nil {
		o.byJob[hash] = map[openJobKey]openJob{}
	}
	o.byJob[hash][j.openJobKey] = j
}

// OfOtherRequests returns where a job may be open for other requests than the given one.
func (o *openJobs) OfOtherRequests(queue, id string, request home.RequestID) []openJob {
	own, now := hashRequest(request), time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []openJob
	for k, j := range o.byJob[beat.HashJob(queue, id)] {
		if k.request != own && now.Before(j.until) {
			list = append(list, j)
		}
	}
	return list
}

// Len returns the number of announced jobs.
func (o *openJobs) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.byJob)
}

// Remove removes an announcement.
func (o *openJobs) Remove(queue, id string, k openJobKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	hash := beat.HashJob(queue, id)
	delete(o.byJob[hash], k)
	if len(o.byJob[hash]) == 0 {
		delete(o.byJob, hash)
	}
}

// RemoveExpired removes the announcements of jobs that can have no run.
func (o *openJobs) RemoveExpired(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for hash, jobs := range o.byJob {
		for k, j := range jobs {
			if !now.Before(j.until) {
				delete(jobs, k)
			}
		}
		if len(jobs) == 0 {
			delete(o.byJob, hash)
		}
	}
}

func hashRequest(r home.RequestID) uint16 { return beat.HashRequest(r.Origin, r.Incarnation, r.Number) }

// announcedJobs returns the long open jobs of this instance, those with the latest requests first, and records them.
func (in *Instance) announcedJobs() beat.OpenJobs {
	jobs := in.held.LongOpenJobs()
	for _, h := range in.homesByCentre() {
		jobs = append(jobs, h.LongOpenJobs()...)
	}
	slices.SortFunc(jobs, func(a, b home.OpenJob) int { return b.RequestedAt.Compare(a.RequestedAt) })
	list := make(beat.OpenJobs, len(jobs))
	for i, j := range jobs {
		list[i] = beat.OpenJob{Job: beat.HashJob(j.Queue, j.ID), Request: hashRequest(j.Request), Left: j.Left}
	}
	in.openJobs.Record(in.self.Instance, in.self.Incarnation, list, in.leaseTime())
	return list
}

// onOpenJobs records the open jobs that a heartbeat announces.
func (in *Instance) onOpenJobs(h beat.Heartbeat) {
	in.openJobs.Record(h.Instance, h.Incarnation, h.Open, in.leaseTime())
}

// leaseTime returns how long runs can outlive the last request of their home to their workers.
func (in *Instance) leaseTime() time.Duration {
	return in.settings.Platform.MaxLease + home.LeaseMargin
}

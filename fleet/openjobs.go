package fleet

import (
	"slices"
	"sync"
	"time"

	"foxtailmux/beat"
	"foxtailmux/home"
)

// maxAnnouncedJobs bounds the open jobs in a heartbeat, which has to fit into one packet. Older ones have been
// in earlier heartbeats.
const maxAnnouncedJobs = 48

// openJobs records the jobs that homes of this and of other instances have announced as open for long. Used
// where only time would keep two submissions of a job apart: a caller that got no response submits it again at
// any instance, while the home of the first submission may have no sign of that. The zero value is ready to use.
type openJobs struct {
	mu    sync.Mutex
	byJob map[uint32]map[openJobKey]openJob
}

// openJobKey identifies an announced job with the same hash of its id.
type openJobKey struct {
	instance, incarnation string
	request               uint16
}

// openJob is where a job is open.
type openJob struct {
	openJobKey
	until time.Time // when its time is over
}

// Record records the jobs that an instance announced.
func (o *openJobs) Record(instance, incarnation string, list beat.OpenJobs, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range list {
		o.addLocked(j.Job, openJob{openJobKey{instance, incarnation, j.Request}, now.Add(j.Left)})
	}
}

// Add records that a job is open.
func (o *openJobs) Add(id string, j openJob) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addLocked(beat.HashJob(id), j)
}

func (o *openJobs) addLocked(hash uint32, j openJob) {
	if o.byJob == nil {
		o.byJob = map[uint32]map[openJobKey]openJob{}
	}
	if o.byJob[hash] == nil {
		o.byJob[hash] = map[openJobKey]openJob{}
	}
	o.byJob[hash][j.openJobKey] = j
}

// OfOtherRequests returns where a job may be open for other requests than the given one. An announcement
// counts until the time of its job is over.
func (o *openJobs) OfOtherRequests(id string, request home.RequestID, now time.Time) []openJob {
	own := hashRequest(request)
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []openJob
	for k, j := range o.byJob[beat.HashJob(id)] {
		if k.request != own && now.Before(j.until) {
			list = append(list, j)
		}
	}
	return list
}

// Remove removes an announcement.
func (o *openJobs) Remove(id string, k openJobKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	hash := beat.HashJob(id)
	delete(o.byJob[hash], k)
	if len(o.byJob[hash]) == 0 {
		delete(o.byJob, hash)
	}
}

// RemoveExpired removes the announcements of jobs whose time is over.
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

// announcedJobs returns the jobs of this instance's homes that the next heartbeat announces, those with the
// latest requests first, and records them.
func (in *Instance) announcedJobs() beat.OpenJobs {
	var jobs []home.OpenJob
	for _, h := range in.homesByCentre() {
		jobs = append(jobs, h.LongOpenJobs()...)
	}
	slices.SortFunc(jobs, func(a, b home.OpenJob) int { return b.RequestedAt.Compare(a.RequestedAt) })
	list := make(beat.OpenJobs, len(jobs))
	for i, j := range jobs {
		list[i] = beat.OpenJob{Job: beat.HashJob(j.ID), Request: hashRequest(j.Request), Left: j.Left}
	}
	in.openJobs.Record(in.self.Instance, in.self.Incarnation, list, time.Now())
	return list[:min(len(list), maxAnnouncedJobs)]
}

// onOpenJobs records the open jobs that a heartbeat announces.
func (in *Instance) onOpenJobs(h beat.Heartbeat) {
	in.openJobs.Record(h.Instance, h.Incarnation, h.Open, time.Now())
}

package fleet

import (
	"time"

	"foxtailmux/home"
	"foxtailmux/model"
)

// freeCapacity returns the present free capacity of a home of this instance. For another
// home it returns the free capacity from the latest heartbeat, less the needs of the jobs
// that this instance has forwarded to it since.
func (in *Instance) freeCapacity(dataCentre string) model.FreeCapacity {
	owner, _ := in.homeOf(dataCentre)
	if owner.Instance == in.self.Instance {
		if h := in.localHome(dataCentre); h != nil {
			return h.FreeCapacity()
		}
		return model.FreeCapacity{}
	}
	status := in.heartbeats.Status(owner.Instance)
	capacity := status.Homes[dataCentre]
	in.mu.Lock()
	defer in.mu.Unlock()
	if r := in.reservations[dataCentre]; r.heartbeatAt.Equal(status.LastHeartbeat) {
		capacity.Free -= r.milliCores
	}
	return capacity
}

// reservation is the capacity of the jobs that were forwarded to a home since its last
// heartbeat.
type reservation struct {
	heartbeatAt time.Time
	milliCores  int
}

// reserveUntilHeartbeat subtracts the needs of a job from the free capacity of a home until
// its next heartbeat, so that the jobs of this time do not all go to the same home.
func (in *Instance) reserveUntilHeartbeat(dataCentre string, s home.Submission) {
	owner, _ := in.homeOf(dataCentre)
	heartbeatAt := in.heartbeats.Status(owner.Instance).LastHeartbeat
	milliCores := 0
	for _, step := range s.Batch.Steps {
		tasks := step.Replicas
		if s.Part != nil {
			tasks = s.Part.Count
		}
		milliCores += tasks * step.Needs.TotalMilliCores()
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	r := in.reservations[dataCentre]
	if !r.heartbeatAt.Equal(heartbeatAt) {
		r = reservation{heartbeatAt: heartbeatAt}
	}
	r.milliCores += milliCores
	in.reservations[dataCentre] = r
}

// capacityElsewhere returns the data centre, other than except, with the most free capacity
// less the needs of its waiting jobs, if that is at least milliCores thousandths of a core.
// The caller holds the lock of a home, so the homes of this instance are left out.
func (in *Instance) capacityElsewhere(except string, milliCores int) (string, bool) {
	best, most := "", 0
	for _, dc := range in.otherCentres(except) {
		if _, ok := in.aliveHome(dc); !ok {
			continue
		}
		owner, _ := in.homeOf(dc)
		if owner.Instance == in.self.Instance {
			continue
		}
		capacity := in.freeCapacity(dc)
		if spare := capacity.Free - capacity.Waiting; spare >= milliCores && spare > most {
			best, most = dc, spare
		}
	}
	return best, best != ""
}

// otherCentres returns the data centres that may start tasks, except one.
func (in *Instance) otherCentres(except string) []string {
	var list []string
	for _, dc := range in.dataCentres() {
		if dc != except && !in.isDrained(dc) {
			list = append(list, dc)
		}
	}
	return list
}

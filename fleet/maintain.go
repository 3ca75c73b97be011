package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc/panics"

	"foxtailmux/beat"
	"foxtailmux/drain"
	"foxtailmux/home"
	"foxtailmux/meter"
	"foxtailmux/model"
	"foxtailmux/pause"
)

const (
	// maintainInterval is the time between reviews of the homes.
	maintainInterval = 100 * time.Millisecond

	// startupListenTime is how long a new instance listens for the others before it
	// claims a home; two heartbeats of those that send one every 250 ms arrive in this
	// time.
	startupListenTime = 600 * time.Millisecond
)

// maintain reviews the homes periodically and on changes, and closes those of this
// instance after the process was paused.
func (in *Instance) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	last := pause.SinceBoot()
	for {
		next := in.changed.wait()
		now := pause.SinceBoot()
		if gap := now - last; gap > home.MaxTickGap {
			in.log.Warn().Int64("gapMillis", gap.Milliseconds()).Msg("process was paused, closing its homes")
			in.closeHomes()
		}
		last = now
		if recovered := panics.Try(in.review); recovered != nil {
			in.log.Error().Err(recovered.AsError()).Msg("review of the homes panicked")
		}
		select {
		case <-ctx.Done():
			return
		case due := <-ticker.C:
			in.recordLag(time.Since(due))
		case <-next:
		}
	}
}

// review applies the latest rows and heartbeats to the configuration, to the homes and to the
// polling of the workers' table, and closes idle clients of workers.
func (in *Instance) review() {
	in.removeMissing(time.Now())
	in.fetchNewerRouting()
	in.fetchNewerDrains()
	in.updateWorkerPolling()
	in.closeIdleClients()
	in.openJobs.RemoveExpired(time.Now())
	in.leftRuns.RemoveExpired(time.Now())
	in.reviewHomes()
	in.completeHomeWorkers()
	in.recordHome()
	in.recordDrains()
}

// recordLag records how late the timer of a review fired.
func (in *Instance) recordLag(lag time.Duration) {
	in.mu.Lock()
	before := in.slowness.IsSlow()
	in.slowness.Record(lag)
	slow := in.slowness.IsSlow()
	in.mu.Unlock()
	if slow != before {
		in.log.Warn().Bool("slow", slow).Int64("lagMillis", lag.Milliseconds()).Msg("process is slow, others may take its homes")
		in.heartbeats.Announce()
	}
}

// slow reports whether this process is scheduled too late to be a home.
func (in *Instance) slow() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.slowness.IsSlow()
}

// closeHomes closes all homes of this instance. Their tokens are not used again.
func (in *Instance) closeHomes() {
	for dc, h := range in.homesByCentre() {
		in.closeHome(dc, h)
	}
}

// closeHome closes a home. Its token is not used again. The home is removed once its runs are recorded, so that no
// request finds neither.
func (in *Instance) closeHome(dataCentre string, h *home.Home) {
	in.mu.Lock()
	in.fencedTokens[dataCentre] = max(in.fencedTokens[dataCentre], h.Token())
	in.mu.Unlock()
	h.Close()
	in.leftRuns.Add(h.JobsWithRuns(), time.Now().Add(in.leaseTime()))
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.localHomes[dataCentre] == h {
		delete(in.localHomes, dataCentre)
	}
}

// reviewHomes compares the homes in the store with those that run in this instance. It
// claims those that need this instance as their successor, and claims anew those that this
// instance has closed with the token in the store. A home must not start a task before the
// operator's table, which may drain its data centre, has been read.
func (in *Instance) reviewHomes() {
	if !in.homeTable.IsLoaded() || !in.workerTable.IsLoaded() || !in.configTable.IsLoaded() {
		return
	}
	for _, dc := range in.dataCentres() {
		owner, token := in.homeOf(dc)
		own := owner.Instance == in.self.Instance && owner.Incarnation == in.self.Incarnation
		switch {
		case own && in.isFenced(dc, token):
			in.claim(dc, token)
		case own:
			in.ensureHome(dc, token)
		default:
			in.closeIfSuperseded(dc, token)
			if in.shouldClaim(dc, owner) {
				in.claim(dc, token)
			}
		}
	}
}

// dataCentres returns the data centres that have workers or a home row, sorted.
func (in *Instance) dataCentres() []string {
	var list []string
	for key := range in.homeTable.Rows() {
		list = append(list, strings.TrimPrefix(key, homesTableName+"/"))
	}
	in.mu.Lock()
	for dc := range in.workerCounts {
		if !slices.Contains(list, dc) {
			list = append(list, dc)
		}
	}
	in.mu.Unlock()
	slices.Sort(list)
	return list
}

// isFenced reports whether this instance has closed its home with the token or a later
// one.
func (in *Instance) isFenced(dataCentre string, token int64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.fencedTokens[dataCentre] >= token
}

// ensureHome runs the home that the store records for this instance.
func (in *Instance) ensureHome(dataCentre string, token int64) {
	if h := in.localHome(dataCentre); h != nil {
		if h.Token() == token {
			return
		}
		in.closeHome(dataCentre, h)
	}
	if !in.tableFresh(dataCentre) {
		return // the next review tries again
	}
	h := home.New(home.Options{
		DataCentre:     dataCentre,
		Token:          token,
		First:          in.isFirstClaim(dataCentre),
		MaxLease:       in.settings.Platform.MaxLease,
		Connect:        in.connect,
		Link:           in.link,
		FreeDataCentre: func(milliCores int) (string, bool) { return in.capacityElsewhere(dataCentre, milliCores) },
		OnFenced:       func() { in.onFenced(dataCentre, token) },
		ConfirmedAt:    func() time.Time { return in.homeConfirmedAt(dataCentre, token) },
		Confirm:        in.confirmHomes,
		RefreshWorkers: in.workerTable.Refresh,
		LastMessage:    in.lastMessage,
		OriginTimeout:  beat.HeartbeatTimeout,
		ResubmitDelay:  in.settings.Platform.ResubmitDelay,
		Drained:        func() (drain.Request, bool) { return in.drainOf(dataCentre) },
		FarFactor:      in.settings.Placement.FarFactor,
		LearnSpeeds:    in.settings.Placement.Speeds,
		Shares:         in.settings.Placement.Shares,
		Observer:       in.meter,
		Log:            &in.log.Logger,
	})
	in.setHomeWorkers(dataCentre, h)
	in.mu.Lock()
	in.localHomes[dataCentre] = h
	in.mu.Unlock()
	in.background.Go(in.readHomeWorkers)
	in.log.Info().Str("home", dataCentre).Int64("token", token).Int64("listMillisAgo", time.Since(in.workerTable.AsOf()).Milliseconds()).Msg("home taken")
	in.heartbeats.Announce()
	in.changed.notify()
}

// connect returns a client of a worker. OnLateReply may be nil.
func (in *Instance) connect(w model.Worker, onLateReply func(took time.Duration)) home.Endpoint {
	if onLateReply == nil {
		onLateReply = func(time.Duration) {}
	}
	return in.adapter.NewEndpoint(w, EndpointOptions{OnLateReply: onLateReply, OnBytes: in.meter.Bytes(meter.ToWorker)})
}

// closeIfSuperseded closes a home for which the store records a later owner.
func (in *Instance) closeIfSuperseded(dataCentre string, token int64) {
	h := in.localHome(dataCentre)
	if h == nil || h.Token() >= token {
		return
	}
	in.closeHome(dataCentre, h)
	in.log.Info().Str("home", dataCentre).Int64("token", h.Token()).Int64("laterToken", token).Msg("home given up")
}

// onFenced closes a home whose requests a worker refused in favour of a later home.
func (in *Instance) onFenced(dataCentre string, token int64) {
	if h := in.localHome(dataCentre); h != nil && h.Token() == token {
		in.closeHome(dataCentre, h)
	}
	in.changed.notify()
}

// onPeerChange handles a heartbeat that reports a change.
func (in *Instance) onPeerChange(beat.Heartbeat) { in.changed.notify() }

// lastMessage returns when the last message of an incarnation of an instance was received. It returns
// the zero time for one that has a successor.
func (in *Instance) lastMessage(instance, incarnation string) time.Time {
	if instance == in.self.Instance && incarnation == in.self.Incarnation {
		return time.Now()
	}
	status := in.heartbeats.Status(instance)
	if status.Incarnation != incarnation {
		return time.Time{}
	}
	return status.LastMessage
}

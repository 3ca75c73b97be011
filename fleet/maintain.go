package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc/panics"
	"golang.org/x/sys/unix"

	"foxtailmux/beat"
	"foxtailmux/home"
	"foxtailmux/meter"
	"foxtailmux/model"
)

const (
	// maintainInterval is the time between looks at who is home.
	maintainInterval = 100 * time.Millisecond

	// settleTime is how long a new instance listens for others before it
	// claims; two heartbeats come in it.
	settleTime = 600 * time.Millisecond

	// pauseLimit is the longest time between two looks after which the homes
	// of this instance are kept. Others take them over after a little more.
	pauseLimit = 900 * time.Millisecond
)

// maintain keeps the homes of this instance in line with the store, and claims
// those of instances that are gone.
func (f *Instance) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	last := suspendedClock()
	for {
		next := f.changed.wait()
		now := suspendedClock()
		if gap := now - last; gap > pauseLimit {
			f.log.Warn().Int64("gapMillis", gap.Milliseconds()).Msg("process was paused, its homes are given up")
			f.closeHomes()
		}
		last = now
		if recovered := panics.Try(f.review); recovered != nil {
			f.log.Error().Err(recovered.AsError()).Msg("review of the homes panicked")
		}
		select {
		case <-ctx.Done():
			return
		case due := <-ticker.C:
			f.noteLag(time.Since(due))
		case <-next:
		}
	}
}

// review brings what this instance does in line with what it knows.
func (f *Instance) review() {
	f.forgetMissing(time.Now())
	f.dropSilentOrigins()
	f.paceWorkers()
	f.closeIdleStarters()
	f.reviewHomes()
}

// noteLag takes how late a look comes.
func (f *Instance) noteLag(lag time.Duration) {
	f.mu.Lock()
	before := f.slowness.IsSlow()
	f.slowness.Record(lag)
	slow := f.slowness.IsSlow()
	f.mu.Unlock()
	if slow != before {
		f.log.Warn().Bool("slow", slow).Int64("lagMillis", lag.Milliseconds()).Msg("process is slow, others may take its homes")
		f.beats.Announce()
	}
}

// slow reports whether this process is too slow to be a home.
func (f *Instance) slow() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slowness.IsSlow()
}

// suspendedClock counts the time in which the machine was suspended too.
func suspendedClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

// closeHomes gives up all homes. Their tokens are not used again.
func (f *Instance) closeHomes() {
	for dc, h := range f.homesHere() {
		f.drop(dc, h)
	}
}

// drop closes a home. Its token is not used again.
func (f *Instance) drop(dataCentre string, h *home.Home) {
	f.mu.Lock()
	f.fenced[dataCentre] = max(f.fenced[dataCentre], h.Token())
	if f.mine[dataCentre] == h {
		delete(f.mine, dataCentre)
	}
	f.mu.Unlock()
	h.Close()
}

// reviewHomes compares who is home by the store with the homes here.
func (f *Instance) reviewHomes() {
	if !f.homes.IsLoaded() || !f.workers.IsLoaded() {
		return
	}
	for _, dc := range f.dataCentres() {
		owner, token := f.homeOf(dc)
		own := owner.Instance == f.self.Instance && owner.Incarnation == f.self.Incarnation
		switch {
		case own && f.spent(dc, token):
			f.claim(dc, token)
		case own:
			f.keep(dc, token)
		default:
			f.giveUp(dc, token)
			if f.shouldClaim(dc, owner) {
				f.claim(dc, token)
			}
		}
	}
}

// dataCentres returns those that have workers or had a home.
func (f *Instance) dataCentres() []string {
	var list []string
	for key := range f.homes.Rows() {
		list = append(list, strings.TrimPrefix(key, homesTable+"/"))
	}
	f.mu.Lock()
	for dc := range f.centres {
		if !slices.Contains(list, dc) {
			list = append(list, dc)
		}
	}
	f.mu.Unlock()
	slices.Sort(list)
	return list
}

// spent reports whether a token of this instance is no longer used.
func (f *Instance) spent(dataCentre string, token int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fenced[dataCentre] >= token
}

// keep makes sure that this instance is the home that the store says.
func (f *Instance) keep(dataCentre string, token int64) {
	if h := f.localHome(dataCentre); h != nil {
		if h.Token() == token {
			return
		}
		f.drop(dataCentre, h)
	}
	if !f.workersFresh(dataCentre) {
		return // the next look comes with the answer of the store
	}
	h := home.New(home.Options{
		DataCentre:     dataCentre,
		Token:          token,
		MaxLease:       f.settings.Platform.MaxLease,
		Connect:        f.connect,
		Link:           f.link,
		FreeDataCentre: func(processor int) (string, bool) { return f.roomElsewhere(dataCentre, processor) },
		OnFenced:       func() { f.onFenced(dataCentre, token) },
		Observer:       f.meter,
		Log:            &f.log.Logger,
	})
	h.SetWorkers(f.workersFor(dataCentre))
	f.mu.Lock()
	f.mine[dataCentre] = h
	f.mu.Unlock()
	f.log.Info().Str("home", dataCentre).Int64("token", token).Msg("home taken")
	f.beats.Announce()
	f.changed.fire()
}

// connect returns a client of a worker. Late may be nil.
func (f *Instance) connect(w model.Worker, late func(took time.Duration)) home.Endpoint {
	if late == nil {
		late = func(time.Duration) {}
	}
	return f.adapter.NewEndpoint(w, EndpointOptions{OnLateReply: late, OnBytes: f.meter.Bytes(meter.ToWorker)})
}

// giveUp closes a home that the store gives to another instance.
func (f *Instance) giveUp(dataCentre string, token int64) {
	h := f.localHome(dataCentre)
	if h == nil || h.Token() >= token {
		return
	}
	f.drop(dataCentre, h)
	f.log.Info().Str("home", dataCentre).Int64("token", h.Token()).Int64("laterToken", token).Msg("home given up")
}

// onFenced closes a home whose workers have a later one.
func (f *Instance) onFenced(dataCentre string, token int64) {
	if h := f.localHome(dataCentre); h != nil && h.Token() == token {
		f.drop(dataCentre, h)
	}
	f.changed.fire()
}

func (f *Instance) onBeat(b beat.Heartbeat) {
	f.changed.fire()
	own := int64(0)
	if r := f.routing.Load(); r != nil {
		own = r.Version
	}
	if b.RoutingVersion > own {
		f.tasks.Go(func() { f.fetchRouting(b.Instance) })
	}
}

// dropSilentOrigins cancels the jobs of instances that are no longer heard, so
// that no run of theirs is left when their callers send the jobs again.
func (f *Instance) dropSilentOrigins() {
	for _, h := range f.homesHere() {
		h.CancelOrphaned(f.heardAt, beat.HeartbeatTimeout)
	}
}

func (f *Instance) heardAt(instance string) time.Time {
	if instance == f.self.Instance {
		return time.Now()
	}
	return f.beats.Status(instance).LastMessage
}

package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/beat"
	"foxtailmux/home"
)

const (
	// cancelTimeout bounds one request to cancel a submission. A silent connection takes half a
	// second to be noticed and replaced.
	cancelTimeout = time.Second

	// The time between two such requests grows from minCancelRetry to maxCancelRetry.
	minCancelRetry = 50 * time.Millisecond
	maxCancelRetry = 400 * time.Millisecond

	// maxAnnouncedCancels bounds the cancels in a heartbeat, which has to fit into one packet.
	maxAnnouncedCancels = 40
)

// cancelAt notifies a home that nobody waits for a submission any more. It repeats a request without
// a response until the job's time is over, when the home ends the job by itself: the caller may submit
// the job again elsewhere, where it must not run beside this submission. Until then heartbeats announce
// the cancel, so that a home either receives it or hears no heartbeat and gives the origin up.
func (in *Instance) cancelAt(instance, dataCentre string, s home.Submission, cause error) {
	until := time.Now().Add(s.TimeLeft)
	r := cancelRequest{DataCentre: dataCentre, Job: s.Key(), Submission: s.ID()}
	in.log.Info().AnErr("cause", cause).Stringer("job", r.Job).Str("home", dataCentre).Str("to", instance).
		Int64("submission", s.Number).Msg("submission is cancelled")
	in.setCancelling(s.Number, true)
	in.background.Go(func() {
		defer in.setCancelling(s.Number, false)
		for delay := minCancelRetry; ; delay = min(2*delay, maxCancelRetry) {
			ctx, cancel := context.WithTimeout(in.ctx, cancelTimeout)
			err := in.peers.Call(ctx, instance, methodCancel, r, nil)
			cancel()
			if err == nil {
				return
			}
			if time.Now().After(until) {
				in.log.Info().Err(err).Stringer("job", r.Job).Str("home", dataCentre).Int64("submission", s.Number).Msg("cancel not delivered")
				return
			}
			select {
			case <-time.After(delay):
			case <-in.ctx.Done():
				return
			}
		}
	})
}

// errHomeChanged is the cause of a cancel at a later home than that of the submission.
var errHomeChanged = eris.New("the home has changed")

// cancelAtLaterHome notifies the next home of a data centre, if there is one soon, that nobody waits for a
// submission to the one before, which may have begun it. The stops of a home that is replaced can come too late, and
// the next one takes its runs over. Without an attempt it does nothing.
func (in *Instance) cancelAtLaterHome(a attempt) {
	if a.dataCentre == "" {
		return
	}
	in.background.Go(func() {
		if !in.awaitLaterHome(in.ctx, a.dataCentre, a.token) {
			return
		}
		if h := in.localHome(a.dataCentre); h != nil {
			h.Cancel(a.submission.Key(), a.submission.ID())
			return
		}
		owner, _ := in.homeOf(a.dataCentre)
		in.cancelAt(owner.Instance, a.dataCentre, a.submission, errHomeChanged)
	})
}

// setCancelling records whether the cancel of a submission of this instance is not delivered yet.
func (in *Instance) setCancelling(number int64, cancelling bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if cancelling {
		in.cancelling[number]++
		return
	}
	if in.cancelling[number]--; in.cancelling[number] == 0 {
		delete(in.cancelling, number)
	}
}

// undeliveredCancels returns the numbers of the submissions that the next heartbeat announces as cancelled. Too
// many for one are announced in turn.
func (in *Instance) undeliveredCancels() []int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	list := slices.Sorted(maps.Keys(in.cancelling))
	if len(list) <= maxAnnouncedCancels {
		return list
	}
	next, _ := slices.BinarySearch(list, in.lastAnnounced+1)
	list = append(list[next:], list[:next]...)[:maxAnnouncedCancels]
	in.lastAnnounced = list[maxAnnouncedCancels-1]
	return list
}

// onCancelled handles a heartbeat that announces cancels. The homes may be busy, and heartbeats have to be read.
func (in *Instance) onCancelled(h beat.Heartbeat) {
	in.background.Go(func() { in.cancelAnnounced(h) })
}

// cancelAnnounced cancels the submissions that a heartbeat names at the homes of this instance.
func (in *Instance) cancelAnnounced(h beat.Heartbeat) {
	ids := make([]home.SubmissionID, len(h.Cancelled))
	for i, n := range h.Cancelled {
		ids[i] = home.SubmissionID{Origin: h.Instance, Incarnation: h.Incarnation, Number: n}
	}
	in.held.Cancel(ids...)
	for _, local := range in.homesByCentre() {
		local.CancelAnnounced(ids)
	}
}

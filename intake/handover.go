package intake

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"foxtailmux/model"
	"foxtailmux/ticket"
)

const (
	adoptRetryDelay = 100 * time.Millisecond
	adoptTimeout    = time.Second
	maxOffers       = 20 // of one part

	// exportShare of the time for a hand-over goes to the open jobs.
	exportShare = 0.75
)

// HandOver passes this instance's tickets on to a peer and tells the others.
// It waits for the jobs that are open on tickets and keys. Submissions on
// unused tickets wait for its end, and then go to the new holder. An Error
// tells what was cut or that no peer took over.
func (i *Intake) HandOver(ctx context.Context) error {
	defer i.moveOnce.Do(func() { close(i.moved) })
	handover, cut := i.export(ctx)

	holder, err := i.place(ctx, handover)
	if err != nil {
		return err
	}
	i.announce(ctx, handover, holder)
	if cut > 0 {
		return &Error{Op: "hand over", Kind: model.FailStopping, Err: eris.Errorf("%d jobs were still open", cut)}
	}
	return nil
}

func (i *Intake) export(ctx context.Context) (ticket.Handover, int) {
	limit, ok := ctx.Deadline()
	if !ok {
		return i.store.Export(ctx)
	}

	wait := time.Duration(exportShare * float64(time.Until(limit)))
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return i.store.Export(ctx)
}

// place finds a peer that adopts the hand-over. Once a peer may have adopted a
// part, no other is asked: two holders could start one job each.
func (i *Intake) place(ctx context.Context, h ticket.Handover) (string, error) {
	parts := h.Split(i.options.MaxPartBytes)
	reason := "no peer is known"
	for _, target := range i.peers.LiveIncarnations() {
		result, mayHold := i.offer(ctx, target, parts)
		if result.Adopted {
			return target, nil
		}
		reason = result.Reason
		if mayHold {
			break
		}
	}
	return "", &Error{Op: "hand over", Kind: model.FailStopping, Err: eris.Errorf("nobody took over: %s", reason)}
}

// offer sends all parts to a peer.
func (i *Intake) offer(ctx context.Context, target string, parts []ticket.Handover) (result adoptResult, mayHold bool) {
	for _, part := range parts {
		result, mayHold = i.offerPart(ctx, target, part, mayHold)
		if !result.Adopted {
			return result, mayHold
		}
	}
	return result, true
}

// offerPart sends a part until the peer has answered, which is safe since a
// peer adopts a part once. It reports unsure if the peer may have adopted the
// part, or may do so later, whatever its answer was.
func (i *Intake) offerPart(ctx context.Context, target string, part ticket.Handover, unsure bool) (adoptResult, bool) {
	var reason string
	for range maxOffers {
		var result adoptResult
		err := i.offerOnce(ctx, target, part, &result)
		if err == nil {
			return result, unsure || result.Adopted
		}
		reason = err.Error()
		unsure = unsure || !proveNotSent(err)
		if !unsure {
			break
		}

		select {
		case <-time.After(adoptRetryDelay):
		case <-ctx.Done():
			return adoptResult{Reason: reason}, unsure
		}
	}
	return adoptResult{Reason: reason}, unsure
}

func (i *Intake) offerOnce(ctx context.Context, target string, part ticket.Handover, result *adoptResult) error {
	peerID, ok := i.peers.Find(target)
	if !ok {
		return errNoPeer{}
	}
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()

	return i.peers.Call(ctx, peerID, methodAdopt, adoptParams{Target: target, Handover: part}, result)
}

// errNoPeer is the callError for a peer that is not known.
type errNoPeer struct{}

func (errNoPeer) Error() string { return "the peer is not known" }
func (errNoPeer) Sent() bool    { return false }

// announce tells all peers who holds the ids now. A peer that misses it asks
// when it needs to know.
func (i *Intake) announce(ctx context.Context, h ticket.Handover, holder string) {
	p := holderParams{Holder: holder}
	for _, s := range h.Sequences {
		p.Incarnations = append(p.Incarnations, s.Incarnation)
		i.holders.set(s.Incarnation, holder)
	}

	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	var told conc.WaitGroup
	for _, other := range i.peers.LiveIncarnations() {
		told.Go(func() {
			if peerID, ok := i.peers.Find(other); ok {
				_ = i.peers.Call(ctx, peerID, methodHolder, p, nil)
			}
		})
	}
	told.Wait()
}

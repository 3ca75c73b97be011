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
	adoptRetryDelay  = 100 * time.Millisecond
	adoptTimeout     = time.Second
	maxOffersPerPart = 20

	// exportShare is the share of the handover's time during which open jobs may
	// still end. The rest remains for the transfer to a peer.
	exportShare = 0.75
)

// HandOver transfers the ids of this instance to a peer, which adopts them, and
// announces that peer to the others. It first waits for the open jobs that were
// submitted with a ticket or an idempotency key. Submissions on unused tickets
// wait until it returns, and are then forwarded to the adopter. It returns an
// *Error of kind model.FailStopping if jobs were still open when their share of
// the time ended, or if no peer adopted the ids.
func (i *Intake) HandOver(ctx context.Context) error {
	defer i.handoverOnce.Do(func() { close(i.handoverEnded) })
	handover, unfinished := i.export(ctx)

	holder, err := i.findAdopter(ctx, handover)
	if err != nil {
		return err
	}
	i.announce(ctx, handover, holder)
	if unfinished > 0 {
		return &Error{Op: "hand over", Kind: model.FailStopping, Err: eris.Errorf("%d jobs were still open", unfinished)}
	}
	return nil
}

// export closes the store to new jobs and returns its ids and the number of jobs
// that are still open. It waits for open jobs for exportShare of the time until the
// context's deadline.
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

// findAdopter offers the handover to one peer after the other and returns the
// incarnation of the peer that adopted it. Once a peer may have adopted a part, no
// other peer is tried: two holders of an id could each start its job.
func (i *Intake) findAdopter(ctx context.Context, h ticket.Handover) (string, error) {
	parts := h.Split(i.options.MaxPartBytes)
	reason := "no peer is known"
	for _, target := range i.peers.LiveIncarnations() {
		result, mayHaveAdopted := i.offerAll(ctx, target, parts)
		if result.Adopted {
			return target, nil
		}
		reason = result.Reason
		if mayHaveAdopted {
			break
		}
	}
	return "", &Error{Op: "hand over", Kind: model.FailStopping, Err: eris.Errorf("nobody took over: %s", reason)}
}

// offerAll sends all parts to a peer, up to the first that it does not adopt.
// mayHaveAdopted reports whether the peer may have adopted a part, or may still do
// so.
func (i *Intake) offerAll(ctx context.Context, target string, parts []ticket.Handover) (result adoptResult, mayHaveAdopted bool) {
	for _, part := range parts {
		result, mayHaveAdopted = i.offerPart(ctx, target, part, mayHaveAdopted)
		if !result.Adopted {
			return result, mayHaveAdopted
		}
	}
	return result, true
}

// offerPart sends a part until the peer responds, at most maxOffersPerPart times.
// Repeating it is safe, since a peer adopts a part only once. It gives up at once if
// the part was not sent and no earlier part may have been adopted. It returns true
// if the peer may have adopted this or an earlier part, or may still do so, whatever
// it responded.
func (i *Intake) offerPart(ctx context.Context, target string, part ticket.Handover, mayHaveAdopted bool) (adoptResult, bool) {
	var reason string
	for range maxOffersPerPart {
		var result adoptResult
		err := i.offerOnce(ctx, target, part, &result)
		if err == nil {
			return result, mayHaveAdopted || result.Adopted
		}
		reason = err.Error()
		mayHaveAdopted = mayHaveAdopted || !provesNotSent(err)
		if !mayHaveAdopted {
			break
		}

		select {
		case <-time.After(adoptRetryDelay):
		case <-ctx.Done():
			return adoptResult{Reason: reason}, mayHaveAdopted
		}
	}
	return adoptResult{Reason: reason}, mayHaveAdopted
}

func (i *Intake) offerOnce(ctx context.Context, target string, part ticket.Handover, result *adoptResult) error {
	peerID, ok := i.peers.Find(target)
	if !ok {
		return unknownPeerError{}
	}
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()

	return i.peers.Call(ctx, peerID, methodAdopt, adoptParams{Target: target, Handover: part}, result)
}

// unknownPeerError is the callError for a peer that this instance does not know.
type unknownPeerError struct{}

func (unknownPeerError) Error() string { return "the peer is not known" }
func (unknownPeerError) Sent() bool    { return false }

// announce notifies all peers of the new holder of the ids. A peer that misses
// the announcement queries the others when it needs the holder.
func (i *Intake) announce(ctx context.Context, h ticket.Handover, holder string) {
	p := holderParams{Holder: holder}
	for _, s := range h.Sequences {
		p.Incarnations = append(p.Incarnations, s.Incarnation)
		i.holders.set(s.Incarnation, holder)
	}

	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	var calls conc.WaitGroup
	for _, other := range i.peers.LiveIncarnations() {
		calls.Go(func() {
			if peerID, ok := i.peers.Find(other); ok {
				_ = i.peers.Call(ctx, peerID, methodHolder, p, nil)
			}
		})
	}
	calls.Wait()
}

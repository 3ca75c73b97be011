package intake

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	maxHandovers = 8    // steps that are followed from a minter to its holder
	maxHolders   = 4096 // hand-overs that are remembered
	maxAsked     = 8    // peers that are asked for an unknown holder
	askTimeout   = 500 * time.Millisecond
	askInterval  = 5 * time.Second // between two questions after one incarnation

	// Within locateWait of the first question after an incarnation, it may
	// still turn up: an instance that has just started learns of its peers.
	locateWait   = 500 * time.Millisecond
	locatePeriod = 20 * time.Millisecond
)

// holders remembers who took over the ids of an incarnation.
type holders struct {
	mu    sync.Mutex
	next  map[string]string
	asked map[string]time.Time
	began map[string]time.Time // of searches
}

// maySearch reports whether the search after the incarnation, which the first
// caller begins, goes on. It begins anew after askInterval.
func (h *holders) maySearch(incarnation string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	began, ok := h.began[incarnation]
	if !ok || time.Since(began) >= askInterval {
		if len(h.began) >= maxHolders {
			clear(h.began)
		}
		began = time.Now()
		h.began[incarnation] = began
	}
	return time.Since(began) < locateWait
}

// mayAsk reports whether the peers were not asked after the incarnation
// lately, and notes that they are now.
func (h *holders) mayAsk(incarnation string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if last, ok := h.asked[incarnation]; ok && time.Since(last) < askInterval {
		return false
	}
	if len(h.asked) >= maxHolders {
		clear(h.asked)
	}
	h.asked[incarnation] = time.Now()
	return true
}

func (h *holders) set(incarnation, holder string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if incarnation != holder && len(h.next) < maxHolders {
		h.next[incarnation] = holder
	}
}

// of returns the last known holder. It reports false if the incarnation
// handed nothing over that is known of.
func (h *holders) of(incarnation string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	holder := incarnation
	for range maxHandovers {
		next, ok := h.next[holder]
		if !ok {
			break
		}
		holder = next
	}
	return holder, holder != incarnation
}

// locate returns the live peer that holds the incarnation's ids. A request
// that was forwarded before goes on only along a known hand-over.
func (i *Intake) locate(ctx context.Context, incarnation string, hops int) (peerID string, ok bool) {
	holder, handedOver := i.holders.of(incarnation)
	if hops > maxHandovers || (hops > 0 && !handedOver) {
		return "", false
	}
	if peerID, ok := i.peers.Find(holder); ok {
		return peerID, true
	}
	if hops > 0 {
		return "", false
	}
	return i.search(ctx, holder)
}

// search waits, for a bounded time, until the holder is found among the peers
// or one of them names another.
func (i *Intake) search(ctx context.Context, holder string) (peerID string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, locateWait)
	defer cancel()

	for i.holders.maySearch(holder) {
		if len(i.peers.LiveIncarnations()) > 0 && i.holders.mayAsk(holder) {
			i.askHolder(ctx, holder)
		}
		current, _ := i.holders.of(holder)
		if peerID, ok := i.peers.Find(current); ok {
			return peerID, true
		}

		select {
		case <-time.After(locatePeriod):
		case <-ctx.Done():
			return "", false
		}
	}
	return "", false
}

// askHolder asks some peers who took over from an incarnation that is gone.
func (i *Intake) askHolder(ctx context.Context, incarnation string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()

	others := i.peers.LiveIncarnations()
	others = others[:min(len(others), maxAsked)]
	found := make(chan string, len(others))
	var asked conc.WaitGroup
	for _, other := range others {
		asked.Go(func() {
			if holder := i.holderBy(ctx, other, incarnation); holder != "" {
				found <- holder
				cancel()
			}
		})
	}
	asked.Wait()

	select {
	case holder := <-found:
		i.holders.set(incarnation, holder)
	default:
	}
}

func (i *Intake) holderBy(ctx context.Context, peer, incarnation string) string {
	peerID, ok := i.peers.Find(peer)
	if !ok {
		return ""
	}
	var result holderResult
	if err := i.peers.Call(ctx, peerID, methodHolder, holderParams{Incarnations: []string{incarnation}}, &result); err != nil {
		return ""
	}
	return result.Holder
}

package intake

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	maxHandoverChain    = 8    // handovers that are followed from an issuer to the present holder
	maxKnownHandovers   = 4096 // entries of holders.adopters
	maxQueriedPeers     = 8    // peers that are queried for an unknown holder
	holderQueryTimeout  = 500 * time.Millisecond
	holderQueryInterval = 5 * time.Second // between two queries for the same incarnation

	// A search for the holder of an incarnation's ids goes on for searchTimeout,
	// since an instance that has just started does not know all of its peers yet.
	searchTimeout      = 500 * time.Millisecond
	searchPollInterval = 20 * time.Millisecond
)

// holders records which instance adopted the ids of an incarnation. The keys of
// its maps are incarnations.
type holders struct {
	mu          sync.Mutex
	adopters    map[string]string
	queriedAt   map[string]time.Time
	searchStart map[string]time.Time // of the latest search
}

// maySearch reports whether the search for the incarnation began less than
// searchTimeout ago. The first call begins the search; a call at least
// holderQueryInterval after that begins a new one.
func (h *holders) maySearch(incarnation string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	began, ok := h.searchStart[incarnation]
	if !ok || time.Since(began) >= holderQueryInterval {
		if len(h.searchStart) >= maxKnownHandovers {
			clear(h.searchStart)
		}
		began = time.Now()
		h.searchStart[incarnation] = began
	}
	return time.Since(began) < searchTimeout
}

// mayQuery reports whether the peers may be queried for the holder of the
// incarnation's ids, which is true once per holderQueryInterval, and records the
// query.
func (h *holders) mayQuery(incarnation string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if last, ok := h.queriedAt[incarnation]; ok && time.Since(last) < holderQueryInterval {
		return false
	}
	if len(h.queriedAt) >= maxKnownHandovers {
		clear(h.queriedAt)
	}
	h.queriedAt[incarnation] = time.Now()
	return true
}

// set records that holder adopted the ids of the incarnation, unless
// maxKnownHandovers handovers are recorded already.
func (h *holders) set(incarnation, holder string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if incarnation != holder && len(h.adopters) < maxKnownHandovers {
		h.adopters[incarnation] = holder
	}
}

// lookup returns the present holder of the incarnation's ids, as far as known. It
// returns false, with the incarnation itself, if no handover of it is known.
func (h *holders) lookup(incarnation string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	holder := incarnation
	for range maxHandoverChain {
		next, ok := h.adopters[holder]
		if !ok {
			break
		}
		holder = next
	}
	return holder, holder != incarnation
}

// locate returns the live peer that holds the incarnation's ids. A request that
// was forwarded before is forwarded again only if a handover of the incarnation is
// known, and without a search, so that requests do not circulate.
func (i *Intake) locate(ctx context.Context, incarnation string, forwards int) (peerID string, ok bool) {
	holder, handedOver := i.holders.lookup(incarnation)
	if forwards > maxHandoverChain || (forwards > 0 && !handedOver) {
		return "", false
	}
	if peerID, ok := i.peers.Find(holder); ok {
		return peerID, true
	}
	if forwards > 0 {
		return "", false
	}
	return i.search(ctx, holder)
}

// search waits for at most searchTimeout until the holder is among the live peers
// or a peer names an adopter that is.
func (i *Intake) search(ctx context.Context, holder string) (peerID string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()

	for i.holders.maySearch(holder) {
		if len(i.peers.LiveIncarnations()) > 0 && i.holders.mayQuery(holder) {
			i.queryHolder(ctx, holder)
		}
		current, _ := i.holders.lookup(holder)
		if peerID, ok := i.peers.Find(current); ok {
			return peerID, true
		}

		select {
		case <-time.After(searchPollInterval):
		case <-ctx.Done():
			return "", false
		}
	}
	return "", false
}

// queryHolder queries up to maxQueriedPeers peers for the holder of the ids of an
// incarnation that is not among the live peers, and records the first response
// that names one.
func (i *Intake) queryHolder(ctx context.Context, incarnation string) {
	ctx, cancel := context.WithTimeout(ctx, holderQueryTimeout)
	defer cancel()

	others := i.peers.LiveIncarnations()
	others = others[:min(len(others), maxQueriedPeers)]
	found := make(chan string, len(others))
	var queries conc.WaitGroup
	for _, other := range others {
		queries.Go(func() {
			if holder := i.queryHolderAt(ctx, other, incarnation); holder != "" {
				found <- holder
				cancel()
			}
		})
	}
	queries.Wait()

	select {
	case holder := <-found:
		i.holders.set(incarnation, holder)
	default:
	}
}

// queryHolderAt queries one peer for the holder. It returns an empty string if the
// peer does not know it or does not respond.
func (i *Intake) queryHolderAt(ctx context.Context, peer, incarnation string) string {
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

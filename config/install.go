package config

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// pollOnce reads the head from the store and brings its version into force if it
// is newer. It returns false if that failed.
func (w *Watcher) pollOnce(ctx context.Context) bool {
	h, err := w.readHead(ctx)
	if err != nil {
		return false
	}
	return !w.isNewer(h.Number) || w.installStored(ctx, h.Entry)
}

// readHead reads the head from the store and records the result for Status.
func (w *Watcher) readHead(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()

	h, err := readHead(ctx, w.options.Store)
	w.recordPoll(h.Entry, err)
	return h, err
}

// checkHead returns an error if the store lost or replaced the version in force.
func checkHead(stored, inForce Entry) error {
	switch {
	case stored.Number < inForce.Number:
		return eris.Errorf("the store has version %d, older than version %d in force here", stored.Number, inForce.Number)
	case stored.Number == inForce.Number && stored.Hash != inForce.Hash:
		return eris.Errorf("the store has another version %d than the one in force here", inForce.Number)
	default:
		return nil
	}
}

// tryNextOffer tries a single pending offer, so that offers of versions that
// can't be fetched delay the next poll by one attempt at most.
func (w *Watcher) tryNextOffer(ctx context.Context) {
	o, ok := w.offers.next()
	if !ok {
		return
	}

	if !w.isNewer(o.number) || w.tryOffer(ctx, o) {
		w.offers.drop(o)
		return
	}
	w.offers.recordFailure(o)
}

// tryOffer reads the store first: a version that it does not have was never
// committed and is rejected. Only while the store is unreachable is a version
// accepted from a peer, and only if its entries continue the hash chain of the
// version in force, if there is one. It returns false if the offer may be tried again.
func (w *Watcher) tryOffer(ctx context.Context, o offer) bool {
	h, err := w.readHead(ctx)
	if err != nil {
		return w.installFromPeer(ctx, o)
	}
	if h.Number < o.number {
		w.offers.reject(o)
		w.recordRefusal(o.number, eris.Errorf("a peer offers it, the store has version %d", h.Number))
		return true
	}
	return !w.isNewer(h.Number) || w.installStored(ctx, h.Entry)
}

// installStored brings the version of an entry from the store into force. Its
// document may come from a peer, since the digest in the entry verifies it.
func (w *Watcher) installStored(ctx context.Context, e Entry) bool {
	data, err := w.fetchDocument(ctx, e)
	if err != nil {
		return w.recordRefusal(e.Number, err)
	}
	return w.validateAndInstall(data, w.entriesLeadingTo(ctx, w.entryInForce(), e))
}

// installFromPeer fetches an offered version from a peer and brings it into
// force.
func (w *Watcher) installFromPeer(ctx context.Context, o offer) bool {
	if w.options.Fetch == nil {
		return false
	}
	v, err := w.fetchFromPeer(ctx, o.number, o.digest)
	if err != nil {
		return w.recordRefusal(o.number, err)
	}
	if _, err := v.verify(w.entryInForce(), o.number, o.digest); err != nil {
		return w.recordRefusal(o.number, err)
	}
	return w.validateAndInstall(v.Document, v.Entries)
}

// validateAndInstall brings the version of the last entry into force if the
// document matches the entry's digest and passes the rules and plug-in names of
// this process.
func (w *Watcher) validateAndInstall(data []byte, entries []Entry) bool {
	last := entries[len(entries)-1]
	doc, err := Decode(data, last.Digest)
	if err == nil {
		err = w.validate(doc)
	}
	if err != nil {
		return w.recordRefusal(last.Number, err)
	}

	w.install(&Version{Number: last.Number, Digest: last.Digest, Document: doc}, data, entries)
	return true
}

// fetchDocument returns the canonical document of an entry, from the store or, if
// that fails, from a peer.
func (w *Watcher) fetchDocument(ctx context.Context, e Entry) ([]byte, error) {
	data, err := w.readObject(ctx, e.Digest)
	if err == nil || w.options.Fetch == nil {
		return data, err
	}

	v, peerErr := w.fetchFromPeer(ctx, e.Number, e.Digest)
	if peerErr == nil {
		return v.Document, nil
	}
	return nil, eris.Errorf("%v; from a peer: %v", err, peerErr)
}

// readObject reads a document from the store and compares it with its digest.
func (w *Watcher) readObject(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()

	data, err := w.options.Store.GetObject(ctx, objectName(digest))
	if err != nil {
		return nil, &Error{Op: "read the document", Kind: KindStore, Err: err}
	}
	return data, checkDigest(data, digest)
}

// fetchFromPeer requests a version from a peer. The reply is not verified yet.
func (w *Watcher) fetchFromPeer(ctx context.Context, number int64, digest string) (PeerVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return w.options.Fetch(ctx, w.entryInForce().Number, number, digest)
}

func (w *Watcher) validate(doc Document) error {
	if problems := Validate(doc, w.options.Plugins); len(problems) > 0 {
		return problems
	}
	return nil
}

// recordRefusal records for Status why a version was not brought into force. It
// always returns false.
func (w *Watcher) recordRefusal(number int64, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.installErr = eris.Wrapf(err, "version %d is not in force", number)
	w.installErrAt = time.Now()
	return false
}

// entryInForce returns the history entry of the version in force, the zero Entry
// if there is none.
func (w *Watcher) entryInForce() Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastEntry()
}

// install makes v the version in force and passes it to the subscribers, unless
// a version with the same or a higher number came into force in the meantime.
func (w *Watcher) install(v *Version, canonical []byte, entries []Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if !w.isNewer(v.Number) {
		return
	}
	w.current.Store(v)
	w.canonical = canonical
	w.chain = extendChain(w.chain, entries)
	w.installedAt = time.Now()
	w.installErr = nil
	for _, f := range w.subscribers {
		f(v)
	}
}

package config

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// pollOnce reads the newest version and brings it into force.
func (w *Watcher) pollOnce(ctx context.Context) bool {
	h, err := w.readHead(ctx)
	if err != nil {
		return false
	}
	return !w.isNewer(h.Number) || w.takeStored(ctx, h.Entry)
}

// readHead asks the store and records what became of it.
func (w *Watcher) readHead(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()

	h, err := readHead(ctx, w.options.Store)
	w.polled(h.Entry, err)
	return h, err
}

// checkHead returns an error if the store lost or replaced what is in force.
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

// takeOffer tries one offer, so that offers that can't be had never hold up
// the next poll for longer than one try.
func (w *Watcher) takeOffer(ctx context.Context) {
	o, ok := w.offers.next()
	if !ok {
		return
	}

	if !w.isNewer(o.number) || w.tryOffer(ctx, o) {
		w.offers.drop(o)
		return
	}
	w.offers.failed(o)
}

// tryOffer asks the store first: a version that it does not have was never
// accepted. Only while the store is away is a peer believed, as far as the
// hash chain leads from the version in force to the one offered. It returns
// false if the offer may be tried again.
func (w *Watcher) tryOffer(ctx context.Context, o offer) bool {
	h, err := w.readHead(ctx)
	if err != nil {
		return w.takeSupplied(ctx, o)
	}
	if h.Number < o.number {
		w.offers.refute(o)
		w.refuse(o.number, eris.Errorf("a peer offers it, the store has version %d", h.Number))
		return true
	}
	return !w.isNewer(h.Number) || w.takeStored(ctx, h.Entry)
}

// takeStored brings an entry of the store into force. Its document may come
// from a peer, since the digest tells whether it is the right one.
func (w *Watcher) takeStored(ctx context.Context, e Entry) bool {
	data, err := w.document(ctx, e)
	if err != nil {
		return w.refuse(e.Number, err)
	}
	return w.take(data, w.leading(ctx, w.inForce(), e))
}

// takeSupplied brings an offered version of a peer into force.
func (w *Watcher) takeSupplied(ctx context.Context, o offer) bool {
	if w.options.Fetch == nil {
		return false
	}
	s, err := w.supply(ctx, o.number, o.digest)
	if err != nil {
		return w.refuse(o.number, err)
	}
	if _, err := s.verify(w.inForce(), o.number, o.digest); err != nil {
		return w.refuse(o.number, err)
	}
	return w.take(s.Document, s.Entries)
}

// take brings the version of the last entry into force if the document
// matches its digest and breaks no rule here.
func (w *Watcher) take(data []byte, entries []Entry) bool {
	last := entries[len(entries)-1]
	doc, err := Decode(data, last.Digest)
	if err == nil {
		err = w.check(doc)
	}
	if err != nil {
		return w.refuse(last.Number, err)
	}

	w.install(&Version{Number: last.Number, Digest: last.Digest, Document: doc}, data, entries)
	return true
}

// document returns a whole document from the store or else from a peer.
func (w *Watcher) document(ctx context.Context, e Entry) ([]byte, error) {
	data, err := w.fromStore(ctx, e.Digest)
	if err == nil || w.options.Fetch == nil {
		return data, err
	}

	s, peerErr := w.supply(ctx, e.Number, e.Digest)
	if peerErr == nil {
		return s.Document, nil
	}
	return nil, eris.Errorf("%v; from a peer: %v", err, peerErr)
}

func (w *Watcher) fromStore(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()

	data, err := w.options.Store.GetObject(ctx, objectName(digest))
	if err != nil {
		return nil, &Error{Op: "read the document", Kind: KindStore, Err: err}
	}
	return data, checkDigest(data, digest)
}

func (w *Watcher) supply(ctx context.Context, number int64, digest string) (PeerVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return w.options.Fetch(ctx, w.inForce().Number, number, digest)
}

func (w *Watcher) check(doc Document) error {
	if problems := Validate(doc, w.options.Plugins); len(problems) > 0 {
		return problems
	}
	return nil
}

// refuse records why a version is not in force and returns false.
func (w *Watcher) refuse(number int64, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takeErr = eris.Wrapf(err, "version %d is not in force", number)
	w.takeErrAt = time.Now()
	return false
}

// inForce returns the entry of the version in force, or none.
func (w *Watcher) inForce() Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastEntry()
}

func (w *Watcher) install(v *Version, canonical []byte, entries []Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if !w.isNewer(v.Number) {
		return
	}
	w.current.Store(v)
	w.canonical = canonical
	w.chain = extend(w.chain, entries)
	w.since = time.Now()
	w.takeErr = nil
	for _, f := range w.subscribers {
		f(v)
	}
}

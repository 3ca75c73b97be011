package config

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// maxChainEntries bounds the history entries that an instance keeps in memory
// for its peers.
const maxChainEntries = 256

// PeerVersion is a version as one instance sends it to another: the document
// in its canonical encoding and the consecutive history entries that end with
// the version's own.
type PeerVersion struct {
	Document json.RawMessage `json:"document"`
	Entries  []Entry         `json:"entries"`
}

// checkChain returns an error unless every entry's hash matches its fields and
// every entry but the first names the hash of the one before.
func checkChain(entries []Entry) error {
	for i, e := range entries {
		if err := e.check(); err != nil {
			return err
		}
		if i > 0 && !e.follows(entries[i-1]) {
			return eris.Errorf("entry %d does not follow entry %d", e.Number, entries[i-1].Number)
		}
	}
	return nil
}

// follows reports whether the hash chain leads from the entry before directly
// to e.
func (e Entry) follows(before Entry) bool {
	return e.Number == before.Number+1 && e.Previous == before.Hash
}

// verify returns the last entry if the peer sent the requested version and its
// entries continue the hash chain from inForce. If no version is in force, the
// chain can start with any entry.
func (v PeerVersion) verify(inForce Entry, number int64, digest string) (Entry, error) {
	if err := checkChain(v.Entries); err != nil {
		return Entry{}, err
	}
	if len(v.Entries) == 0 {
		return Entry{}, eris.New("the peer sent no entry of the history")
	}
	last := v.Entries[len(v.Entries)-1]
	if last.Number != number || last.Digest != digest {
		return Entry{}, eris.Errorf("the peer sent version %d with the digest %s", last.Number, last.Digest)
	}
	if inForce.Number > 0 && !v.Entries[0].follows(inForce) {
		return Entry{}, eris.Errorf("its history does not lead there from version %d, which is in force", inForce.Number)
	}
	return last, nil
}

// VersionForPeer returns the version in force, if it has the given digest, to
// send to a peer. after is the number of the version that the peer has in
// force, 0 if it has none. If this instance has another version or none in
// force, the error is of KindNoVersion.
func (w *Watcher) VersionForPeer(after int64, digest string) (PeerVersion, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	last := w.lastEntry()
	if last.Number == 0 || last.Digest != digest {
		err := eris.Errorf("the digest %q is not in force here", digest)
		return PeerVersion{}, &Error{Op: "supply", Kind: KindNoVersion, Err: err}
	}
	return PeerVersion{Document: w.canonical, Entries: w.entriesAfter(after)}, nil
}

// entriesAfter returns the kept entries with a higher number. A peer without a
// version gets the last entry alone, since it has no chain to continue.
func (w *Watcher) entriesAfter(after int64) []Entry {
	if after == 0 {
		return []Entry{w.lastEntry()}
	}
	var entries []Entry
	for _, e := range w.chain {
		if e.Number > after {
			entries = append(entries, e)
		}
	}
	return entries
}

// lastEntry returns the entry of the version in force, the zero Entry if there
// is none. Callers hold mu.
func (w *Watcher) lastEntry() Entry {
	if len(w.chain) == 0 {
		return Entry{}
	}
	return w.chain[len(w.chain)-1]
}

// extendChain appends entries and keeps the last maxChainEntries. If the first
// one does not follow the chain, the old entries are dropped.
func extendChain(chain, entries []Entry) []Entry {
	if len(chain) > 0 && !entries[0].follows(chain[len(chain)-1]) {
		chain = nil
	}
	chain = append(chain[:len(chain):len(chain)], entries...)
	return chain[max(0, len(chain)-maxChainEntries):]
}

// entriesLeadingTo returns the entries after the one in force up to last. If
// none is in force, the store can't return them or they are more than
// maxChainEntries, it returns last alone.
func (w *Watcher) entriesLeadingTo(ctx context.Context, inForce, last Entry) []Entry {
	gap := last.Number - inForce.Number
	if inForce.Number == 0 || gap <= 1 || gap > maxChainEntries {
		return []Entry{last}
	}

	entries, err := w.readEntries(ctx, inForce.Number, last)
	if err != nil {
		return []Entry{last}
	}
	return entries
}

func (w *Watcher) readEntries(ctx context.Context, after int64, last Entry) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()

	page, err := w.options.Store.Scan(ctx, HistoryPrefix, historyKey(after), int(last.Number-after))
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(page.Rows))
	for _, row := range page.Rows {
		e, err := parseEntry(row.Value)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	if len(entries) == 0 || entries[len(entries)-1].Hash != last.Hash {
		return nil, eris.New("the history does not end with the entry")
	}
	return entries, checkChain(entries)
}

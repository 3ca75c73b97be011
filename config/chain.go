package config

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// maxChain bounds the entries that an instance keeps for its peers.
const maxChain = 256

// PeerVersion is a version as one instance gives it to another: the document in
// the form that its digest covers, and the entries that lead to it.
type PeerVersion struct {
	Document json.RawMessage `json:"document"`
	Entries  []Entry         `json:"entries"`
}

// checkLinks returns an error unless every entry has its own hash and
// follows the one before.
func checkLinks(entries []Entry) error {
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

func (e Entry) follows(before Entry) bool {
	return e.Number == before.Number+1 && e.Previous == before.Hash
}

// verify returns the last entry if the supply is the version asked for and
// its entries lead there from the one in force. Where none is in force, the
// last entry alone has to be whole.
func (s PeerVersion) verify(inForce Entry, number int64, digest string) (Entry, error) {
	if err := checkLinks(s.Entries); err != nil {
		return Entry{}, err
	}
	if len(s.Entries) == 0 {
		return Entry{}, eris.New("the peer sent no entry of the history")
	}
	last := s.Entries[len(s.Entries)-1]
	if last.Number != number || last.Digest != digest {
		return Entry{}, eris.Errorf("the peer sent version %d with the digest %s", last.Number, last.Digest)
	}
	if inForce.Number > 0 && !s.Entries[0].follows(inForce) {
		return Entry{}, eris.Errorf("its history does not lead there from version %d, which is in force", inForce.Number)
	}
	return last, nil
}

// VersionForPeer returns the version in force for a peer that has the version of the
// number after, or none if that is 0.
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

// lastEntry returns the entry of the version in force.
func (w *Watcher) lastEntry() Entry {
	if len(w.chain) == 0 {
		return Entry{}
	}
	return w.chain[len(w.chain)-1]
}

// extend adds the entries that lead to the newest. Without a link to those
// before, the chain begins anew.
func extend(chain, entries []Entry) []Entry {
	if len(chain) > 0 && !entries[0].follows(chain[len(chain)-1]) {
		chain = nil
	}
	chain = append(chain[:len(chain):len(chain)], entries...)
	return chain[max(0, len(chain)-maxChain):]
}

// leading returns the entries from the one in force to the last, as far as
// the store gives them; at least the last.
func (w *Watcher) leading(ctx context.Context, inForce, last Entry) []Entry {
	gap := last.Number - inForce.Number
	if inForce.Number == 0 || gap <= 1 || gap > maxChain {
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
	return entries, checkLinks(entries)
}

package member

import (
	"encoding/json"
	"net/netip"
	"time"

	"foxtailmux/model"

	"github.com/rotisserie/eris"
)

// heartbeat is both the request and the response of an exchange. Entry and
// ConfigDigest are omitted once the receiver has them. ConfigDigestPrefix, the
// first bytes of the digest, lets the receiver detect that its copy is outdated.
// ViewHash is a hash of the members that the sender has in its own data centre.
// A receiver whose hash of that data centre differs sets WantHints to request up
// to maxHints hints.
type heartbeat struct {
	ID                 string       `json:"id"`
	Incarnation        string       `json:"incarnation"`
	Leaving            bool         `json:"leaving,omitempty"`
	PeriodMillis       int64        `json:"periodMillis"`
	Load               model.Load   `json:"load"`
	ConfigNumber       int64        `json:"configNumber,omitempty"`
	ConfigDigestPrefix string       `json:"configCheck,omitempty"`
	ConfigDigest       string       `json:"configDigest,omitempty"`
	Entry              *model.Entry `json:"entry,omitempty"`
	ViewHash           uint32       `json:"view"`
	WantEntry          bool         `json:"wantEntry,omitempty"`
	WantHints          bool         `json:"wantHints,omitempty"`
	Hints              []hint       `json:"hints,omitempty"`
}

// hint reports a third member. AgeMillis is the time since that member's latest
// heartbeat; as an age, it needs no comparison of the clocks of two instances.
type hint struct {
	ID          string `json:"id"`
	Incarnation string `json:"inc"`
	DataCentre  string `json:"dc"`
	PeerAddr    string `json:"addr"`
	Leaving     bool   `json:"leaving,omitempty"`
	AgeMillis   int64  `json:"age"`
	FreeSlots   int    `json:"free,omitempty"`
}

// Limits of a valid heartbeat.
const (
	maxHeartbeatSize = 16 << 10 // bytes
	maxNameLength    = 128      // bytes
	maxHints         = 6
	digestPrefixSize = 8 // bytes of the digest
)

// decodeHeartbeat decodes a heartbeat and checks its limits. Its errors are of
// KindInvalid.
func decodeHeartbeat(raw json.RawMessage) (heartbeat, error) {
	if len(raw) > maxHeartbeatSize {
		return heartbeat{}, invalid(eris.Errorf("%d bytes, limit %d", len(raw), maxHeartbeatSize))
	}

	var h heartbeat
	if err := json.Unmarshal(raw, &h); err != nil {
		return heartbeat{}, invalid(eris.Wrap(err, "parse"))
	}
	if err := h.check(); err != nil {
		return heartbeat{}, invalid(err)
	}
	return h, nil
}

func invalid(err error) error {
	return &Error{Op: "decode heartbeat", Kind: KindInvalid, Err: err}
}

func (h *heartbeat) check() error {
	if !validName(h.ID) || !validName(h.Incarnation) {
		return eris.New("id or incarnation is empty or too long")
	}
	if h.PeriodMillis < 0 || h.PeriodMillis > maxPeriod.Milliseconds() {
		return eris.Errorf("period of %d ms is out of range", h.PeriodMillis)
	}
	if len(h.ConfigDigestPrefix) > maxNameLength || len(h.ConfigDigest) > maxNameLength {
		return eris.New("digest is too long")
	}
	if len(h.Hints) > maxHints {
		return eris.Errorf("%d hints, limit %d", len(h.Hints), maxHints)
	}
	if err := h.checkEntry(); err != nil {
		return err
	}

	for i := range h.Hints {
		if err := h.Hints[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (h *heartbeat) checkEntry() error {
	if h.Entry == nil {
		return nil
	}
	if h.Entry.ID != h.ID || h.Entry.Incarnation != h.Incarnation {
		return eris.New("entry is of another instance")
	}
	return checkLocation(h.Entry.DataCentre, h.Entry.PeerAddr)
}

func (h *hint) check() error {
	if !validName(h.ID) || !validName(h.Incarnation) {
		return eris.New("id or incarnation of a hint is empty or too long")
	}
	if h.AgeMillis < 0 || h.AgeMillis > forgetAfter.Milliseconds() {
		return eris.Errorf("age of %d ms is out of range", h.AgeMillis)
	}
	return checkLocation(h.DataCentre, h.PeerAddr)
}

func checkLocation(dataCentre, peerAddr string) error {
	if !validName(dataCentre) {
		return eris.New("data centre is empty or too long")
	}
	if _, err := netip.ParseAddrPort(peerAddr); err != nil {
		return eris.Wrap(err, "peer address")
	}
	return nil
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameLength
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

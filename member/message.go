package member

import (
	"encoding/json"
	"net/netip"
	"time"

	"foxtailmux/model"

	"github.com/rotisserie/eris"
)

// heartbeat is both the request and the answer of an exchange. Entry and
// ConfigDigest are left out once the receiver has them; ConfigCheck, the
// start of the digest, shows the receiver when it has another one. View is a
// hash of the members that the sender knows in its own data centre. WantHints
// asks for the members that the receiver knows, when the views differ.
type heartbeat struct {
	ID           string       `json:"id"`
	Incarnation  string       `json:"incarnation"`
	Leaving      bool         `json:"leaving,omitempty"`
	PeriodMillis int64        `json:"periodMillis"`
	Load         model.Load   `json:"load"`
	ConfigNumber int64        `json:"configNumber,omitempty"`
	ConfigCheck  string       `json:"configCheck,omitempty"`
	ConfigDigest string       `json:"configDigest,omitempty"`
	Entry        *model.Entry `json:"entry,omitempty"`
	View         uint32       `json:"view"`
	WantEntry    bool         `json:"wantEntry,omitempty"`
	WantHints    bool         `json:"wantHints,omitempty"`
	Hints        []hint       `json:"hints,omitempty"`
}

// hint tells of a third member. AgeMillis is the time since that member was
// heard, so that no clock is compared with another's.
type hint struct {
	ID          string `json:"id"`
	Incarnation string `json:"inc"`
	DataCentre  string `json:"dc"`
	PeerAddr    string `json:"addr"`
	Leaving     bool   `json:"leaving,omitempty"`
	AgeMillis   int64  `json:"age"`
	FreeSlots   int    `json:"free,omitempty"`
}

// Bounds of a valid heartbeat.
const (
	maxHeartbeatSize = 16 << 10 // bytes
	maxNameLength    = 128      // bytes
	maxHints         = 6
	configCheckSize  = 8 // bytes of the digest
)

// decodeHeartbeat returns a heartbeat within its bounds.
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
	return &Error{Op: "decode heartbeat", Kind: Invalid, Err: err}
}

func (h *heartbeat) check() error {
	if !validName(h.ID) || !validName(h.Incarnation) {
		return eris.New("id or incarnation is empty or too long")
	}
	if h.PeriodMillis < 0 || h.PeriodMillis > maxPeriod.Milliseconds() {
		return eris.Errorf("period of %d ms is out of range", h.PeriodMillis)
	}
	if len(h.ConfigCheck) > maxNameLength || len(h.ConfigDigest) > maxNameLength {
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
	return checkPlace(h.Entry.DataCentre, h.Entry.PeerAddr)
}

func (h *hint) check() error {
	if !validName(h.ID) || !validName(h.Incarnation) {
		return eris.New("id or incarnation of a hint is empty or too long")
	}
	if h.AgeMillis < 0 || h.AgeMillis > forgetAfter.Milliseconds() {
		return eris.Errorf("age of %d ms is out of range", h.AgeMillis)
	}
	return checkPlace(h.DataCentre, h.PeerAddr)
}

func checkPlace(dataCentre, peerAddr string) error {
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

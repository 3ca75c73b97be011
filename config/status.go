package config

import (
	"strings"
	"time"
)

// installErrShownFor is how long Status reports a version that could not be
// brought into force, after the last attempt.
const installErrShownFor = time.Minute

// Status is one instance's report on its configuration. SinceMillis is how long
// the version has been in force, PolledMillis how long ago the store last
// responded to a poll; both are -1 if that never happened. Error describes a
// refused version and a failing store.
type Status struct {
	Instance     string `json:"instance"`
	DataCentre   string `json:"dataCentre"`
	Version      int64  `json:"version"`
	Digest       string `json:"digest"`
	SinceMillis  int64  `json:"sinceMillis"`
	PolledMillis int64  `json:"polledMillis"`
	Error        string `json:"error,omitempty"`

	// Members are the other instances in this one's list of members.
	Members []MemberStatus `json:"members,omitempty"`
}

// MemberStatus is what an instance has recorded about another one.
// OperatorsAddr is empty if the instance has no direct contact with the other
// and has received its membership from third ones only. HeartbeatAgeMillis is
// the time since the latest heartbeat of the other, received directly or
// reported by third ones.
type MemberStatus struct {
	Instance           string `json:"instance"`
	DataCentre         string `json:"dataCentre"`
	OperatorsAddr      string `json:"operatorsAddr,omitempty"`
	State              string `json:"state"`
	HeartbeatAgeMillis int64  `json:"heardMillis"`
}

// Status returns the state of the watcher, with Instance and DataCentre set to
// the arguments.
func (w *Watcher) Status(instance, dataCentre string) Status {
	w.mu.Lock()
	defer w.mu.Unlock()

	s := Status{
		Instance:     instance,
		DataCentre:   dataCentre,
		SinceMillis:  millisSince(w.installedAt),
		PolledMillis: millisSince(w.lastPoll),
		Error:        w.lastError(),
	}
	if v := w.Current(); v != nil {
		s.Version = v.Number
		s.Digest = v.Digest
	}
	return s
}

// lastError describes a version refused lately and the failure of the last poll;
// "" if there is neither. Callers hold mu.
func (w *Watcher) lastError() string {
	var texts []string
	if w.installErr != nil && time.Since(w.installErrAt) < installErrShownFor {
		texts = append(texts, w.installErr.Error())
	}
	if w.pollErr != nil {
		texts = append(texts, w.pollErr.Error())
	}
	return strings.Join(texts, "; ")
}

// millisSince returns -1 for the zero time.
func millisSince(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Milliseconds()
}

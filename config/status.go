package config

import (
	"strings"
	"time"
)

// refusalShown is how long a refused version is told of after the last try.
const refusalShown = time.Minute

// Status is what one instance says of its configuration. SinceMillis is how
// long the version has been in force, PolledMillis how long ago the store
// last answered; both are -1 if that never happened.
type Status struct {
	Instance     string `json:"instance"`
	DataCentre   string `json:"dataCentre"`
	Version      int64  `json:"version"`
	Digest       string `json:"digest"`
	SinceMillis  int64  `json:"sinceMillis"`
	PolledMillis int64  `json:"polledMillis"`
	Error        string `json:"error,omitempty"`

	// Members are the other instances that this one knows of.
	Members []MemberStatus `json:"members,omitempty"`
}

// MemberStatus is what an instance knows of another one. OperatorsAddr is
// empty if the other was only heard of through third ones. HeartbeatAgeMillis is how
// long ago it was last heard of.
type MemberStatus struct {
	Instance           string `json:"instance"`
	DataCentre         string `json:"dataCentre"`
	OperatorsAddr      string `json:"operatorsAddr,omitempty"`
	State              string `json:"state"`
	HeartbeatAgeMillis int64  `json:"heardMillis"`
}

// Status returns the state of the watcher under the name of its instance.
func (w *Watcher) Status(instance, dataCentre string) Status {
	w.mu.Lock()
	defer w.mu.Unlock()

	s := Status{
		Instance:     instance,
		DataCentre:   dataCentre,
		SinceMillis:  millisSince(w.since),
		PolledMillis: millisSince(w.lastPoll),
		Error:        w.lastError(),
	}
	if v := w.Current(); v != nil {
		s.Version = v.Number
		s.Digest = v.Digest
	}
	return s
}

// lastError tells of a version that was refused lately and of the store.
func (w *Watcher) lastError() string {
	var texts []string
	if w.takeErr != nil && time.Since(w.takeErrAt) < refusalShown {
		texts = append(texts, w.takeErr.Error())
	}
	if w.pollErr != nil {
		texts = append(texts, w.pollErr.Error())
	}
	return strings.Join(texts, "; ")
}

func millisSince(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Milliseconds()
}

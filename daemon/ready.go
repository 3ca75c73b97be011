package daemon

import (
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/member"
)

// joinTimeout is how long a new instance waits for its first list of workers and for a first
// live peer before it reports that it is ready without them.
const joinTimeout = 3 * time.Second

// ready returns the reason why the instance takes no new jobs, or nil.
func (d *Daemon) ready() error {
	switch {
	case d.leaving.Load():
		return eris.New("the instance is leaving")
	case !d.configWatcher.Ready():
		return eris.New("no configuration is in force yet")
	case d.pauseDetector.PausedWithin(resumeDelay):
		return eris.New("the instance was paused")
	case time.Since(d.started) > joinTimeout:
		return nil
	case d.roster.State().LastSuccess.IsZero():
		return eris.New("the list of workers was not read yet")
	case d.joining():
		return eris.New("no peer has answered yet")
	}
	return nil
}

// joining reports whether the instance has seeds and no live peer yet.
func (d *Daemon) joining() bool {
	if len(d.settings.Peers.Seeds) == 0 {
		return false
	}
	for _, m := range d.members.Members() {
		if m.Entry.ID != d.self.ID && m.State == member.StateAlive {
			return false
		}
	}
	return true
}

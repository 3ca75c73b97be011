package daemon

import (
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/member"
)

// joinPatience is how long a new instance waits for its first list of workers
// and its first peer before it takes work without them.
const joinPatience = 3 * time.Second

// ready returns why the instance takes no new work, or nil.
func (d *Daemon) ready() error {
	switch {
	case d.leaving.Load():
		return eris.New("the instance is leaving")
	case !d.watcher.Ready():
		return eris.New("no configuration is in force yet")
	case d.watch.PausedWithin(wakeUp):
		return eris.New("the instance was paused")
	case time.Since(d.started) > joinPatience:
		return nil
	case d.roster.State().LastSuccess.IsZero():
		return eris.New("the list of workers was not read yet")
	case d.joining():
		return eris.New("no peer has answered yet")
	}
	return nil
}

// joining reports whether the first peer is still to be heard of.
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

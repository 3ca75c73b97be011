package home

import (
	"github.com/phuslu/log"

	"foxtailmux/model"
)

// isNear reports whether a worker is in the rack of the data of a step's tasks. Tasks of a step that names
// no rack are near on all workers.
func (w *worker) isNear(s model.Step) bool { return s.Rack == "" || s.Rack == w.info.Rack }

// placements counts the runs of a job's tasks that have their data in a rack.
type placements struct {
	rack      string // of the first step that names one
	near, far int
}

// add counts the start of a run on a worker.
func (p *placements) add(s model.Step, w *worker) {
	if s.Rack == "" {
		return
	}
	if p.rack == "" {
		p.rack = s.Rack
	}
	if w.isNear(s) {
		p.near++
	} else {
		p.far++
	}
}

// addTo adds the counts to a log line, for jobs whose data are in a rack.
func (p *placements) addTo(l *log.Entry) {
	if p.rack != "" {
		l.Str("rack", p.rack).Int("nearRuns", p.near).Int("farRuns", p.far)
	}
}

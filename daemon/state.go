package daemon

import (
	"foxtailmux/config"
	"foxtailmux/member"
	"foxtailmux/model"
	"foxtailmux/roster"
	"foxtailmux/sched"
)

// State is the state dump of an instance, which operators request. WaitingCalls is
// the number of jobs whose callers wait for the answer, OpenJobs the number of open jobs
// by team. TicketsHeld is the number of unused, open and answered ids in the ticket
// store, TicketsOpen the number of open jobs on tickets or keys. Document is the
// configuration in force without its access keys.
type State struct {
	Self          model.Entry     `json:"self"`
	Ready         bool            `json:"ready"`
	NotReady      string          `json:"notReady,omitempty"`
	WaitingCalls  int             `json:"waitingCalls"`
	OpenJobs      map[string]int  `json:"openJobs"`
	TicketsHeld   int             `json:"ticketsHeld"`
	TicketsOpen   int             `json:"ticketsOpen"`
	Scheduler     sched.State     `json:"scheduler"`
	Members       []member.Member `json:"members"`
	Roster        roster.State    `json:"roster"`
	Configuration config.Status   `json:"configuration"`
	Document      config.Document `json:"document"`
	TableReads    uint64          `json:"tableReads"`
	TableWrites   uint64          `json:"tableWrites"`
}

// state returns the state dump. It leaves out the access keys of the configuration.
func (d *Daemon) state() State {
	document := d.configDocument()
	document.Access = nil

	held, open := d.tickets.Size()
	s := State{
		Self:          d.self,
		Ready:         true,
		WaitingCalls:  d.entry.Open(),
		OpenJobs:      d.quotas.OpenJobs(),
		TicketsHeld:   held,
		TicketsOpen:   open,
		Scheduler:     d.sched.State(),
		Members:       d.members.Members(),
		Roster:        d.roster.State(),
		Configuration: d.configWatcher.Status(d.self.ID, d.self.DataCentre),
		Document:      document,
		TableReads:    d.table.Reads(),
		TableWrites:   d.table.Writes(),
	}
	if err := d.ready(); err != nil {
		s.Ready = false
		s.NotReady = err.Error()
	}
	return s
}

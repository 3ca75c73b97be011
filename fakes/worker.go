package fakes

import (
	"net/http"
	"strings"
	"sync"

	"foxtailmux/model"
)

// Defaults and bounds of a worker stand-in.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	defaultMaxEvents   = 200_000
	maxEndedTasks      = 10_000 // whose ids are kept to respond to cancellations
)

// Paths of a worker.
const (
	TasksPath  = "/tasks"  // POST StartRequest; DELETE with the escaped id as the last path element
	StatusPath = "/status" // GET WorkerStatus
)

// WorkerOptions are the settings of a worker stand-in. Zero values mean the
// defaults; the default address is a free port of 127.0.0.1.
type WorkerOptions struct {
	ID          string
	Addr        string // IP and port
	DataCentre  string
	Rack        string
	Pool        string
	Slots       int
	Connections int
	Capacity    model.Resources
	MaxEvents   int
	Events      *EventLog // instead of a log of MaxEvents of its own
	Faults      WorkerFaults
}

// WorkerFaults are the fault switches of a worker stand-in.
type WorkerFaults struct {
	// FailEverything makes each task fail right after its start.
	FailEverything bool `json:"failEverything"`

	// SlowFactor multiplies the run times; 0 means 1.
	SlowFactor float64 `json:"slowFactor"`

	// Leaving refuses new tasks as not run, and is reported in the status and
	// in replies.
	Leaving bool `json:"leaving"`

	// LeavingAccepts makes a leaving worker run new tasks nevertheless, so that
	// its events show whether it still gets any.
	LeavingAccepts bool `json:"leavingAccepts"`

	// BlackHole turns the connections to Addr that are established when it is
	// switched on into black holes for good. New connections work, and the
	// switch resets itself.
	BlackHole bool `json:"silent,omitempty"`

	// CloseAfterRead starts the task and closes the connection without a
	// response.
	CloseAfterRead bool `json:"closeAfterRead"`

	// CloseBeforeStart closes a connection that has already served a request
	// when a start request arrives on it, without starting the task.
	CloseBeforeStart bool `json:"closeBeforeStart"`

	// RejectConnections makes the kernel refuse new connections.
	RejectConnections bool `json:"rejectConnections"`

	// CancelIgnored responds to cancellations with status 503 and ignores them.
	CancelIgnored bool `json:"cancelIgnored"`

	// StatusDown responds to requests for the status with status 503.
	StatusDown bool `json:"statusDown"`
}

// Worker is a stand-in for a worker that is reached over HTTP.
type Worker struct {
	options  WorkerOptions
	listener *listener
	control  *listener
	server   *server
	events   *EventLog

	mu         sync.Mutex
	faults     WorkerFaults
	busy       int
	running    map[string][]*attempt
	endedTasks map[string]struct{}
	endedOrder []string
}

// StartWorker starts a worker stand-in. It fails with KindListen when the
// address can't be bound.
func StartWorker(options WorkerOptions) (*Worker, error) {
	options = options.withDefaults()
	l, err := listen(options.Addr, options.Connections)
	if err != nil {
		return nil, err
	}
	control, err := listen("", 0)
	if err != nil {
		l.Close()
		return nil, err
	}

	w := &Worker{
		options:    options,
		listener:   l,
		control:    control,
		events:     options.Events,
		running:    map[string][]*attempt{},
		endedTasks: map[string]struct{}{},
	}
	if w.options.ID == "" {
		w.options.ID = l.Addr().String()
	}
	w.server = startServer(http.HandlerFunc(w.serve), l, control)
	if err := w.SetFaults(options.Faults); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (o WorkerOptions) withDefaults() WorkerOptions {
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections == 0 {
		o.Connections = DefaultConnections
	}
	if o.MaxEvents == 0 {
		o.MaxEvents = defaultMaxEvents
	}
	if o.Events == nil {
		o.Events = NewEventLog(o.MaxEvents, nil)
	}
	return o
}

// Addr returns the IP and port to which tasks are sent.
func (w *Worker) Addr() string {
	return w.listener.Addr().String()
}

// ControlAddr returns a second IP and port that serves the same paths. The limit
// on connections and the connection faults do not apply to it.
func (w *Worker) ControlAddr() string {
	return w.control.Addr().String()
}

// Close stops the worker and its tasks at once and waits until they have ended.
func (w *Worker) Close() {
	w.server.close()
}

// Done returns a channel that is closed when the worker has ended.
func (w *Worker) Done() <-chan struct{} {
	return w.server.done
}

// Describe returns the worker's entry for the platform's list of instances.
func (w *Worker) Describe() model.Worker {
	state := model.Live
	if w.Faults().Leaving {
		state = model.Leaving
	}
	return model.Worker{
		ID:          w.options.ID,
		Addr:        w.Addr(),
		DataCentre:  w.options.DataCentre,
		Rack:        w.options.Rack,
		Pool:        w.options.Pool,
		State:       state,
		Slots:       w.options.Slots,
		Connections: w.options.Connections,
		Capacity:    w.options.Capacity,
	}
}

// Events returns the latest events of the worker.
func (w *Worker) Events() EventPage {
	return w.events.Page()
}

// Connections returns the number of established connections on Addr.
func (w *Worker) Connections() int {
	return w.listener.count()
}

// Status returns the status that the worker reports.
func (w *Worker) Status() model.WorkerStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	return model.WorkerStatus{
		ID:        w.options.ID,
		Slots:     w.options.Slots,
		BusySlots: w.busy,
		Leaving:   w.faults.Leaving,
	}
}

// Faults returns the fault switches.
func (w *Worker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetFaults replaces the fault switches. It fails with KindListen if connections
// should be accepted again, but the address is in use.
func (w *Worker) SetFaults(f WorkerFaults) error {
	return w.setFaults(f, nil)
}

// setFaults replaces the fault switches. The connection except, over which the
// request for it arrived, does not become a black hole.
func (w *Worker) setFaults(f WorkerFaults, except *conn) error {
	if f.BlackHole {
		w.listener.blackHole(except)
		f.BlackHole = false
	}
	if err := w.listener.setRefusing(f.RejectConnections); err != nil {
		return err
	}

	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	return nil
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	first := true
	if c := requestConn(r); c != nil {
		first = c.requests.Add(1) == 1
	}

	path := r.URL.EscapedPath()
	switch {
	case path == TasksPath && r.Method == http.MethodPost:
		w.serveStart(rw, r, first)
	case strings.HasPrefix(path, TasksPath+"/") && r.Method == http.MethodDelete:
		w.serveCancel(rw, r)
	case path == StatusPath && r.Method == http.MethodGet:
		w.serveStatus(rw)
	case path == FaultsPath:
		w.serveFaults(rw, r)
	case path == EventsPath && r.Method == http.MethodGet:
		writeJSON(rw, http.StatusOK, w.Events())
	default:
		http.Error(rw, "no such path or method", http.StatusNotFound)
	}
}

func (w *Worker) serveStatus(rw http.ResponseWriter) {
	if w.Faults().StatusDown {
		http.Error(rw, "status is down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(rw, http.StatusOK, w.Status())
}

func (w *Worker) serveFaults(rw http.ResponseWriter, r *http.Request) {
	faults := w.Faults()
	if r.Method == http.MethodPost {
		if err := readJSON(r, &faults); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		if err := w.setFaults(faults, requestConn(r)); err != nil {
			http.Error(rw, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	writeJSON(rw, http.StatusOK, w.Faults())
}

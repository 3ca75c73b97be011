package fakes

import (
	"net/http"
	"strings"
	"sync"

	"foxtailmux/model"
)

// Defaults of a worker stand-in.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	defaultMaxEvents   = 200_000
	maxEndedTasks      = 10_000
)

// Paths of a worker.
const (
	TasksPath  = "/tasks"  // POST StartRequest; DELETE with the escaped id as last element
	StatusPath = "/status" // GET WorkerStatus
)

// WorkerOptions are the settings of a worker stand-in. Zero values take the
// defaults.
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
	Events      *EventLog // replaces the worker's own log
	Faults      WorkerFaults
}

// WorkerFaults are the fault switches of a worker stand-in.
type WorkerFaults struct {
	// FailEverything makes each task fail at once after its start.
	FailEverything bool `json:"failEverything"`

	// SlowFactor multiplies the run times; 0 means 1.
	SlowFactor float64 `json:"slowFactor"`

	// Leaving refuses new tasks as not run and shows in status and answers.
	Leaving bool `json:"leaving"`

	// LeavingAccepts makes a leaving worker run new tasks all the same, so
	// that its events show who still sends some.
	LeavingAccepts bool `json:"leavingAccepts"`

	// BlackHole makes the connections that are established when it is set
	// silent for good. New connections work. It is an act, not a state.
	BlackHole bool `json:"silent,omitempty"`

	// CloseAfterRead starts the task and closes its connection without an
	// answer.
	CloseAfterRead bool `json:"closeAfterRead"`

	// CloseBeforeStart closes a connection that has served a request when
	// the next start arrives on it, without starting the task.
	CloseBeforeStart bool `json:"closeBeforeStart"`

	// RejectConnections makes the kernel refuse new connections.
	RejectConnections bool `json:"rejectConnections"`

	// CancelIgnored answers cancellations with status 503 and no effect.
	CancelIgnored bool `json:"cancelIgnored"`

	// StatusDown answers requests for the status with status 503.
	StatusDown bool `json:"statusDown"`
}

// Worker is a stand-in for a worker.
type Worker struct {
	options  WorkerOptions
	listener *listener
	control  *listener
	server   *server
	events   *EventLog

	mu      sync.Mutex
	faults  WorkerFaults
	busy    int
	running map[string][]*attempt
	ended   map[string]struct{}
	order   []string
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
		options:  options,
		listener: l,
		control:  control,
		events:   options.Events,
		running:  map[string][]*attempt{},
		ended:    map[string]struct{}{},
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

// Addr returns the IP and port that serve tasks.
func (w *Worker) Addr() string {
	return w.listener.Addr().String()
}

// ControlAddr returns a second IP and port with the same paths. Its
// connections are outside the limit and the connection faults.
func (w *Worker) ControlAddr() string {
	return w.control.Addr().String()
}

// Close stops the worker and its tasks at once and waits for their end.
func (w *Worker) Close() {
	w.server.close()
}

// Done is closed when the worker has ended.
func (w *Worker) Done() <-chan struct{} {
	return w.server.done
}

// Describe returns the worker as the platform's list shows it.
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

// Events returns the events that the worker holds.
func (w *Worker) Events() EventPage {
	return w.events.Page()
}

// Connections returns the number of established connections on Addr.
func (w *Worker) Connections() int {
	return w.listener.count()
}

// Status returns what the worker says of itself.
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

// SetFaults replaces the fault switches. It fails with KindListen when
// connections are to be accepted again and the address is taken.
func (w *Worker) SetFaults(f WorkerFaults) error {
	return w.setFaults(f, nil)
}

func (w *Worker) setFaults(f WorkerFaults, except *conn) error {
	if f.BlackHole {
		w.listener.silence(except)
		f.BlackHole = false
	}
	if err := w.listener.refuse(f.RejectConnections); err != nil {
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

package fakes

import (
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"foxtailmux/model"
)

// Values of Event.Event.
const (
	EventStart = "start"
	EventEnd   = "end"
)

// Event is the start or the end of an attempt to run a task. AtMillis is the
// wall-clock time in milliseconds since 1970. Nonce is copied from the payload.
// Outcome is set only in the end events.
type Event struct {
	Event    string            `json:"event"`
	TaskID   string            `json:"taskId"`
	Attempt  int               `json:"attempt"`
	Worker   string            `json:"worker"`
	AtMillis int64             `json:"atMillis"`
	Nonce    string            `json:"nonce,omitempty"`
	Outcome  model.TaskOutcome `json:"outcome,omitempty"`
}

// EventPage holds the latest events of a worker, oldest first. Dropped counts
// the older events that were discarded.
type EventPage struct {
	Events  []Event `json:"events"`
	Dropped int64   `json:"dropped"`
}

// EventLog keeps a bounded number of events in memory and can also write all of
// them to a writer.
type EventLog struct {
	mu      sync.Mutex
	limit   int
	page    EventPage
	writer  io.Writer
	failure error
}

// NewEventLog returns a log that keeps the last limit events, and up to a quarter
// more. It writes each event as a JSON line to the writer, which may be nil.
func NewEventLog(limit int, writer io.Writer) *EventLog {
	return &EventLog{limit: limit, writer: writer}
}

// Add sets the time of the event to now and appends the event.
func (l *EventLog) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.AtMillis = time.Now().UnixMilli()
	l.page.Events = append(l.page.Events, e)
	if excess := len(l.page.Events) - l.limit; excess > l.limit/4 {
		l.page.Events = append([]Event(nil), l.page.Events[excess:]...)
		l.page.Dropped += int64(excess)
	}
	if l.writer != nil && l.failure == nil {
		l.failure = json.NewEncoder(l.writer).Encode(e)
	}
}

// Page returns a copy of the events in memory.
func (l *EventLog) Page() EventPage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return EventPage{Events: append([]Event{}, l.page.Events...), Dropped: l.page.Dropped}
}

// Err returns the first error of the writer. No events are written after it.
func (l *EventLog) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// ReadEvents reads the events that an EventLog wrote as JSON lines. It fails with
// KindRequest on a line that isn't an event.
func ReadEvents(r io.Reader) ([]Event, error) {
	var events []Event
	decoder := json.NewDecoder(r)
	for {
		var e Event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return nil, &Error{Op: "read events", Kind: KindRequest, Err: err}
		}
		events = append(events, e)
	}
}

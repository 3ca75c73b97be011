package fakes

import (
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"foxtailmux/model"
)

// Names of events.
const (
	EventStart = "start"
	EventEnd   = "end"
)

// Event is one start or end of an attempt at a task. AtMillis is wall-clock
// time in milliseconds since 1970. Nonce is that of the payload, if it has one.
type Event struct {
	Event    string            `json:"event"`
	TaskID   string            `json:"taskId"`
	Attempt  int               `json:"attempt"`
	Worker   string            `json:"worker"`
	AtMillis int64             `json:"atMillis"`
	Nonce    string            `json:"nonce,omitempty"`
	Outcome  model.TaskOutcome `json:"outcome,omitempty"`
}

// EventPage holds the events of a worker, oldest first. Dropped counts the
// older ones that are no longer held.
type EventPage struct {
	Events  []Event `json:"events"`
	Dropped int64   `json:"dropped"`
}

// EventLog holds a bounded number of events and can copy each to a writer.
type EventLog struct {
	mu      sync.Mutex
	limit   int
	page    EventPage
	writer  io.Writer
	failure error
}

// NewEventLog returns a log that holds up to limit events and writes each as a
// JSON line to the writer, which may be nil.
func NewEventLog(limit int, writer io.Writer) *EventLog {
	return &EventLog{limit: limit, writer: writer}
}

// Add stamps the event with the time and appends it.
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

// Page returns a copy of the events that are held.
func (l *EventLog) Page() EventPage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return EventPage{Events: append([]Event{}, l.page.Events...), Dropped: l.page.Dropped}
}

// Err returns the first failure of the writer.
func (l *EventLog) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// ReadEvents reads events that a log wrote as JSON lines. It fails with
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

// Package logger writes the log of one process: one line for each event, as JSON or in
// a format for consoles. Each line carries the instance and its data centre.
package logger

import (
	"io"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"foxtailmux/setup"
)

// Logger writes the events that have at least its level. It is safe for concurrent use.
type Logger struct {
	log.Logger
}

// New returns a logger that writes to w. It returns an *Error if the level or the format
// in s is unknown.
func New(s setup.Settings, w io.Writer) (*Logger, error) {
	writer, err := newWriter(s.Log.Format, w)
	if err != nil {
		return nil, err
	}

	l := &Logger{log.Logger{
		TimeLocation: time.UTC,
		Context: log.NewContext(nil).
			Str("instance", s.Instance).
			Str("dataCentre", s.DataCentre).
			Value(),
		Writer: writer,
	}}
	if err := l.SetLevel(s.Log.Level); err != nil {
		return nil, err
	}
	return l, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return &Logger{log.Logger{Writer: log.IOWriter{Writer: io.Discard}}}
}

// SetLevel changes the level while the process runs. If the name of the level is unknown,
// SetLevel returns an *Error and the level stays.
func (l *Logger) SetLevel(name string) error {
	if !slices.Contains(setup.LogLevels, name) {
		inner := eris.Errorf("level %q is none of %v", name, setup.LogLevels)
		return &Error{Op: "set level", Kind: KindLevel, Err: inner}
	}
	l.Logger.SetLevel(log.ParseLevel(name))
	return nil
}

func newWriter(format setup.Format, w io.Writer) (log.Writer, error) {
	w = &LockedWriter{Writer: w}
	switch format {
	case setup.FormatJSON:
		return log.IOWriter{Writer: w}, nil
	case setup.FormatConsole:
		return &log.ConsoleWriter{Writer: w, QuoteString: true, EndWithMessage: true}, nil
	}
	return nil, &Error{Op: "new", Kind: KindFormat, Err: eris.Errorf("format %q is unknown", format)}
}

// LockedWriter serializes the writes of several goroutines to one writer, so that their
// lines do not mix.
type LockedWriter struct {
	Writer io.Writer
	mu     sync.Mutex
}

// Write passes one line to the writer and returns the result of the writer.
func (l *LockedWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Writer.Write(line)
}

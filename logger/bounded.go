package logger

import (
	"bytes"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// lineRate and lineBurst bound the volume: ten times the lines of an
	// instance at its usual load.
	lineRate  = 500 // a second
	lineBurst = 1000

	// lineQueue is the number of lines that wait for a slow reader.
	lineQueue = 1024

	// flushBytes bounds what is written at once.
	flushBytes = 64 << 10

	// closeTimeout bounds the wait for a reader at the end.
	closeTimeout = 200 * time.Millisecond
)

// DroppingWriter passes lines on to a writer without ever blocking: lines above the
// rate, and those that a slow or full writer does not take, are left out and
// counted, and a line tells their number. It is safe for concurrent use.
type DroppingWriter struct {
	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	leftOut atomic.Int64
	closed  chan struct{}
	done    chan struct{}
}

// NewDroppingWriter returns a writer in front of out, and starts it.
func NewDroppingWriter(out io.Writer) *DroppingWriter {
	b := &DroppingWriter{
		out:     out,
		limiter: rate.NewLimiter(lineRate, lineBurst),
		lines:   make(chan []byte, lineQueue),
		closed:  make(chan struct{}),
		done:    make(chan struct{}),
	}
	go b.run()
	return b
}

// Write takes one line. It always succeeds.
func (b *DroppingWriter) Write(line []byte) (int, error) {
	if !b.limiter.Allow() {
		b.leftOut.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.leftOut.Add(1)
	}
	return len(line), nil
}

// Close writes what waits, for as long as the writer takes it.
func (b *DroppingWriter) Close() error {
	close(b.closed)
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

func (b *DroppingWriter) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.flush(line)
		case <-b.closed:
			b.flush(nil)
			return
		}
	}
}

// flush writes a line and those that wait behind it.
func (b *DroppingWriter) flush(text []byte) {
	for len(text) < flushBytes {
		select {
		case line := <-b.lines:
			text = append(text, line...)
			continue
		default:
		}
		break
	}
	if n := b.leftOut.Swap(0); n > 0 {
		text = append(text, `{"level":"warn","message":"log lines left out","count":`+strconv.FormatInt(n, 10)+"}\n"...)
	}
	_, _ = b.out.Write(text) // there is nowhere else to report to
}

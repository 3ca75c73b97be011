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
	// maxLineRate and lineBurst limit the log volume. The rate is ten times that of
	// an instance at its usual load.
	maxLineRate = 500 // lines per second
	lineBurst   = 1000

	// lineQueueLength is the number of lines that are buffered for a slow output.
	lineQueueLength = 1024

	// maxFlushBytes limits the size of one write. A write may exceed it by one line and
	// the line with the number of dropped lines.
	maxFlushBytes = 64 << 10

	// closeTimeout is the longest time that Close waits for a slow output.
	closeTimeout = 200 * time.Millisecond
)

// DroppingWriter passes log lines to an output without ever blocking the caller. It
// drops the lines above the maximum rate and those that a slow or blocked output does
// not accept. A line in the output reports the number of dropped lines. It is safe for
// concurrent use.
type DroppingWriter struct {
	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64 // lines that were dropped and not reported yet
	closed  chan struct{}
	done    chan struct{}
}

// NewDroppingWriter returns a writer that passes lines to out from a goroutine of its
// own. Close ends the goroutine.
func NewDroppingWriter(out io.Writer) *DroppingWriter {
	d := &DroppingWriter{
		out:     out,
		limiter: rate.NewLimiter(maxLineRate, lineBurst),
		lines:   make(chan []byte, lineQueueLength),
		closed:  make(chan struct{}),
		done:    make(chan struct{}),
	}
	go d.run()
	return d
}

// Write queues one line, or drops it. The error is always nil.
func (d *DroppingWriter) Write(line []byte) (int, error) {
	if !d.limiter.Allow() {
		d.dropped.Add(1)
		return len(line), nil
	}
	select {
	case d.lines <- bytes.Clone(line):
	default:
		d.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines, up to 64 KiB of them, and waits up to 200 ms for the output
// to accept them. Later lines in the queue are lost without being counted. The error is
// always nil. Close must be called only once.
func (d *DroppingWriter) Close() error {
	close(d.closed)
	select {
	case <-d.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

func (d *DroppingWriter) run() {
	defer close(d.done)
	for {
		select {
		case line := <-d.lines:
			d.flush(line)
		case <-d.closed:
			d.flush(nil)
			return
		}
	}
}

// flush writes the text together with the queued lines, up to maxFlushBytes, and with the
// number of dropped lines if there are any.
func (d *DroppingWriter) flush(text []byte) {
	for len(text) < maxFlushBytes {
		select {
		case line := <-d.lines:
			text = append(text, line...)
			continue
		default:
		}
		break
	}
	if n := d.dropped.Swap(0); n > 0 {
		text = append(text, `{"level":"warn","message":"log lines left out","count":`+strconv.FormatInt(n, 10)+"}\n"...)
	}
	_, _ = d.out.Write(text) // an error of the log output can't be reported anywhere
}

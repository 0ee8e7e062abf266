// Package logging writes structured logs without blocking the request path.
//
// Lines go through a bounded queue to one goroutine. A Limiter limits the lines and bytes
// per second; lines that it or a full queue drops are counted by kind, in a log line each
// second and in a metric. Each component of the daemon logs with its own prefix, such as
// "routing: ".
package logging

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/juju/errors"
)

// queueLines is the capacity of the queue.
const queueLines = 8192

// Lines are written in batches, because a write costs far more than formatting a line.
const (
	// lingerTime is how long a line waits for further lines. A daemon that is killed
	// loses the lines of that time.
	lingerTime = 100 * time.Millisecond
	// batchBytes is the maximum size of a batch, apart from a single longer line: readers
	// of the log may truncate longer writes.
	batchBytes = 8 << 10
)

// Writer is an io.Writer that does not block. Each Write is one line.
type Writer struct {
	target    io.Writer
	lines     chan []byte
	batch     []byte        // buffer of the goroutine, reused for each batch
	closing   chan struct{} // closed when no more lines follow those in the queue
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter returns a writer to target and starts its goroutine.
func NewWriter(target io.Writer) *Writer {
	w := &Writer{target: target, lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// ErrQueueFull is returned for a line that was dropped because the queue is full.
const ErrQueueFull = errors.ConstError("log queue is full")

// Write implements io.Writer. If the queue is full, it drops the line and returns
// ErrQueueFull.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
		return len(line), nil
	default:
		return 0, ErrQueueFull
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case first := <-w.lines:
			w.linger()
			w.write(first)
		case <-w.closing:
			w.write(nil)
			return
		}
	}
}

// linger waits lingerTime for further lines, or until the writer is closed.
func (w *Writer) linger() {
	select {
	case <-w.closing:
	case <-time.After(lingerTime):
	}
}

// write writes the line first, which may be nil, and all lines in the queue to the target, in
// batches of whole lines. It ignores errors: there is nowhere to report a log that cannot be
// written.
func (w *Writer) write(first []byte) {
	batch := append(w.batch[:0], first...)
	for {
		select {
		case line := <-w.lines:
			if len(batch)+len(line) > batchBytes && len(batch) > 0 {
				_, _ = w.target.Write(batch)
				batch = batch[:0]
			}
			batch = append(batch, line...)
			continue
		default:
		}
		if len(batch) > 0 {
			_, _ = w.target.Write(batch)
		}
		w.batch = batch
		return
	}
}

// Close writes the lines in the queue and ends the goroutine. Later lines are lost.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.done
}

// Options configure a logger.
type Options struct {
	Level   slog.Leveler // nil: info
	JSON    bool
	Daemon  string   // name of the daemon, added to each line
	Limiter *Limiter // nil: lines are not limited
}

// New returns a logger that writes to w.
func New(w io.Writer, options Options) *slog.Logger {
	handlerOptions := &slog.HandlerOptions{Level: options.Level, ReplaceAttr: plainErrors}
	if options.Limiter != nil {
		w = &byteCounter{limiter: options.Limiter, next: w}
	}
	var handler slog.Handler = slog.NewTextHandler(w, handlerOptions)
	if options.JSON {
		handler = slog.NewJSONHandler(w, handlerOptions)
	}
	handler = handler.WithAttrs([]slog.Attr{slog.String("daemon", options.Daemon)})
	if options.Limiter != nil {
		handler = &limitHandler{next: handler, limiter: options.Limiter}
	}
	return slog.New(handler)
}

// plainErrors replaces an error by its message. Handlers would also print its stack trace,
// which takes several lines.
func plainErrors(_ []string, attribute slog.Attr) slog.Attr {
	if attribute.Value.Kind() != slog.KindAny {
		return attribute // most attributes return here, without an allocation by Any
	}
	if err, ok := attribute.Value.Any().(error); ok {
		attribute.Value = slog.StringValue(err.Error())
	}
	return attribute
}

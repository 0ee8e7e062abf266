// Package logging writes structured logs without ever holding up the request
// path.
//
// Lines go through a bounded queue to one goroutine. A Bound keeps them within so
// many lines and bytes a second; what it or a full queue leaves out is counted by
// kind, in a line each second and in a metric. Each part of the daemon logs with its
// own prefix, such as "routing: ".
package logging

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/juju/errors"
)

// queueLines is how many lines may wait to be written.
const queueLines = 8192

// Lines that come in quick succession are written at once: a write costs far more
// than the making of a line.
const (
	// lingerTime is how long a line waits for others. A daemon that is killed loses
	// the lines of that time.
	lingerTime = 100 * time.Millisecond
	// batchBytes is the most that is written at once, but for a longer line: what reads
	// the lines may cut what is longer.
	batchBytes = 8 << 10
)

// Writer is an io.Writer that never blocks. Each Write is one line.
type Writer struct {
	target  io.Writer
	lines   chan []byte
	batch   []byte        // of the goroutine, kept from write to write
	closing chan struct{} // closed when the lines that wait are the last
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a writer in front of target and starts its goroutine.
func NewWriter(target io.Writer) *Writer {
	w := &Writer{target: target, lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// ErrQueueFull says that a line was dropped, as too many wait to be written.
const ErrQueueFull = errors.ConstError("the queue of the log is full")

// Write implements io.Writer. A full queue drops the line, and the error is
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

// linger waits for further lines, unless the writer is being closed.
func (w *Writer) linger() {
	select {
	case <-w.closing:
	case <-time.After(lingerTime):
	}
}

// write hands a line, if there is one, and all that wait to the target, in batches of
// whole lines. There is no other place to report a log that cannot be written.
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

// Close writes the lines that wait and ends the goroutine. Lines that come later are
// lost.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	<-w.done
}

// Options are a logger's settings.
type Options struct {
	Level   slog.Leveler // nil: info
	JSON    bool
	Daemon  string   // name of the daemon, noted on each line
	Limiter *Limiter // nil: none
}

// New returns a logger that writes to w.
func New(w io.Writer, options Options) *slog.Logger {
	handlerOptions := &slog.HandlerOptions{Level: options.Level, ReplaceAttr: plainErrors}
	if options.Limiter != nil {
		w = &spender{bound: options.Limiter, next: w}
	}
	var handler slog.Handler = slog.NewTextHandler(w, handlerOptions)
	if options.JSON {
		handler = slog.NewJSONHandler(w, handlerOptions)
	}
	handler = handler.WithAttrs([]slog.Attr{slog.String("daemon", options.Daemon)})
	if options.Limiter != nil {
		handler = &boundHandler{next: handler, bound: options.Limiter}
	}
	return slog.New(handler)
}

// plainErrors logs an error by its text. Handlers would print where it was made as
// well, which takes several lines.
func plainErrors(_ []string, attribute slog.Attr) slog.Attr {
	if attribute.Value.Kind() != slog.KindAny {
		return attribute // nothing is boxed on the way of most attributes
	}
	if err, ok := attribute.Value.Any().(error); ok {
		attribute.Value = slog.StringValue(err.Error())
	}
	return attribute
}

// Package logging writes structured logs without ever holding up the request
// path.
//
// Lines go through a bounded queue to one goroutine. When the queue is full the
// line is dropped and counted, and the next line that gets through is preceded
// by one that says how many were lost. Each part of the daemon logs with its own
// prefix, such as "routing: ".
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines is how many lines may wait to be written.
const queueLines = 8192

// Lines that come in quick succession are written at once: a write costs far more
// than the making of a line.
const (
	// lingerTime is how long a line waits for others. A daemon that is killed loses
	// the lines of that time.
	lingerTime = 100 * time.Millisecond
	// batchBytes is from how many bytes on nothing is added to a write.
	batchBytes = 64 << 10
)

// Writer is an io.Writer that never blocks. Each Write is one line.
type Writer struct {
	target  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{} // closed when no line may follow
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a writer in front of target and starts its goroutine.
func NewWriter(target io.Writer) *Writer {
	w := &Writer{target: target, lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. A full queue drops the line.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		if lost := w.dropped.Swap(0); lost > 0 {
			batch = fmt.Appendf(batch, "logging: %d lines dropped\n", lost)
		}
		batch = append(batch, line...)
		w.linger()
		batch = w.gather(batch)
		// There is no other place to report a log that cannot be written.
		_, _ = w.target.Write(batch)
		batch = batch[:0]
	}
}

// linger waits for further lines, unless the writer is being closed.
func (w *Writer) linger() {
	select {
	case <-w.closing:
	case <-time.After(lingerTime):
	}
}

// gather adds the lines that wait to a batch, as far as it may grow.
func (w *Writer) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line, open := <-w.lines:
			if !open {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Close writes the lines that wait and ends the goroutine. No Write may follow.
func (w *Writer) Close() {
	w.once.Do(func() {
		close(w.closing)
		close(w.lines)
	})
	<-w.done
}

// Options are a logger's settings.
type Options struct {
	Level  slog.Level
	JSON   bool
	Daemon string // name of the daemon, noted on each line
}

// New returns a logger that writes to w.
func New(w io.Writer, options Options) *slog.Logger {
	handlerOptions := &slog.HandlerOptions{Level: options.Level, ReplaceAttr: plainErrors}
	var handler slog.Handler = slog.NewTextHandler(w, handlerOptions)
	if options.JSON {
		handler = slog.NewJSONHandler(w, handlerOptions)
	}
	return slog.New(handler).With("daemon", options.Daemon)
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

// Part returns a logger whose messages begin with the part's name.
func Part(logger *slog.Logger, part string) *slog.Logger {
	return slog.New(&prefixHandler{next: logger.Handler(), prefix: part + ": "})
}

// prefixHandler puts a prefix before each message.
type prefixHandler struct {
	next   slog.Handler
	prefix string
}

// Enabled implements slog.Handler.
func (h *prefixHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *prefixHandler) Handle(ctx context.Context, record slog.Record) error {
	record.Message = h.prefix + record.Message
	return h.next.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &prefixHandler{next: h.next.WithAttrs(attrs), prefix: h.prefix}
}

// WithGroup implements slog.Handler.
func (h *prefixHandler) WithGroup(name string) slog.Handler {
	return &prefixHandler{next: h.next.WithGroup(name), prefix: h.prefix}
}

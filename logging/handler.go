package logging

import (
	"context"
	"io"
	"log/slog"
)

// Component returns a logger whose messages begin with the part's name.
func Component(logger *slog.Logger, part string) *slog.Logger {
	return slog.New(&prefixHandler{next: logger.Handler(), prefix: part + ": "})
}

// Routine returns a logger for lines of requests that went well, which are the first
// to be left out when there are too many.
func Routine(logger *slog.Logger) *slog.Logger {
	return slog.New(routine(logger.Handler()))
}

// routine returns a handler whose lines count as routine, where there is a bound.
func routine(handler slog.Handler) slog.Handler {
	switch handler := handler.(type) {
	case *prefixHandler:
		return &prefixHandler{next: routine(handler.next), prefix: handler.prefix}
	case *boundHandler:
		return &boundHandler{next: handler.next, bound: handler.bound, routine: true}
	}
	return handler
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

// boundHandler leaves out lines beyond a bound. The kind of a line is its message.
type boundHandler struct {
	next    slog.Handler
	bound   *Limiter
	routine bool
}

// Enabled implements slog.Handler.
func (h *boundHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *boundHandler) Handle(ctx context.Context, record slog.Record) error {
	if !h.bound.Allow(record.Time, record.Message, h.routine) {
		return nil
	}
	err := h.next.Handle(ctx, record)
	if err != nil {
		h.bound.RecordDropped(record.Message, 1)
	}
	return err
}

// WithAttrs implements slog.Handler.
func (h *boundHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &boundHandler{next: h.next.WithAttrs(attrs), bound: h.bound, routine: h.routine}
}

// WithGroup implements slog.Handler.
func (h *boundHandler) WithGroup(name string) slog.Handler {
	return &boundHandler{next: h.next.WithGroup(name), bound: h.bound, routine: h.routine}
}

// spender takes the bytes of each line from a bound.
type spender struct {
	bound *Limiter
	next  io.Writer
}

// Write implements io.Writer.
func (s *spender) Write(line []byte) (int, error) {
	s.bound.ConsumeBytes(len(line))
	return s.next.Write(line)
}

package logging

import (
	"context"
	"io"
	"log/slog"
)

// Component returns a logger that prefixes messages with the name of a component.
func Component(logger *slog.Logger, name string) *slog.Logger {
	return slog.New(&prefixHandler{next: logger.Handler(), prefix: name + ": "})
}

// Routine returns a logger for lines of requests that succeeded. The Limiter drops them before
// other lines.
func Routine(logger *slog.Logger) *slog.Logger {
	return slog.New(asRoutine(logger.Handler()))
}

// asRoutine returns the handler with the lines of its limitHandler, if any, marked as routine.
func asRoutine(handler slog.Handler) slog.Handler {
	switch handler := handler.(type) {
	case *prefixHandler:
		return &prefixHandler{next: asRoutine(handler.next), prefix: handler.prefix}
	case *limitHandler:
		return &limitHandler{next: handler.next, limiter: handler.limiter, routine: true}
	}
	return handler
}

// prefixHandler adds a prefix to each message.
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

// limitHandler drops lines that its Limiter does not allow. The kind of a line is its message.
type limitHandler struct {
	next    slog.Handler
	limiter *Limiter
	routine bool
}

// Enabled implements slog.Handler.
func (h *limitHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *limitHandler) Handle(ctx context.Context, record slog.Record) error {
	if !h.limiter.Allow(record.Time, record.Message, h.routine) {
		return nil
	}
	err := h.next.Handle(ctx, record)
	if err != nil {
		h.limiter.RecordDropped(record.Message, 1)
	}
	return err
}

// WithAttrs implements slog.Handler.
func (h *limitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitHandler{next: h.next.WithAttrs(attrs), limiter: h.limiter, routine: h.routine}
}

// WithGroup implements slog.Handler.
func (h *limitHandler) WithGroup(name string) slog.Handler {
	return &limitHandler{next: h.next.WithGroup(name), limiter: h.limiter, routine: h.routine}
}

// byteCounter takes the bytes of each line from the limit of a Limiter.
type byteCounter struct {
	limiter *Limiter
	next    io.Writer
}

// Write implements io.Writer.
func (c *byteCounter) Write(line []byte) (int, error) {
	c.limiter.ConsumeBytes(len(line))
	return c.next.Write(line)
}

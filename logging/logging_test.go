package logging_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/logging"
)

// TestErrorsAreLoggedByTheirText keeps an error to its text, on one line.
func TestErrorsAreLoggedByTheirText(t *testing.T) {
	for _, json := range []bool{false, true} {
		var written bytes.Buffer
		logger := logging.New(&written, logging.Options{JSON: json, Daemon: "edge-1"})
		logging.Component(logger, "store").Warn("call failed", "error", errors.Annotate(errors.New("refused"), "reading"))
		require.Contains(t, written.String(), "reading: refused")
		require.NotContains(t, written.String(), "logging_test.go")
		require.Equal(t, 1, bytes.Count(written.Bytes(), []byte("\n")))
	}
}

// TestStuckTargetHoldsNobodyUp logs to a pipe that nobody reads: lines are dropped,
// and writing does not block.
func TestStuckTargetHoldsNobodyUp(t *testing.T) {
	reader, target := io.Pipe()
	writer := logging.NewWriter(target)
	logger := logging.New(writer, logging.Options{Daemon: "edge-1"})
	begun := time.Now()
	for range 20000 {
		logger.Info("line")
	}
	require.Less(t, time.Since(begun), 5*time.Second)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	writer.Close()
}

// countedWrites counts what is written to it.
type countedWrites struct {
	mutex  sync.Mutex
	writes int
	text   bytes.Buffer
}

func (c *countedWrites) Write(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writes++
	return c.text.Write(data)
}

// TestLinesAreWrittenTogether logs many lines in quick succession, and all of them
// are there after the end.
func TestLinesAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &countedWrites{}
		writer := logging.NewWriter(target)
		logger := logging.New(writer, logging.Options{Daemon: "edge-1"})
		for range 50 {
			logger.Info("line")
			time.Sleep(10 * time.Millisecond)
		}
		target.mutex.Lock()
		require.LessOrEqual(t, target.writes, 6)
		target.mutex.Unlock()
		logger.Info("last")
		writer.Close()
		require.Equal(t, 51, bytes.Count(target.text.Bytes(), []byte("\n")))
		require.Contains(t, target.text.String(), "last")
	})
}

// wholeLines is a target that wants whole lines, few enough in each write.
type wholeLines struct {
	countedWrites
	broken []int // lengths of writes that are too long or end within a line
}

// Write implements io.Writer.
func (w *wholeLines) Write(data []byte) (int, error) {
	if len(data) > 8<<10 || data[len(data)-1] != '\n' {
		w.broken = append(w.broken, len(data))
	}
	return w.countedWrites.Write(data)
}

// TestWritesAreBounded logs much at once: each write is of whole lines and at most 8 KiB.
func TestWritesAreBounded(t *testing.T) {
	target := &wholeLines{}
	writer := logging.NewWriter(target)
	logger := logging.New(writer, logging.Options{Daemon: "edge-1"})
	const lines = 2000
	for number := range lines {
		logger.Info("line", "number", number, "text", strings.Repeat("x", number%300))
	}
	writer.Close()
	require.Empty(t, target.broken)
	require.Equal(t, lines, bytes.Count(target.text.Bytes(), []byte("\n")))
	require.Greater(t, target.writes, 10)
}

// TestLinesAfterTheEndAreLost logs while and after the writer is closed, as a signal
// that comes late does.
func TestLinesAfterTheEndAreLost(t *testing.T) {
	target := &countedWrites{}
	writer := logging.NewWriter(target)
	logger := logging.New(writer, logging.Options{Daemon: "edge-1"})
	logger.Info("before")
	writer.Close()
	for range 10000 {
		logger.Info("after")
	}
	require.Contains(t, target.text.String(), "before")
	require.NotContains(t, target.text.String(), "after")
}

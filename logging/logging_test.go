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

// TestErrorsAreLoggedWithoutStackTrace guards against stack traces in the log: an error is logged as
// its message, on one line.
func TestErrorsAreLoggedWithoutStackTrace(t *testing.T) {
	for _, json := range []bool{false, true} {
		var written bytes.Buffer
		logger := logging.New(&written, logging.Options{JSON: json, Daemon: "edge-1"})
		logging.Component(logger, "store").Warn("call failed", "error", errors.Annotate(errors.New("refused"), "reading"))
		require.Contains(t, written.String(), "reading: refused")
		require.NotContains(t, written.String(), "logging_test.go")
		require.Equal(t, 1, bytes.Count(written.Bytes(), []byte("\n")))
	}
}

// TestBlockedTargetDoesNotBlockLogging guards against blocking on a target that accepts no data, here a
// pipe that is not read: lines are dropped, and logging does not block.
func TestBlockedTargetDoesNotBlockLogging(t *testing.T) {
	reader, target := io.Pipe()
	writer := logging.NewWriter(target)
	logger := logging.New(writer, logging.Options{Daemon: "edge-1"})
	begin := time.Now()
	for range 20000 {
		logger.Info("line")
	}
	require.Less(t, time.Since(begin), 5*time.Second)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	writer.Close()
}

// countingWriter counts and collects what is written to it.
type countingWriter struct {
	mutex  sync.Mutex
	writes int
	text   bytes.Buffer
}

func (c *countingWriter) Write(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writes++
	return c.text.Write(data)
}

// TestLinesAreWrittenInBatches guards against a write per line: lines in quick succession are
// written in few batches, and all of them are written after Close.
func TestLinesAreWrittenInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &countingWriter{}
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

// batchChecker is a target that records writes that break the rules for batches.
type batchChecker struct {
	countingWriter
	invalid []int // lengths of writes that are too long or end within a line
}

// Write implements io.Writer.
func (w *batchChecker) Write(data []byte) (int, error) {
	if len(data) > 8<<10 || data[len(data)-1] != '\n' {
		w.invalid = append(w.invalid, len(data))
	}
	return w.countingWriter.Write(data)
}

// TestBatchSizeIsLimited guards against writes that readers of the log truncate: each write
// consists of whole lines and has at most 8 KiB.
func TestBatchSizeIsLimited(t *testing.T) {
	target := &batchChecker{}
	writer := logging.NewWriter(target)
	logger := logging.New(writer, logging.Options{Daemon: "edge-1"})
	const lines = 2000
	for number := range lines {
		logger.Info("line", "number", number, "text", strings.Repeat("x", number%300))
	}
	writer.Close()
	require.Empty(t, target.invalid)
	require.Equal(t, lines, bytes.Count(target.text.Bytes(), []byte("\n")))
	require.Greater(t, target.writes, 10)
}

// TestLinesAfterCloseAreDiscarded guards against a panic or deadlock when lines are logged after
// Close, as for a signal that arrives late.
func TestLinesAfterCloseAreDiscarded(t *testing.T) {
	target := &countingWriter{}
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

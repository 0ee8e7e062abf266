package logging_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/tuliphall/tuliphall/internal/testseed"
	"github.com/tuliphall/tuliphall/logging"
)

// TestLimitIsNeverExceeded guards against exceeding the limit: with lines at random times, no
// second has more lines than the bucket's capacity and what is added within the second, and
// each line is either allowed or counted as dropped.
func TestLimitIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perSecond, lineBytes = 20, 100
		now := time.Unix(1000, 0)
		limiter := logging.NewLimiter(now, perSecond, perSecond*lineBytes/2)
		var allowed []time.Time
		dropped, offered := 0, rapid.IntRange(1, 400).Draw(t, "lines")
		for range offered {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
			if limiter.Allow(now, "kind", rapid.Bool().Draw(t, "routine")) {
				limiter.ConsumeBytes(lineBytes)
				allowed = append(allowed, now)
			}
		}
		for first, begin := range allowed {
			within := 0
			for _, at := range allowed[first:] {
				if at.Sub(begin) < time.Second {
					within++
				}
			}
			// The bytes limit: half of perSecond lines from a full bucket, and half within the second.
			if limit := 2*perSecond/2 + 1; within > limit {
				t.Fatalf("%d lines within a second, allowed: %d", within, limit)
			}
		}
		for _, lines := range limiter.TakeDropped() {
			dropped += lines
		}
		if len(allowed)+dropped != offered {
			t.Fatalf("%d lines allowed and %d dropped of %d", len(allowed), dropped, offered)
		}
	})
}

// TestRoutineLinesAreDroppedFirst guards against losing lines about failures while too many lines
// about successful requests are logged: only the latter are dropped.
func TestRoutineLinesAreDroppedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := logging.NewLimiter(now, 100, 1_000_000)
	failures := 0
	for step := range 5000 { // 1,000 lines per second for 5 s
		now = now.Add(time.Millisecond)
		limiter.Allow(now, "answered", true)
		if step%50 == 0 && limiter.Allow(now, "failed", false) {
			failures++
		}
	}
	require.Equal(t, 100, failures)
	require.NotContains(t, limiter.TakeDropped(), "failed")
}

// TestDroppedLinesAreReported guards against dropping lines without a report: with ten times the allowed
// lines, the log stays within the limit, and a line each second and the counter report the
// dropped lines by kind.
func TestDroppedLinesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &countingWriter{}
		writer := logging.NewWriter(target)
		limiter := logging.NewLimiter(time.Now(), 100, 1_000_000)
		logger := logging.New(writer, logging.Options{JSON: true, Daemon: "edge-1", Limiter: limiter})
		counted := 0
		go logging.ReportDropped(t.Context(), logger, limiter, func(kind string, lines int) {
			require.Equal(t, "frontend: answered", kind)
			counted += lines
		})
		routine := logging.Routine(logging.Component(logger, "frontend"))
		const offered = 5000
		for range offered {
			routine.Info("answered", "request", "r-1")
			time.Sleep(time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		writer.Close()

		written, reported := 0, 0
		scanner := bufio.NewScanner(&target.text)
		for scanner.Scan() {
			var line struct {
				Message string         `json:"msg"`
				Daemon  string         `json:"daemon"`
				Lines   int            `json:"lines"`
				Kinds   map[string]int `json:"kinds"`
			}
			require.NoError(t, json.Unmarshal(scanner.Bytes(), &line), scanner.Text())
			require.Equal(t, "edge-1", line.Daemon)
			written++
			if line.Message == "logging: lines left out" {
				require.Equal(t, line.Lines, line.Kinds["frontend: answered"])
				reported += line.Lines
				written--
			}
		}
		require.LessOrEqual(t, written, 5*100+50+1)
		require.Equal(t, offered, written+reported)
		require.Equal(t, reported, counted)
	})
}

// failingWriter fails each Write.
type failingWriter struct{}

// Write implements io.Writer.
func (failingWriter) Write([]byte) (int, error) {
	return 0, errors.New("write failed")
}

// TestLinesThatWriterRejectsAreCounted guards against losing lines without counting them: a line that
// the writer rejects, as with a full queue, is counted as dropped.
func TestLinesThatWriterRejectsAreCounted(t *testing.T) {
	limiter := logging.NewLimiter(time.Now(), 100, 1_000_000)
	logger := logging.New(failingWriter{}, logging.Options{Level: slog.LevelInfo, Daemon: "edge-1", Limiter: limiter})
	logging.Component(logger, "frontend").Info("failed")
	require.Equal(t, map[string]int{"frontend: failed": 1}, limiter.TakeDropped())
}

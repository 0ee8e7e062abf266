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

// TestBoundNeverExceeded offers lines at random times: no second gets more than what
// was saved and what came in during it, and each line is either admitted or counted.
func TestBoundNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perSecond, lineBytes = 20, 100
		now := time.Unix(1000, 0)
		bound := logging.NewLimiter(now, perSecond, perSecond*lineBytes/2)
		var admitted []time.Time
		leftOut, offered := 0, rapid.IntRange(1, 400).Draw(t, "lines")
		for range offered {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
			if bound.Allow(now, "kind", rapid.Bool().Draw(t, "routine")) {
				bound.ConsumeBytes(lineBytes)
				admitted = append(admitted, now)
			}
		}
		for first, begin := range admitted {
			within := 0
			for _, at := range admitted[first:] {
				if at.Sub(begin) < time.Second {
					within++
				}
			}
			if most := 2*perSecond/2 + 1; within > most { // bytes bind: saved, and earned within the second
				t.Fatalf("%d lines within a second, allowed: %d", within, most)
			}
		}
		for _, lines := range bound.TakeDropped() {
			leftOut += lines
		}
		if len(admitted)+leftOut != offered {
			t.Fatalf("%d admitted and %d left out of %d", len(admitted), leftOut, offered)
		}
	})
}

// TestFailuresAreKept floods the log with lines of requests that went well: those are
// left out, the few of failures are not.
func TestFailuresAreKept(t *testing.T) {
	now := time.Unix(1000, 0)
	bound := logging.NewLimiter(now, 100, 1_000_000)
	failures := 0
	for step := range 5000 { // 1,000 lines a second for 5 s
		now = now.Add(time.Millisecond)
		bound.Allow(now, "answered", true)
		if step%50 == 0 && bound.Allow(now, "failed", false) {
			failures++
		}
	}
	require.Equal(t, 100, failures)
	require.NotContains(t, bound.TakeDropped(), "failed")
}

// TestLeftOutIsTold logs ten times what is allowed: the log stays within its bound, and
// a line each second, and the counter, tell what was left out, by kind.
func TestLeftOutIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &countedWrites{}
		writer := logging.NewWriter(target)
		bound := logging.NewLimiter(time.Now(), 100, 1_000_000)
		logger := logging.New(writer, logging.Options{JSON: true, Daemon: "edge-1", Limiter: bound})
		counted := 0
		go logging.ReportDropped(t.Context(), logger, bound, func(kind string, lines int) {
			require.Equal(t, "frontend: answered", kind)
			counted += lines
		})
		outcomes := logging.Routine(logging.Component(logger, "frontend"))
		const offered = 5000
		for range offered {
			outcomes.Info("answered", "request", "r-1")
			time.Sleep(time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		writer.Close()

		written, told := 0, 0
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
				told += line.Lines
				written--
			}
		}
		require.LessOrEqual(t, written, 5*100+50+1)
		require.Equal(t, offered, written+told)
		require.Equal(t, told, counted)
	})
}

// stuckWriter takes no line.
type stuckWriter struct{}

// Write implements io.Writer.
func (stuckWriter) Write([]byte) (int, error) {
	return 0, errors.New("stuck")
}

// TestLinesOfAFullQueueAreCounted counts a line that the queue had no room for.
func TestLinesOfAFullQueueAreCounted(t *testing.T) {
	bound := logging.NewLimiter(time.Now(), 100, 1_000_000)
	logger := logging.New(stuckWriter{}, logging.Options{Level: slog.LevelInfo, Daemon: "edge-1", Limiter: bound})
	logging.Component(logger, "frontend").Info("failed")
	require.Equal(t, map[string]int{"frontend: failed": 1}, bound.TakeDropped())
}

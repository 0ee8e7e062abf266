package soak

import (
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	// The soak builds the daemon: a change of it must not leave a result cached.
	_ "github.com/tuliphall/tuliphall/launch"
)

// TestCheckersCanFail breaks each promise that callers' and back ends' views are
// checked for, and expects the report to say so.
func TestCheckersCanFail(t *testing.T) {
	answer := func(status int, id string) *http.Response {
		return &http.Response{StatusCode: status, Header: http.Header{"Request-Id": {id}}}
	}
	for name, one := range map[string]struct {
		want   string
		breaks func(r *report)
	}{
		"nobody sent it": {"UNASKED", func(r *report) { r.ran("r-9", "/safe/r-9") }},
		"ran twice":      {"TWICE", func(r *report) { r.ran("u-1", "/unsafe/u-1"); r.ran("u-1", "/unsafe/u-1") }},
		"told not run, had run": {"REFUSED", func(r *report) {
			r.ran("u-1", "/unsafe/u-1")
			r.answered("u-1", "/unsafe/u-1", answer(http.StatusServiceUnavailable, "u-1"), "")
		}},
		"told not run, runs later": {"REFUSED", func(r *report) {
			r.answered("u-1", "/unsafe/u-1", answer(http.StatusServiceUnavailable, "u-1"), "")
			r.ran("u-1", "/unsafe/u-1")
		}},
		"half an answer": {"MIXED", func(r *report) {
			r.answered("s-1", "/safe/s-1", answer(http.StatusOK, "s-1"), body("s-1", "/safe/s-1")[:40])
		}},
		"another's answer": {"MIXED", func(r *report) {
			r.answered("s-1", "/safe/s-1", answer(http.StatusOK, "s-2"), body("s-1", "/safe/s-1"))
		}},
		"sent to a leaving back end": {"DRAIN", func(r *report) { r.arrivedAtLeaving("i-1", "s-1", drainBound+time.Second) }},
		"sent to an evacuated zone":  {"EVACUATED", func(r *report) { r.arrivedAtEvacuated("i-1", "s-1", evacuationBound+time.Second) }},
		"more than a back end takes": {"LIMIT", func(r *report) { r.arrivedAtLimited("i-1", limitBound+1) }},
		"sent in a pause":            {"PAUSE", func(r *report) { r.arrivedInPause("i-1", "d-1 life 1", pauseBound+1) }},
		"sent again after it ended three back ends": {"BUDGET", func(r *report) {
			path := crashPath + "1"
			for range crashesTold {
				r.crashed(path)
			}
			for index := range r.crashing[path].endings {
				r.crashing[path].endings[index] = time.Now().Add(-agreement - time.Second)
			}
			for range crashSends + 1 {
				r.arrivedCrashing(path)
			}
		}},
		"cut by a planned stop": {"LOST", func(r *report) {
			r.ran("u-1", "/unsafe/u-1")
			r.unanswered("u-1", "/unsafe/u-1", true, io.ErrUnexpectedEOF)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReport(io.Discard)
			r.faultEnded = time.Now().Add(-time.Minute)
			r.sent("u-1", "d-1 life 1", true)
			r.sent("s-1", "d-1 life 1", false)
			one.breaks(r)
			require.Len(t, r.violations, 1)
			require.Contains(t, r.violations[0], one.want)
		})
	}
}

// TestFaultsExcuseBounds holds promises with a bound only while there is no fault.
func TestFaultsExcuseBounds(t *testing.T) {
	r := newReport(io.Discard)
	r.faultEnded = time.Now().Add(-time.Minute)
	ended := r.fault()
	r.arrivedAtLeaving("i-1", "s-1", drainBound+time.Second)
	ended()
	r.arrivedAtLeaving("i-1", "s-1", drainBound+time.Second)
	require.Empty(t, r.violations)
}

// TestScheduleRepeats draws the same schedule for a seed, within its time, and uses
// every kind.
func TestScheduleRepeats(t *testing.T) {
	drawn := make(map[FaultKind]bool)
	for seed := range uint64(40) {
		schedule := NewSchedule(seed, 20, time.Second, time.Minute)
		require.Equal(t, schedule, NewSchedule(seed, 20, time.Second, time.Minute))
		for index, fault := range schedule {
			drawn[fault.Kind] = true
			require.GreaterOrEqual(t, fault.At, time.Second)
			require.LessOrEqual(t, fault.At, time.Minute)
			require.True(t, index == 0 || schedule[index-1].At <= fault.At)
		}
	}
	for _, kind := range kinds {
		require.True(t, drawn[kind], kind)
	}
}

// TestShortRun harms three processes for a few seconds.
func TestShortRun(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "tuliphalld")
	built, err := exec.Command("go", "build", "-o", binary, "github.com/tuliphall/tuliphall/cmd/tuliphalld").CombinedOutput()
	require.NoError(t, err, string(built))
	result, err := Run(t.Context(), Options{
		Binary: binary, Directory: t.TempDir(), Seed: 7, Daemons: 3, Workers: 4, FaultCount: 6, FaultDuration: 6 * time.Second, Rate: 60,
	}, t.Output())
	require.NoError(t, err)
	require.Empty(t, result.Violations)
	require.Positive(t, result.Counts["status 200"])
}

// TestStartWaitsForTheEarlierLife guards against taking the end of a daemon's earlier life, which another fault is still
// stopping, for that of the one that was started in its place.
func TestStartWaitsForTheEarlierLife(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "slow-to-stop")
	script := "#!/bin/sh\ntrap 'sleep 0.3; exit 0' TERM\nwhile :; do sleep 0.05; done\n"
	require.NoError(t, os.WriteFile(binary, []byte(script), 0o700))
	r := newReport(io.Discard)
	one := &process{name: "edge-1", address: "127.0.0.1", folder: t.TempDir(), binary: binary, report: r}
	require.NoError(t, one.start())
	time.Sleep(200 * time.Millisecond) // the script has set its trap
	require.True(t, one.signal(syscall.SIGTERM, stopping))
	require.NoError(t, one.start())
	require.False(t, one.isStopping())
	time.Sleep(500 * time.Millisecond)
	r.mutex.Lock()
	require.Empty(t, r.violations)
	r.mutex.Unlock()
	one.kill()
}

package soak

import (
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	// TestShortRun builds the daemon. The import makes go test discard a cached result when the daemon has
	// changed.
	_ "github.com/tuliphall/tuliphall/launch"
	"github.com/tuliphall/tuliphall/resultcode"
)

// TestCheckersDetectViolations violates each guarantee that the report checks, and expects exactly the
// violation that belongs to it. It guards against checks that can never fail.
func TestCheckersDetectViolations(t *testing.T) {
	response := func(status int, id string) *http.Response {
		return &http.Response{StatusCode: status, Header: http.Header{"Request-Id": {id}}}
	}
	for name, test := range map[string]struct {
		want    string
		violate func(r *report)
	}{
		"not sent by a caller": {"UNASKED", func(r *report) { r.recordExecution("r-9", "/safe/r-9") }},
		"ran twice":            {"TWICE", func(r *report) { r.recordExecution("u-1", "/unsafe/u-1"); r.recordExecution("u-1", "/unsafe/u-1") }},
		"reported as not run, had run": {"REFUSED", func(r *report) {
			r.recordExecution("u-1", "/unsafe/u-1")
			r.recordResponse("u-1", "/unsafe/u-1", response(http.StatusServiceUnavailable, "u-1"), "")
		}},
		"reported as not run, runs later": {"REFUSED", func(r *report) {
			r.recordResponse("u-1", "/unsafe/u-1", response(http.StatusServiceUnavailable, "u-1"), "")
			r.recordExecution("u-1", "/unsafe/u-1")
		}},
		"incomplete body": {"MIXED", func(r *report) {
			r.recordResponse("s-1", "/safe/s-1", response(http.StatusOK, "s-1"), expectedBody("s-1", "/safe/s-1")[:40])
		}},
		"response of another request": {"MIXED", func(r *report) {
			r.recordResponse("s-1", "/safe/s-1", response(http.StatusOK, "s-2"), expectedBody("s-1", "/safe/s-1"))
		}},
		"sent to a draining back end": {"DRAIN", func(r *report) { r.recordDrainingArrival("i-1", "s-1", drainBound+time.Second) }},
		"sent to an evacuated zone":   {"EVACUATED", func(r *report) { r.recordEvacuatedArrival("i-1", "s-1", evacuationBound+time.Second) }},
		"more than the request limit": {"LIMIT", func(r *report) { r.recordLimitedArrival("i-1", maxLimitedArrivals+1) }},
		"sent during a pause":         {"PAUSE", func(r *report) { r.recordPausedArrival("i-1", "d-1 incarnation 1", maxPausedArrivals+1) }},
		"sent again after it crashed three back ends": {"BUDGET", func(r *report) {
			path := crashPath + "1"
			for range crashThreshold {
				r.recordCrash(path)
			}
			for index := range r.crashes[path].crashTimes {
				r.crashes[path].crashTimes[index] = time.Now().Add(-crashPropagationTime - time.Second)
			}
			for range maxArrivalsAfterCrashes + 1 {
				r.recordCrashingArrival(path)
			}
		}},
		"served above the limits": {"LIMITS", func(r *report) { r.recordOversized("u-1", http.StatusOK, true, time.Minute) }},
		"refused without limits":  {"LIMITS", func(r *report) { r.recordOversized("u-1", http.StatusRequestEntityTooLarge, false, time.Minute) }},
		"ran although it was too large": {"REFUSED", func(r *report) {
			r.recordExecution("u-1", "/unsafe/u-1")
			r.recordResponse("u-1", "/unsafe/u-1", response(http.StatusRequestEntityTooLarge, "u-1"), "")
		}},
		"small tenants starve in a flood": {"SHARE", func(r *report) {
			recordSmall := func(count, served int) {
				for number := range count {
					r.recordSmall(time.Now(), number < served)
				}
			}
			recordSmall(100, 100)
			endFlood := r.beginFlood()
			recordSmall(100, 94)
			endFlood()
			r.checkShares()
		}},
		"key in the output": {"KEY", func(r *report) { r.recordOutput("d-1", []byte("sent with "+authorization("s-1"))) }},
		"refused after it was held without an answer": {"SILENT", func(r *report) {
			r.recordSilentArrival("u-1", "/unsafe/u-1")
			r.recordResponse("u-1", "/unsafe/u-1", response(http.StatusServiceUnavailable, "u-1"), "")
		}},
		"held without an answer after it was refused": {"SILENT", func(r *report) {
			r.recordResponse("s-1", "/safe/s-1", response(http.StatusServiceUnavailable, "s-1"), "")
			r.recordSilentArrival("s-1", "/safe/s-1")
		}},
		"sent again after it was held without an answer": {"TWICE", func(r *report) {
			r.recordSilentArrival("u-1", "/unsafe/u-1")
			r.recordExecution("u-1", "/unsafe/u-1")
		}},
		"not used after its silence": {"REUSE", func(r *report) { r.recordReuse("i-1", 0) }},
		"other bytes of a body": {"BODY: i-1 got other bytes of u-1 from offset 23 on, 32 received", func(r *report) {
			received, wrongAt, err := checkUpload(strings.NewReader(string(uploadWord(0)) + string(uploadWord(8)) + string(uploadWord(24)) + string(uploadWord(32))))
			r.recordUpload("i-1", "u-1", received, wrongAt, err)
		}},
		"body that ends too early": {"BODY", func(r *report) {
			received, wrongAt, err := checkUpload(strings.NewReader(string(uploadWord(0))))
			r.recordUpload("i-1", "u-1", received, wrongAt, err)
		}},
		"interrupted by a planned stop": {"LOST", func(r *report) {
			r.recordExecution("u-1", "/unsafe/u-1")
			r.recordNoResponse("u-1", "/unsafe/u-1", true, io.ErrUnexpectedEOF)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReport(io.Discard)
			r.lastFaultEnd, r.lastOperationEnd = time.Now().Add(-time.Minute), time.Now().Add(-time.Minute)
			r.recordSent("u-1", "d-1 incarnation 1", true)
			r.recordSent("s-1", "d-1 incarnation 1", false)
			test.violate(r)
			require.Len(t, r.violations, 1)
			require.Contains(t, r.violations[0], test.want)
		})
	}
}

// TestBoundsAreNotCheckedDuringFaults checks that guarantees with a bound are not checked during a fault and for some
// time after it.
func TestBoundsAreNotCheckedDuringFaults(t *testing.T) {
	r := newReport(io.Discard)
	r.lastFaultEnd = time.Now().Add(-time.Minute)
	endFault := r.beginFault()
	r.recordDrainingArrival("i-1", "s-1", drainBound+time.Second)
	r.recordOversized("u-1", http.StatusOK, true, time.Minute)
	endFault()
	r.recordDrainingArrival("i-1", "s-1", drainBound+time.Second)
	r.recordOversized("u-1", http.StatusOK, true, time.Minute)
	require.Empty(t, r.violations)
}

// TestSharesAreNotCheckedDuringFaults guards against a violation where a fault, not the flood, cost the small tenants
// their requests, and against requests sent before the flood that are counted as sent during it.
func TestSharesAreNotCheckedDuringFaults(t *testing.T) {
	r := newReport(io.Discard)
	r.lastOperationEnd = time.Now().Add(-time.Minute)
	for range minSmallRequests {
		r.recordSmall(time.Now(), true)
	}
	before := time.Now()
	r.beginFlood()
	r.recordSmall(before, false)
	endFault := r.beginOperation()
	r.recordSmall(time.Now(), false)
	endFault()
	r.recordSmall(time.Now(), false)
	r.lastOperationEnd = time.Now().Add(-time.Minute)
	r.recordDelay(maxTimerDelay)
	r.recordSmall(time.Now(), false)
	require.Equal(t, tally{}, r.duringFlood)
	require.Equal(t, tally{sent: minSmallRequests, served: minSmallRequests}, r.withoutFlood)
}

// TestUnconfiguredDaemonHasServedNoRoute guards against taking the refusal of a daemon that has read no configuration yet for a
// sign that it knows the route: a 404 soon after would look like a return to an older configuration.
func TestUnconfiguredDaemonHasServedNoRoute(t *testing.T) {
	for code, want := range map[resultcode.Code]bool{resultcode.NotConfigured: false, resultcode.NoBackend: true, resultcode.Answered: true} {
		response := &http.Response{Header: http.Header{resultcode.HeaderCode: {strconv.Itoa(int(code))}}}
		require.Equal(t, want, hasConfiguration(response), code)
	}
}

// TestCallerSendsEachRequestOnce guards against a caller that sends a request again by itself when a kept connection breaks: a
// daemon's truthful answer to the second one would contradict what it did with the first.
func TestCallerSendsEachRequestOnce(t *testing.T) {
	listener, err := net.Listen("tcp", address(200)+":"+portCaller)
	require.NoError(t, err)
	arrivals := make(chan string, 10)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrivals <- r.Header.Get("Request-Id")
		if r.Header.Get("Request-Id") == "second" {
			panic(http.ErrAbortHandler)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	host, _, err := net.SplitHostPort(listener.Addr().String())
	require.NoError(t, err)
	c, target := newCallers(nil, 1), &process{address: host}
	_, _, err = c.exchange(c.keepAliveClient, target, http.MethodGet, "first", "/safe/first")
	require.NoError(t, err)
	_, _, err = c.exchange(c.keepAliveClient, target, http.MethodGet, "second", "/safe/second")
	require.Error(t, err)
	require.Len(t, arrivals, 2)
}

// TestScheduleIsDeterministic checks that a seed always gives the same schedule, that its faults are in order
// of time and within the duration, and that every kind occurs.
func TestScheduleIsDeterministic(t *testing.T) {
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
	for _, kind := range drawnKinds {
		require.True(t, drawn[kind], kind)
	}
}

// TestShortRun runs three daemon processes and injects faults for a few seconds.
func TestShortRun(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "tuliphalld")
	output, err := exec.Command("go", "build", "-o", binary, "github.com/tuliphall/tuliphall/cmd/tuliphalld").CombinedOutput()
	require.NoError(t, err, string(output))
	result, err := Run(t.Context(), Options{
		Binary: binary, Directory: t.TempDir(), Seed: 7, Daemons: 3, Workers: 4, FaultCount: 6, FaultDuration: 6 * time.Second, Rate: 60,
	}, t.Output())
	require.NoError(t, err)
	require.Empty(t, result.Violations)
	require.Positive(t, result.Counts["status 200"])
	require.Positive(t, result.Counts["status 413"])
	require.Positive(t, result.Counts["at a silent back end"])
}

// TestStartWaitsForPreviousIncarnation guards against a restart while the previous incarnation of a daemon, which
// another fault is stopping, still runs. Its exit would be taken for an exit of the new incarnation.
func TestStartWaitsForPreviousIncarnation(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "slow-to-stop")
	script := "#!/bin/sh\ntrap 'sleep 0.3; exit 0' TERM\nwhile :; do sleep 0.05; done\n"
	require.NoError(t, os.WriteFile(binary, []byte(script), 0o700))
	r := newReport(io.Discard)
	daemon := &process{name: "edge-1", address: "127.0.0.1", directory: t.TempDir(), binary: binary, report: r}
	require.NoError(t, daemon.start())
	time.Sleep(200 * time.Millisecond) // until the script has set its trap
	require.True(t, daemon.signal(syscall.SIGTERM, stopping))
	require.NoError(t, daemon.start())
	require.False(t, daemon.isStopping())
	time.Sleep(500 * time.Millisecond)
	r.mutex.Lock()
	require.Empty(t, r.violations)
	r.mutex.Unlock()
	daemon.kill()
}

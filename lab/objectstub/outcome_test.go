package objectstub_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/explain"
	"github.com/tuliphall/tuliphall/lab/objectstub"
	"github.com/tuliphall/tuliphall/lab/site"
	"github.com/tuliphall/tuliphall/resultcode"
)

// logs collects the log lines of all daemons of a fleet.
type logs struct {
	site.SyncBuffer
}

// outcome is a log line with the outcome of a request.
type outcome struct {
	Message string `json:"msg"`
	Request string `json:"request"`
	Code    int    `json:"code"`
	Run     string `json:"run"`
	Cause   string `json:"cause"`
}

// outcomes returns the outcome lines by request id.
func (l *logs) outcomes(t *testing.T) map[string][]outcome {
	found := make(map[string][]outcome)
	for line := range strings.Lines(l.String()) {
		var entry outcome
		require.NoError(t, json.Unmarshal([]byte(line), &entry), line)
		switch entry.Message {
		case "frontend: answered", "frontend: failed", "frontend: answer broken off":
			found[entry.Request] = append(found[entry.Request], entry)
		}
	}
	return found
}

// checkOutcomes checks that the logs have exactly one outcome line for each answered
// request, with the code that its caller got. It runs after the daemons have ended, so
// that all lines are written.
func (f *fleet) checkOutcomes() {
	found := f.logs.outcomes(f.t)
	for id, got := range f.answers {
		require.Len(f.t, found[id], 1, "outcome lines of %s", id)
		if got.err == nil {
			require.Equal(f.t, got.header.Get(resultcode.HeaderCode), strconv.Itoa(found[id][0].Code), "code of %s", id)
		}
	}
}

// TestEachRequestHasAnOutcomeLine produces every result code that these daemons can return. Every test of this
// package checks at its end that each request has one outcome line.
func TestEachRequestHasAnOutcomeLine(t *testing.T) {
	seen := make(map[int]bool)
	run(t, 2, func(f *fleet) {
		both := func(change func(worker *worker)) {
			for _, worker := range f.workers {
				worker.update(func() { change(worker) })
			}
		}
		f.earnRetryBudget()
		f.send(0, "/none/")
		f.sendWith(0, "/one/safe/", func(r *http.Request) { r.Header.Set("Deadline-Ms", "soon") })
		both(func(worker *worker) { worker.rejects = true })
		f.send(0, "/one/unsafe/")
		both(func(worker *worker) { worker.rejects, worker.responseID = false, "request-of-another" })
		f.send(1, "/one/safe/")
		time.Sleep(time.Minute)
		both(func(worker *worker) { worker.responseID, worker.serviceTime = "", 3*time.Second })
		f.send(2, "/one/safe/")
		f.sendAndCancel(2, "/one/unsafe/", 100*time.Millisecond)
		time.Sleep(time.Minute)
		both(func(worker *worker) { worker.serviceTime = time.Second })
		f.overload(40)
		time.Sleep(time.Minute)
		for _, worker := range f.workers {
			f.store.Remove("servers", worker.id)
		}
		time.Sleep(3 * time.Second)
		f.send(3, "/one/safe/")
		f.store.SetFaults(objectstub.Faults{Down: true})
		f.start(daemons, "127.0.0.1:1")
		f.daemons[daemons-1].Kill()
		f.send(daemons, "/one/safe/")
		time.Sleep(time.Second)
		for _, lines := range f.logs.outcomes(t) {
			for _, line := range lines {
				seen[line.Code] = true
			}
		}
		f.logs.checkCauses(t)
	})
	for _, code := range []resultcode.Code{
		resultcode.Answered, resultcode.NoService, resultcode.BadRequest, resultcode.DeadlineTooShort, resultcode.NoBackend,
		resultcode.BackendRefused, resultcode.AnswerUnverifiable, resultcode.DeadlineExceeded, resultcode.CallerGoneAfterSend,
		resultcode.NotConfigured,
	} {
		require.True(t, seen[int(code)], "code %d %s", int(code), code.Info().Name)
	}
}

// checkCauses checks that a cause is explained for each kind of failure in the logs.
func (l *logs) checkCauses(t *testing.T) {
	log := explain.NewLog()
	require.NoError(t, explain.Read(strings.NewReader(l.String()), log))
	causes := make(map[string]int)
	for _, group := range log.Summarize() {
		causes[group.Kind] = group.Requests
	}
	for _, kind := range []string{
		"route unknown", "bad-request", "back ends refused", "back end's answer not whole or not its own", "back end silent",
		"service overloaded", "no back end takes requests", "daemon had no configuration yet",
	} {
		require.Contains(t, causes, kind)
	}
	require.NotContains(t, causes, "no outcome logged")
}

// sendAndCancel sends a request and cancels it before the response.
func (f *fleet) sendAndCancel(number int, path string, after time.Duration) {
	ctx, cancel := context.WithTimeout(f.t.Context(), after)
	defer cancel()
	f.sendWith(number, path, func(r *http.Request) { *r = *r.WithContext(ctx) })
}

// overload sends this number of concurrent requests.
func (f *fleet) overload(requests int) {
	var sending sync.WaitGroup
	for number := range requests {
		sending.Go(func() { f.send(number%daemons, "/one/"+[]string{"safe", "unsafe"}[number%2]+"/") })
	}
	sending.Wait()
}

// methodOf returns POST for paths of non-repeatable requests, and otherwise GET.
func methodOf(path string) string {
	if strings.Contains(path, "unsafe") {
		return http.MethodPost
	}
	return http.MethodGet
}

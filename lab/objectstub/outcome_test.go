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

// logs takes the lines of all daemons of a fleet.
type logs struct {
	site.SyncBuffer
}

// outcome is a line that says how a request ended.
type outcome struct {
	Message string `json:"msg"`
	Request string `json:"request"`
	Code    int    `json:"code"`
	Run     string `json:"run"`
	Cause   string `json:"cause"`
}

// outcomes returns the outcome lines of each request.
func (l *logs) outcomes(t *testing.T) map[string][]outcome {
	found := make(map[string][]outcome)
	for line := range strings.Lines(l.String()) {
		var one outcome
		require.NoError(t, json.Unmarshal([]byte(line), &one), line)
		switch one.Message {
		case "frontend: answered", "frontend: failed", "frontend: answer broken off":
			found[one.Request] = append(found[one.Request], one)
		}
	}
	return found
}

// checkOutcomes requires that the logs have exactly one line on how each answered
// request ended, with the code that its caller got. It ends the daemons first, so that
// all lines are written.
func (f *fleet) checkOutcomes() {
	found := f.logs.outcomes(f.t)
	for id, got := range f.answers {
		require.Len(f.t, found[id], 1, "outcome lines of %s", id)
		if got.err == nil {
			require.Equal(f.t, got.header.Get(resultcode.HeaderCode), strconv.Itoa(found[id][0].Code), "code of %s", id)
		}
	}
}

// TestEachRequestHasAnOutcomeLine ends requests in many ways. That each has its line is
// checked at the end of every test of this package; this one sees to it that the result
// codes that these daemons can give are reached.
func TestEachRequestHasAnOutcomeLine(t *testing.T) {
	reached := make(map[int]bool)
	run(t, 2, func(f *fleet) {
		both := func(change func(one *worker)) {
			for _, one := range f.workers {
				one.change(func() { change(one) })
			}
		}
		f.earnRetries()
		f.send(0, "/none/")
		f.sendWith(0, "/one/safe/", func(r *http.Request) { r.Header.Set("Deadline-Ms", "soon") })
		both(func(one *worker) { one.refuse = true })
		f.send(0, "/one/unsafe/")
		both(func(one *worker) { one.refuse, one.echo = false, "request-of-another" })
		f.send(1, "/one/safe/")
		time.Sleep(time.Minute)
		both(func(one *worker) { one.echo, one.work = "", 3*time.Second })
		f.send(2, "/one/safe/")
		f.leave(2, "/one/unsafe/", 100*time.Millisecond)
		time.Sleep(time.Minute)
		both(func(one *worker) { one.work = time.Second })
		f.overload(40)
		time.Sleep(time.Minute)
		for _, one := range f.workers {
			f.store.Remove("servers", one.id)
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
				reached[line.Code] = true
			}
		}
		f.logs.checkCauses(t)
	})
	for _, code := range []resultcode.Code{
		resultcode.Answered, resultcode.NoService, resultcode.BadRequest, resultcode.DeadlineTooShort, resultcode.NoBackend,
		resultcode.BackendRefused, resultcode.AnswerUnverifiable, resultcode.DeadlineExceeded, resultcode.CallerGoneAfterSend,
		resultcode.NotConfigured,
	} {
		require.True(t, reached[int(code)], "code %d %s", int(code), code.Info().Name)
	}
}

// checkCauses requires that the requests which these daemons failed are explained.
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

// leave sends a request and leaves before its answer.
func (f *fleet) leave(number int, path string, after time.Duration) {
	ctx, cancel := context.WithTimeout(f.t.Context(), after)
	defer cancel()
	f.sendWith(number, path, func(r *http.Request) { *r = *r.WithContext(ctx) })
}

// overload sends so many requests at once.
func (f *fleet) overload(requests int) {
	var sending sync.WaitGroup
	for number := range requests {
		sending.Go(func() { f.send(number%daemons, "/one/"+[]string{"safe", "unsafe"}[number%2]+"/") })
	}
	sending.Wait()
}

// methodOf is POST for what may run once only.
func methodOf(path string) string {
	if strings.Contains(path, "unsafe") {
		return http.MethodPost
	}
	return http.MethodGet
}

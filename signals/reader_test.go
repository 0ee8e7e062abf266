package signals_test

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/drain"
	"github.com/tuliphall/tuliphall/signals"
)

// recorder records what a reader passes on.
type recorder struct {
	signals []drain.Signal
	limits  []backendlimit.Response
	pauses  []time.Duration
}

func (h *recorder) RecordPause(_ backend.Key, duration time.Duration, _ int64, _ string) {
	h.pauses = append(h.pauses, duration)
}

func (h *recorder) Observe(signal drain.Signal) { h.signals = append(h.signals, signal) }

type limitRecorder struct{ *recorder }

func (h limitRecorder) Observe(_ http.Header, response backendlimit.Response) {
	h.limits = append(h.limits, response)
}

func newReader(dialect backend.Dialect) (*signals.Reader, *recorder, tally.TestScope) {
	recorded, scope := new(recorder), tally.NewTestScope("", nil)
	return signals.NewReader(signals.Options{
		Dialect: dialect, Limits: limitRecorder{recorded}, Drains: recorded, Pauses: recorded, Log: slog.New(slog.DiscardHandler), Metrics: scope,
	}), recorded, scope
}

var sent = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newResponse(request string, status int, header ...string) signals.Response {
	response := signals.Response{Key: backend.Key{Service: "board", Backend: "i-1"}, Started: 5, Sent: sent, RequestID: request, Status: status, Header: make(http.Header)}
	for index := 0; index < len(header); index += 2 {
		response.Header.Add(header[index], header[index+1])
	}
	return response
}

// TestDrainingIsReadOfEveryAnswer guards against the drain signal of a back end being ignored because of the
// status or the other headers of the response.
func TestDrainingIsReadOfEveryAnswer(t *testing.T) {
	leaving := drain.Signal{SignalKey: drain.SignalKey{Key: backend.Key{Service: "board", Backend: "i-1"}, Source: drain.FromBackend}, Draining: true, Started: 5, Sent: sent, RequestID: "r"}
	back, probed := leaving, leaving
	back.Draining, probed.RequestID = false, ""
	for name, one := range map[string]struct {
		response signals.Response
		want     []drain.Signal
	}{
		"an answer":                 {response: newResponse("r", 200, backend.HeaderDraining, "true"), want: []drain.Signal{leaving}},
		"a failure":                 {response: newResponse("r", 500, backend.HeaderDraining, "true"), want: []drain.Signal{leaving}},
		"a refusal":                 {response: newResponse("r", 503, backend.HeaderDraining, "true"), want: []drain.Signal{leaving}},
		"an answer to a probe":      {response: newResponse("", 503, backend.HeaderDraining, "true"), want: []drain.Signal{probed}},
		"twice":                     {response: newResponse("r", 200, backend.HeaderDraining, "false", backend.HeaderDraining, "true"), want: []drain.Signal{leaving}},
		"back":                      {response: newResponse("r", 200, backend.HeaderDraining, "false"), want: []drain.Signal{back}},
		"nothing":                   {response: newResponse("r", 200)},
		"not readable":              {response: newResponse("r", 200, backend.HeaderDraining, "soon")},
		"not its own answer":        {response: newResponse("r", http.StatusMisdirectedRequest, backend.HeaderDraining, "true")},
		"unreadable beside a value": {response: newResponse("r", 200, backend.HeaderDraining, "soon", backend.HeaderDraining, "true"), want: []drain.Signal{leaving}},
	} {
		t.Run(name, func(t *testing.T) {
			reader, recorded, _ := newReader(backend.DefaultDialect())
			reader.Observe(one.response)
			require.Equal(t, one.want, recorded.signals)
		})
	}
}

// TestAnotherBackendAtTheAddress checks that a response of another back end counts as the end of the intended one,
// and that none of its signals is attributed to that one.
func TestAnotherBackendAtTheAddress(t *testing.T) {
	dialect := backend.DefaultDialect()
	dialect.Instance = "Expected"
	reader, recorded, _ := newReader(dialect)
	reader.Observe(newResponse("r", http.StatusMisdirectedRequest, backend.HeaderRequestLimit, "3"))
	require.Len(t, recorded.signals, 1)
	require.True(t, recorded.signals[0].Draining)
	require.Empty(t, recorded.limits)
}

// TestUnreadableSignalsAreCounted checks that each invalid signal is counted and does not change the state.
func TestUnreadableSignalsAreCounted(t *testing.T) {
	reader, recorded, scope := newReader(backend.DefaultDialect())
	for range 3 {
		reader.Observe(newResponse("r", 200, backend.HeaderDraining, "soon"))
	}
	require.Empty(t, recorded.signals)
	require.EqualValues(t, 3, scope.Snapshot().Counters()["backend_signals_unreadable+"].Value())
}

// TestPausesAreReadOfRefusals guards against a back end's request for a pause being ignored, and against a back end
// being paused because of a Retry-After header that is meant for the caller.
func TestPausesAreReadOfRefusals(t *testing.T) {
	for name, one := range map[string]struct {
		response signals.Response
		want     []time.Duration
	}{
		"a refusal":              {response: newResponse("r", 503, "Retry-After", "4"), want: []time.Duration{4 * time.Second}},
		"an answer to a probe":   {response: newResponse("", 503, "Retry-After", "4"), want: []time.Duration{4 * time.Second}},
		"no time":                {response: newResponse("r", 503)},
		"at once":                {response: newResponse("r", 503, "Retry-After", "0")},
		"not readable":           {response: newResponse("r", 503, "Retry-After", "soon")},
		"too many requests":      {response: newResponse("r", 429, "Retry-After", "4")},
		"a success":              {response: newResponse("r", 200, "Retry-After", "4")},
		"another back end's own": {response: newResponse("r", 421, "Retry-After", "4")},
	} {
		t.Run(name, func(t *testing.T) {
			reader, recorded, _ := newReader(backend.DefaultDialect())
			reader.Observe(one.response)
			require.Equal(t, one.want, recorded.pauses)
		})
	}
}

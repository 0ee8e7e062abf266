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

func (r *recorder) RecordPause(_ backend.Key, duration time.Duration, _ int64, _ string) {
	r.pauses = append(r.pauses, duration)
}

func (r *recorder) Observe(signal drain.Signal) { r.signals = append(r.signals, signal) }

type limitRecorder struct{ *recorder }

func (r limitRecorder) Observe(_ http.Header, response backendlimit.Response) {
	r.limits = append(r.limits, response)
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

// TestDrainSignalIsReadFromEveryResponse guards against the drain signal of a back end being ignored because of the
// status or the other headers of the response.
func TestDrainSignalIsReadFromEveryResponse(t *testing.T) {
	draining := drain.Signal{SignalKey: drain.SignalKey{Key: backend.Key{Service: "board", Backend: "i-1"}, Source: drain.FromBackend}, Draining: true, Started: 5, Sent: sent, RequestID: "r"}
	withdrawn, probeSignal := draining, draining
	withdrawn.Draining, probeSignal.RequestID = false, ""
	for name, test := range map[string]struct {
		response signals.Response
		want     []drain.Signal
	}{
		"success":                      {response: newResponse("r", 200, backend.HeaderDraining, "true"), want: []drain.Signal{draining}},
		"failure":                      {response: newResponse("r", 500, backend.HeaderDraining, "true"), want: []drain.Signal{draining}},
		"refusal":                      {response: newResponse("r", 503, backend.HeaderDraining, "true"), want: []drain.Signal{draining}},
		"response to a probe":          {response: newResponse("", 503, backend.HeaderDraining, "true"), want: []drain.Signal{probeSignal}},
		"repeated header":              {response: newResponse("r", 200, backend.HeaderDraining, "false", backend.HeaderDraining, "true"), want: []drain.Signal{draining}},
		"withdrawn":                    {response: newResponse("r", 200, backend.HeaderDraining, "false"), want: []drain.Signal{withdrawn}},
		"no signal":                    {response: newResponse("r", 200)},
		"invalid value":                {response: newResponse("r", 200, backend.HeaderDraining, "soon")},
		"response of another back end": {response: newResponse("r", http.StatusMisdirectedRequest, backend.HeaderDraining, "true")},
		"invalid and valid value":      {response: newResponse("r", 200, backend.HeaderDraining, "soon", backend.HeaderDraining, "true"), want: []drain.Signal{draining}},
	} {
		t.Run(name, func(t *testing.T) {
			reader, recorded, _ := newReader(backend.DefaultDialect())
			reader.Observe(test.response)
			require.Equal(t, test.want, recorded.signals)
		})
	}
}

// TestMisdirectedResponseMeansDraining checks that a response of another back end (status 421) is taken as a drain
// signal of the intended one, which is gone, and that no other signal of the response is attributed to that one.
func TestMisdirectedResponseMeansDraining(t *testing.T) {
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

// TestPausesAreReadFromRefusalsOnly guards against a back end's request for a pause being ignored, and against a back
// end being paused because of a Retry-After header that is meant for the caller.
func TestPausesAreReadFromRefusalsOnly(t *testing.T) {
	for name, test := range map[string]struct {
		response signals.Response
		want     []time.Duration
	}{
		"refusal":                      {response: newResponse("r", 503, "Retry-After", "4"), want: []time.Duration{4 * time.Second}},
		"refusal of a probe":           {response: newResponse("", 503, "Retry-After", "4"), want: []time.Duration{4 * time.Second}},
		"no Retry-After header":        {response: newResponse("r", 503)},
		"zero":                         {response: newResponse("r", 503, "Retry-After", "0")},
		"invalid value":                {response: newResponse("r", 503, "Retry-After", "soon")},
		"status 429":                   {response: newResponse("r", 429, "Retry-After", "4")},
		"success":                      {response: newResponse("r", 200, "Retry-After", "4")},
		"response of another back end": {response: newResponse("r", 421, "Retry-After", "4")},
	} {
		t.Run(name, func(t *testing.T) {
			reader, recorded, _ := newReader(backend.DefaultDialect())
			reader.Observe(test.response)
			require.Equal(t, test.want, recorded.pauses)
		})
	}
}

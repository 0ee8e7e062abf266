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

// heard is what a reader handed on.
type heard struct {
	signals []drain.Signal
	limits  []backendlimit.Response
	pauses  []time.Duration
}

func (h *heard) RecordPause(_ backend.Key, lasts time.Duration, _ int64, _ string) {
	h.pauses = append(h.pauses, lasts)
}

func (h *heard) Observe(signal drain.Signal) { h.signals = append(h.signals, signal) }

type heardLimits struct{ *heard }

func (h heardLimits) Observe(_ http.Header, answer backendlimit.Response) {
	h.limits = append(h.limits, answer)
}

func newReader(dialect backend.Dialect) (*signals.Reader, *heard, tally.TestScope) {
	got, scope := new(heard), tally.NewTestScope("", nil)
	return signals.NewReader(signals.Options{
		Dialect: dialect, Limits: heardLimits{got}, Drains: got, Pauses: got, Log: slog.New(slog.DiscardHandler), Metrics: scope,
	}), got, scope
}

var sent = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func answered(request string, status int, header ...string) signals.Response {
	answer := signals.Response{Key: backend.Key{Service: "board", Backend: "i-1"}, Started: 5, Sent: sent, RequestID: request, Status: status, Header: make(http.Header)}
	for index := 0; index < len(header); index += 2 {
		answer.Header.Add(header[index], header[index+1])
	}
	return answer
}

// TestDrainingIsReadOfEveryAnswer guards against a back end whose word that it leaves is passed over, whatever
// else the answer says.
func TestDrainingIsReadOfEveryAnswer(t *testing.T) {
	said := drain.Signal{SignalKey: drain.SignalKey{Key: backend.Key{Service: "board", Backend: "i-1"}, Source: drain.FromBackend}, Draining: true, Started: 5, Sent: sent, RequestID: "r"}
	back, probed := said, said
	back.Draining, probed.RequestID = false, ""
	for name, one := range map[string]struct {
		answer signals.Response
		want   []drain.Signal
	}{
		"an answer":                 {answer: answered("r", 200, backend.HeaderDraining, "true"), want: []drain.Signal{said}},
		"a failure":                 {answer: answered("r", 500, backend.HeaderDraining, "true"), want: []drain.Signal{said}},
		"a refusal":                 {answer: answered("r", 503, backend.HeaderDraining, "true"), want: []drain.Signal{said}},
		"an answer to a probe":      {answer: answered("", 503, backend.HeaderDraining, "true"), want: []drain.Signal{probed}},
		"twice":                     {answer: answered("r", 200, backend.HeaderDraining, "false", backend.HeaderDraining, "true"), want: []drain.Signal{said}},
		"back":                      {answer: answered("r", 200, backend.HeaderDraining, "false"), want: []drain.Signal{back}},
		"nothing":                   {answer: answered("r", 200)},
		"not readable":              {answer: answered("r", 200, backend.HeaderDraining, "soon")},
		"not its own answer":        {answer: answered("r", http.StatusMisdirectedRequest, backend.HeaderDraining, "true")},
		"unreadable beside a value": {answer: answered("r", 200, backend.HeaderDraining, "soon", backend.HeaderDraining, "true"), want: []drain.Signal{said}},
	} {
		t.Run(name, func(t *testing.T) {
			reader, got, _ := newReader(backend.DefaultDialect())
			reader.Observe(one.answer)
			require.Equal(t, one.want, got.signals)
		})
	}
}

// TestAnotherBackendAtTheAddress takes an answer of another back end for the end of the one that was meant, and
// nothing else of it for its word.
func TestAnotherBackendAtTheAddress(t *testing.T) {
	dialect := backend.DefaultDialect()
	dialect.Instance = "Expected"
	reader, got, _ := newReader(dialect)
	reader.Observe(answered("r", http.StatusMisdirectedRequest, backend.HeaderRequestLimit, "3"))
	require.Len(t, got.signals, 1)
	require.True(t, got.signals[0].Draining)
	require.Empty(t, got.limits)
}

// TestUnreadableSignalsAreCounted counts each, and keeps what is known.
func TestUnreadableSignalsAreCounted(t *testing.T) {
	reader, got, scope := newReader(backend.DefaultDialect())
	for range 3 {
		reader.Observe(answered("r", 200, backend.HeaderDraining, "soon"))
	}
	require.Empty(t, got.signals)
	require.EqualValues(t, 3, scope.Snapshot().Counters()["backend_signals_unreadable+"].Value())
}

// TestPausesAreReadOfRefusals guards against a back end that asks for a pause in vain, and against one left alone for
// what an answer tells its caller.
func TestPausesAreReadOfRefusals(t *testing.T) {
	for name, one := range map[string]struct {
		answer signals.Response
		want   []time.Duration
	}{
		"a refusal":              {answer: answered("r", 503, "Retry-After", "4"), want: []time.Duration{4 * time.Second}},
		"an answer to a probe":   {answer: answered("", 503, "Retry-After", "4"), want: []time.Duration{4 * time.Second}},
		"no time":                {answer: answered("r", 503)},
		"at once":                {answer: answered("r", 503, "Retry-After", "0")},
		"not readable":           {answer: answered("r", 503, "Retry-After", "soon")},
		"too many requests":      {answer: answered("r", 429, "Retry-After", "4")},
		"a success":              {answer: answered("r", 200, "Retry-After", "4")},
		"another back end's own": {answer: answered("r", 421, "Retry-After", "4")},
	} {
		t.Run(name, func(t *testing.T) {
			reader, got, _ := newReader(backend.DefaultDialect())
			reader.Observe(one.answer)
			require.Equal(t, one.want, got.pauses)
		})
	}
}

package measure

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/signals"
)

// heard are the answers of back ends that were taken in.
type heard []signals.Response

// Observe implements signals.Listener.
func (h *heard) Observe(answer signals.Response) {
	*h = append(*h, answer)
}

// Health answers name the back end that gives them, and nobody read that: where an address had gone to
// another back end, that one's load, health and limit were taken for those of the earlier one, until a
// request was refused with 421.
//
// A probe of i-1, answered by i-2 ("Instance-Id: i-2", "Endpoint-Load-Metrics: TEXT
// named_metrics.in_flight=0"), gave i-1 a load of 0 and the health of i-2. Now such an answer tells nothing of
// i-1, and the probe has failed.
func TestProbeAnsweredByAnotherBackend(t *testing.T) {
	dialect := backend.DefaultDialect()
	dialect.ProbedInstance = "Instance-Id"
	for name, one := range map[string]struct {
		instance string
		speaks   bool
	}{
		"itself":           {instance: "i-1", speaks: true},
		"it does not say":  {speaks: true},
		"another back end": {instance: "i-2"},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if one.instance != "" {
					w.Header().Set("Instance-Id", one.instance)
				}
				w.Header().Set(backend.HeaderReport, "TEXT named_metrics.in_flight=0")
			}))
			defer server.Close()
			heard := new(heard)
			prober := &Prober{options: Options{Dialect: dialect, Signals: heard}, log: slog.New(slog.DiscardHandler)}
			client := backend.NewClient(backend.Options{Address: strings.TrimPrefix(server.URL, "http://")})
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			report, well, err := prober.ask(ctx, probeTarget{backend: backend.Key{Service: "board", Backend: "i-1"}, client: client, path: "/health"})
			if one.speaks {
				require.NoError(t, err)
				require.True(t, well)
				require.NotNil(t, report)
				require.Len(t, *heard, 1)
				return
			}
			require.ErrorContains(t, err, "answered by i-2")
			require.False(t, well)
			require.Nil(t, report)
			require.Empty(t, *heard)
		})
	}
}

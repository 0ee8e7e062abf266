package signals

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
)

// TestUnreadHeadersAreReported guards against a signal that nothing reads going unnoticed: each such header is
// counted every time and logged once, other headers are not.
func TestUnreadHeadersAreReported(t *testing.T) {
	var logged bytes.Buffer
	scope := tally.NewTestScope("", nil)
	dialect := backend.DefaultDialect()
	unread := newUnreadHeaders(&dialect, slog.New(slog.NewTextHandler(&logged, nil)), scope)
	header := http.Header{}
	header.Set(backend.HeaderReport, "TEXT named_metrics.in_flight=1")
	header.Set(backend.HeaderDraining, "false")
	header.Set(backend.HeaderRequestLimit, "3.2")
	header.Set("Content-Type", "text/plain")
	unread.observe(header, false, "board", "b1")
	require.Empty(t, logged.String())
	header.Set("Endpoint-Next-Pause", "7")
	for range 3 {
		unread.observe(header, false, "board", "b1")
	}
	require.Equal(t, 1, strings.Count(logged.String(), "header=Endpoint-Next-Pause"))
	require.EqualValues(t, 3, scope.Snapshot().Counters()["backend_headers_unread+"].Value())
	for number := range 2 * maxLoggedNames {
		unread.observe(http.Header{fmt.Sprintf("Endpoint-%d", number): {""}}, false, "board", "b1")
	}
	require.Equal(t, maxLoggedNames, strings.Count(logged.String(), "header="), "a back end cannot fill the log")
}

// TestNonStandardHeadersOfRefusalsAreSignals checks that in a response that is not relayed to a caller every
// non-standard header counts as a signal.
func TestNonStandardHeadersOfRefusalsAreSignals(t *testing.T) {
	dialect := backend.DefaultDialect()
	header := http.Header{}
	for _, name := range []string{"Content-Type", "Date", "Retry-After", "Connection", backend.HeaderDraining, "Come-Back-At"} {
		header.Set(name, "1")
	}
	for forDaemon, want := range map[bool]int{true: 1, false: 0} {
		var logged bytes.Buffer
		unread := newUnreadHeaders(&dialect, slog.New(slog.NewTextHandler(&logged, nil)), tally.NoopScope)
		unread.observe(header, forDaemon, "board", "b1")
		require.Equal(t, want, strings.Count(logged.String(), "header=Come-Back-At"))
		require.Equal(t, want, strings.Count(logged.String(), "header="))
	}
}

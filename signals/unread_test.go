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

// TestUnreadHeadersAreTold tells operators once of each header by which back ends speak of themselves and
// that nothing reads, and of no other.
func TestUnreadHeadersAreTold(t *testing.T) {
	var logged bytes.Buffer
	scope := tally.NewTestScope("", nil)
	dialect := backend.DefaultDialect()
	noted := newUnread(&dialect, slog.New(slog.NewTextHandler(&logged, nil)), scope)
	answer := http.Header{}
	answer.Set(backend.HeaderReport, "TEXT named_metrics.in_flight=1")
	answer.Set(backend.HeaderDraining, "false")
	answer.Set(backend.HeaderRequestLimit, "3.2")
	answer.Set("Content-Type", "text/plain")
	noted.look(answer, false, "board", "b1")
	require.Empty(t, logged.String())
	answer.Set("Endpoint-Next-Pause", "7")
	for range 3 {
		noted.look(answer, false, "board", "b1")
	}
	require.Equal(t, 1, strings.Count(logged.String(), "header=Endpoint-Next-Pause"))
	require.EqualValues(t, 3, scope.Snapshot().Counters()["backend_headers_unread+"].Value())
	for number := range 2 * maxUnread {
		noted.look(http.Header{fmt.Sprintf("Endpoint-%d", number): {""}}, false, "board", "b1")
	}
	require.Equal(t, maxUnread, strings.Count(logged.String(), "header="), "a back end cannot fill the log")
}

// TestWhatARefusalSaysIsOurs tells of every signal that nothing reads with an answer which is not passed on.
func TestWhatARefusalSaysIsOurs(t *testing.T) {
	dialect := backend.DefaultDialect()
	answer := http.Header{}
	for _, name := range []string{"Content-Type", "Date", "Retry-After", "Connection", backend.HeaderDraining, "Come-Back-At"} {
		answer.Set(name, "1")
	}
	for ours, want := range map[bool]int{true: 1, false: 0} {
		var logged bytes.Buffer
		noted := newUnread(&dialect, slog.New(slog.NewTextHandler(&logged, nil)), tally.NoopScope)
		noted.look(answer, ours, "board", "b1")
		require.Equal(t, want, strings.Count(logged.String(), "header=Come-Back-At"))
		require.Equal(t, want, strings.Count(logged.String(), "header="))
	}
}

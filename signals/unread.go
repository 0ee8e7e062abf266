package signals

import (
	"log/slog"
	"net/http"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/logging"
)

// maxLoggedNames limits the header names that are logged, because back ends choose them.
const maxLoggedNames = 64

// unreadHeaders counts and logs the signals that nothing in the daemon reads, so that they are not
// ignored silently. It is safe for concurrent use.
type unreadHeaders struct {
	log     *slog.Logger
	counter tally.Counter
	names   *logging.Deduplicator[string]
	prefix  string          // of the headers of signals; empty: there is none
	known   map[string]bool // headers that are read, or are for callers only
}

func newUnreadHeaders(dialect *backend.Dialect, log *slog.Logger, scope tally.Scope) *unreadHeaders {
	return &unreadHeaders{prefix: dialect.SelfPrefix, known: knownHeaders(dialect), log: log, counter: scope.Counter("backend_headers_unread"), names: logging.NewDeduplicator[string](maxLoggedNames)}
}

// observe counts the headers of a response that are signals and that nothing reads, and logs each name once. forDaemon
// tells that the response is not relayed to a caller, so that all of its headers are meant for this daemon.
func (u *unreadHeaders) observe(header http.Header, forDaemon bool, service, backend string) {
	for name := range header {
		isSignal := forDaemon && !standardHeaders[name] || u.prefix != "" && strings.HasPrefix(name, u.prefix)
		if isSignal && !u.known[name] {
			u.record(name, service, backend)
		}
	}
}

func (u *unreadHeaders) record(name, service, backend string) {
	u.counter.Inc(1)
	if u.names.FirstSeen(name) {
		u.log.Warn("back end sent a signal that nothing reads", "header", name, "service", service, "backend", backend)
	}
}

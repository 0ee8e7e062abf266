package signals

import (
	"log/slog"
	"net/http"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/logging"
)

// maxUnread bounds the names of headers that are logged: back ends choose them.
const maxUnread = 64

// unread notes what back ends say of themselves that nothing here reads, so that it is not dropped in
// silence. It is safe for concurrent use.
type unread struct {
	log     *slog.Logger
	counter tally.Counter
	names   *logging.Once[string]
	prefix  string          // of headers by which back ends speak of themselves; empty: there is none
	known   map[string]bool // headers that are read, or need not be
}

func newUnread(dialect *backend.Dialect, log *slog.Logger, scope tally.Scope) *unread {
	return &unread{prefix: dialect.SelfPrefix, known: namesOf(dialect), log: log, counter: scope.Counter("backend_headers_unread"), names: logging.NewOnce[string](maxUnread)}
}

// look counts the headers of an answer by which a back end speaks of itself and which nothing reads, and logs each
// name once. ours says that the answer is not passed on, so that all that it says is for this daemon.
func (u *unread) look(header http.Header, ours bool, service, backend string) {
	for name := range header {
		ofItself := ours && !ordinary[name] || u.prefix != "" && strings.HasPrefix(name, u.prefix)
		if ofItself && !u.known[name] {
			u.note(name, service, backend)
		}
	}
}

func (u *unread) note(name, service, backend string) {
	u.counter.Inc(1)
	if u.names.First(name) {
		u.log.Warn("back end says what nothing reads", "header", name, "service", service, "backend", backend)
	}
}

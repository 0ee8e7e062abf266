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
// silence: a bound that a back end had named was passed on and forgotten, and nothing told of it. It is
// safe for concurrent use.
type unread struct {
	log     *slog.Logger
	counter tally.Counter
	names   *logging.Once[string]
}

func newUnread(log *slog.Logger, scope tally.Scope) *unread {
	return &unread{log: log, counter: scope.Counter("backend_headers_unread"), names: logging.NewOnce[string](maxUnread)}
}

// look counts the headers of an answer by which a back end speaks of itself and which nothing reads,
// and logs each name once.
func (u *unread) look(dialect *backend.Dialect, header http.Header, service, backend string) {
	if dialect.SelfPrefix == "" {
		return
	}
	for name := range header {
		if strings.HasPrefix(name, dialect.SelfPrefix) && !dialect.Reads(name) {
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

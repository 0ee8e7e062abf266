package signals

import (
	"net/http"
	"slices"

	"github.com/tuliphall/tuliphall/backend"
)

// Signal describes a signal that a back end may send with a response, and what reads it.
type Signal struct {
	Meaning string
	ReadBy  string // package
	Effect  string
	header  func(dialect *backend.Dialect) string
}

// Header returns the header of the signal in a dialect; empty: the dialect has none.
func (s Signal) Header(dialect *backend.Dialect) string {
	return s.header(dialect)
}

// list holds every signal. Each field of backend.Dialect that names a response header must be in it.
var list = []Signal{
	{"its load, and how much longer work takes", "frontend, measure", "routing", func(d *backend.Dialect) string { return d.Report }},
	{"that it is leaving, or is back", "signals", "drain: no new requests from any daemon", func(d *backend.Dialect) string { return d.Draining }},
	{"how many requests a second it takes", "backendlimit", "backendlimit: no more from all daemons together", func(d *backend.Dialect) string { return d.RequestLimit }},
	{"that it did not run the request", "frontend", "retry", func(d *backend.Dialect) string { return d.NotRun }},
	{"with a 503: for how long it wants nothing", "signals", "pushback: nothing from this daemon meanwhile", func(*backend.Dialect) string { return headerRetryAfter }},
	{"to probes: for how long it remains cold", "measure", "routing: no more than it bears", func(d *backend.Dialect) string { return d.WarmUpLeft }},
	{"to probes: which back end it is", "measure", "measure: another one's answer counts for nothing", func(d *backend.Dialect) string { return d.ProbedInstance }},
	{"which request it answers", "backend", "backend: another request's answer is refused", func(d *backend.Dialect) string { return d.RequestID }},
	{"that it closes the connection, and when", "net/http", "backend: idle connections are closed here first", func(*backend.Dialect) string { return "Connection" }},
	{"for how long it keeps an idle connection", "nobody", "a service declares it", func(*backend.Dialect) string { return "Keep-Alive" }},
}

// List returns all signals.
func List() []Signal {
	return slices.Clone(list)
}

// knownHeaders returns the response headers that are signals in a dialect or are for callers only.
func knownHeaders(dialect *backend.Dialect) map[string]bool {
	names := make(map[string]bool)
	for _, name := range dialect.CallerOnlyHeaders {
		names[http.CanonicalHeaderKey(name)] = true
	}
	for _, signal := range list {
		names[http.CanonicalHeaderKey(signal.Header(dialect))] = true
	}
	return names
}

// standardHeaders are the headers that any response may have and that are not signals.
var standardHeaders = map[string]bool{
	"Accept-Ranges": true, "Age": true, "Alt-Svc": true, "Cache-Control": true, "Content-Encoding": true, "Content-Length": true, "Content-Type": true,
	"Date": true, "Etag": true, "Expires": true, "Last-Modified": true, "Pragma": true, "Server": true, "Set-Cookie": true,
	"Strict-Transport-Security": true, "Transfer-Encoding": true, "Vary": true, "Via": true, "Www-Authenticate": true,
	"X-Content-Type-Options": true, "X-Powered-By": true,
}

package signals

import (
	"net/http"
	"slices"

	"github.com/tuliphall/tuliphall/backend"
)

// Signal is something that a back end may say with an answer, and who reads it.
type Signal struct {
	Meaning string
	ReadBy  string // package
	Effect  string
	header  func(dialect *backend.Dialect) string
}

// Header returns how a dialect spells the signal; empty: it has none.
func (s Signal) Header(dialect *backend.Dialect) string {
	return s.header(dialect)
}

// list has every signal. A field of backend.Dialect that names a header of answers must be in it.
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

// List returns every signal.
func List() []Signal {
	return slices.Clone(list)
}

// namesOf returns the headers of answers that are known signals in a dialect, or are for callers only.
func namesOf(dialect *backend.Dialect) map[string]bool {
	names := make(map[string]bool)
	for _, name := range dialect.PassedOn {
		names[http.CanonicalHeaderKey(name)] = true
	}
	for _, signal := range list {
		names[http.CanonicalHeaderKey(signal.Header(dialect))] = true
	}
	return names
}

// ordinary are the headers that any answer may have and by which a back end says nothing of itself.
var ordinary = map[string]bool{
	"Accept-Ranges": true, "Age": true, "Alt-Svc": true, "Cache-Control": true, "Content-Encoding": true, "Content-Length": true, "Content-Type": true,
	"Date": true, "Etag": true, "Expires": true, "Last-Modified": true, "Pragma": true, "Server": true, "Set-Cookie": true,
	"Strict-Transport-Security": true, "Transfer-Encoding": true, "Vary": true, "Via": true, "Www-Authenticate": true,
	"X-Content-Type-Options": true, "X-Powered-By": true,
}

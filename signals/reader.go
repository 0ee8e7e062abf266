package signals

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/drain"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/pushback"
)

// headerRetryAfter states for how long the back end wants no requests after a refusal (RFC 9110, 10.2.3).
const headerRetryAfter = "Retry-After"

// Response is a response of a back end.
type Response struct {
	backend.Key
	Started   int64     // start of the back end's run, in Unix milliseconds; 0: not known
	Sent      time.Time // when the request was sent, or earlier
	RequestID string    // id of the request; empty: it was a probe
	Status    int
	Header    http.Header
	Refused   bool // the back end states that it did not run the request
}

// isProbe reports whether the response is to a probe.
func (a *Response) isProbe() bool {
	return a.RequestID == ""
}

// Listener observes the responses of back ends. It must not block.
type Listener interface {
	Observe(response Response)
}

// NopListener is a Listener that ignores all responses.
type NopListener struct{}

// Observe implements Listener.
func (NopListener) Observe(Response) {}

// Limits observes the request limits that responses state or omit. It must not block.
type Limits interface {
	Observe(header http.Header, response backendlimit.Response)
}

// Drains observes signals that back ends are draining or have stopped draining. It must not block.
type Drains interface {
	Observe(signal drain.Signal)
}

// Pauses records that back ends ask this daemon for a pause. It must not block.
type Pauses interface {
	RecordPause(key backend.Key, duration time.Duration, started int64, requestID string)
}

// Options configure a Reader.
type Options struct {
	// Dialect defines the headers of the signals.
	Dialect backend.Dialect
	Limits  Limits
	Drains  Drains
	Pauses  Pauses
	Log     *slog.Logger
	Metrics tally.Scope
}

// Reader reads the signals of responses. It implements Listener and is safe for concurrent use.
type Reader struct {
	options    Options
	log        *slog.Logger
	unread     *unreadHeaders
	unreadable tally.Counter
	// warned holds the back ends and headers for which an invalid value has been logged.
	warned *logging.Deduplicator[badValue]
}

// badValue identifies a header of a back end that has an invalid value.
type badValue struct {
	backend.Key
	header string
}

// maxLoggedBadValues is the maximum number of back ends and headers that are remembered, and so logged.
const maxLoggedBadValues = 256

// NewReader returns a reader.
func NewReader(options Options) *Reader {
	log := logging.Component(options.Log, "signals")
	return &Reader{
		options: options, log: log, unread: newUnreadHeaders(&options.Dialect, log, options.Metrics),
		unreadable: options.Metrics.Counter("backend_signals_unreadable"), warned: logging.NewDeduplicator[badValue](maxLoggedBadValues),
	}
}

// Observe implements Listener.
func (r *Reader) Observe(response Response) {
	if response.Status == http.StatusMisdirectedRequest && !response.isProbe() {
		// Another back end has responded. If requests name their intended back end, that one is gone.
		if r.options.Dialect.Instance != "" {
			r.reportDrain(response, true)
		}
		return
	}
	r.readDraining(response)
	r.readPause(response)
	r.options.Limits.Observe(response.Header, backendlimit.Response{
		Key: response.Key, Started: response.Started, Sent: response.Sent, Probe: response.isProbe(),
		Failed: response.Refused || response.Status >= http.StatusInternalServerError,
	})
	r.unread.observe(response.Header, response.Refused || response.isProbe(), response.Service, response.Backend)
}

// readDraining reports to Drains if the response states whether the back end is draining.
func (r *Reader) readDraining(response Response) {
	dialect := &r.options.Dialect
	if dialect.Draining == "" {
		return
	}
	state, err := dialect.ParseDraining(response.Header.Values(dialect.Draining))
	switch {
	case err != nil:
		r.recordUnreadable(response.Key, dialect.Draining, err)
	case state != backend.DrainingUnspecified:
		r.reportDrain(response, state == backend.DrainingTrue)
	}
}

// readPause reports to Pauses if the response refuses the request and asks for a pause.
func (r *Reader) readPause(response Response) {
	duration, err := parsePause(response.Status, response.Header)
	switch {
	case err != nil:
		r.recordUnreadable(response.Key, headerRetryAfter, err)
	case duration > 0:
		r.options.Pauses.RecordPause(response.Key, duration, response.Started, response.RequestID)
	}
}

// RequestsPause reports whether a response refuses a request and asks for a pause.
func RequestsPause(response *http.Response) bool {
	duration, err := parsePause(response.StatusCode, response.Header)
	return err == nil && duration > 0
}

// parsePause returns the pause that a response asks for; 0: none.
func parsePause(status int, header http.Header) (time.Duration, error) {
	if status != http.StatusServiceUnavailable {
		return 0, nil
	}
	return pushback.ParseRetryAfter(header.Values(headerRetryAfter), time.Now())
}

func (r *Reader) reportDrain(response Response, draining bool) {
	r.options.Drains.Observe(drain.Signal{
		SignalKey: drain.SignalKey{Key: response.Key, Source: drain.FromBackend}, Draining: draining, Started: response.Started, Sent: response.Sent, RequestID: response.RequestID,
	})
}

// recordUnreadable counts an invalid value, and logs the first one for each back end and header.
func (r *Reader) recordUnreadable(key backend.Key, header string, err error) {
	r.unreadable.Inc(1)
	if r.warned.FirstSeen(badValue{Key: key, header: header}) {
		r.log.Warn("invalid signal; keeping the previous state", "service", key.Service, "backend", key.Backend, "error", logging.ExcerptOfError(err))
	}
}

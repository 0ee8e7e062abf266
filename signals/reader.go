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

// headerRetryAfter holds, of a refusal, for how long the back end wants nothing more (RFC 9110, 10.2.3).
const headerRetryAfter = "Retry-After"

// Response is an answer of a back end.
type Response struct {
	backend.Key
	Started   int64     // of the run that was asked, in Unix milliseconds; 0: not known
	Sent      time.Time // when the request was sent, or earlier
	RequestID string    // id of the request; empty: a probe was answered
	Status    int
	Header    http.Header
	Refused   bool // the back end says that it did not run the request
}

// isProbe says whether a probe was answered.
func (a *Response) isProbe() bool {
	return a.RequestID == ""
}

// Listener takes in answers of back ends. It must not block.
type Listener interface {
	Observe(answer Response)
}

// NopListener takes in nothing. It implements Listener.
type NopListener struct{}

// Observe implements Listener.
func (NopListener) Observe(Response) {}

// Limits is told what back ends say, or do not say, of how many requests they take. It must not block.
type Limits interface {
	Observe(header http.Header, answer backendlimit.Response)
}

// Drains is told of back ends that are leaving, or are back. It must not block.
type Drains interface {
	Observe(signal drain.Signal)
}

// Pauses is told of back ends that ask this daemon for a pause. It must not block.
type Pauses interface {
	RecordPause(key backend.Key, lasts time.Duration, started int64, request string)
}

// Options are a Reader's collaborators.
type Options struct {
	// Dialect is how back ends spell their signals.
	Dialect backend.Dialect
	Limits  Limits
	Drains  Drains
	Pauses  Pauses
	Log     *slog.Logger
	Metrics tally.Scope
}

// Reader reads the signals of answers. It implements Listener and is safe for concurrent use.
type Reader struct {
	options    Options
	log        *slog.Logger
	unread     *unread
	unreadable tally.Counter
	// warned are the back ends and headers of which it was logged that a value cannot be read.
	warned *logging.Once[badValue]
}

// badValue is a header of a back end whose value cannot be read.
type badValue struct {
	backend.Key
	header string
}

// maxBadValues bounds those that are remembered, and so logged.
const maxBadValues = 256

// NewReader returns a reader.
func NewReader(options Options) *Reader {
	log := logging.Part(options.Log, "signals")
	return &Reader{
		options: options, log: log, unread: newUnread(&options.Dialect, log, options.Metrics),
		unreadable: options.Metrics.Counter("backend_signals_unreadable"), warned: logging.NewOnce[badValue](maxBadValues),
	}
}

// Observe implements Listener.
func (r *Reader) Observe(answer Response) {
	if answer.Status == http.StatusMisdirectedRequest && !answer.isProbe() {
		// Another back end has answered. Where requests name the one that they are meant for, that one is gone.
		if r.options.Dialect.Instance != "" {
			r.tellDrain(answer, true)
		}
		return
	}
	r.readDraining(answer)
	r.readPause(answer)
	r.options.Limits.Observe(answer.Header, backendlimit.Response{
		Key: answer.Key, Started: answer.Started, Sent: answer.Sent, Probe: answer.isProbe(),
		Failed: answer.Refused || answer.Status >= http.StatusInternalServerError,
	})
	r.unread.look(answer.Header, answer.Refused || answer.isProbe(), answer.Service, answer.Backend)
}

// readDraining reads whether the back end is leaving.
func (r *Reader) readDraining(answer Response) {
	dialect := &r.options.Dialect
	if dialect.Draining == "" {
		return
	}
	said, err := dialect.ParseDraining(answer.Header.Values(dialect.Draining))
	switch {
	case err != nil:
		r.noteUnreadable(answer.Key, dialect.Draining, err)
	case said != backend.DrainingUnsaid:
		r.tellDrain(answer, said == backend.Leaving)
	}
}

// readPause reads whether the back end turned the request away and wants nothing more from this daemon for a while.
func (r *Reader) readPause(answer Response) {
	lasts, err := pauseOf(answer.Status, answer.Header)
	switch {
	case err != nil:
		r.noteUnreadable(answer.Key, headerRetryAfter, err)
	case lasts > 0:
		r.options.Pauses.RecordPause(answer.Key, lasts, answer.Started, answer.RequestID)
	}
}

// RequestsPause says whether a back end turned a request away and wants nothing more for a while.
func RequestsPause(response *http.Response) bool {
	lasts, err := pauseOf(response.StatusCode, response.Header)
	return err == nil && lasts > 0
}

// pauseOf returns for how long the back end that gave an answer wants nothing more; 0: it does not say so.
func pauseOf(status int, header http.Header) (time.Duration, error) {
	if status != http.StatusServiceUnavailable {
		return 0, nil
	}
	return pushback.ParseRetryAfter(header.Values(headerRetryAfter), time.Now())
}

func (r *Reader) tellDrain(answer Response, draining bool) {
	r.options.Drains.Observe(drain.Signal{
		SignalKey: drain.SignalKey{Key: answer.Key, Source: drain.FromBackend}, Draining: draining, Started: answer.Started, Sent: answer.Sent, RequestID: answer.RequestID,
	})
}

// noteUnreadable counts a value that cannot be read, and logs the first of each back end's header.
func (r *Reader) noteUnreadable(key backend.Key, header string, err error) {
	r.unreadable.Inc(1)
	if r.warned.First(badValue{Key: key, header: header}) {
		r.log.Warn("signal not understood, what is known stays", "service", key.Service, "backend", key.Backend, "error", err)
	}
}

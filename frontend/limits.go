package frontend

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tuliphall/tuliphall/pipelining"
	"github.com/tuliphall/tuliphall/requestbody"
	"github.com/tuliphall/tuliphall/requestlimits"
	"github.com/tuliphall/tuliphall/resultcode"
)

// errBodyTooLarge is the error of reading a body that is larger than the limit.
var errBodyTooLarge = errors.New("the request's body is larger than the limit")

// limitedBody is a body of unknown length: first the part that was held, then what follows on the connection. It fails
// once the body proves too large. It implements requestbody.Source.
type limitedBody struct {
	held     io.Reader
	rest     requestbody.Source
	left     int64 // bytes of rest that may follow
	tooLarge atomic.Bool
}

// Read implements io.Reader.
func (b *limitedBody) Read(target []byte) (int, error) {
	if n, err := b.held.Read(target); n > 0 || err != io.EOF {
		return n, err
	}
	if b.tooLarge.Load() {
		return 0, errBodyTooLarge
	}
	// One byte more than allowed distinguishes a body at the limit from a larger one.
	n, err := b.rest.Read(target[:min(int64(len(target)), b.left+1)])
	if int64(n) > b.left {
		b.tooLarge.Store(true)
		return int(b.left), errBodyTooLarge
	}
	b.left -= int64(n)
	return n, err
}

// Received implements requestbody.Source.
func (b *limitedBody) Received() bool {
	return b.rest.Received()
}

// failure returns the failure that is reported for a call: if its body proved too large after a part of it had been
// sent, that is the cause, and the request may have run.
func (b *limitedBody) failure(failure *resultcode.Failure) *resultcode.Failure {
	if b == nil || !b.tooLarge.Load() || failure.Code.Info().Run == resultcode.NotRun {
		return failure
	}
	return &resultcode.Failure{Code: resultcode.BodyAborted, Detail: errBodyTooLarge.Error()}
}

// requestLimits returns the limits in force.
func (h *Handler) requestLimits() requestlimits.Limits {
	return h.options.Services.Snapshot().Limits()
}

// refuseOverLimits refuses a request that is known from its head to exceed the limits, and reports whether it did.
func (h *Handler) refuseOverLimits(w http.ResponseWriter, r *http.Request) bool {
	limits := h.requestLimits()
	if size := requestlimits.HeadSize(r); !limits.HeadFits(size) {
		if r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		h.respondFailure(w, h.requestID(r.Header), headTooLarge(limits))
		return true
	}
	if !limits.BodyFits(r.ContentLength) {
		h.refuseBody(w, r, h.requestID(r.Header), bodyTooLarge(limits, fmt.Sprintf("declared length %d", r.ContentLength)))
		return true
	}
	return false
}

func headTooLarge(limits requestlimits.Limits) *resultcode.Failure {
	return &resultcode.Failure{Code: resultcode.HeadTooLarge, Detail: fmt.Sprintf("limit %d bytes", limits.EffectiveHeadBytes())}
}

// overloadedRetryAfter is when a caller may retry a request for which there was no memory or processor time.
const overloadedRetryAfter = time.Second

func overloaded(cause string) *resultcode.Failure {
	return &resultcode.Failure{Code: resultcode.Overloaded, Detail: cause, RetryAfter: overloadedRetryAfter}
}

func bodyTooLarge(limits requestlimits.Limits, found string) *resultcode.Failure {
	return &resultcode.Failure{Code: resultcode.BodyTooLarge, Detail: fmt.Sprintf("%s, limit %d bytes", found, limits.BodyBytes)}
}

// refusedBodyWait is how long the refusal of a request waits for a body, so that the connection can be used again.
const refusedBodyWait = 50 * time.Millisecond

// refuseUnread responds to a request that is refused before its body has been passed on.
func (h *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, id string, failure *resultcode.Failure) {
	if failure.Code == resultcode.DeadlineTooShort {
		h.refuseBody(w, r, id, failure) // the body is late
		return
	}
	if r.ContentLength != 0 {
		// net/http's server reads the body before it sends the response. It closes the connection if the time is over.
		// An error means that the connection has been closed.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyWait))
	}
	h.respondFailure(w, id, failure)
}

// refuseBody responds to a request of whose body not all has been read, and ends its connection: skipping the rest could
// take as long as the caller likes.
func (h *Handler) refuseBody(w http.ResponseWriter, r *http.Request, id string, failure *resultcode.Failure) {
	if r.ProtoMajor != 1 {
		h.respondFailure(w, id, failure)
		return
	}
	response := newResponseBuffer()
	h.respondFailure(response, id, failure)
	response.sendClosing(w)
	// Without its deadline, net/http would wait for a body that a caller does not send before it has been told to continue.
	requestbody.DiscardRest(http.NewResponseController(w), r.Body)
}

// RefuseHead returns the response to a request whose head does not keep the limits; see pipelining.Options.
func (h *Handler) RefuseHead(verdict requestlimits.Verdict, remote string, head []byte) []byte {
	limits := h.requestLimits()
	if verdict == requestlimits.HeadTooLarge && limits.HeadBytes == 0 {
		return pipelining.PlainRefusal(http.StatusRequestHeaderFieldsTooLarge)
	}
	failure := headTooLarge(limits)
	switch verdict {
	case requestlimits.HeadTooSlow:
		failure = &resultcode.Failure{Code: resultcode.HeadTooSlow, Detail: fmt.Sprintf("limit %s", limits.EffectiveHeadTimeout())}
	case requestlimits.Overloaded:
		failure = overloaded("no memory or processor time for the request's head")
	}
	known := make(http.Header)
	if id := headerInHead(head, h.options.Dialect.RequestID); id != "" {
		known.Set(h.options.Dialect.RequestID, id)
	}
	id := h.requestID(known)
	h.logFailure(id, failure, slog.String("caller", callerIP(remote)))
	response := newResponseBuffer()
	h.writeFailure(response, id, failure)
	return response.encode()
}

// RefuseStream responds to a request over HTTP/2 for which there is no memory. The response has no body, which could be sent
// only when the caller allows it.
func (h *Handler) RefuseStream(w http.ResponseWriter, r *http.Request) {
	response := newResponseBuffer()
	h.respondFailure(response, h.requestID(r.Header), overloaded("no memory for a request over HTTP/2"))
	maps.Copy(w.Header(), response.header)
	w.Header().Del("Content-Type")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(response.status)
}

// headerInHead returns the value of a header in the part of a head that has arrived; empty: it is not in there.
func headerInHead(head []byte, name string) string {
	for line := range bytes.Lines(head) {
		field, value, found := bytes.Cut(line, []byte{':'})
		if found && bytes.HasSuffix(value, []byte{'\n'}) && strings.EqualFold(string(field), name) {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// responseBuffer holds a short response. It implements http.ResponseWriter.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newResponseBuffer() *responseBuffer {
	return &responseBuffer{header: make(http.Header)}
}

// Header implements http.ResponseWriter.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *responseBuffer) Write(data []byte) (int, error) { return b.body.Write(data) }

// sendClosing sends the response, after which the connection is closed.
func (b *responseBuffer) sendClosing(w http.ResponseWriter) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", fmt.Sprint(b.body.Len()))
	w.WriteHeader(b.status)
	// An error means that the caller has closed the connection.
	_, _ = w.Write(b.body.Bytes())
}

// encode returns the response as it is written to a connection, which is closed after it.
func (b *responseBuffer) encode() []byte {
	b.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	response := http.Response{
		StatusCode: b.status, ProtoMajor: 1, ProtoMinor: 1, Header: b.header, Close: true,
		ContentLength: int64(b.body.Len()), Body: io.NopCloser(&b.body),
	}
	var encoded bytes.Buffer
	// Writing to memory does not fail.
	_ = response.Write(&encoded)
	return encoded.Bytes()
}

package frontend

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/identity"
	"github.com/tuliphall/tuliphall/policy"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/service"
)

// Headers that travel with a request from level to level and between daemons.
const (
	// HeaderRequestID identifies a request in logs, in the project's dialect.
	HeaderRequestID = backend.HeaderRequestID
	// HeaderDeadline holds the milliseconds that remain, in the project's
	// dialect.
	HeaderDeadline = backend.HeaderDeadline
	// HeaderAttempt holds the number of this attempt, 1 for the first.
	HeaderAttempt = "Tuliphall-Attempt"
	// HeaderDepth holds how many load-balanced calls lead to this one.
	HeaderDepth = "Tuliphall-Depth"
	// HeaderForwardedBy names the daemon that forwarded the request.
	HeaderForwardedBy = "Tuliphall-Forwarded-By"
	// HeaderFingerprint tells the daemon that a request is forwarded to what the request
	// shares with its repeats.
	HeaderFingerprint = "Tuliphall-Fingerprint"
	// HeaderCaller tells the daemon that a request is forwarded to whose request it is.
	HeaderCaller = "Tuliphall-Caller"
	// HeaderBackend names the back end that answered.
	HeaderBackend = "Tuliphall-Backend"
)

// ownHeaders are the project's own headers on requests. Back ends that expect
// nothing besides their dialect do not get them.
var ownHeaders = []string{HeaderAttempt, HeaderDepth, HeaderForwardedBy, HeaderFingerprint, HeaderCaller}

// Bounds on what a caller may ask.
const (
	maxDepth           = 64
	maxRequestIDLength = 128
	maxKeyLength       = 256
	// maxBuffered is the largest body kept so that it can be sent again.
	maxBuffered = 64 << 10
)

// call is one request on its way.
type call struct {
	id       string
	service  *service.Service
	route    *config.RunningRoute
	decision policy.Decision
	deadline time.Time
	caller   identity.Caller
	// identified: tenants are declared, so that requests carry keys.
	identified bool
	depth      int
	attempt    int  // as the caller numbered it
	forwarded  bool // by another daemon
	body       []byte
	buffered   bool // body holds the whole body
	upgrade    bool
	request    *http.Request
	received   time.Time
	firstTry   time.Time // when the caller first asked, as far as it tells
	unsent     int       // of the attempts, those that were never sent
	tried      []string  // ids of the back ends it was sent to, in order
	// fingerprints are what the request shares with its repeats.
	fingerprints quarantine.Fingerprints
	refusedBy    string // daemon that refused a place; empty: none did
	// hedge is why a second attempt was due, and why none was made if so; empty: none was due.
	hedge string
}

// headers are the numbers a caller may send.
type headers struct {
	remaining time.Duration // 0: none given
	attempt   int
	depth     int
}

// noteFailure notes how an exchange with a back end failed. The call's own goroutine calls it.
func (c *call) noteFailure(failure *resultcode.Failure) {
	if failure.Code == resultcode.ConnectFailed {
		c.unsent++
	}
}

func parseHeaders(header http.Header, dialect backend.Dialect) (headers, error) {
	parsed := headers{attempt: 1}
	milliseconds, err := number(header, dialect.Deadline, 0, 1, int((24 * time.Hour).Milliseconds()))
	if err != nil {
		return headers{}, err
	}
	parsed.remaining = time.Duration(milliseconds) * time.Millisecond
	if parsed.attempt, err = number(header, HeaderAttempt, 1, 1, 1000); err != nil {
		return headers{}, err
	}
	if parsed.depth, err = number(header, HeaderDepth, 0, 0, maxDepth); err != nil {
		return headers{}, err
	}
	return parsed, nil
}

// number reads an integer header; missing gives the value when it is not sent.
func number(header http.Header, name string, missing, low, high int) (int, error) {
	text := header.Get(name)
	if text == "" {
		return missing, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < low || value > high {
		return 0, errors.NotValidf("header %s: value %q: allowed: %d to %d; it", name, text, low, high)
	}
	return value, nil
}

// requestID takes the caller's id if it is short and printable, or makes one.
func (h *Handler) requestID(header http.Header) string {
	id := header.Get(h.options.Dialect.RequestID)
	if id != "" && len(id) <= maxRequestIDLength && printable(id) {
		return id
	}
	return h.options.Name + "-" + strconv.FormatUint(h.sequence.Add(1), 36)
}

func printable(text string) bool {
	for _, char := range []byte(text) {
		if char <= ' ' || char >= 0x7f {
			return false
		}
	}
	return true
}

// newCall reads what the request asks for. The error is a *resultcode.Failure.
func (h *Handler) newCall(r *http.Request, id string, route *config.RunningRoute, running *service.Service, caller identity.Caller) (*call, *resultcode.Failure) {
	parsed, err := parseHeaders(r.Header, h.options.Dialect)
	if err != nil {
		return nil, &resultcode.Failure{Code: resultcode.BadRequest, Detail: err.Error()}
	}
	target := running.Target()
	decision, err := route.Policy.Evaluate(policy.Request{Method: r.Method, Path: r.URL.Path, Header: r.Header})
	if err != nil {
		h.metrics.policyErrors.Inc(1)
		h.log.Warn("policy failed, safe defaults used", "request", id, "service", target.Service.Name, "error", err)
	}
	if caller.Tenant != nil && caller.Tenant.Weight > 0 {
		decision.Weight = caller.Tenant.Weight
	}
	now := time.Now()
	c := &call{
		id: id, service: running, route: route, decision: decision, request: r, received: now, caller: caller,
		depth: parsed.depth, attempt: parsed.attempt,
		upgrade: r.Header.Get("Upgrade") != "",
	}
	c.deadline = now.Add(firstPositive(decision.Deadline, route.Deadline(target)))
	if parsed.remaining > 0 && now.Add(parsed.remaining).Before(c.deadline) {
		c.deadline = now.Add(parsed.remaining)
	}
	c.firstTry = now.Add(-h.patience.waited(route.Name, parsed.remaining))
	if decision.Once {
		if failure := checkKey(decision.Key); failure != nil {
			return nil, failure
		}
	}
	if failure := c.buffer(); failure != nil {
		return nil, failure
	}
	return c, nil
}

func checkKey(key string) *resultcode.Failure {
	if key == "" {
		return &resultcode.Failure{Code: resultcode.KeyMissing, Detail: "send the header " + policy.HeaderIdempotencyKey}
	}
	if len(key) > maxKeyLength || !printable(key) {
		return &resultcode.Failure{Code: resultcode.BadRequest, Detail: fmt.Sprintf("operation key: allowed: 1 to %d printable characters without spaces", maxKeyLength)}
	}
	return nil
}

func firstPositive(values ...time.Duration) time.Duration {
	for _, value := range values {
		if value > 0 {
			return value
		}
	}
	return 0
}

// buffer keeps a small body of known length, so that it can be sent again.
func (c *call) buffer() *resultcode.Failure {
	length := c.request.ContentLength
	if length == 0 {
		c.buffered = true
		return nil
	}
	if length < 0 || length > maxBuffered || c.upgrade {
		return nil
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(c.request.Body, body); err != nil {
		return &resultcode.Failure{Code: resultcode.BadRequest, Detail: "the request's body ended early: " + err.Error()}
	}
	c.body, c.buffered = body, true
	return nil
}

// headerForwardedFor lists the addresses a request came through.
const headerForwardedFor = "X-Forwarded-For"

// callerOf returns the caller's IP, of an address with a port; empty: there is none.
func callerOf(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return ""
	}
	return host
}

// appendForwardedFor adds the caller's IP to those that the request came through.
func appendForwardedFor(header http.Header, remote string) {
	host := callerOf(remote)
	if host == "" {
		return
	}
	if before := header.Get(headerForwardedFor); before != "" {
		host = before + ", " + host
	}
	header.Set(headerForwardedFor, host)
}

// outgoing builds the request as sent to a back end or another daemon.
func (c *call) outgoing(r *http.Request, dialect backend.Dialect) *http.Request {
	out := &http.Request{
		Method: r.Method, URL: targetOf(r), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(r.Header)+4), Host: r.Host, ContentLength: r.ContentLength, Body: r.Body,
	}
	backend.CopyHeader(out.Header, r.Header)
	if c.buffered {
		out.Body = http.NoBody
		if len(c.body) > 0 {
			out.Body = io.NopCloser(bytes.NewReader(c.body))
		}
	}
	if c.upgrade {
		out.Header.Set("Connection", "Upgrade")
		out.Header.Set("Upgrade", r.Header.Get("Upgrade"))
	}
	c.nameCaller(out.Header, dialect)
	remaining := max(time.Until(c.deadline).Milliseconds(), 1)
	out.Header.Set(dialect.Deadline, strconv.FormatInt(remaining, 10))
	if dialect.Transparent {
		return out
	}
	if !c.forwarded {
		appendForwardedFor(out.Header, r.RemoteAddr)
	}
	out.Header.Set(dialect.RequestID, c.id)
	return out
}

// nameCaller puts the name of the tenant in the place of the key, and of whatever the caller
// sent under the name of that header. Without declared tenants nothing is changed.
func (c *call) nameCaller(header http.Header, dialect backend.Dialect) {
	if !c.identified {
		return
	}
	header.Del(identity.HeaderKey)
	if dialect.Tenant == "" {
		return
	}
	header.Del(dialect.Tenant)
	if name := c.caller.Name(); name != "" {
		header.Set(dialect.Tenant, name)
	}
}

// targetOf returns a URL that is sent just as the request's target came, bytes
// that would be escaped differently included.
func targetOf(r *http.Request) *url.URL {
	if !strings.HasPrefix(r.RequestURI, "/") || strings.HasPrefix(r.RequestURI, "//") {
		return cloneURL(r)
	}
	return &url.URL{Opaque: r.RequestURI}
}

// toBackend builds the request as sent to the back end of a grant.
func (c *call) toBackend(id string, dialect backend.Dialect) *http.Request {
	out := c.outgoing(c.request, dialect)
	if dialect.Instance != "" {
		out.Header.Set(dialect.Instance, id)
	}
	if dialect.Transparent {
		for _, name := range ownHeaders {
			out.Header.Del(name)
		}
		return out
	}
	out.Header.Set(HeaderAttempt, strconv.Itoa(max(len(c.tried), c.attempt)))
	out.Header.Set(HeaderDepth, strconv.Itoa(c.depth+1))
	return out
}

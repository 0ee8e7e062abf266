package frontend

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/identity"
	"github.com/tuliphall/tuliphall/overload"
	"github.com/tuliphall/tuliphall/policy"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/requestbody"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/service"
)

// Headers of requests between the levels of a call chain and between daemons, and of responses.
const (
	// HeaderRequestID identifies a request in logs, in the default dialect.
	HeaderRequestID = backend.HeaderRequestID
	// HeaderDeadline holds the remaining time in milliseconds, in the default dialect.
	HeaderDeadline = backend.HeaderDeadline
	// HeaderAttempt holds the number of this attempt, 1 for the first.
	HeaderAttempt = "Tuliphall-Attempt"
	// HeaderDepth holds the number of load-balanced calls that led to this one.
	HeaderDepth = "Tuliphall-Depth"
	// HeaderForwardedBy names the daemon that forwarded the request.
	HeaderForwardedBy = "Tuliphall-Forwarded-By"
	// HeaderFingerprint and HeaderBroadFingerprint hold the fingerprints of a forwarded request.
	HeaderFingerprint      = "Tuliphall-Fingerprint"
	HeaderBroadFingerprint = "Tuliphall-Broad-Fingerprint"
	// HeaderCaller names the tenant of a forwarded request.
	HeaderCaller = "Tuliphall-Caller"
	// HeaderBackend names the back end that answered.
	HeaderBackend = "Tuliphall-Backend"
)

// ownHeaders are the tuliphall headers of requests. They are removed for back ends with a transparent
// dialect.
var ownHeaders = []string{HeaderAttempt, HeaderDepth, HeaderForwardedBy, HeaderFingerprint, HeaderBroadFingerprint, HeaderCaller}

// Limits on requests.
const (
	maxDepth           = 64
	maxRequestIDLength = 128
	maxKeyLength       = 256
	// maxBufferedBytes is the size of the largest body that is buffered to be sent again.
	maxBufferedBytes = 64 << 10
)

// weightAhead is the weight of requests whose callers have sent many ahead, below that of any policy: others go first where
// requests wait.
const weightAhead = 0

// call is the state of one request.
type call struct {
	id       string
	service  *service.Service
	route    *config.CompiledRoute
	decision policy.Decision
	deadline time.Time
	// waitsUntil is until when the caller waits, as it has stated; zero: it has not.
	waitsUntil time.Time
	caller     identity.Caller
	// tenantsDeclared tells that tenants are declared, so that requests carry keys.
	tenantsDeclared bool
	depth           int
	attempt         int  // attempt number stated by the caller
	forwarded       bool // by another daemon
	body            []byte
	buffered        bool         // body holds the whole body
	limitedBody     *limitedBody // a body of unknown length that may prove too large; nil: there is none
	held            []byte       // the part of limitedBody that is held
	// streamed is a body that is passed on as it arrives; nil: there is none.
	streamed *requestbody.Body
	upgrade  bool
	request  *http.Request
	received time.Time
	firstTry time.Time // estimated time of the caller's first try
	unsent   int       // number of attempts that were never sent
	tried    []string  // ids of the back ends of all attempts, in order
	// fingerprints identify the request and its repeats.
	fingerprints quarantine.Fingerprints
	refusedBy    string // daemon that refused a permit; empty: none did
	// hedge tells why a hedge was due and, if it was not made, why not; empty: none was due.
	hedge string
}

// callHeaders holds the numeric headers that a caller may send.
type callHeaders struct {
	remaining time.Duration // 0: not sent
	attempt   int
	depth     int
}

// recordFailure counts a failed exchange if the request was never sent. It must be called by the
// goroutine that owns the call.
func (c *call) recordFailure(failure *resultcode.Failure) {
	if failure.Code == resultcode.ConnectFailed {
		c.unsent++
	}
}

func parseHeaders(header http.Header, dialect backend.Dialect) (callHeaders, error) {
	parsed := callHeaders{attempt: 1}
	milliseconds, err := integerHeader(header, dialect.Deadline, 0, 1, int((24 * time.Hour).Milliseconds()))
	if err != nil {
		return callHeaders{}, err
	}
	parsed.remaining = time.Duration(milliseconds) * time.Millisecond
	if parsed.attempt, err = integerHeader(header, HeaderAttempt, 1, 1, 1000); err != nil {
		return callHeaders{}, err
	}
	if parsed.depth, err = integerHeader(header, HeaderDepth, 0, 0, maxDepth); err != nil {
		return callHeaders{}, err
	}
	return parsed, nil
}

// integerHeader parses an integer header. It returns defaultValue if the header is not sent.
func integerHeader(header http.Header, name string, defaultValue, low, high int) (int, error) {
	text := header.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < low || value > high {
		return 0, errors.NotValidf("header %s: value %q: allowed: %d to %d; it", name, text, low, high)
	}
	return value, nil
}

// requestID returns the caller's request id if it is short and printable, else a new one.
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

// newCall creates a call from the request's headers and policy.
func (h *Handler) newCall(r *http.Request, id string, route *config.CompiledRoute, svc *service.Service, caller identity.Caller) (*call, *resultcode.Failure) {
	parsed, err := parseHeaders(r.Header, h.options.Dialect)
	if err != nil {
		return nil, &resultcode.Failure{Code: resultcode.BadRequest, Detail: err.Error()}
	}
	target := svc.Target()
	decision, err := route.Policy.Evaluate(policy.Request{Method: r.Method, Path: r.URL.Path, Header: r.Header})
	if err != nil {
		h.metrics.policyErrors.Inc(1)
		h.log.Warn("policy evaluation failed; using safe defaults", "request", id, "service", target.Service.Name, "error", err)
	}
	if caller.Tenant != nil && caller.Tenant.Weight > 0 {
		decision.Weight = caller.Tenant.Weight
	}
	now := time.Now()
	if overload.SentAhead(r.Context()) {
		decision.Weight = weightAhead
	}
	c := &call{
		id: id, service: svc, route: route, decision: decision, request: r, received: now, caller: caller,
		depth: parsed.depth, attempt: parsed.attempt,
		upgrade: r.Header.Get("Upgrade") != "",
	}
	c.deadline = now.Add(firstPositive(decision.Deadline, route.Deadline(target)))
	if parsed.remaining > 0 {
		c.waitsUntil = now.Add(parsed.remaining)
		if c.waitsUntil.Before(c.deadline) {
			c.deadline = c.waitsUntil
		}
	}
	c.firstTry = now.Add(-h.patience.elapsedWait(route.Name, parsed.remaining))
	if decision.Once {
		if failure := checkIdempotencyKey(decision.Key); failure != nil {
			return nil, failure
		}
	}
	return c, nil
}

func checkIdempotencyKey(key string) *resultcode.Failure {
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

// stream starts to pass on the body, unless all of it is buffered, and returns the writer for the response.
func (c *call) stream(w http.ResponseWriter) http.ResponseWriter {
	if c.buffered {
		return w
	}
	source := requestbody.Source(c.limitedBody)
	if c.limitedBody == nil {
		source = requestbody.FromCaller(c.request.Body)
	}
	c.streamed = requestbody.New(w, c.request, source)
	return c.streamed.Writer(w)
}

// headerForwardedFor lists the addresses that a request has passed through.
const headerForwardedFor = "X-Forwarded-For"

// callerIP returns the IP of an address with a port; empty: the address is not valid.
func callerIP(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// appendForwardedFor appends the caller's IP to the X-Forwarded-For header.
func appendForwardedFor(header http.Header, address string) {
	host := callerIP(address)
	if host == "" {
		return
	}
	if previous := header.Get(headerForwardedFor); previous != "" {
		host = previous + ", " + host
	}
	header.Set(headerForwardedFor, host)
}

// outgoingRequest builds the request that is sent to a back end or another daemon.
func (c *call) outgoingRequest(r *http.Request, dialect backend.Dialect) *http.Request {
	outgoing := backend.CopyRequest(r)
	if c.buffered {
		outgoing.Body = http.NoBody
		if len(c.body) > 0 {
			outgoing.Body = io.NopCloser(bytes.NewReader(c.body))
		}
	} else {
		outgoing.Body = c.streamed
	}
	c.setTenantHeader(outgoing.Header, dialect)
	remaining := max(time.Until(c.deadline).Milliseconds(), 1)
	outgoing.Header.Set(dialect.Deadline, strconv.FormatInt(remaining, 10))
	if dialect.Transparent {
		return outgoing
	}
	if !c.forwarded {
		appendForwardedFor(outgoing.Header, r.RemoteAddr)
	}
	outgoing.Header.Set(dialect.RequestID, c.id)
	return outgoing
}

// setTenantHeader removes the caller's key and sets the tenant header of the dialect to the name of
// the tenant, replacing any value that the caller sent. Without declared tenants it changes nothing.
func (c *call) setTenantHeader(header http.Header, dialect backend.Dialect) {
	if !c.tenantsDeclared {
		return
	}
	header.Del(identity.HeaderAuthorization)
	if dialect.Tenant == "" {
		return
	}
	header.Del(dialect.Tenant)
	if name := c.caller.TenantName(); name != "" {
		header.Set(dialect.Tenant, name)
	}
}

// backendRequest builds the request that is sent to a back end. attempt is the number of the attempt. It
// may be called concurrently with the other exchange of a hedged attempt.
func (c *call) backendRequest(id string, attempt int, dialect backend.Dialect) *http.Request {
	outgoing := c.outgoingRequest(c.request, dialect)
	if dialect.Instance != "" {
		outgoing.Header.Set(dialect.Instance, id)
	}
	if dialect.Transparent {
		for _, name := range ownHeaders {
			outgoing.Header.Del(name)
		}
		return outgoing
	}
	outgoing.Header.Set(HeaderAttempt, strconv.Itoa(attempt))
	outgoing.Header.Set(HeaderDepth, strconv.Itoa(c.depth+1))
	return outgoing
}

// Package backend sends requests to one server, a back end or another daemon,
// and reports the outcome of each.
//
// It wraps net/http's client with the guarantees that the load balancer needs:
// the transport never resends a request; a failure says whether any byte of the
// request may have been sent; a response that arrived before the request was
// sent, or whose end cannot be verified, is rejected instead of forwarded.
package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/framing"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/resultcode"
)

// Options configures a Client.
type Options struct {
	Network        network.Network // nil: TCP
	Address        string          // IP:port
	MaxConnections int             // 0: unlimited
	ConnectTimeout time.Duration   // 0: 1 s
	// IdleTimeout is how long an unused connection is kept. It should be shorter
	// than the servers' own timeout, so that the server rarely closes first. 0: 30 s.
	IdleTimeout time.Duration
	// NoReuse opens a connection for each request.
	NoReuse bool
	// AllowUnframed accepts responses that are delimited only by the end of the
	// connection.
	AllowUnframed bool
	// EchoHeader is a header whose value in the request must be repeated in each
	// response; empty: none.
	EchoHeader string
}

// Defaults of Options.
const (
	DefaultConnectTimeout = time.Second
	DefaultIdleTimeout    = 30 * time.Second
	bufferBytes           = 16 << 10
)

// maxHeadBytes bounds the head of a response, with the informational responses before it. A head of many short fields takes
// ten times its size in memory.
const maxHeadBytes = 32 << 10

// Client sends requests to one server. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
}

// NewClient returns a client for one server. It opens no connection.
func NewClient(options Options) *Client {
	options.setDefaults()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &Client{options: options, transport: &http.Transport{
		DialContext:         dialer(options.Network, options.ConnectTimeout),
		MaxConnsPerHost:     options.MaxConnections,
		MaxIdleConnsPerHost: max(options.MaxConnections, 64),
		IdleConnTimeout:     options.IdleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   options.NoReuse,
		Protocols:           protocols,
		WriteBufferSize:     bufferBytes,
		ReadBufferSize:      bufferBytes,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// HasOptions reports whether the client was created with these options.
func (c *Client) HasOptions(options Options) bool {
	options.setDefaults()
	return c.options == options
}

func (options *Options) setDefaults() {
	if options.Network == nil {
		options.Network = network.TCP{}
	}
	if options.ConnectTimeout == 0 {
		options.ConnectTimeout = DefaultConnectTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
}

// Address returns the address of the server.
func (c *Client) Address() string {
	return c.options.Address
}

// Close closes unused connections. Requests in flight go on.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Failure is the error of a request without a response that can be forwarded.
// Its code says whether the request may have run.
type Failure struct {
	Code  resultcode.Code
	Cause error
}

// Error returns the code and the cause.
func (f *Failure) Error() string {
	return f.Code.String() + ": " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// AsFailure returns the Failure in err's chain. Any other error may stem from a request that has run.
func AsFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Code: resultcode.ConnectionBroken, Cause: err}
}

// NeverSent reports whether the error is that of a request of which no byte was sent, as no
// connection to the server could be opened.
func NeverSent(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && (failure.Code == resultcode.ConnectFailed || failure.Code == resultcode.WaitExpired)
}

// emptyBody replaces a missing request body.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) {
	return 0, io.EOF
}

// exchange tracks one request on the connection that the transport chose for it.
type exchange struct {
	upload       *upload
	mutex        sync.Mutex
	conn         *trackedConn
	writesBefore int64
	readsBefore  int64
}

// newExchange returns the exchange of a request that has got no connection yet.
func newExchange(request *http.Request) *exchange {
	e := &exchange{}
	e.upload = &upload{uploadState: &uploadState{}, body: emptyBody{}, exchange: e}
	if request.Body == nil || request.Body == http.NoBody {
		request.ContentLength = 0
		e.upload.ended.Store(true)
	} else {
		e.upload.body, e.upload.length = request.Body, request.ContentLength
	}
	return e
}

// abandonWith gives up sending the body when ctx is done.
func (e *exchange) abandonWith(ctx context.Context) {
	if e.upload.ended.Load() {
		return
	}
	e.upload.stop = context.AfterFunc(ctx, func() {
		if conn := e.connection(); conn != nil {
			conn.abandonUpload(e.upload.uploadState)
		}
	})
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.conn = conn
	conn.begin(e.upload.uploadState)
	e.writesBefore = conn.writesStarted()
	e.readsBefore = conn.reads.Load()
}

// connection returns the connection that the transport chose; nil: it has chosen none yet.
func (e *exchange) connection() *trackedConn {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.conn
}

// maySent reports whether any byte of the request may have been sent. If it
// returns false, no byte will be sent later either.
func (e *exchange) maySent() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.conn != nil && !e.conn.seal(e.writesBefore)
}

// receivedAfterSend reports whether anything was read since the request got the
// connection. A response without such a read was received before the request was
// sent and belongs to no request.
func (e *exchange) receivedAfterSend() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.conn == nil || e.conn.reads.Load() != e.readsBefore
}

// checkHead returns an error if the framing of the response is ambiguous.
func (e *exchange) checkHead() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.conn == nil {
		return nil
	}
	return e.conn.checkResponseHead()
}

// close closes the connection, so that nothing more is read from it.
func (e *exchange) close() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.conn != nil {
		e.conn.abandonUpload(e.upload.uploadState)
		e.conn.Close()
	}
}

// Do sends the request and returns the response. The caller reads and closes its
// body; a short one is already complete. request.URL needs path and query only. It
// blocks until the response header, or all of a short response, has arrived, or ctx
// ends; the deadline has passed if the cause of ctx is context.DeadlineExceeded. The
// error is a *Failure.
func (c *Client) Do(ctx context.Context, request *http.Request) (*http.Response, error) {
	exchange := newExchange(request)
	trace := &httptrace.ClientTrace{GotConn: exchange.gotConn}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	request.URL.Scheme = "http"
	request.URL.Host = c.options.Address
	request.RequestURI = ""
	request.GetBody = nil
	request.Body = exchange.upload
	exchange.abandonWith(ctx)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, c.failure(ctx, exchange, err)
	}
	if err := c.verifyResponse(exchange, response); err != nil {
		exchange.close()
		response.Body.Close()
		return nil, &Failure{Code: resultcode.AnswerUnverifiable, Cause: err}
	}
	if err := bufferShortBody(response); err != nil {
		exchange.close()
		return nil, c.failure(ctx, exchange, err)
	}
	return response, nil
}

// maxBufferedBody is the longest response body in bytes that is read completely before the
// response is returned; it equals the size of a copy buffer. If such a body is truncated,
// the request fails and may be retried; part of a longer one has already reached the caller.
const maxBufferedBody = 32 << 10

// bufferShortBody reads the body of a short response into memory and closes it.
func bufferShortBody(response *http.Response) error {
	if response.ContentLength <= 0 || response.ContentLength > maxBufferedBody || !framing.BodyAllowed(response) {
		return nil
	}
	body := make([]byte, response.ContentLength)
	_, err := io.ReadFull(response.Body, body)
	response.Body.Close()
	response.Body = bufferedBody{bytes.NewReader(body)}
	return err
}

// bufferedBody is the body of a response that has been read completely.
type bufferedBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (bufferedBody) Close() error { return nil }

// IsBuffered reports whether the body of a response has been read completely.
func IsBuffered(response *http.Response) bool {
	_, buffered := response.Body.(bufferedBody)
	return buffered
}

func (c *Client) failure(ctx context.Context, exchange *exchange, err error) *Failure {
	sent := exchange.maySent()
	var code resultcode.Code
	deadlineExceeded := context.Cause(ctx) == context.DeadlineExceeded
	switch {
	case deadlineExceeded && sent:
		code = resultcode.DeadlineExceeded
	case deadlineExceeded:
		code = resultcode.WaitExpired
	case exchange.upload.readFailed.Load():
		code = resultcode.CallerGoneAfterSend
	case ctx.Err() != nil && sent:
		code = resultcode.CallerGoneAfterSend
	case ctx.Err() != nil:
		code = resultcode.CallerGone
	case sent:
		code = resultcode.ConnectionBroken
	default:
		code = resultcode.ConnectFailed
	}
	return &Failure{Code: code, Cause: err}
}

// verifyResponse returns an error for a response that arrived before its request was
// sent, belongs to another request, or whose end cannot be distinguished from a broken
// connection.
func (c *Client) verifyResponse(exchange *exchange, response *http.Response) error {
	if !exchange.receivedAfterSend() {
		return errors.New("response received before the request was sent")
	}
	if err := exchange.checkHead(); err != nil {
		return err
	}
	if c.options.EchoHeader != "" && response.Header.Get(c.options.EchoHeader) != response.Request.Header.Get(c.options.EchoHeader) {
		return errors.Errorf("response belongs to request %q", response.Header.Get(c.options.EchoHeader))
	}
	if response.StatusCode == http.StatusSwitchingProtocols && !switchesAsAsked(response) {
		return errors.New("response switches to a protocol that the request has not asked for")
	}
	if framing.EndsWithConnection(response) && !c.options.AllowUnframed {
		return framing.ErrUnframed
	}
	return nil
}

// switchesAsAsked reports whether a response of status 101 answers a request to switch the protocol, and does so.
func switchesAsAsked(response *http.Response) bool {
	_, switched := response.Body.(io.ReadWriteCloser)
	return switched && response.Request.Header.Get("Upgrade") != ""
}

// CopyRequest returns a request that reproduces a received one: its target byte for byte, including
// characters that net/url would escape differently, and its end-to-end headers.
func CopyRequest(r *http.Request) *http.Request {
	copied := &http.Request{
		Method: r.Method, URL: requestURL(r), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(r.Header)+4), Host: r.Host, ContentLength: r.ContentLength, Body: r.Body,
	}
	CopyHeader(copied.Header, r.Header)
	if upgrade := r.Header.Get("Upgrade"); upgrade != "" {
		copied.Header.Set("Connection", "Upgrade")
		copied.Header.Set("Upgrade", upgrade)
	}
	return copied
}

func requestURL(r *http.Request) *url.URL {
	if !strings.HasPrefix(r.RequestURI, "/") || strings.HasPrefix(r.RequestURI, "//") {
		copied := *r.URL
		return &copied
	}
	return &url.URL{Opaque: r.RequestURI}
}

// hopHeaders are the hop-by-hop headers (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// CopyHeader copies the end-to-end headers from source to target. The slices of values
// are shared: they may be replaced on either side, but not modified.
func CopyHeader(target, source http.Header) {
	for name, values := range source {
		target[name] = values[:len(values):len(values)]
	}
	for _, line := range source["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			target.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		target.Del(name)
	}
}

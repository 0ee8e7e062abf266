// Package backend sends requests to one server, a back end or another daemon,
// and says truly what became of each.
//
// It wraps net/http's client with what the load balancer must promise: nothing
// is ever resent by the transport itself; a failure says whether any byte of
// the request left; an answer that was in the connection before the request was
// sent, or whose end cannot be verified, is refused instead of passed on.
package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/resultcode"
)

// Options are a client's settings.
type Options struct {
	Network        network.Network // nil: TCP
	Address        string          // IP:port
	MaxConnections int             // most connections at once; 0: no bound
	ConnectTimeout time.Duration   // 0: 1 s
	// IdleTimeout closes unused connections. It stays below what servers
	// commonly use, so that the server is seldom first. 0: 30 s.
	IdleTimeout time.Duration
	// NoReuse opens a connection for each request.
	NoReuse bool
	// AllowUnframed passes on answers that only the end of the connection
	// delimits.
	AllowUnframed bool
	// EchoHeader is a header of which each answer must carry the request's value;
	// empty: none.
	EchoHeader string
}

// Defaults of Options.
const (
	DefaultConnectTimeout = time.Second
	DefaultIdleTimeout    = 30 * time.Second
	bufferBytes           = 16 << 10
)

// Client sends requests to one server. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
}

// NewClient returns a client for one server. It opens no connection.
func NewClient(options Options) *Client {
	options.provision()
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
	}}
}

// HasOptions says whether the client was made with these options.
func (c *Client) HasOptions(options Options) bool {
	options.provision()
	return c.options == options
}

// provision fills in the defaults.
func (options *Options) provision() {
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

// Close closes unused connections. Requests in flight go on.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Failure is a request that got no answer that may be passed on. Its code says
// whether the request may have run.
type Failure struct {
	Code  resultcode.Code
	Cause error
}

// Error names the code and the cause.
func (f *Failure) Error() string {
	return f.Code.String() + ": " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// onceBody is a request body that the transport cannot rewind, so that it never
// resends a request. It also keeps the caller's body from being closed twice.
type onceBody struct {
	reader io.Reader
	failed atomic.Bool // the caller's body could not be read
}

// Read implements io.Reader.
func (b *onceBody) Read(data []byte) (int, error) {
	n, err := b.reader.Read(data)
	if err != nil && err != io.EOF {
		b.failed.Store(true)
	}
	return n, err
}

// Close implements io.Closer; the server closes the caller's body.
func (*onceBody) Close() error {
	return nil
}

// eof is the body of a request without one.
type eof struct{}

// Read implements io.Reader.
func (eof) Read([]byte) (int, error) {
	return 0, io.EOF
}

// exchange follows one request over the connection it got.
type exchange struct {
	mutex      sync.Mutex
	conn       *countedConn
	writesThen int64
	readsThen  int64
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.conn = conn
	conn.expectAnswer()
	e.writesThen = conn.begunWrites()
	e.readsThen = conn.reads.Load()
}

// sent says whether any byte of the request may have left. When it says no,
// none will leave later either.
func (e *exchange) sent() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.conn != nil && !e.conn.seal(e.writesThen)
}

// fresh says whether anything was read since the request got the connection. An
// answer without a fresh read was there before the request was sent: it belongs
// to nobody.
func (e *exchange) fresh() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.conn == nil || e.conn.reads.Load() != e.readsThen
}

// unambiguous says why the answer could be read in two ways; nil: it can not.
func (e *exchange) unambiguous() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.conn == nil {
		return nil
	}
	return e.conn.checkAnswer()
}

// close ends the connection, so that nothing more is read from it.
func (e *exchange) close() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.conn != nil {
		e.conn.Close()
	}
}

// Do sends the request and returns the answer, whose body the caller reads and
// closes; a short one is whole. request.URL needs path and query only. It blocks until
// the answer's header is there, or all of a short answer, or ctx ends; a deadline is
// told by the cause of ctx being context.DeadlineExceeded. The error is a *Failure.
func (c *Client) Do(ctx context.Context, request *http.Request) (*http.Response, error) {
	exchange := &exchange{}
	trace := &httptrace.ClientTrace{GotConn: exchange.gotConn}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	request.URL.Scheme = "http"
	request.URL.Host = c.options.Address
	request.RequestURI = ""
	request.GetBody = nil
	body := &onceBody{reader: eof{}}
	if request.Body == nil || request.Body == http.NoBody {
		request.ContentLength = 0
	} else {
		body.reader = request.Body
	}
	request.Body = body
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, c.failure(ctx, exchange, body, err)
	}
	if err := c.verify(exchange, response); err != nil {
		exchange.close()
		response.Body.Close()
		return nil, &Failure{Code: resultcode.AnswerUnverifiable, Cause: err}
	}
	if err := readShort(response); err != nil {
		exchange.close()
		return nil, c.failure(ctx, exchange, body, err)
	}
	return response, nil
}

// shortAnswer is up to which length an answer is read whole before it is returned: it is
// as much as is copied at once. One that is cut short is a failure then that may be sent
// again; of a longer one the caller has got a part already.
const shortAnswer = 32 << 10

// readShort reads the body of a short answer into memory and closes it.
func readShort(response *http.Response) error {
	if response.ContentLength <= 0 || response.ContentLength > shortAnswer || !bodyAllowed(response) {
		return nil
	}
	whole := make([]byte, response.ContentLength)
	_, err := io.ReadFull(response.Body, whole)
	response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(whole))
	return err
}

func (c *Client) failure(ctx context.Context, exchange *exchange, body *onceBody, err error) *Failure {
	sent := exchange.sent()
	var code resultcode.Code
	late := context.Cause(ctx) == context.DeadlineExceeded
	switch {
	case late && sent:
		code = resultcode.DeadlineExceeded
	case late:
		code = resultcode.WaitExpired
	case body.failed.Load():
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

// verify refuses an answer that was there too early or whose end could not be
// told from a broken connection.
func (c *Client) verify(exchange *exchange, response *http.Response) error {
	if !exchange.fresh() {
		return errors.New("bytes of the answer came before the request was sent")
	}
	if err := exchange.unambiguous(); err != nil {
		return err
	}
	if c.options.EchoHeader != "" && response.Header.Get(c.options.EchoHeader) != response.Request.Header.Get(c.options.EchoHeader) {
		return errors.Errorf("the answer belongs to request %q", response.Header.Get(c.options.EchoHeader))
	}
	if response.ContentLength >= 0 || c.options.AllowUnframed || response.StatusCode == http.StatusSwitchingProtocols {
		return nil
	}
	if len(response.TransferEncoding) > 0 || response.ProtoMajor >= 2 {
		return nil
	}
	if !bodyAllowed(response) {
		return nil
	}
	return errors.New("the answer has neither a length nor chunks, so its end cannot be verified")
}

func bodyAllowed(response *http.Response) bool {
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return false
	}
	return response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified && response.StatusCode >= http.StatusOK
}

// hopHeaders are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// CopyHeader copies the end-to-end headers from source to target. The values are
// shared: they may be replaced on either side, but not changed in place.
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

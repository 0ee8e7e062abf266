package pipelining_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/pipelining"
	"github.com/tuliphall/tuliphall/requestlimits"
)

// memoryListener accepts in-memory connections.
type memoryListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.connections:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *memoryListener) dial() net.Conn {
	client, server := net.Pipe()
	l.connections <- server
	return client
}

// handlerTime is how long echo takes.
const handlerTime = 100 * time.Millisecond

// testServer is a server that records which requests its handler gets and when.
type testServer struct {
	t         *testing.T
	begin     time.Time
	server    *http.Server
	pipelined *pipelining.Server
	listener  *memoryListener

	mutex     sync.Mutex
	calls     []string                 // in the order of their start
	startedAt map[string]time.Duration // by call
	canceled  map[string]time.Duration // when the context of each call ended during the call
	closing   bool
}

func newTestServer(t *testing.T, handler http.HandlerFunc, change func(*pipelining.Options)) *testServer {
	s := &testServer{t: t, begin: time.Now(), startedAt: make(map[string]time.Duration), canceled: make(map[string]time.Duration)}
	options := pipelining.Options{
		Handler: s.recordCalls(handler), IDHeader: "Request-Id",
		Repeatable: func(r *http.Request) bool { return r.Method == http.MethodGet },
		Closing:    s.isClosing, MaxPerConnection: 16, MaxTotal: 256, MaxReadAheadBytes: 64 << 10, MaxBufferedBodyBytes: 32 << 10,
	}
	if change != nil {
		change(&options)
	}
	s.pipelined, s.listener = pipelining.New(options), newMemoryListener()
	s.server = &http.Server{Handler: s.pipelined, ConnContext: s.pipelined.ConnContext, ReadHeaderTimeout: requestlimits.DefaultHeadTimeout}
	go s.server.Serve(s.pipelined.WrapListener(s.listener))
	t.Cleanup(func() { s.server.Close() })
	return s
}

func (s *testServer) isClosing() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closing
}

func (s *testServer) startClosing() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closing = true
}

func (s *testServer) recordCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := r.Method + " " + r.URL.Path
		s.mutex.Lock()
		s.calls = append(s.calls, call)
		s.startedAt[call] = time.Since(s.begin)
		s.mutex.Unlock()
		recordCancel := func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.canceled[call] = time.Since(s.begin)
		}
		stop := context.AfterFunc(r.Context(), recordCancel)
		next.ServeHTTP(w, r)
		if stop() && r.Context().Err() != nil {
			recordCancel() // the handler was faster than the goroutine of AfterFunc
		}
	})
}

func (s *testServer) startTime(call string) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at, ok := s.startedAt[call]
	require.True(s.t, ok, "%s did not start", call)
	return at
}

func (s *testServer) handled() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string(nil), s.calls...)
}

// echo responds after handlerTime with the method, path and body.
func echo(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(handlerTime):
	case <-r.Context().Done():
	}
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

func getRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
}

func getRequests(count int) string {
	var text strings.Builder
	for number := range count {
		text.WriteString(getRequest(fmt.Sprintf("/%d", number)))
	}
	return text.String()
}

// sendAsync writes without waiting for the server to read.
func sendAsync(to io.Writer, text string) {
	go io.WriteString(to, text)
}

// readResponse reads a whole response.
func readResponse(t *testing.T, from *bufio.Reader) (*http.Response, string) {
	response, err := http.ReadResponse(from, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

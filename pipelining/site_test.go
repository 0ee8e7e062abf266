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
)

// pipeListener hands out connections in memory.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.connections:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.connections <- far
	return near
}

// work is what the handler is asked for by the path: /TIME answers after that time.
const work = 100 * time.Millisecond

// site is a server whose handler notes what it is asked and when.
type site struct {
	t        *testing.T
	begun    time.Time
	server   *http.Server
	callers  *pipelining.Server
	listener *pipeListener

	mutex   sync.Mutex
	calls   []string                 // in the order of their beginning
	at      map[string]time.Duration // when each call began
	left    map[string]time.Duration // when the caller of each was found to have left
	closing bool
}

func newSite(t *testing.T, handler http.HandlerFunc, change func(*pipelining.Options)) *site {
	s := &site{t: t, begun: time.Now(), at: make(map[string]time.Duration), left: make(map[string]time.Duration)}
	options := pipelining.Options{
		Handler: s.noting(handler), IDHeader: "Request-Id",
		Repeatable: func(r *http.Request) bool { return r.Method == http.MethodGet },
		Closing:    s.isClosing, MaxPerConnection: 16, MaxTotal: 256, MaxReadAheadBytes: 64 << 10, MaxBufferedBodyBytes: 32 << 10,
	}
	if change != nil {
		change(&options)
	}
	s.callers, s.listener = pipelining.New(options), newPipeListener()
	s.server = &http.Server{Handler: s.callers, ConnContext: s.callers.ConnContext}
	go s.server.Serve(s.callers.WrapListener(s.listener))
	t.Cleanup(func() { s.server.Close() })
	return s
}

func (s *site) isClosing() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closing
}

func (s *site) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closing = true
}

func (s *site) noting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := r.Method + " " + r.URL.Path
		s.mutex.Lock()
		s.calls = append(s.calls, call)
		s.at[call] = time.Since(s.begun)
		s.mutex.Unlock()
		defer context.AfterFunc(r.Context(), func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.left[call] = time.Since(s.begun)
		})()
		next.ServeHTTP(w, r)
	})
}

func (s *site) began(call string) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at, ok := s.at[call]
	require.True(s.t, ok, "%s did not begin", call)
	return at
}

func (s *site) called() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string(nil), s.calls...)
}

// echo answers after the work with the method and path.
func echo(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
}

func gets(count int) string {
	var text strings.Builder
	for number := range count {
		text.WriteString(get(fmt.Sprintf("/%d", number)))
	}
	return text.String()
}

// send writes without waiting for the server to read.
func send(to io.Writer, text string) {
	go io.WriteString(to, text)
}

// read reads one answer whole.
func read(t *testing.T, from *bufio.Reader) (*http.Response, string) {
	response, err := http.ReadResponse(from, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

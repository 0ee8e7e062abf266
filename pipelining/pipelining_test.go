package pipelining_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
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
		Closing:    s.isClosing, PerConnection: 16, Total: 256, RequestBytes: 64 << 10, AnswerBytes: 32 << 10,
	}
	if change != nil {
		change(&options)
	}
	s.callers, s.listener = pipelining.New(options), newPipeListener()
	s.server = &http.Server{Handler: s.callers, ConnContext: s.callers.ConnContext}
	go s.server.Serve(s.callers.Listener(s.listener))
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

// TestTogether: 16 requests sent at once take as long as one, and are answered in order.
func TestTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, echo, nil)
		caller := s.listener.dial()
		defer caller.Close()
		send(caller, gets(16))
		answers := bufio.NewReader(caller)
		for number := range 16 {
			_, body := read(t, answers)
			require.Equal(t, fmt.Sprintf("GET /%d ", number), body)
		}
		require.Equal(t, work, time.Since(s.begun))
	})
}

// TestTogetherInPieces: also where the bytes come one by one, and later.
func TestTogetherInPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, echo, nil)
		caller := s.listener.dial()
		defer caller.Close()
		go func() {
			for _, char := range []byte(gets(3)) {
				caller.Write([]byte{char})
			}
			time.Sleep(work / 2)
			send(caller, gets(1))
		}()
		answers := bufio.NewReader(caller)
		for number := range 3 {
			_, body := read(t, answers)
			require.Equal(t, fmt.Sprintf("GET /%d ", number), body)
			require.Equal(t, work, time.Since(s.begun))
		}
		read(t, answers)
		require.Equal(t, work+work/2, time.Since(s.begun))
	})
}

// TestWhatMayNotBeRepeatedWaits: for all before it, and all behind it for it.
func TestWhatMayNotBeRepeatedWaits(t *testing.T) {
	for name, middle := range map[string]string{
		"with a body":    "POST /m HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd",
		"without a body": "POST /m HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
		"chunked":        "POST /m HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, echo, nil)
				caller := s.listener.dial()
				defer caller.Close()
				send(caller, get("/a")+get("/b")+middle+get("/c")+get("/d"))
				answers := bufio.NewReader(caller)
				for range 5 {
					read(t, answers)
				}
				require.Equal(t, []time.Duration{0, 0, work, 2 * work, 2 * work},
					[]time.Duration{s.began("GET /a"), s.began("GET /b"), s.began("POST /m"), s.began("GET /c"), s.began("GET /d")})
			})
		})
	}
}

// TestBodyBetweenHeads: a body that looks like a request is no request.
func TestBodyBetweenHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, echo, nil)
		caller := s.listener.dial()
		defer caller.Close()
		hidden := get("/hidden")
		send(caller, get("/a")+fmt.Sprintf("POST /m HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*len(hidden), hidden+hidden)+get("/b"))
		answers := bufio.NewReader(caller)
		for range 3 {
			read(t, answers)
		}
		require.Equal(t, []string{"GET /a", "POST /m", "GET /b"}, s.called())
	})
}

// TestNothingBehindTheEnd: what is sent behind a request that closes the connection is
// not started.
func TestNothingBehindTheEnd(t *testing.T) {
	for name, sent := range map[string]string{
		"first":  "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/z"),
		"second": get("/b") + "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/z"),
		"old":    "GET /a HTTP/1.0\r\nHost: h\r\n\r\n" + get("/z"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, echo, nil)
				caller := s.listener.dial()
				defer caller.Close()
				send(caller, sent)
				_, err := io.ReadAll(caller)
				require.NoError(t, err)
				require.NotContains(t, s.called(), "GET /z")
				require.Contains(t, s.called(), "GET /a")
			})
		})
	}
}

// TestStopAnswersWhatBegan: a planned stop answers all that was started, closes the
// connection with the last of them, and starts nothing more.
func TestStopAnswersWhatBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, echo, nil)
		caller := s.listener.dial()
		defer caller.Close()
		send(caller, gets(4))
		time.Sleep(work / 2)
		s.close()
		send(caller, get("/late"))
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			s.callers.Drain(t.Context())
			s.server.Shutdown(t.Context())
		}()
		answers := bufio.NewReader(caller)
		for number := range 4 {
			response, _ := read(t, answers)
			require.Equal(t, number == 3, response.Close, "answer %d", number)
		}
		_, err := answers.ReadByte()
		require.Equal(t, io.EOF, err)
		<-stopped
		require.Len(t, s.called(), 4)
	})
}

// TestCallerLeaves: all its requests end at once, those that wait for their turn too.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, echo, nil)
		caller := s.listener.dial()
		send(caller, gets(5))
		time.Sleep(work / 4)
		caller.Close()
		synctest.Wait()
		require.Len(t, s.left, 5)
		for call, at := range s.left {
			require.Equal(t, work/4, at, call)
		}
	})
}

// TestOneFails: a refused or slow request leaves the others as they are.
func TestOneFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/0":
				time.Sleep(10 * work)
			case "/2":
				w.Header().Set("Retry-After", "0.1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			echo(w, r)
		}, nil)
		caller := s.listener.dial()
		defer caller.Close()
		send(caller, gets(4))
		answers := bufio.NewReader(caller)
		for number := range 4 {
			response, body := read(t, answers)
			if number == 2 {
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				require.Equal(t, "0.1", response.Header.Get("Retry-After"))
				continue
			}
			require.Equal(t, fmt.Sprintf("GET /%d ", number), body)
		}
		require.Equal(t, 11*work, time.Since(s.begun))
	})
}

// TestBrokenOff: an answer that a handler breaks off closes the connection where it
// stands, after those before it.
func TestBrokenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/1" {
				w.Header().Set("Content-Length", "100")
				io.WriteString(w, "part")
				panic(http.ErrAbortHandler)
			}
			echo(w, r)
		}, nil)
		caller := s.listener.dial()
		defer caller.Close()
		send(caller, gets(3))
		answers := bufio.NewReader(caller)
		_, body := read(t, answers)
		require.Equal(t, "GET /0 ", body)
		response, err := http.ReadResponse(answers, nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}

// TestLongAnswerWaits: no more of an answer is kept than allowed; the rest is written
// when its turn comes.
func TestLongAnswerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := strings.Repeat("x", 1<<20)
		var written int
		s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/0" {
				time.Sleep(work)
				return
			}
			for piece := range len(long) / 1024 {
				io.WriteString(w, long[piece*1024:(piece+1)*1024])
				written += 1024
			}
		}, nil)
		caller := s.listener.dial()
		defer caller.Close()
		send(caller, gets(2))
		time.Sleep(work / 2)
		synctest.Wait()
		require.Equal(t, 32<<10, written)
		answers := bufio.NewReader(caller)
		read(t, answers)
		_, body := read(t, answers)
		require.Equal(t, long, body)
	})
}

// TestBounds: requests beyond the bounds wait for their turn.
func TestBounds(t *testing.T) {
	for name, change := range map[string]func(*pipelining.Options){
		"of a connection": func(o *pipelining.Options) { o.PerConnection = 2 },
		"in all":          func(o *pipelining.Options) { o.Total = 2 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, echo, change)
				caller := s.listener.dial()
				defer caller.Close()
				send(caller, gets(6))
				time.Sleep(work / 2)
				require.Len(t, s.called(), 3)
				answers := bufio.NewReader(caller)
				for range 6 {
					read(t, answers)
				}
				require.Equal(t, 2*work, time.Since(s.begun))
			})
		})
	}
}

// TestReadingAheadIsBounded: a caller that sends without end is read no further than
// allowed, and served all the same.
func TestReadingAheadIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, echo, func(o *pipelining.Options) { o.PerConnection, o.RequestBytes = 1, 1024 })
		caller := s.listener.dial()
		defer caller.Close()
		const count = 1000
		var sent int
		go func() {
			for number := range count {
				n, _ := io.WriteString(caller, get(fmt.Sprintf("/%d", number)))
				sent += n
			}
		}()
		time.Sleep(work / 2)
		synctest.Wait()
		require.Less(t, sent, 8<<10)
		answers := bufio.NewReader(caller)
		for number := range count {
			_, body := read(t, answers)
			require.Equal(t, fmt.Sprintf("GET /%d ", number), body)
		}
	})
}

// TestStreams: the answer whose turn it is comes as it is written.
func TestStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
			for range 3 {
				time.Sleep(work)
				io.WriteString(w, "x")
				http.NewResponseController(w).Flush()
			}
			w.Header().Set(http.TrailerPrefix+"Sum", "3")
		}, nil)
		caller := s.listener.dial()
		defer caller.Close()
		send(caller, gets(2))
		answers := bufio.NewReader(caller)
		for range 2 {
			response, err := http.ReadResponse(answers, nil)
			require.NoError(t, err)
			one := make([]byte, 1)
			for range 3 {
				_, err := io.ReadFull(response.Body, one)
				require.NoError(t, err)
			}
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, "3", response.Trailer.Get("Sum"))
		}
		require.Equal(t, 3*work, time.Since(s.begun))
	})
}

// TestHandlerPanics: the daemon outlives it, as it does with net/http alone.
func TestHandlerPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/1" {
				panic("fault")
			}
			echo(w, r)
		}, nil)
		s.server.ErrorLog = nil
		caller := s.listener.dial()
		defer caller.Close()
		send(caller, gets(2))
		text, err := io.ReadAll(caller)
		require.NoError(t, err)
		require.Contains(t, string(text), "GET /0 ")
		again := s.listener.dial()
		defer again.Close()
		send(again, get("/2"))
		read(t, bufio.NewReader(again))
	})
}

// transcript is what a caller that sends these bytes and nothing more gets, and what the
// handler was asked for.
func transcript(t *testing.T, sent []byte, perConnection int) (answers string, calls []string) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header()["Date"] = nil
			echo(w, r)
		}, func(o *pipelining.Options) { o.PerConnection = perConnection })
		caller := s.listener.dial()
		go func() {
			caller.Write(sent)
		}()
		caller.SetReadDeadline(time.Now().Add(time.Minute))
		text, _ := io.ReadAll(caller)
		caller.Close()
		synctest.Wait()
		answers, calls = string(text), s.called()
	})
	return answers, calls
}

// framings are streams that a server and a back end might divide differently.
var framings = map[string]string{
	"two lengths":             get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" + get("/c"),
	"length and chunked":      get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/c"),
	"get with a body":         get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\n" + get("/hidden") + get("/c"),
	"get with chunks":         get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n" + get("/c"),
	"bare line feeds":         "GET /a HTTP/1.1\nHost: h\n\nGET /b HTTP/1.1\nHost: h\n\n" + get("/c"),
	"mixed line ends":         "GET /a HTTP/1.1\r\nHost: h\n\r\nGET /b HTTP/1.1\nHost: h\r\n\n" + get("/c"),
	"space in a name":         get("/a") + "GET /b HTTP/1.1\r\nHost : h\r\nContent-Length : 3\r\n\r\n" + get("/c"),
	"folded line":             get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\n Content-Length: 3\r\n\r\n" + get("/c"),
	"no host":                 get("/a") + "GET /b HTTP/1.1\r\n\r\n" + get("/c"),
	"two hosts":               get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n" + get("/c"),
	"bad host":                get("/a") + "GET /b HTTP/1.1\r\nHost: h h\r\n\r\n" + get("/c"),
	"absolute target":         get("/a") + "GET http://h/b HTTP/1.1\r\nHost: h\r\n\r\n" + get("/c"),
	"bad value":               get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nX: a\x01b\r\n\r\n" + get("/c"),
	"empty lines between":     get("/a") + "\r\n" + get("/b"),
	"after a body":            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab\r\n" + get("/b") + get("/c"),
	"empty lines in a body":   "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\r\n\r\n" + get("/b") + get("/c"),
	"options of the server":   get("/a") + "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n" + get("/b") + get("/c"),
	"expect":                  get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n" + get("/c"),
	"expect something else":   get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nExpect: more\r\n\r\n" + get("/c"),
	"upgrade":                 get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + get("/c"),
	"too long":                get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2<<20) + "\r\n\r\n" + get("/c"),
	"old version":             get("/a") + "GET /b HTTP/1.0\r\nHost: h\r\n\r\n" + get("/c"),
	"old version kept":        get("/a") + "GET /b HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n" + get("/c"),
	"unknown version":         get("/a") + "GET /b HTTP/3.0\r\nHost: h\r\n\r\n" + get("/c"),
	"head":                    get("/a") + "HEAD /b HTTP/1.1\r\nHost: h\r\n\r\n" + get("/c"),
	"not a request":           get("/a") + "\x00\x01\x02" + get("/c"),
	"cut":                     get("/a") + "GET /b HTTP/1.1\r\nHos",
	"long head in the middle": get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 4095) + "\r\n\r\n" + get("/c"),
}

// sameAsAlone checks that a caller gets what net/http alone gives it, byte for byte, and
// that the handler is asked for the same.
func sameAsAlone(t *testing.T, sent []byte) {
	alone, aloneCalls := transcript(t, sent, 0)
	together, togetherCalls := transcript(t, sent, 16)
	require.Equal(t, alone, together)
	require.ElementsMatch(t, aloneCalls, togetherCalls)
}

func TestFraming(t *testing.T) {
	for name, sent := range framings {
		t.Run(name, func(t *testing.T) { sameAsAlone(t, []byte(sent)) })
	}
}

func FuzzFraming(f *testing.F) {
	for _, sent := range framings {
		if len(sent) < 10_000 {
			f.Add([]byte(sent))
		}
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		if bytes.HasPrefix(sent, []byte("PRI ")) {
			return // another protocol
		}
		sameAsAlone(t, sent)
	})
}

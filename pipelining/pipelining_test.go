package pipelining_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestsAreConcurrent guards against serving pipelined requests one after the other: 16
// requests sent at once take as long as one, and the responses are in order.
func TestRequestsAreConcurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, echo, nil)
		caller := s.listener.dial()
		defer caller.Close()
		sendAsync(caller, getRequests(16))
		responses := bufio.NewReader(caller)
		for number := range 16 {
			_, body := readResponse(t, responses)
			require.Equal(t, fmt.Sprintf("GET /%d ", number), body)
		}
		require.Equal(t, handlerTime, time.Since(s.begin))
	})
}

// TestRequestsInPiecesAreConcurrent guards against serving requests one after the other if their bytes
// arrive one by one, or if a request arrives while others are being served.
func TestRequestsInPiecesAreConcurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, echo, nil)
		caller := s.listener.dial()
		defer caller.Close()
		go func() {
			for _, char := range []byte(getRequests(3)) {
				caller.Write([]byte{char})
			}
			time.Sleep(handlerTime / 2)
			sendAsync(caller, getRequests(1))
		}()
		responses := bufio.NewReader(caller)
		for number := range 3 {
			_, body := readResponse(t, responses)
			require.Equal(t, fmt.Sprintf("GET /%d ", number), body)
			require.Equal(t, handlerTime, time.Since(s.begin))
		}
		readResponse(t, responses)
		require.Equal(t, handlerTime+handlerTime/2, time.Since(s.begin))
	})
}

// TestNonRepeatableRequestIsNotStartedEarly guards against starting a request early that may not be
// repeated, or one behind it: it is started after all requests before it, and those behind it are started after it.
func TestNonRepeatableRequestIsNotStartedEarly(t *testing.T) {
	for name, middle := range map[string]string{
		"with a body":    "POST /m HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd",
		"without a body": "POST /m HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
		"chunked":        "POST /m HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestServer(t, echo, nil)
				caller := s.listener.dial()
				defer caller.Close()
				sendAsync(caller, getRequest("/a")+getRequest("/b")+middle+getRequest("/c")+getRequest("/d"))
				responses := bufio.NewReader(caller)
				for range 5 {
					readResponse(t, responses)
				}
				require.Equal(t, []time.Duration{0, 0, handlerTime, 2 * handlerTime, 2 * handlerTime},
					[]time.Duration{s.startTime("GET /a"), s.startTime("GET /b"), s.startTime("POST /m"), s.startTime("GET /c"), s.startTime("GET /d")})
			})
		})
	}
}

// TestBodyIsNotTakenForRequest guards against taking a body that looks like a request for a request.
func TestBodyIsNotTakenForRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, echo, nil)
		caller := s.listener.dial()
		defer caller.Close()
		hidden := getRequest("/hidden")
		sendAsync(caller, getRequest("/a")+fmt.Sprintf("POST /m HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*len(hidden), hidden+hidden)+getRequest("/b"))
		responses := bufio.NewReader(caller)
		for range 3 {
			readResponse(t, responses)
		}
		require.Equal(t, []string{"GET /a", "POST /m", "GET /b"}, s.handled())
	})
}

// TestNoRequestStartsAfterClose guards against starting requests behind one that closes the
// connection.
func TestNoRequestStartsAfterClose(t *testing.T) {
	for name, sent := range map[string]string{
		"first request":  "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + getRequest("/z"),
		"second request": getRequest("/b") + "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + getRequest("/z"),
		"HTTP 1.0":       "GET /a HTTP/1.0\r\nHost: h\r\n\r\n" + getRequest("/z"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestServer(t, echo, nil)
				caller := s.listener.dial()
				defer caller.Close()
				sendAsync(caller, sent)
				_, err := io.ReadAll(caller)
				require.NoError(t, err)
				require.NotContains(t, s.handled(), "GET /z")
				require.Contains(t, s.handled(), "GET /a")
			})
		})
	}
}

// TestDrainCompletesStartedRequests guards against a graceful shutdown that loses started requests: all
// of them are answered, the last response closes the connection, and no further request is started.
func TestDrainCompletesStartedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, echo, nil)
		caller := s.listener.dial()
		defer caller.Close()
		sendAsync(caller, getRequests(4))
		time.Sleep(handlerTime / 2)
		s.startClosing()
		sendAsync(caller, getRequest("/late"))
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			s.pipelined.Drain(t.Context())
			s.server.Shutdown(t.Context())
		}()
		responses := bufio.NewReader(caller)
		for number := range 4 {
			response, _ := readResponse(t, responses)
			require.Equal(t, number == 3, response.Close, "response %d", number)
		}
		_, err := responses.ReadByte()
		require.Equal(t, io.EOF, err)
		<-stopped
		require.Len(t, s.handled(), 4)
	})
}

// TestCallerDisconnectCancelsRequests guards against requests that continue after their caller has closed
// the connection: all are canceled at once, including those whose responses are buffered.
func TestCallerDisconnectCancelsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, echo, nil)
		caller := s.listener.dial()
		sendAsync(caller, getRequests(5))
		time.Sleep(handlerTime / 4)
		caller.Close()
		synctest.Wait()
		require.Len(t, s.canceled, 5)
		for call, at := range s.canceled {
			require.Equal(t, handlerTime/4, at, call)
		}
	})
}

// TestFailedRequestDoesNotAffectOthers guards against a refused or slow request that affects other
// requests of the connection.
func TestFailedRequestDoesNotAffectOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/0":
				time.Sleep(10 * handlerTime)
			case "/2":
				w.Header().Set("Retry-After", "0.1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			echo(w, r)
		}, nil)
		caller := s.listener.dial()
		defer caller.Close()
		sendAsync(caller, getRequests(4))
		responses := bufio.NewReader(caller)
		for number := range 4 {
			response, body := readResponse(t, responses)
			if number == 2 {
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				require.Equal(t, "0.1", response.Header.Get("Retry-After"))
				continue
			}
			require.Equal(t, fmt.Sprintf("GET /%d ", number), body)
		}
		require.Equal(t, 11*handlerTime, time.Since(s.begin))
	})
}

// TestAbortedResponseClosesConnection guards against completing a response whose handler aborted it:
// the connection is closed within that response, after the responses before it.
func TestAbortedResponseClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/1" {
				w.Header().Set("Content-Length", "100")
				io.WriteString(w, "part")
				panic(http.ErrAbortHandler)
			}
			echo(w, r)
		}, nil)
		caller := s.listener.dial()
		defer caller.Close()
		sendAsync(caller, getRequests(3))
		responses := bufio.NewReader(caller)
		_, body := readResponse(t, responses)
		require.Equal(t, "GET /0 ", body)
		response, err := http.ReadResponse(responses, nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}

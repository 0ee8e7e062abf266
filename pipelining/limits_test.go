package pipelining_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/pipelining"
)

// TestBufferedResponseIsLimited guards against buffering more of a response than allowed: the handler
// blocks, and the rest is written once the response is attached.
func TestBufferedResponseIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := strings.Repeat("x", 1<<20)
		var written int
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/0" {
				time.Sleep(handlerTime)
				return
			}
			for piece := range len(long) / 1024 {
				io.WriteString(w, long[piece*1024:(piece+1)*1024])
				written += 1024
			}
		}, nil)
		caller := s.listener.dial()
		defer caller.Close()
		sendAsync(caller, getRequests(2))
		time.Sleep(handlerTime / 2)
		synctest.Wait()
		require.Equal(t, 32<<10, written)
		responses := bufio.NewReader(caller)
		readResponse(t, responses)
		_, body := readResponse(t, responses)
		require.Equal(t, long, body)
	})
}

// TestEarlyRequestsAreLimited guards against starting more requests early than MaxPerConnection or
// MaxTotal allow: further requests wait.
func TestEarlyRequestsAreLimited(t *testing.T) {
	for name, change := range map[string]func(*pipelining.Options){
		"per connection": func(o *pipelining.Options) { o.MaxPerConnection = 2 },
		"in total":       func(o *pipelining.Options) { o.MaxTotal = 2 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestServer(t, echo, change)
				caller := s.listener.dial()
				defer caller.Close()
				sendAsync(caller, getRequests(6))
				time.Sleep(handlerTime / 2)
				require.Len(t, s.handled(), 3)
				responses := bufio.NewReader(caller)
				for range 6 {
					readResponse(t, responses)
				}
				require.Equal(t, 2*handlerTime, time.Since(s.begin))
			})
		})
	}
}

// TestReadAheadIsLimited guards against reading ahead without limit: of a caller that sends
// 1,000 requests at once, only the allowed bytes are read ahead, and all requests are served.
func TestReadAheadIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, echo, func(o *pipelining.Options) { o.MaxPerConnection, o.MaxReadAheadBytes = 1, 1024 })
		caller := s.listener.dial()
		defer caller.Close()
		const count = 1000
		var sent int
		go func() {
			for number := range count {
				n, _ := io.WriteString(caller, getRequest(fmt.Sprintf("/%d", number)))
				sent += n
			}
		}()
		time.Sleep(handlerTime / 2)
		synctest.Wait()
		require.Less(t, sent, 8<<10)
		responses := bufio.NewReader(caller)
		for number := range count {
			_, body := readResponse(t, responses)
			require.Equal(t, fmt.Sprintf("GET /%d ", number), body)
		}
	})
}

// TestResponsesAreStreamed guards against buffering the response that is being sent: flushed bytes
// and trailers reach the caller at once, for a request that was started early too.
func TestResponsesAreStreamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			for range 3 {
				time.Sleep(handlerTime)
				io.WriteString(w, "x")
				http.NewResponseController(w).Flush()
			}
			w.Header().Set(http.TrailerPrefix+"Sum", "3")
		}, nil)
		caller := s.listener.dial()
		defer caller.Close()
		sendAsync(caller, getRequests(2))
		responses := bufio.NewReader(caller)
		for range 2 {
			response, err := http.ReadResponse(responses, nil)
			require.NoError(t, err)
			buffer := make([]byte, 1)
			for range 3 {
				_, err := io.ReadFull(response.Body, buffer)
				require.NoError(t, err)
			}
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, "3", response.Trailer.Get("Sum"))
		}
		require.Equal(t, 3*handlerTime, time.Since(s.begin))
	})
}

// TestHandlerPanicClosesOnlyItsConnection guards against a daemon crash: as with net/http alone, a
// panic of the handler of a request that was started early closes only its connection.
func TestHandlerPanicClosesOnlyItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/1" {
				panic("fault")
			}
			echo(w, r)
		}, nil)
		s.server.ErrorLog = nil
		caller := s.listener.dial()
		defer caller.Close()
		sendAsync(caller, getRequests(2))
		text, err := io.ReadAll(caller)
		require.NoError(t, err)
		require.Contains(t, string(text), "GET /0 ")
		secondCaller := s.listener.dial()
		defer secondCaller.Close()
		sendAsync(secondCaller, getRequest("/2"))
		readResponse(t, bufio.NewReader(secondCaller))
	})
}

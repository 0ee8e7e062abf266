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
		"of a connection": func(o *pipelining.Options) { o.MaxPerConnection = 2 },
		"in all":          func(o *pipelining.Options) { o.MaxTotal = 2 },
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
		s := newSite(t, echo, func(o *pipelining.Options) { o.MaxPerConnection, o.MaxReadAheadBytes = 1, 1024 })
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

package pipelining_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/overload"
	"github.com/tuliphall/tuliphall/pipelining"
	"github.com/tuliphall/tuliphall/requestlimits"
)

// refuseHead is the response of net/http to heads that are too large.
func refuseHead(requestlimits.Verdict, string, []byte) []byte {
	return []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large")
}

// TestFramingWithLimitsMatchesNetHTTP guards against counting heads and bodies in a way that divides a stream into other
// requests than net/http does, or that changes a response while no limit is declared.
func TestFramingWithLimitsMatchesNetHTTP(t *testing.T) {
	for name, sent := range streams {
		t.Run(name, func(t *testing.T) {
			sequential, sequentialCalls := transcript(t, []byte(sent), 0)
			for _, perConnection := range []int{0, 16} {
				limited, limitedCalls := transcriptWith(t, []byte(sent), func(o *pipelining.Options) {
					o.MaxPerConnection, o.RefuseHead = perConnection, refuseHead
				})
				require.Equal(t, sequential, limited)
				require.ElementsMatch(t, sequentialCalls, limitedCalls)
			}
		})
	}
}

// TestSlowHandlerOutlastsLimits guards against a connection that is closed as idle or as slow while its request is served,
// with and without a body.
func TestSlowHandlerOutlastsLimits(t *testing.T) {
	for name, sent := range map[string]string{
		"no body": getRequest("/a"),
		"length":  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd",
		"chunks":  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
					io.Copy(io.Discard, r.Body)
					time.Sleep(10 * time.Second)
				}, func(o *pipelining.Options) { o.RefuseHead = refuseHead })
				s.pipelined.SetLimits(requestlimits.Limits{HeadTimeout: time.Second, IdleTimeout: 2 * time.Second})
				caller := s.listener.dial()
				defer caller.Close()
				responses := bufio.NewReader(caller)
				for range 3 {
					sendAsync(caller, sent)
					response, err := http.ReadResponse(responses, nil)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, response.StatusCode)
				}
				start := time.Now()
				_, err := responses.ReadByte()
				require.ErrorIs(t, err, io.EOF)
				require.GreaterOrEqual(t, time.Since(start), 2*time.Second)
				require.Less(t, time.Since(start), 2*time.Second+50*time.Millisecond)
			})
		})
	}
}

// lateConn is a connection whose first read returns a time-out although bytes have arrived, as on a machine that was
// suspended.
type lateConn struct {
	net.Conn
	late atomic.Bool
}

func (c *lateConn) Read(target []byte) (int, error) {
	if c.late.CompareAndSwap(false, true) {
		time.Sleep(5 * time.Second)
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(target)
}

// lateListener makes all connections late.
type lateListener struct{ net.Listener }

func (l lateListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return &lateConn{Conn: accepted}, err
}

// TestRequestThatArrivedInTimeIsServed guards against a connection that is closed as idle although a request on it arrived
// before the time was over.
func TestRequestThatArrivedInTimeIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := newMemoryListener()
		server := pipelining.New(pipelining.Options{
			Handler: http.HandlerFunc(echo), Repeatable: func(*http.Request) bool { return true }, Closing: func() bool { return false },
			RefuseHead: refuseHead, MaxReadAheadBytes: 1 << 10,
		})
		server.SetLimits(requestlimits.Limits{IdleTimeout: time.Second})
		httpServer := &http.Server{Handler: server, ConnContext: server.ConnContext}
		go httpServer.Serve(server.WrapListener(lateListener{listener}))
		defer httpServer.Close()
		caller := listener.dial()
		defer caller.Close()
		sendAsync(caller, getRequest("/a"))
		_, body := readResponse(t, bufio.NewReader(caller))
		require.Equal(t, "GET /a ", body)
	})
}

// TestDrippingHeadIsEnded guards against a head that is kept open by one byte now and then, with and without a declared
// limit.
func TestDrippingHeadIsEnded(t *testing.T) {
	for _, limits := range []requestlimits.Limits{{}, {HeadTimeout: 10 * time.Second}, {IdleTimeout: time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestServer(t, echo, func(o *pipelining.Options) { o.RefuseHead = refuseHead })
			s.pipelined.SetLimits(limits)
			caller := s.listener.dial()
			defer caller.Close()
			var sender sync.WaitGroup
			defer sender.Wait()
			sender.Go(func() {
				io.WriteString(caller, "GET /a HTTP/1.1\r\nX: ")
				for {
					if _, err := io.WriteString(caller, "y"); err != nil {
						return
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
			start := time.Now()
			_, err := io.Copy(io.Discard, caller)
			require.NoError(t, err)
			require.InDelta(t, 10, time.Since(start).Seconds(), 1)
		})
	}
}

// TestBodyInPiecesHasNoHeadTimeout guards against the time for heads, or the idle timeout, that ends a body.
func TestBodyInPiecesHasNoHeadTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) }, func(o *pipelining.Options) { o.RefuseHead = refuseHead })
		s.pipelined.SetLimits(requestlimits.Limits{HeadBytes: 100, HeadTimeout: time.Second, IdleTimeout: 2 * time.Second})
		caller := s.listener.dial()
		defer caller.Close()
		body := strings.Repeat("b", 500)
		go func() {
			io.WriteString(caller, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
			for range 2 {
				time.Sleep(5 * time.Second)
				io.WriteString(caller, body)
			}
		}()
		responses := bufio.NewReader(caller)
		_, text := readResponse(t, responses)
		require.Equal(t, body+body, text)
	})
}

// TestRefusalReachesCallerThatStillSends guards against a refusal that is lost because the connection is reset while the
// caller sends the rest of its head.
func TestRefusalReachesCallerThatStillSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, echo, func(o *pipelining.Options) { o.RefuseHead = refuseHead })
		s.pipelined.SetLimits(requestlimits.Limits{HeadBytes: 200})
		caller := s.listener.dial()
		defer caller.Close()
		sendAsync(caller, "GET /a HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 500_000)+"\r\n\r\n")
		text, err := io.ReadAll(caller)
		require.NoError(t, err)
		require.Equal(t, string(refuseHead(0, "", nil)), string(text))
		require.Empty(t, s.handled())
	})
}

func FuzzFramingWithLimitsMatchesNetHTTP(f *testing.F) {
	for _, sent := range streams {
		if len(sent) < 10_000 {
			f.Add([]byte(sent))
		}
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		if bytes.HasPrefix(sent, []byte("PRI ")) {
			return // HTTP/2
		}
		sequential, sequentialCalls := transcript(t, sent, 0)
		limited, limitedCalls := transcriptWith(t, sent, func(o *pipelining.Options) { o.MaxPerConnection, o.RefuseHead = 16, refuseHead })
		require.Equal(t, sequential, limited)
		require.ElementsMatch(t, sequentialCalls, limitedCalls)
	})
}

// manyFields returns header lines of very short fields that make up this many bytes.
func manyFields(size int) string {
	var text strings.Builder
	for number := 0; text.Len() < size; number++ {
		fmt.Fprintf(&text, "%x:\r\n", 0x1000+number)
	}
	return text.String()
}

// newGuardedServer returns a server with bounds on memory and connections.
func newGuardedServer(t *testing.T, handler http.HandlerFunc, limits overload.Limits) (*testServer, *overload.Guard) {
	guard := overload.NewGuard(limits, tally.NoopScope)
	return newTestServer(t, handler, func(o *pipelining.Options) {
		o.RefuseHead = func(verdict requestlimits.Verdict, _ string, _ []byte) []byte {
			if verdict == requestlimits.Overloaded {
				return pipelining.PlainRefusal(http.StatusServiceUnavailable)
			}
			return refuseHead(verdict, "", nil)
		}
		o.Refuse = func(w http.ResponseWriter, _ *http.Request, cause error) {
			http.Error(w, cause.Error(), http.StatusBadRequest)
		}
		o.Connections = guard.NewPool("caller", limits.Connections)
	}), guard
}

// TestLargeHeadsAreServed guards against a head inside the limit that is refused or misread because its end arrives in
// another piece than its beginning, at and around the sizes at which heads are held back.
func TestLargeHeadsAreServed(t *testing.T) {
	for _, size := range []int{100, overload.HeadAllowance - 1, overload.HeadAllowance, overload.HeadAllowance + 1, 16 << 10, 60 << 10} {
		for _, piece := range []int{100, 1000, 4095, 4096, 1 << 20} {
			t.Run(fmt.Sprintf("%d bytes in pieces of %d", size, piece), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var fields sync.Map // number by path
					s, _ := newGuardedServer(t, func(w http.ResponseWriter, r *http.Request) {
						body, _ := io.ReadAll(r.Body)
						fields.Store(r.URL.Path, len(r.Header))
						fmt.Fprintf(w, "%s %s", r.URL.Path, body)
					}, overload.DefaultLimits(284_000_000, 4100, 0.32))
					caller := s.listener.dial()
					defer caller.Close()
					lines := manyFields(size)
					sent := "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n" + lines + "\r\nabcde" + getRequest("/b") + "GET /c HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n"
					go func() {
						for text := sent; len(text) > 0; {
							part := text[:min(piece, len(text))]
							io.WriteString(caller, part)
							text = text[len(part):]
						}
					}()
					responses := bufio.NewReader(caller)
					for _, want := range []string{"/a abcde", "/b ", "/c "} {
						_, text := readResponse(t, responses)
						require.Equal(t, want, text)
					}
					for path, want := range map[string]int{"/a": strings.Count(lines, "\n") + 1, "/b": 0, "/c": strings.Count(lines, "\n")} {
						got, _ := fields.Load(path)
						require.Equal(t, want, got, path)
					}
				})
			})
		}
	}
}

// TestHeadThatFindsNoMemoryIsRefused guards against a head that is held back without a bound, and against an ordinary request
// that is refused because large heads have taken the memory.
func TestHeadThatFindsNoMemoryIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newGuardedServer(t, echo, overload.Limits{Memory: 16 << 10, HeadMemory: 1 << 20})
		holder := s.listener.dial()
		defer holder.Close()
		sendAsync(holder, "GET /a HTTP/1.1\r\nHost: h\r\n"+manyFields(10<<10))
		synctest.Wait()
		refused := s.listener.dial()
		defer refused.Close()
		sendAsync(refused, "GET /b HTTP/1.1\r\nHost: h\r\n"+manyFields(12<<10)+"\r\n")
		response, _ := readResponse(t, bufio.NewReader(refused))
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.True(t, response.Close)
		ordinary := s.listener.dial()
		defer ordinary.Close()
		sendAsync(ordinary, getRequest("/c"))
		response, _ = readResponse(t, bufio.NewReader(ordinary))
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, []string{"GET /c"}, s.handled())
	})
}

// TestLargeHeadsAreServedInTurn guards against parsing all large heads that have arrived at the same time, and against a head
// that is never served because it is larger than the memory for heads.
func TestLargeHeadsAreServedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newGuardedServer(t, echo, overload.Limits{HeadMemory: 1 << 10})
		for number := range 5 {
			caller := s.listener.dial()
			defer caller.Close()
			sendAsync(caller, fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n%s\r\n", number, manyFields(16<<10)))
		}
		for number := range 5 {
			synctest.Wait()
			require.Len(t, s.handled(), number+1)
			time.Sleep(handlerTime)
		}
	})
}

// TestReadAheadIsReserved guards against read-ahead bytes without an account, and memory that stays reserved after the
// connection was closed.
func TestReadAheadIsReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, guard := newGuardedServer(t, echo, overload.Limits{Memory: 1 << 20})
		other := guard.NewPool("other", 0).Add(func() {})
		var callers []net.Conn
		for range 30 {
			caller := s.listener.dial()
			callers = append(callers, caller)
			sendAsync(caller, getRequest("/a")+strings.Repeat("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 2000))
		}
		synctest.Wait()
		require.False(t, other.Reserve(512<<10), "30 times 64 KiB are more than the memory")
		for _, caller := range callers {
			caller.Close()
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		require.True(t, other.Reserve(768<<10))
	})
}

// TestConnectionsAreBounded guards against connections without a bound, and against a new one that finds no place while
// others send nothing.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, guard := newGuardedServer(t, echo, overload.Limits{Connections: 10})
		for range 30 {
			defer s.listener.dial().Close()
		}
		synctest.Wait()
		require.Equal(t, overload.Counts{Evicted: 20}, guard.Counts())
		caller := s.listener.dial()
		defer caller.Close()
		sendAsync(caller, getRequest("/a"))
		response, _ := readResponse(t, bufio.NewReader(caller))
		require.Equal(t, http.StatusOK, response.StatusCode)
	})
}

// TestResponseIsWrittenBeforeConnectionGivesWay guards against a connection that is closed in favor of another one after the handler
// has returned and before its response was written.
func TestResponseIsWrittenBeforeConnectionGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newGuardedServer(t, echo, overload.Limits{Connections: 1})
		caller := s.listener.dial()
		defer caller.Close()
		sendAsync(caller, getRequest("/a"))
		time.Sleep(2 * handlerTime)
		rejected := s.listener.dial()
		defer rejected.Close()
		_, err := rejected.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		_, body := readResponse(t, bufio.NewReader(caller))
		require.Equal(t, "GET /a ", body)
		synctest.Wait()
		accepted := s.listener.dial()
		defer accepted.Close()
		sendAsync(accepted, getRequest("/b"))
		_, body = readResponse(t, bufio.NewReader(accepted))
		require.Equal(t, "GET /b ", body)
	})
}

// TestUpgradeWithBodyDoesNotEvadeLimits guards against a caller that asks for a protocol that there is not, with a body, and then
// sends heads to which no limits apply.
func TestUpgradeWithBodyDoesNotEvadeLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Del("Connection")
			echo(w, r)
		}, func(o *pipelining.Options) { o.RefuseHead = refuseHead })
		s.pipelined.SetLimits(requestlimits.Limits{HeadBytes: 200})
		caller := s.listener.dial()
		defer caller.Close()
		sendAsync(caller, "POST /a HTTP/1.1\r\nHost: h\r\nUpgrade: x\r\nContent-Length: 2\r\n\r\nabGET /b HTTP/1.1\r\nHost: h\r\n"+manyFields(10<<10)+"\r\n")
		responses := bufio.NewReader(caller)
		response, text := readResponse(t, responses)
		require.Equal(t, "POST /a ab", text)
		require.True(t, response.Close)
		_, err := responses.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, []string{"POST /a"}, s.handled())
	})
}

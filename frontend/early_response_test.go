package frontend

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/internal/testserver"
)

// offsetBody returns a body in which each word of eight bytes tells its own offset.
func offsetBody(length int) []byte {
	body := make([]byte, length)
	for offset := 0; offset+8 <= length; offset += 8 {
		binary.BigEndian.PutUint64(body[offset:], uint64(offset))
	}
	return body
}

// responsesBeforeBody are the responses of back ends that do not wait for the body, by the framing of the response.
func responsesBeforeBody() map[string]string {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	return map[string]string{
		"long response":              head + "Content-Length: 40000\r\n\r\n" + strings.Repeat("x", 40000),
		"short response":             head + "Content-Length: 8\r\n\r\naccepted",
		"response in chunks":         head + "Transfer-Encoding: chunked\r\n\r\n8\r\naccepted\r\n6\r\nnumber\r\n0\r\n\r\n",
		"response closes":            head + "Connection: close\r\nContent-Length: 8\r\n\r\naccepted",
		"response without a body":    "HTTP/1.1 204 No Content\r\n\r\n",
		"response with a trailer":    head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n8\r\naccepted\r\n0\r\nX-Sum: 8\r\n\r\n",
		"response with a long head":  head + "X-Long: " + strings.Repeat("x", 20<<10) + "\r\nContent-Length: 8\r\n\r\naccepted",
		"response after interim one": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head + "Content-Length: 8\r\n\r\naccepted",
	}
}

// serveFrom starts a daemon's handler for a service with one back end, over HTTP/1 and HTTP/2.
func serveFrom(t *testing.T, backendAddress string, content config.Content) *httptest.Server {
	t.Helper()
	content.Services = []config.Service{{Name: "uploads", PathPrefix: "/"}}
	content.Placements = []config.Placement{{Service: "uploads", Backends: []config.Backend{{ID: "b1", Address: backendAddress, Slots: 10}}}}
	handler := newTestHandler(t, newTestRegistry(t, &config.Document{Revision: 1, Content: content}), fixedPeers{})
	return startServer(t, handler)
}

func startServer(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func newHTTP2Client() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
}

// upload sends the body of a request in pieces.
type upload struct {
	body    []byte
	chunked bool
	piece   int
	pause   time.Duration
}

const uploadHead = "POST /corrections HTTP/1.1\r\nHost: h\r\nTuliphall-Deadline-Ms: 5000\r\n"

// send writes the request. It ends when the whole body was sent or the connection has ended.
func (u upload) send(conn io.Writer) {
	framing := fmt.Sprintf("Content-Length: %d", len(u.body))
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	io.WriteString(conn, uploadHead+framing+"\r\n\r\n")
	for rest := u.body; len(rest) > 0; {
		piece := rest[:min(u.piece, len(rest))]
		rest = rest[len(piece):]
		if u.chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(piece); err != nil {
			return
		}
		time.Sleep(u.pause)
	}
	if u.chunked {
		io.WriteString(conn, "0\r\n\r\n")
	}
}

// dial opens a caller's connection.
func dial(t *testing.T, server *httptest.Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// requireWhole requires that a back end received the whole body and no other bytes.
func requireWhole(t *testing.T, sent []byte, received testserver.Body) {
	t.Helper()
	require.NoError(t, received.Err)
	require.True(t, bytes.Equal(sent, received.Data), "%d bytes received of %d", len(received.Data), len(sent))
}

// TestBackendGetsOwnBodyAfterEarlyResponse guards against a back end that gets other bytes, or a false end, where the rest of
// a body is due, because net/http's server discards the body when the response begins.
func TestBackendGetsOwnBodyAfterEarlyResponse(t *testing.T) {
	limits := config.Content{Limits: &config.RequestLimits{MaxBodyBytes: 64 << 20}}
	for uploadName, test := range map[string]struct {
		upload  upload
		content config.Content
	}{
		"body with a length":   {upload{offsetBody(160 << 10), false, 8 << 10, time.Millisecond}, config.Content{}},
		"body in chunks":       {upload{offsetBody(160 << 10), true, 8 << 10, time.Millisecond}, config.Content{}},
		"body partly held":     {upload{offsetBody(1200 << 10), true, 32 << 10, time.Millisecond}, limits},
		"body slower than 1 s": {upload{offsetBody(96 << 10), false, 4 << 10, 50 * time.Millisecond}, config.Content{}},
	} {
		for responseName, response := range responsesBeforeBody() {
			t.Run(uploadName+"/"+responseName, func(t *testing.T) {
				t.Parallel()
				address, received := testserver.RespondEarly(t, response, 0)
				conn := dial(t, serveFrom(t, address, test.content))
				go test.upload.send(conn)
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
				relayed, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				_, err = io.ReadAll(relayed.Body)
				require.NoError(t, err)
				requireWhole(t, test.upload.body, <-received)
			})
		}
	}
}

// TestForwardedBodyAfterEarlyResponse guards against the same fault between daemons: each one passes the body on while it
// already passes the response back.
func TestForwardedBodyAfterEarlyResponse(t *testing.T) {
	for responseName, response := range responsesBeforeBody() {
		t.Run(responseName, func(t *testing.T) {
			t.Parallel()
			address, received := testserver.RespondEarly(t, response, 0)
			document := &config.Document{Revision: 1, Content: config.Content{
				Services:   []config.Service{{Name: "uploads", PathPrefix: "/", Forward: true}},
				Placements: []config.Placement{{Service: "uploads", Backends: []config.Backend{{ID: "b1", Address: address, Slots: 10}}}},
			}}
			dispatcher := startDispatcher(t, newTestRegistry(t, document))
			conn := dial(t, startServer(t, newTestHandler(t, newTestRegistry(t, document), fixedPeers{dispatcher: dispatcher})))
			sent := upload{offsetBody(160 << 10), true, 8 << 10, time.Millisecond}
			go sent.send(conn)
			relayed, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			_, err = io.ReadAll(relayed.Body)
			require.NoError(t, err)
			requireWhole(t, sent.body, <-received)
		})
	}
}

// TestEarlyResponseOverHTTP2 guards against the same fault where the caller speaks HTTP/2.
func TestEarlyResponseOverHTTP2(t *testing.T) {
	for responseName, response := range responsesBeforeBody() {
		t.Run(responseName, func(t *testing.T) {
			t.Parallel()
			address, received := testserver.RespondEarly(t, response, 0)
			server := serveFrom(t, address, config.Content{})
			reader, writer := io.Pipe()
			body := offsetBody(160 << 10)
			go func() {
				for offset := 0; offset < len(body); offset += 8 << 10 {
					writer.Write(body[offset : offset+8<<10])
					time.Sleep(time.Millisecond)
				}
				writer.Close()
			}()
			relayed, err := newHTTP2Client().Post(server.URL+"/corrections", "text/plain", reader)
			require.NoError(t, err)
			defer relayed.Body.Close()
			require.Equal(t, 2, relayed.ProtoMajor)
			_, err = io.ReadAll(relayed.Body)
			require.NoError(t, err)
			requireWhole(t, body, <-received)
		})
	}
}

// TestEarlyResponseToCallerThatWaitsToContinue guards against the same fault where the caller sends the body only once it is
// told to.
func TestEarlyResponseToCallerThatWaitsToContinue(t *testing.T) {
	for responseName, response := range responsesBeforeBody() {
		t.Run(responseName, func(t *testing.T) {
			t.Parallel()
			address, received := testserver.RespondAfterFirstByte(t, response)
			conn := dial(t, serveFrom(t, address, config.Content{}))
			body := offsetBody(160 << 10)
			_, err := fmt.Fprintf(conn, "%sExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", uploadHead, len(body))
			require.NoError(t, err)
			responses := bufio.NewReader(conn)
			interim, err := http.ReadResponse(responses, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusContinue, interim.StatusCode)
			go conn.Write(body)
			relayed, err := http.ReadResponse(responses, nil)
			require.NoError(t, err)
			_, err = io.ReadAll(relayed.Body)
			require.NoError(t, err)
			requireWhole(t, body, <-received)
		})
	}
}

// TestBodyThatBreaksOffIsNotWhole guards against a body that is ended properly although the caller has left before its end:
// the back end could not tell it from a whole one. Also if nothing but the last chunk is missing.
func TestBodyThatBreaksOffIsNotWhole(t *testing.T) {
	for name, test := range map[string]struct {
		framing string
		body    string
	}{
		"length":        {"Content-Length: 100000\r\n\r\n", strings.Repeat("x", 99_000)},
		"chunks":        {"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s", 100_000, strings.Repeat("x", 99_000))},
		"no last chunk": {"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", 99_000, strings.Repeat("x", 99_000))},
	} {
		for responseName, response := range responsesBeforeBody() {
			t.Run(name+"/"+responseName, func(t *testing.T) {
				t.Parallel()
				address, received := testserver.RespondEarly(t, response, 0)
				conn := dial(t, serveFrom(t, address, config.Content{}))
				_, err := io.WriteString(conn, uploadHead+test.framing+test.body)
				require.NoError(t, err)
				_, err = http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				conn.Close()
				body := <-received
				require.Error(t, body.Err)
				require.Equal(t, strings.Repeat("x", len(body.Data)), string(body.Data))
			})
		}
	}
}

// TestRestOfBodyIsNotReadAsRequest guards against a connection that is used again before the whole body was read, in which
// case the rest of the body is served as a request that nobody sent.
func TestRestOfBodyIsNotReadAsRequest(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, response := range map[string]string{
		"back end refuses":           "HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\nno",
		"back end refuses in chunks": "HTTP/1.1 403 Forbidden\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"response is not valid":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := testserver.Listen(t, func(conn net.Conn) {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, response)
				}
			})
			services := newTestRegistry(t, &config.Document{Revision: 1, Content: config.Content{
				Services:   []config.Service{{Name: "uploads", PathPrefix: "/"}},
				Placements: []config.Placement{{Service: "uploads", Backends: []config.Backend{{ID: "b1", Address: address, Slots: 10}}}},
			}})
			handler := newTestHandler(t, services, fixedPeers{})
			paths := make(chan string, 10)
			conn := dial(t, startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				paths <- r.URL.Path
				handler.ServeHTTP(w, r)
			})))
			_, err := io.WriteString(conn, uploadHead+"Content-Length: 200000\r\n\r\n"+strings.Repeat("x", 70_000))
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			responses := bufio.NewReader(conn)
			refused, err := http.ReadResponse(responses, nil)
			require.NoError(t, err)
			require.True(t, refused.Close, "the caller is told that the connection ends")
			// Errors mean that the connection has been closed.
			for range 20 {
				_, _ = io.WriteString(conn, strings.Repeat(hidden, 20))
				time.Sleep(10 * time.Millisecond)
			}
			_, _ = io.ReadAll(responses)
			require.Equal(t, "/corrections", <-paths)
			require.Empty(t, paths)
		})
	}
}

// TestConnectionIsKeptAfterWholeBody guards against closing each connection whose body was not buffered.
func TestConnectionIsKeptAfterWholeBody(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, count)
	}))
	t.Cleanup(backend.Close)
	conn := dial(t, serveFrom(t, backend.Listener.Addr().String(), config.Content{}))
	responses := bufio.NewReader(conn)
	for _, chunked := range []bool{false, true, false, true} {
		go upload{offsetBody(160 << 10), chunked, 32 << 10, 0}.send(conn)
		response, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(160<<10), string(text))
		require.False(t, response.Close)
	}
}

// TestStalledBodyIsAnsweredAtDeadline guards against a request that has no answer at its deadline because its caller has
// stopped sending the body: the transport waits for the body even after the request was given up.
func TestStalledBodyIsAnsweredAtDeadline(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 200000", "chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, received := testserver.RespondEarly(t, "", 0)
			conn := dial(t, serveFrom(t, address, config.Content{}))
			_, err := io.WriteString(conn, "POST /corrections HTTP/1.1\r\nHost: h\r\nTuliphall-Deadline-Ms: 300\r\n"+framing+"\r\n\r\n100\r\n"+strings.Repeat("x", 256)+"\r\n")
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(1300*time.Millisecond)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
			require.Error(t, (<-received).Err, "the back end must not take what it got for a whole body")
		})
	}
}

// TestStalledBodyOverHTTP2IsAnsweredAtDeadline guards against the same fault where the caller speaks HTTP/2.
func TestStalledBodyOverHTTP2IsAnsweredAtDeadline(t *testing.T) {
	address, received := testserver.RespondEarly(t, "", 0)
	server := serveFrom(t, address, config.Content{})
	reader, writer := io.Pipe()
	defer writer.Close()
	go writer.Write(offsetBody(100 << 10))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/corrections", reader)
	require.NoError(t, err)
	request.Header.Set("Tuliphall-Deadline-Ms", "300")
	begin := time.Now()
	response, err := newHTTP2Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.Less(t, time.Since(begin), 1300*time.Millisecond)
	require.Error(t, (<-received).Err, "the back end must not take what it got for a whole body")
}

// TestLongBodiesAreNotHeld guards against memory that grows with the size of bodies where both directions are streamed at the
// same time.
func TestLongBodiesAreNotHeld(t *testing.T) {
	const connections, bodyBytes, limitBytes = 16, 16 << 20, 32 << 20
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if http.NewResponseController(w).EnableFullDuplex() != nil {
			return
		}
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(backend.Close)
	server := serveFrom(t, backend.Listener.Addr().String(), config.Content{})
	highest := uint64(0)
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var callers sync.WaitGroup
	for range connections {
		conn := dial(t, server)
		callers.Go(func() {
			piece := make([]byte, 32<<10)
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", uploadHead, bodyBytes)
			for range bodyBytes / len(piece) {
				if _, err := conn.Write(piece); err != nil {
					return
				}
			}
		})
		callers.Go(func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if !assert.NoError(t, err) {
				return
			}
			count, err := io.Copy(io.Discard, response.Body)
			assert.NoError(t, err)
			assert.EqualValues(t, bodyBytes, count)
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		callers.Wait()
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(5 * time.Millisecond):
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			highest = max(highest, now.HeapInuse)
		}
	}
	require.Less(t, int64(highest)-int64(before.HeapInuse), int64(limitBytes))
	t.Logf("%d MB of heap in use at most, %d MB before", highest>>20, before.HeapInuse>>20)
}

// TestLateBodyIsAnsweredAtDeadline guards against a request without an answer at its deadline because the body, which is
// read before the request is sent, has not arrived.
func TestLateBodyIsAnsweredAtDeadline(t *testing.T) {
	limits := config.Content{Limits: &config.RequestLimits{MaxBodyBytes: 1 << 20}}
	for name, test := range map[string]struct {
		framing string
		content config.Content
	}{
		"short body":           {"Content-Length: 1000", config.Content{}},
		"chunks that are held": {"Transfer-Encoding: chunked", limits},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, serveFrom(t, "127.0.0.1:1", test.content))
			_, err := io.WriteString(conn, "POST /corrections HTTP/1.1\r\nHost: h\r\nTuliphall-Deadline-Ms: 300\r\n"+test.framing+"\r\n\r\n100\r\n")
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(1300*time.Millisecond)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Equal(t, "not-run", response.Header.Get("Tuliphall-Run"))
			require.True(t, response.Close)
		})
	}
}

// TestRefusalDoesNotAwaitBody guards against a refusal that is sent only once the caller has sent its body, and against
// closing the connection of a caller that does send it.
func TestRefusalDoesNotAwaitBody(t *testing.T) {
	handler := newTestHandler(t, newTestRegistry(t, &config.Document{Revision: 1, Content: config.Content{Services: []config.Service{{Name: "prices", PathPrefix: "/prices/"}}}}), fixedPeers{})
	conn := dial(t, startServer(t, handler))
	responses := bufio.NewReader(conn)
	for _, body := range []string{strings.Repeat("x", 100_000), strings.Repeat("x", 100_000), ""} {
		_, err := io.WriteString(conn, "POST /elsewhere HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+body)
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
		response, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusNotFound, response.StatusCode)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.Equal(t, body == "", response.Close)
	}
}

package frontend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowPath is the path of requests that are answered well, but late.
const slowPath = "/slow"

// listenForGets starts a back end that answers each request with the response and closes the connection. end is called before it does.
func listenForGets(t *testing.T, response string, end func(conn *net.TCPConn)) (address string) {
	t.Helper()
	return listenForRequests(t, func(conn *net.TCPConn, request *http.Request) {
		if request.URL.Path == slowPath {
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(conn, okHead+"Connection: close\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		_, _ = io.WriteString(conn, response)
		end(conn)
	})
}

// closes ends a connection cleanly.
func closes(*net.TCPConn) {}

// resets ends a connection with a reset, after what was sent has arrived.
func resets(conn *net.TCPConn) {
	time.Sleep(10 * time.Millisecond)
	_ = conn.SetLinger(0)
}

// readers request /x of a daemon and return what they get.
var readers = map[string]func(t *testing.T, handler *Handler) answer{
	"HTTP/1.0": func(t *testing.T, handler *Handler) answer {
		return readBehind(t, startPipelinedServer(t, handler), "GET /x HTTP/1.0\r\nHost: h\r\n\r\n", 0)
	},
	"HTTP/1.1": func(t *testing.T, handler *Handler) answer {
		return readBehind(t, startPipelinedServer(t, handler), "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 0)
	},
	"HTTP/1.1 behind another request": func(t *testing.T, handler *Handler) answer {
		requests := "GET " + slowPath + " HTTP/1.1\r\nHost: h\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n"
		return readBehind(t, startPipelinedServer(t, handler), requests, 1)
	},
	"HTTP/2": func(t *testing.T, handler *Handler) answer {
		client := newHTTP2Client()
		client.Timeout = 10 * time.Second
		defer client.CloseIdleConnections()
		return readAnswer(client.Get(startServer(t, handler).URL + "/x"))
	},
}

// readBehind sends requests on one connection, requires whole responses to the first ones and returns the next response.
func readBehind(t *testing.T, server *httptest.Server, requests string, before int) answer {
	t.Helper()
	conn := dial(t, server)
	_, err := io.WriteString(conn, requests)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	responses := bufio.NewReader(conn)
	for range before {
		got := readAnswer(http.ReadResponse(responses, nil))
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
	}
	return readAnswer(http.ReadResponse(responses, nil))
}

// onEachWayToRead runs a test for each way from a caller that requests /x to a back end that listens at address.
func onEachWayToRead(t *testing.T, address string, test func(t *testing.T, got answer)) {
	t.Helper()
	for wayName, newHandler := range ways {
		for readerName, read := range readers {
			t.Run(wayName+"/"+readerName, func(t *testing.T) {
				t.Parallel()
				test(t, read(t, newHandler(t, address)))
			})
		}
	}
}

// requireRejected requires that a caller got an error of the daemon in place of the back end's response.
func requireRejected(t *testing.T, got answer) {
	t.Helper()
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.status, "%+v", got)
	require.Equal(t, "unknown", got.header.Get("Tuliphall-Run"), "%+v", got)
	require.NotContains(t, got.body, "hello")
}

// bodies are bodies of responses, with the fields that delimit them.
var bodies = map[string]string{
	"length":    "Content-Length: 5\r\n\r\nhello",
	"chunks":    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"no length": "\r\nhello",
	"empty":     "Content-Length: 0\r\n\r\n",
}

// TestInvalidStatusIsRejected guards against responses whose status is none. net/http accepts numbers below 100 from a server and does not
// send them to a caller, and a response to a request that was started early became a 200.
func TestInvalidStatusIsRejected(t *testing.T) {
	for _, status := range []string{
		"000 Trouble", "001 Trouble", "099 Trouble", "+20 Trouble", "-00 Trouble", "-20 Trouble", "20 Trouble", "2000 Trouble", "2e2 Trouble", "000", "Trouble", "",
		"101 Switching Protocols",
	} {
		for name, body := range bodies {
			t.Run(status+"/"+name, func(t *testing.T) {
				address := listenForGets(t, "HTTP/1.1 "+status+"\r\nContent-Type: text/plain\r\n"+body, closes)
				onEachWayToRead(t, address, requireRejected)
			})
		}
	}
}

// TestUnaskedUpgradeIsRejected guards against a change of the protocol that the caller has not asked for.
func TestUnaskedUpgradeIsRejected(t *testing.T) {
	address := listenForGets(t, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\nhello", closes)
	onEachWayToRead(t, address, requireRejected)
}

// TestInvalidVersionIsRejected guards against versions for which net/http delimits the body in another way than the back end.
func TestInvalidVersionIsRejected(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.0", "http/1.1", "HTTP/1", "HTTP/1.10"} {
		for name, body := range bodies {
			t.Run(version+"/"+name, func(t *testing.T) {
				address := listenForGets(t, version+" 200 OK\r\n"+body, closes)
				onEachWayToRead(t, address, requireRejected)
			})
		}
	}
	t.Run("HTTP/1.0/chunks", func(t *testing.T) {
		onEachWayToRead(t, listenForGets(t, "HTTP/1.0 200 OK\r\n"+bodies["chunks"], closes), requireRejected)
	})
}

// TestUnusualHeadsAreServed guards against rejecting heads that are unusual and can be read in one way only.
func TestUnusualHeadsAreServed(t *testing.T) {
	for name, response := range map[string]string{
		"line feeds only":     "HTTP/1.1 200 OK\nContent-Type: text/plain\nContent-Length: 5\n\nhello",
		"no reason":           "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello",
		"empty reason":        "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.0, no length": "HTTP/1.0 200 OK\r\n\r\nhello",
		"continued line":      okHead + "X-Text: one,\r\n\ttwo\r\nContent-Length: 5\r\n\r\nhello",
		"empty value":         okHead + "X-Empty:\r\nContent-Length: 5\r\n\r\nhello",
		"any token":           okHead + "!#$%&'*+-.^_`|~09aZ: value\r\nContent-Length: 5\r\n\r\nhello",
		"30 KiB":              okHead + "X-Long: " + strings.Repeat("x", 30<<10) + "\r\nContent-Length: 5\r\n\r\nhello",
		"informational":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okHead + "Content-Length: 5\r\n\r\nhello",
		"unknown success":     "HTTP/1.1 299 Other\r\nContent-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			onEachWayToRead(t, listenForGets(t, response, closes), func(t *testing.T, got answer) {
				require.NoError(t, got.err)
				require.Equal(t, 2, got.status/100)
				require.Equal(t, "hello", got.body)
			})
		})
	}
}

// invalidFields are lines of a head whose name is none.
var invalidFields = map[string]string{
	"blank before the colon of a length":   "Content-Length : 5",
	"blank before the colon of the coding": "Transfer-Encoding : chunked",
	"blank within":                         "X Name: value",
	"blank within the name of a length":    "Content Length: 5",
	"blank at the beginning of a length":   " Content-Length: 5",
	"blank at the beginning of the coding": " Transfer-Encoding: chunked",
	"tab at the beginning":                 "\tX-Name: value",
	"tab before the colon":                 "X-Name\t: value",
	"carriage return at the beginning":     "\rX-Name: value",
	"carriage return before the colon":     "X-Name\r: value",
	"zero byte":                            "X\x00Name: value",
	"control byte":                         "X\x01Name: value",
	"control byte at the end of a length":  "Content-Length\x0b: 5",
	"delete":                               "X\x7fName: value",
	"byte above ASCII":                     "X\x80Name: value",
	"byte that is no token":                "X(Name): value",
	"quotation mark":                       `"X-Name": value`,
	"no name":                              ": value",
	"blank in place of a name":             " : value",
	"no colon":                             "X-Name",
}

// TestInvalidFieldNameIsRejected guards against fields that net/http passes on or ignores, although their name is none: where one should delimit the
// body, the body ends elsewhere.
func TestInvalidFieldNameIsRejected(t *testing.T) {
	for name, line := range invalidFields {
		for place, response := range map[string]string{
			"first":           "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Type: text/plain\r\n",
			"last":            okHead + line + "\r\n",
			"informational":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + line + "\r\n\r\n" + okHead,
			"behind 20 KiB":   okHead + "X-Long: " + strings.Repeat("x", 20<<10) + "\r\n" + line + "\r\n",
			"before 20 KiB":   okHead + line + "\r\nX-Long: " + strings.Repeat("x", 20<<10) + "\r\n",
			"line feeds only": "HTTP/1.1 200 OK\nContent-Type: text/plain\n" + line + "\n",
		} {
			t.Run(name+"/"+place, func(t *testing.T) {
				t.Parallel()
				for bodyName, body := range bodies {
					address := listenForGets(t, response+body, closes)
					got := readers["HTTP/1.1"](t, ways["direct"](t, address))
					require.NoError(t, got.err, bodyName)
					require.Equal(t, http.StatusBadGateway, got.status, "%s: %+v", bodyName, got)
					require.Equal(t, "unknown", got.header.Get("Tuliphall-Run"), bodyName)
				}
			})
		}
		t.Run(name+"/each way", func(t *testing.T) {
			onEachWayToRead(t, listenForGets(t, okHead+line+"\r\n"+bodies["no length"], closes), requireRejected)
		})
	}
}

// TestInvalidTrailerNameIsNotPassedOn guards against trailers whose name is none. The body is whole before them.
func TestInvalidTrailerNameIsNotPassedOn(t *testing.T) {
	for name, line := range invalidFields {
		invalid, _, _ := strings.Cut(line, ":")
		if strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t") {
			continue // continues the line before
		}
		t.Run(name, func(t *testing.T) {
			response := okHead + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 5\r\n" + line + "\r\n\r\n"
			onEachWayToRead(t, listenForGets(t, response, closes), func(t *testing.T, got answer) {
				if got.err == nil {
					require.Equal(t, "hello", got.body)
				}
				for sent := range got.trailer {
					require.NotEqual(t, invalid, sent)
				}
			})
		})
	}
}

// TestHeadCutShortIsRejected guards against a head that ends in its middle and is taken for a whole one: net/http accepts a last line without its line
// feed, which may be the carriage return of the line that ends a head.
func TestHeadCutShortIsRejected(t *testing.T) {
	for name, head := range map[string]string{
		"no length":                  okHead + "\r\n",
		"length":                     okHead + "Content-Length: 5\r\n\r\n",
		"empty":                      okHead + "Content-Length: 0\r\n\r\n",
		"no content":                 "HTTP/1.1 204 No Content\r\n\r\n",
		"after an informational one": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okHead + "\r\n",
	} {
		for endName, end := range map[string]func(*net.TCPConn){"closed": closes, "reset": resets} {
			t.Run(name+"/"+endName, func(t *testing.T) {
				t.Parallel()
				for length := range len(head) {
					got := readers["HTTP/1.1"](t, ways["direct"](t, listenForGets(t, head[:length], end)))
					require.NoError(t, got.err, "%q", head[:length])
					require.Equal(t, http.StatusBadGateway, got.status, "%q: %+v", head[:length], got)
				}
			})
			t.Run(name+"/"+endName+"/each way", func(t *testing.T) {
				onEachWayToRead(t, listenForGets(t, strings.TrimSuffix(head, "\n"), end), requireRejected)
			})
		}
	}
}

// TestHeadCutShortDuringUploadIsRejected guards against the same fault while the body of the request is still being sent, where a write that meets
// the reset hides it from the read of the head.
func TestHeadCutShortDuringUploadIsRejected(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK", okHead, okHead + "\r", okHead + "Content-Length: 0\r\n\r"} {
		for endName, end := range map[string]func(*net.TCPConn){"closed": closes, "reset": resets} {
			t.Run(fmt.Sprintf("%q/%s", head, endName), func(t *testing.T) {
				onEachWay(t, func(t *testing.T, call func(string, lengthReader) answer) {
					address := listenForRequests(t, func(conn *net.TCPConn, _ *http.Request) {
						_, _ = io.WriteString(conn, head)
						end(conn)
					})
					requireNoAnswer(t, call(address, bytes.NewReader(make([]byte, 16<<20))))
				})
			})
		}
	}
}

// TestChunksCutShortAreNotWhole guards against a body in chunks that ends in its middle and is taken for a whole one.
func TestChunksCutShortAreNotWhole(t *testing.T) {
	const whole = "5\r\nhello\r\n0\r\nX-Sum: 5\r\n\r\n"
	for endName, end := range map[string]func(*net.TCPConn){"closed": closes, "reset": resets} {
		t.Run(endName, func(t *testing.T) {
			t.Parallel()
			for length := range len(whole) {
				got := readers["HTTP/1.1"](t, ways["direct"](t, listenForGets(t, chunkedHead+whole[:length], end)))
				require.Error(t, got.err, "%q", whole[:length])
			}
		})
	}
}

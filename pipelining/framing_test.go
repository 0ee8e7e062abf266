package pipelining_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/pipelining"
)

// transcript is what a caller that sends these bytes and nothing more gets, and what the
// handler was asked for.
func transcript(t *testing.T, sent []byte, perConnection int) (answers string, calls []string) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header()["Date"] = nil
			echo(w, r)
		}, func(o *pipelining.Options) { o.MaxPerConnection = perConnection })
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

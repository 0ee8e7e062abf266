package objectstore_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/internal/testserver"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/objectstore"
)

// TestValueWithoutVerifiedEndIsNotRead guards against a part of a value that is read as the whole: a value may hold any bytes, and the platform may have
// ended in the middle of a response that only the end of the connection delimits.
func TestValueWithoutVerifiedEndIsNotRead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nObject-Version: 7\r\n"
	for name, test := range map[string]struct {
		response string
		value    string // empty: an error
	}{
		"length":          {head + "Content-Length: 5\r\n\r\nvalue", "value"},
		"chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n0\r\n\r\n", "value"},
		"no length":       {head + "\r\nval", ""},
		"no value":        {head + "\r\n", ""},
		"part of length":  {head + "Content-Length: 5\r\n\r\nval", ""},
		"part of a chunk": {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nval", ""},
	} {
		t.Run(name, func(t *testing.T) {
			address := testserver.Listen(t, func(conn net.Conn) {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, test.response)
				}
			})
			client := objectstore.NewClient(network.TCP{}, "http://"+address, "test")
			defer client.Close()
			object, err := client.Get(t.Context(), objectstore.Key{Kind: "settings", Name: "a"})
			if test.value == "" {
				require.ErrorIs(t, err, objectstore.ErrOutcomeUnknown)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.value, string(object.Value))
		})
	}
}

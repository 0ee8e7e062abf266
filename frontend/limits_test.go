package frontend

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/overload"
	"github.com/tuliphall/tuliphall/requestbody"
	"github.com/tuliphall/tuliphall/resultcode"
)

// TestLimitedBody guards against a body at the limit that is aborted, one above it that is passed on, and a promise that
// what was aborted has not run.
func TestLimitedBody(t *testing.T) {
	refused := &resultcode.Failure{Code: resultcode.ConnectFailed}
	broken := &resultcode.Failure{Code: resultcode.CallerGoneAfterSend}
	for _, entry := range []struct {
		held, rest, left int
		tooLarge         bool
	}{{10, 0, 0, false}, {10, 0, 5, false}, {10, 5, 5, false}, {10, 6, 5, true}, {0, 1, 0, true}, {10, 100_000, 99_999, true}, {10, 99_999, 99_999, false}} {
		for name, wrap := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "error with data": iotest.DataErrReader,
		} {
			body := &limitedBody{
				held: strings.NewReader(strings.Repeat("h", entry.held)), left: int64(entry.left),
				rest: requestbody.FromCaller(wrap(strings.NewReader(strings.Repeat("r", entry.rest)))),
			}
			text, err := io.ReadAll(body)
			require.Equal(t, entry.tooLarge, errors.Is(err, errBodyTooLarge), "%s %v", name, entry)
			require.Len(t, text, entry.held+min(entry.rest, entry.left), "%s %v", name, entry)
			require.Same(t, refused, body.failure(refused))
			if entry.tooLarge {
				require.Equal(t, resultcode.BodyAborted, body.failure(broken).Code)
				_, err = body.Read(make([]byte, 10))
				require.ErrorIs(t, err, errBodyTooLarge, "the error is kept")
			} else {
				require.NoError(t, err)
				require.Same(t, broken, body.failure(broken))
			}
		}
	}
	var none *limitedBody
	require.Same(t, broken, none.failure(broken))
}

// TestHeldBodiesAreBounded guards against callers that fill the daemon's memory with bodies.
func TestHeldBodiesAreBounded(t *testing.T) {
	const memory = 4 * maxHeldBody
	pool := overload.NewGuard(overload.Limits{Memory: memory}, tally.NoopScope).NewPool("caller", 0)
	handler := &Handler{metrics: newMetrics(tally.NoopScope)}
	var all []*heldBody
	hold := func() error {
		held := &heldBody{handler: handler, connection: pool.Add(func() {})}
		held.connection.SetPhase(overload.Receiving)
		all = append(all, held)
		return held.read(zeros{}, maxHeldBody)
	}
	for range 3 {
		require.NoError(t, hold())
	}
	require.ErrorIs(t, hold(), errNoMemory)
	total := int64(0)
	for _, held := range all {
		total += int64(cap(held.data))
	}
	require.LessOrEqual(t, total, int64(memory))
	require.Equal(t, total, handler.heldBytes.Load())
	all[0].release()
	all[3].release()
	require.NoError(t, hold())
}

// zeros is a body without an end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(target []byte) (int, error) { return len(target), nil }

// TestHeaderInHead guards against an id that is taken from a line that has not arrived completely, or from another header.
func TestHeaderInHead(t *testing.T) {
	head := []byte("GET / HTTP/1.1\r\nX-Request-Id: a-1\r\nother: b\r\nCut: half")
	require.Equal(t, "a-1", headerInHead(head, "x-request-id"))
	require.Equal(t, "b", headerInHead(head, "Other"))
	require.Empty(t, headerInHead(head, "Cut"))
	require.Empty(t, headerInHead(bytes.TrimSuffix(head, []byte("half")), "Request-Id"))
}

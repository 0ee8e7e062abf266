package requestbody_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/requestbody"
)

// caller is the connection of a caller as a handler sees it. Reads and writes block until a deadline that has passed is set.
type caller struct {
	*httptest.ResponseRecorder
	sends      chan string // parts of the body; closed at its end
	readAbort  chan struct{}
	writeAbort chan struct{}
	blocked    bool // writes block
	fullDuplex bool
}

func newCaller() *caller {
	return &caller{ResponseRecorder: httptest.NewRecorder(), sends: make(chan string), readAbort: make(chan struct{}, 10), writeAbort: make(chan struct{}, 10)}
}

// Read implements io.Reader.
func (c *caller) Read(target []byte) (int, error) {
	select {
	case part, more := <-c.sends:
		if !more {
			return 0, io.EOF
		}
		return copy(target, part), nil
	case <-c.readAbort:
		return 0, os.ErrDeadlineExceeded
	}
}

// Write implements http.ResponseWriter.
func (c *caller) Write(data []byte) (int, error) {
	if !c.blocked {
		return c.ResponseRecorder.Write(data)
	}
	<-c.writeAbort
	return 0, os.ErrDeadlineExceeded
}

// SetReadDeadline, SetWriteDeadline and EnableFullDuplex serve http.ResponseController.
func (c *caller) SetReadDeadline(deadline time.Time) error {
	time.AfterFunc(time.Until(deadline), func() { c.readAbort <- struct{}{} })
	return nil
}

func (c *caller) SetWriteDeadline(time.Time) error {
	c.writeAbort <- struct{}{}
	return nil
}

func (c *caller) EnableFullDuplex() error {
	c.fullDuplex = true
	return nil
}

// body returns the body of a request of the caller.
func (c *caller) body() *requestbody.Body {
	return requestbody.New(c, httptest.NewRequest(http.MethodPost, "/", nil), requestbody.FromCaller(c))
}

// TestEndWaitsForReader guards against a handler that returns while the transport still reads, in which case net/http's server
// reads the same body, and against a body that seems to be whole although it was ended.
func TestEndWaitsForReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCaller()
		body := c.body()
		require.True(t, c.fullDuplex)
		var last error
		reading := make(chan struct{})
		go func() {
			defer close(reading)
			_, last = io.ReadAll(body)
		}()
		c.sends <- "part"
		synctest.Wait()
		body.End()
		synctest.Wait()
		select {
		case c.sends <- "rest":
			t.Fatal("the connection is still read")
		default:
		}
		<-reading
		require.ErrorIs(t, last, requestbody.ErrEnded)
		_, err := body.Read(make([]byte, 10))
		require.ErrorIs(t, err, requestbody.ErrEnded)
		require.Equal(t, requestbody.Progress{Bytes: 4, Err: requestbody.ErrEnded}, body.Progress())
	})
}

// TestWholeBodyStaysWhole guards against a whole body that is reported as cut because it was ended later.
func TestWholeBodyStaysWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCaller()
		body := c.body()
		go func() {
			c.sends <- "part"
			close(c.sends)
		}()
		text, err := io.ReadAll(body)
		require.NoError(t, err)
		require.Equal(t, "part", string(text))
		require.NoError(t, body.Close())
		body.End()
		require.True(t, body.Progress().Whole())
	})
}

// TestConnectionClosesAfterEarlyResponse guards against a connection that is used again although a part of a body is left on
// it, and against closing one of which the whole body was read.
func TestConnectionClosesAfterEarlyResponse(t *testing.T) {
	for _, whole := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCaller()
			body := c.body()
			go func() {
				if whole {
					close(c.sends)
				}
			}()
			if whole {
				_, _ = io.ReadAll(body)
			}
			body.Writer(c).WriteHeader(http.StatusOK)
			require.Equal(t, !whole, c.Header().Get("Connection") == "close")
			body.End()
		})
	}
}

// TestStalledUploadEnds guards against a slot of a back end that is taken for ever by a caller that has its response and
// does not send the rest of its body; one that sends slowly is not cut off.
func TestStalledUploadEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCaller()
		body := c.body()
		go func() { _, _ = io.ReadAll(body) }()
		go func() {
			for range 5 {
				time.Sleep(requestbody.RestTimeout - 100*time.Millisecond)
				c.sends <- "part"
			}
		}()
		begin := time.Now()
		progress := body.PassOn(t.Context(), http.StatusOK)
		require.Equal(t, requestbody.Progress{Bytes: 20, Err: requestbody.ErrStalled}, progress)
		require.GreaterOrEqual(t, time.Since(begin), 6*requestbody.RestTimeout-500*time.Millisecond)
		require.LessOrEqual(t, time.Since(begin), 7*requestbody.RestTimeout)
	})
}

// TestRestIsNotAwaited guards against a response that is held up for a body that nobody needs or sends any more.
func TestRestIsNotAwaited(t *testing.T) {
	for name, test := range map[string]struct {
		status   int
		canceled bool
		readEnds bool
	}{
		"failure":            {status: http.StatusForbidden},
		"caller gone":        {status: http.StatusOK, canceled: true},
		"back end has ended": {status: http.StatusOK, readEnds: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := newCaller().body()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.canceled {
					cancel()
				}
				if test.readEnds {
					require.NoError(t, body.Close())
				}
				begin := time.Now()
				require.False(t, body.PassOn(ctx, test.status).Whole())
				require.Zero(t, time.Since(begin))
			})
		})
	}
}

// TestDeadlockOfBothDirectionsEnds guards against a caller that reads only after it has sent its body, and a back end that
// reads only after its response was taken, which wait for each other for ever. Pauses of a caller that reads are not
// limited.
func TestDeadlockOfBothDirectionsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCaller()
		c.blocked = true
		body := c.body()
		begin := time.Now()
		_, err := io.WriteString(body.Writer(c), strings.Repeat("x", 100))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.ErrorIs(t, body.Progress().Err, requestbody.ErrStalled)
		require.LessOrEqual(t, time.Since(begin), 3*requestbody.StallTimeout)
	})
	synctest.Test(t, func(t *testing.T) {
		c := newCaller()
		body := c.body()
		writer := body.Writer(c)
		go func() { _, _ = io.ReadAll(body) }()
		for range 5 {
			_, err := io.WriteString(writer, "part")
			require.NoError(t, err)
			time.Sleep(10 * requestbody.StallTimeout)
		}
		require.NoError(t, body.Progress().Err)
		body.End()
	})
}

// TestFinishDiscardsForAShortTime guards against a handler that is held up by a caller that sends the rest of a body slowly.
func TestFinishDiscardsForAShortTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCaller()
		body := c.body()
		var sending sync.WaitGroup
		stop := make(chan struct{})
		sending.Go(func() {
			for {
				select {
				case c.sends <- strings.Repeat("x", 1000):
					time.Sleep(time.Millisecond)
				case <-stop:
					return
				}
			}
		})
		begin := time.Now()
		body.Finish()
		require.LessOrEqual(t, time.Since(begin), time.Second)
		require.Positive(t, time.Since(begin))
		close(stop)
		sending.Wait()
	})
}

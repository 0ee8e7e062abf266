package httpcopy_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/httpcopy"
)

// slowCaller takes a part of a response at a time. Writes block until then, or until their deadline has passed.
type slowCaller struct {
	*httptest.ResponseRecorder
	pause   time.Duration
	expired chan struct{}
	once    sync.Once
}

func newSlowCaller(pause time.Duration) *slowCaller {
	return &slowCaller{ResponseRecorder: httptest.NewRecorder(), pause: pause, expired: make(chan struct{})}
}

// Write implements http.ResponseWriter.
func (c *slowCaller) Write(data []byte) (int, error) {
	select {
	case <-time.After(c.pause):
		return c.ResponseRecorder.Write(data)
	case <-c.expired:
		return 0, os.ErrDeadlineExceeded
	}
}

// SetWriteDeadline serves http.ResponseController.
func (c *slowCaller) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.expired) })
	return nil
}

// memory is a bound on the bytes that are read ahead.
type memory struct {
	mutex     sync.Mutex
	left, low int64
}

func newMemory(bytes int64) *memory { return &memory{left: bytes, low: bytes} }

// Reserve implements httpcopy.Memory.
func (m *memory) Reserve(bytes int64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if bytes > m.left {
		return false
	}
	m.left -= bytes
	m.low = min(m.low, m.left)
	return true
}

// Release implements httpcopy.Memory.
func (m *memory) Release(bytes int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.left += bytes
}

// pass passes a response with this body on, and returns when the whole body had been read and when the caller had it.
func pass(caller http.ResponseWriter, source io.Reader, memory httpcopy.Memory) (read, taken time.Duration, err *httpcopy.Error) {
	start := time.Now()
	read = -1
	response := &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: io.NopCloser(source)}
	err = httpcopy.Response(caller, response, httpcopy.Options{Memory: memory, Ended: func() { read = time.Since(start) }})
	return read, time.Since(start), err
}

// TestSlowCallerDoesNotOccupyServer guards against a back end that is occupied until a slow caller has taken the whole response.
func TestSlowCallerDoesNotOccupyServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		text := bytes.Repeat([]byte("response "), 60_000)
		caller, held := newSlowCaller(time.Second), newMemory(1<<20)
		read, taken, err := pass(caller, bytes.NewReader(text), held)
		require.Nil(t, err)
		require.True(t, bytes.Equal(text, caller.Body.Bytes()))
		require.Less(t, read, time.Second)
		require.Greater(t, read, time.Duration(0))
		require.Equal(t, 17*time.Second, taken)
		require.Equal(t, int64(1<<20), held.left)
	})
}

// TestBufferedResponseOccupiesNoServer guards against a back end that is occupied while a slow caller takes a response that is in
// memory, however short memory is, and against releasing it before the response was sent if the caller is not slow.
func TestBufferedResponseOccupiesNoServer(t *testing.T) {
	for pause, wanted := range map[time.Duration]int{0: 0, time.Hour: 1} {
		synctest.Test(t, func(t *testing.T) {
			ended := 0
			response := &http.Response{StatusCode: http.StatusOK, ContentLength: 20 << 10, Body: io.NopCloser(bytes.NewReader(make([]byte, 20<<10)))}
			err := httpcopy.Response(newSlowCaller(pause), response, httpcopy.Options{Memory: newMemory(0), Buffered: true, Ended: func() { ended++ }})
			require.Nil(t, err)
			require.Equal(t, wanted, ended)
		})
	}
}

// TestResponseIsWholeWithoutMemory guards against parts of a response that are lost, or a copy that stops, where what can be
// held of it is less than the caller leaves.
func TestResponseIsWholeWithoutMemory(t *testing.T) {
	for _, bytesHeld := range []int64{0, 32 << 10, 64 << 10, 4 << 20} {
		synctest.Test(t, func(t *testing.T) {
			text := bytes.Repeat([]byte("response "), 300_000)
			caller, held := newSlowCaller(time.Second), newMemory(bytesHeld)
			_, _, err := pass(caller, bytes.NewReader(text), held)
			require.Nil(t, err)
			require.True(t, bytes.Equal(text, caller.Body.Bytes()))
			require.Equal(t, bytesHeld, held.left)
			require.GreaterOrEqual(t, held.low, bytesHeld-1<<20, "1 MiB is held at the most")
		})
	}
}

// TestStalledCallerIsCutOff guards against a back end that is occupied for good by a caller that takes nothing of a response
// that cannot be held, and against cutting off a caller although no back end is occupied.
func TestStalledCallerIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := newMemory(4 << 20)
		_, taken, err := pass(newSlowCaller(time.Hour), bytes.NewReader(make([]byte, 2<<20)), held)
		require.NotNil(t, err)
		require.Equal(t, httpcopy.Caller, err.Side)
		require.Less(t, taken, time.Minute)
		synctest.Wait()
		require.Equal(t, int64(4<<20), held.left)
		_, taken, err = pass(newSlowCaller(time.Hour), bytes.NewReader(make([]byte, 64<<10)), held)
		require.Nil(t, err)
		require.Equal(t, 2*time.Hour, taken)
	})
}

// TestSlowWritesAreTold guards against a slow caller that cannot be cut off for the sake of others, and against one that is
// counted although it occupies no back end, or no longer.
func TestSlowWritesAreTold(t *testing.T) {
	for _, abort := range []bool{false, true} {
		for bytesHeld, wanted := range map[int64]bool{0: true, 64 << 10: true, 1 << 20: false} {
			synctest.Test(t, func(t *testing.T) {
				told, ended := 0, 0
				response := &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: io.NopCloser(bytes.NewReader(make([]byte, 500<<10)))}
				err := httpcopy.Response(newSlowCaller(5*time.Second), response, httpcopy.Options{
					Memory: newMemory(bytesHeld), Ended: func() {},
					OnSlow: func(write *httpcopy.SlowWrite) func() {
						told++
						require.True(t, write.OccupiesServer())
						if abort {
							write.Abort()
						}
						return func() { ended++ }
					},
				})
				require.Equal(t, abort && wanted, err != nil)
				require.Equal(t, wanted, told > 0)
				require.Equal(t, told, ended)
			})
		}
	}
}

// TestCallerThatStopsIsToldSoon guards against a caller that has taken a part of a response and keeps a back end from others for a
// second.
func TestCallerThatStopsIsToldSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var told time.Duration
		response := &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: io.NopCloser(bytes.NewReader(make([]byte, 2<<20)))}
		caller := &stoppingCaller{slowCaller: newSlowCaller(time.Hour)}
		err := httpcopy.Response(caller, response, httpcopy.Options{
			Memory: newMemory(0), Ended: func() {},
			OnSlow: func(write *httpcopy.SlowWrite) func() {
				told = time.Since(start)
				write.Abort()
				return func() {}
			},
		})
		require.NotNil(t, err)
		require.NotZero(t, caller.Body.Len())
		require.LessOrEqual(t, told, 500*time.Millisecond)
	})
}

// stoppingCaller takes the first write at once.
type stoppingCaller struct {
	*slowCaller
	stopped bool
}

// Write implements http.ResponseWriter.
func (c *stoppingCaller) Write(data []byte) (int, error) {
	if !c.stopped {
		c.stopped = true
		return c.ResponseRecorder.Write(data)
	}
	return c.slowCaller.Write(data)
}

// TestFailureOfServerIsReported guards against a response that seems to be complete although the server broke it off while it
// was read ahead.
func TestFailureOfServerIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := io.MultiReader(bytes.NewReader(make([]byte, 200<<10)), failing{})
		caller := newSlowCaller(time.Second)
		read, _, err := pass(caller, source, newMemory(1<<20))
		require.NotNil(t, err)
		require.Equal(t, httpcopy.Server, err.Side)
		require.ErrorIs(t, err.Cause, io.ErrUnexpectedEOF)
		require.Equal(t, time.Duration(-1), read)
		require.Equal(t, 200<<10, caller.Body.Len())
	})
}

type failing struct{}

// Read implements io.Reader.
func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

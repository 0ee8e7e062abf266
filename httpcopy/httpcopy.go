// Package httpcopy passes the bodies of responses on to callers, and pipes upgraded connections.
package httpcopy

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// Side tells which side caused a copy to fail.
type Side string

// The sides.
const (
	Server Side = "backend"
	Caller Side = "caller"
)

// Error describes a response that could not be passed on completely.
type Error struct {
	Side  Side
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Side) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// Options configure how a response is passed on.
type Options struct {
	// Record is called with each chunk of the body, which is then read to its end even if the caller has disconnected, for as
	// long as it returns true; nil: the chunks are not recorded.
	Record func(chunk []byte) (more bool)
	// Deadline is when the server must have sent the whole response, and Abort makes its reading fail, which is then done. The
	// time in which the caller does not take what is there is added. Abort must not block. Zero: there is no deadline.
	Deadline time.Time
	Abort    func()
	// Latest bounds the deadline with what is added, unless the length of the response is known; zero: it is not bounded.
	Latest time.Time
	// Memory holds what is read ahead of a caller that takes the body slowly; nil: nothing is read ahead, and Ended and OnSlow
	// are not called.
	Memory Memory
	// Buffered: the whole body is in memory already.
	Buffered bool
	// Ended is called if the whole body has been read and the caller takes it slowly. It must not block.
	Ended func()
	// OnSlow is called when a write to the caller is blocked while the server has not sent the whole body. The function that it
	// returns is called when the write has ended. Neither may block. nil: it is not called.
	OnSlow func(*SlowWrite) (end func())
}

// Response passes the status, the body and the trailers of a response on to a caller whose header is set
// already.
func Response(writer http.ResponseWriter, response *http.Response, options Options) *Error {
	header := writer.Header()
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	writer.WriteHeader(response.StatusCode)
	if err := body(writer, response, options); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		header[name] = values
	}
	return nil
}

// body copies the body of a response to a caller. A response of unknown length is flushed after each
// chunk, because the caller may be waiting for it. It returns nil if the complete body was passed on.
func body(writer http.ResponseWriter, response *http.Response, options Options) *Error {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	streaming := response.ContentLength < 0
	control := http.NewResponseController(writer)
	source, write := io.Reader(response.Body), writeChunk
	isWhole := func() bool { return false }
	if options.Memory != nil {
		ahead := newAheadReader(response.Body, options)
		defer ahead.close()
		isWhole = ahead.isWhole
		source, write = ahead, func(writer http.ResponseWriter, chunk []byte, streaming bool, control *http.ResponseController) *Error {
			watch := ahead.watchWrite(func() {
				// An error means that the connection has been closed.
				_ = control.SetWriteDeadline(aLongTimeAgo)
			}, options.OnSlow)
			err := writeChunk(writer, chunk, streaming, control)
			watch.stop()
			ahead.written = true
			return err
		}
	}
	if !streaming {
		options.Latest = time.Time{}
	}
	watch := watchDeadline(options, isWhole)
	defer watch.stop()
	var writeErr *Error
	recording := options.Record != nil
	for {
		n, readErr := source.Read(buffer[:])
		if n > 0 && recording {
			recording = options.Record(buffer[:n])
		}
		if n > 0 && writeErr == nil {
			watch.beginWrite()
			writeErr = write(writer, buffer[:n], streaming, control)
			watch.endWrite()
		}
		switch {
		case readErr == io.EOF:
			return writeErr
		case readErr != nil:
			return &Error{Side: Server, Cause: watch.cause(readErr)}
		case writeErr != nil && !recording:
			return writeErr
		}
	}
}

// aLongTimeAgo is a deadline that has passed.
var aLongTimeAgo = time.Unix(1, 0)

func writeChunk(writer http.ResponseWriter, chunk []byte, streaming bool, control *http.ResponseController) *Error {
	if _, err := writer.Write(chunk); err != nil {
		return &Error{Side: Caller, Cause: err}
	}
	if !streaming {
		return nil
	}
	if err := control.Flush(); err != nil {
		return &Error{Side: Caller, Cause: err}
	}
	return nil
}

// Upgrade passes a 101 response on and then pipes data between the connections of the caller and the
// server until either side closes. started is called once the connection of the caller is taken over.
func Upgrade(writer http.ResponseWriter, response *http.Response, started func()) *Error {
	upstream, ok := response.Body.(io.ReadWriteCloser)
	if !ok {
		return &Error{Side: Server, Cause: io.ErrUnexpectedEOF}
	}
	header := writer.Header()
	header.Set("Connection", "Upgrade")
	header.Set("Upgrade", response.Header.Get("Upgrade"))
	writer.WriteHeader(http.StatusSwitchingProtocols)
	downstream, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return &Error{Side: Caller, Cause: err}
	}
	defer downstream.Close()
	started()
	done := make(chan struct{}, 2)
	go pipe(upstream, buffered, done)
	go pipe(downstream, upstream, done)
	<-done
	upstream.Close()
	downstream.Close()
	<-done
	return nil
}

// pipe copies until either end closes. The copy error is dropped: it only marks the end of the
// session.
func pipe(target io.Writer, source io.Reader, done chan<- struct{}) {
	_, _ = io.Copy(target, source)
	done <- struct{}{}
}

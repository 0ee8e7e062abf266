// Package httpcopy passes the bodies of responses on to callers, and pipes upgraded connections.
package httpcopy

import (
	"io"
	"net/http"
	"sync"
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

// Response passes the status, the body and the trailers of a response on to a caller whose header is set
// already. If record is not nil, it is called with each chunk of the body; see body.
func Response(writer http.ResponseWriter, response *http.Response, record func(chunk []byte)) *Error {
	header := writer.Header()
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	writer.WriteHeader(response.StatusCode)
	if err := body(writer, response, record); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		header[name] = values
	}
	return nil
}

// body copies the body of a response to a caller. A response of unknown length is flushed after each
// chunk, because the caller may be waiting for it. If record is not nil, it is called with each chunk,
// and the body is read to its end even if the caller has disconnected. It returns nil if the
// complete body was passed on.
func body(writer http.ResponseWriter, response *http.Response, record func(chunk []byte)) *Error {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	streaming := response.ContentLength < 0
	control := http.NewResponseController(writer)
	var writeErr *Error
	for {
		n, readErr := response.Body.Read(buffer[:])
		if n > 0 && record != nil {
			record(buffer[:n])
		}
		if n > 0 && writeErr == nil {
			writeErr = writeChunk(writer, buffer[:n], streaming, control)
		}
		switch {
		case readErr == io.EOF:
			return writeErr
		case readErr != nil:
			return &Error{Side: Server, Cause: readErr}
		case writeErr != nil && record == nil:
			return writeErr
		}
	}
}

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

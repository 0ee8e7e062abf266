package frontend

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

// failureSide tells which side caused a relay to fail.
type failureSide string

const (
	backendSide failureSide = "backend"
	callerSide  failureSide = "caller"
)

// relayError describes a response that could not be relayed completely.
type relayError struct {
	side  failureSide
	cause error
}

func (e *relayError) outcome() routing.Outcome {
	if e.side == backendSide {
		return routing.Unserved
	}
	return routing.Canceled
}

const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// relay streams a back end's response to the caller. It returns nil if the complete response was
// relayed.
func (a *attempter) relay(response *http.Response, backendID string, code resultcode.Code) *relayError {
	header := a.writer.Header()
	backend.CopyHeader(header, response.Header)
	if backendID != "" {
		header.Set(HeaderBackend, backendID)
		setCode(header, code)
	}
	header.Set(a.handler.options.Dialect.RequestID, a.call.id)
	if response.StatusCode == http.StatusSwitchingProtocols {
		return a.relayUpgrade(response)
	}
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	if a.record != nil {
		a.record.recordHeader(response)
	}
	a.writer.WriteHeader(response.StatusCode)
	if err := a.copyBody(response); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		header[name] = values
	}
	a.recordAnswered(code)
	return nil
}

func setCode(header http.Header, code resultcode.Code) {
	header.Set(resultcode.HeaderCode, strconv.Itoa(int(code)))
	header.Set(resultcode.HeaderRun, string(code.Info().Run))
}

// copyBody copies the body. A response of unknown length is flushed after each chunk, because the
// caller may be waiting for it. The response to an operation is read to its end even if the caller
// has disconnected, so that it can be recorded.
func (a *attempter) copyBody(response *http.Response) *relayError {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	streaming := response.ContentLength < 0
	control := http.NewResponseController(a.writer)
	var writeErr *relayError
	for {
		n, readErr := response.Body.Read(buffer[:])
		if n > 0 && a.record != nil {
			a.record.recordBody(buffer[:n])
		}
		if n > 0 && writeErr == nil {
			writeErr = a.writeChunk(buffer[:n], streaming, control)
		}
		switch {
		case readErr == io.EOF:
			return writeErr
		case readErr != nil:
			return &relayError{side: backendSide, cause: readErr}
		case writeErr != nil && a.record == nil:
			return writeErr
		}
	}
}

func (a *attempter) writeChunk(chunk []byte, streaming bool, control *http.ResponseController) *relayError {
	if _, err := a.writer.Write(chunk); err != nil {
		return &relayError{side: callerSide, cause: err}
	}
	if !streaming {
		return nil
	}
	if err := control.Flush(); err != nil {
		return &relayError{side: callerSide, cause: err}
	}
	return nil
}

// relayUpgrade pipes data between the connections of the caller and the back end after a 101
// response, until either side closes.
func (a *attempter) relayUpgrade(response *http.Response) *relayError {
	upstream, ok := response.Body.(io.ReadWriteCloser)
	if !ok {
		return &relayError{side: backendSide, cause: io.ErrUnexpectedEOF}
	}
	header := a.writer.Header()
	header.Set("Connection", "Upgrade")
	header.Set("Upgrade", response.Header.Get("Upgrade"))
	a.writer.WriteHeader(http.StatusSwitchingProtocols)
	downstream, buffered, err := http.NewResponseController(a.writer).Hijack()
	if err != nil {
		return &relayError{side: callerSide, cause: err}
	}
	a.handler.upgraded.Add(1)
	defer a.handler.upgraded.Done()
	defer downstream.Close()
	a.recordAnswered(resultcode.Answered)
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

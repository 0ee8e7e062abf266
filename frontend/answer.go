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

// side says whose fault it was that an answer could not be passed on.
type side string

const (
	backendSide side = "backend"
	callerSide  side = "caller"
)

// passError is an answer that could not be passed on whole.
type passError struct {
	side  side
	cause error
}

func (e *passError) outcome() routing.Outcome {
	if e.side == backendSide {
		return routing.Unserved
	}
	return routing.Canceled
}

// copyBytes is the size of a copy buffer.
const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// pass sends a back end's answer to the caller as it comes. It returns nil when
// the whole answer was passed on.
func (a *attempter) pass(response *http.Response, backendID string, code resultcode.Code) *passError {
	header := a.writer.Header()
	backend.CopyHeader(header, response.Header)
	if backendID != "" {
		header.Set(HeaderBackend, backendID)
		setCode(header, code)
	}
	header.Set(a.handler.options.Dialect.RequestID, a.call.id)
	if response.StatusCode == http.StatusSwitchingProtocols {
		return a.passUpgrade(response)
	}
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	if a.record != nil {
		a.record.begin(response)
	}
	a.writer.WriteHeader(response.StatusCode)
	if err := a.copyBody(response); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		header[name] = values
	}
	a.answered(code)
	return nil
}

func setCode(header http.Header, code resultcode.Code) {
	header.Set(resultcode.HeaderCode, strconv.Itoa(int(code)))
	header.Set(resultcode.HeaderRun, string(code.Info().Run))
}

// copyBody copies the body. An answer of unknown length is flushed with each
// piece, as its caller may be waiting for it. An operation's answer is read to
// its end even when the caller has gone, so that it can be recorded.
func (a *attempter) copyBody(response *http.Response) *passError {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	streaming := response.ContentLength < 0
	control := http.NewResponseController(a.writer)
	var lost *passError
	for {
		n, readErr := response.Body.Read(buffer[:])
		if n > 0 && a.record != nil {
			a.record.body(buffer[:n])
		}
		if n > 0 && lost == nil {
			lost = a.writePiece(buffer[:n], streaming, control)
		}
		switch {
		case readErr == io.EOF:
			return lost
		case readErr != nil:
			return &passError{side: backendSide, cause: readErr}
		case lost != nil && a.record == nil:
			return lost
		}
	}
}

func (a *attempter) writePiece(piece []byte, streaming bool, control *http.ResponseController) *passError {
	if _, err := a.writer.Write(piece); err != nil {
		return &passError{side: callerSide, cause: err}
	}
	if !streaming {
		return nil
	}
	if err := control.Flush(); err != nil {
		return &passError{side: callerSide, cause: err}
	}
	return nil
}

// passUpgrade joins the caller's connection to the back end's after a 101
// answer, until either side ends.
func (a *attempter) passUpgrade(response *http.Response) *passError {
	upstream, ok := response.Body.(io.ReadWriteCloser)
	if !ok {
		return &passError{side: backendSide, cause: io.ErrUnexpectedEOF}
	}
	header := a.writer.Header()
	header.Set("Connection", "Upgrade")
	header.Set("Upgrade", response.Header.Get("Upgrade"))
	a.writer.WriteHeader(http.StatusSwitchingProtocols)
	downstream, buffered, err := http.NewResponseController(a.writer).Hijack()
	if err != nil {
		return &passError{side: callerSide, cause: err}
	}
	a.handler.upgraded.Add(1)
	defer a.handler.upgraded.Done()
	defer downstream.Close()
	a.answered(resultcode.Answered)
	done := make(chan struct{}, 2)
	go join(upstream, buffered, done)
	go join(downstream, upstream, done)
	<-done
	upstream.Close()
	downstream.Close()
	<-done
	return nil
}

// join copies until either end closes. The error is the end of the session and
// has no one to go to.
func join(target io.Writer, source io.Reader, done chan<- struct{}) {
	_, _ = io.Copy(target, source)
	done <- struct{}{}
}

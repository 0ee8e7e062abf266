package frontend

import (
	"net/http"
	"strconv"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/httpcopy"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

// outcomeOf classifies a response that could not be relayed completely.
func outcomeOf(err *httpcopy.Error) routing.Outcome {
	if err.Side == httpcopy.Server {
		return routing.Unserved
	}
	return routing.Canceled
}

// relay streams a back end's response to the caller. It returns nil if the complete response was
// relayed.
func (a *attempter) relay(response *http.Response, backendID string, code resultcode.Code) *httpcopy.Error {
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

// copyBody copies the body. The response to an operation is read to its end even if the caller has
// disconnected, so that it can be recorded.
func (a *attempter) copyBody(response *http.Response) *httpcopy.Error {
	if a.record == nil {
		return httpcopy.Body(a.writer, response, nil)
	}
	return httpcopy.Body(a.writer, response, a.record.recordBody)
}

// relayUpgrade pipes data between the connections of the caller and the back end after a 101
// response, until either side closes.
func (a *attempter) relayUpgrade(response *http.Response) *httpcopy.Error {
	a.handler.upgraded.Add(1)
	defer a.handler.upgraded.Done()
	return httpcopy.Upgrade(a.writer, response, func() { a.recordAnswered(resultcode.Answered) })
}

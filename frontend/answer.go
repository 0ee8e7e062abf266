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
	if err := a.copyResponse(response); err != nil {
		return err
	}
	a.recordAnswered(code)
	return nil
}

func setCode(header http.Header, code resultcode.Code) {
	header.Set(resultcode.HeaderCode, strconv.Itoa(int(code)))
	header.Set(resultcode.HeaderRun, string(code.Info().Run))
}

// copyResponse passes the response on. The response to an operation is recorded, and read to its end
// even if the caller has disconnected.
func (a *attempter) copyResponse(response *http.Response) *httpcopy.Error {
	if a.record == nil {
		return httpcopy.Response(a.writer, response, nil)
	}
	a.record.recordHeader(response)
	return httpcopy.Response(a.writer, response, a.record.recordBody)
}

// relayUpgrade pipes data between the connections of the caller and the back end after a 101
// response, until either side closes.
func (a *attempter) relayUpgrade(response *http.Response) *httpcopy.Error {
	a.handler.upgraded.Add(1)
	defer a.handler.upgraded.Done()
	return httpcopy.Upgrade(a.writer, response, func() { a.recordAnswered(resultcode.Answered) })
}

package framing

import (
	"net/http"

	"github.com/juju/errors"
)

// ErrUnframed is the reason for rejecting a response whose end cannot be told from a connection that broke.
const ErrUnframed = errors.ConstError("response has neither Content-Length nor chunked encoding, so its end cannot be verified")

// EndsWithConnection reports whether the end of the body of a response is delimited only by the end of the connection.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed && BodyAllowed(response)
}

// BodyAllowed reports whether a response may have a body, by its status and the method of its request.
func BodyAllowed(response *http.Response) bool {
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return false
	}
	return response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified && response.StatusCode >= http.StatusOK
}

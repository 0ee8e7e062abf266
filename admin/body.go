package admin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/overload"
)

const (
	// maxRequestBytes bounds a request's body.
	maxRequestBytes = 4 << 20
	// requestMemory is the memory of a request while its body is decoded: the decoder's buffer may be twice as large as the
	// body.
	requestMemory = 2 * maxRequestBytes
	// bodyTimeout is the time for a request's body.
	bodyTimeout = 10 * time.Second
)

// errOverloaded is the error of a request for which there is no memory.
var errOverloaded = errors.New("no memory for the command at present")

// decodeBody decodes the body of a request strictly into target. It responds and returns false if it cannot. The function that
// it returns releases the memory of the request.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) (release func(), ok bool) {
	connection := overload.FromContext(r.Context())
	if !connection.Reserve(requestMemory) {
		writeError(w, http.StatusServiceUnavailable, ErrorUnavailable, errOverloaded)
		return func() {}, false
	}
	release = func() { connection.Release(requestMemory) }
	connection.SetPhase(overload.Receiving)
	defer connection.SetPhase(overload.Serving)
	// An error means that the connection has been closed.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	// A deadline that passes while the command is carried out would cancel it.
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		writeError(w, http.StatusBadRequest, ErrorInvalid, err)
		return release, false
	}
	return release, true
}

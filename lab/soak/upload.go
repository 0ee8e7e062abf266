package soak

import (
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// uploadPath is the beginning of the paths of requests with long bodies. Back ends respond before they read these.
	uploadPath  = "/unsafe/upload-"
	uploadBytes = 160 << 10
	uploadPiece = 8 << 10
	uploadPause = 2 * time.Millisecond
	// uploadBrokenOff is the number of bytes after which some callers leave.
	uploadBrokenOff = 96 << 10
)

func isUpload(path string) bool {
	return strings.HasPrefix(path, uploadPath)
}

// uploadWord returns eight bytes of an upload's body, which tell their offset.
func uploadWord(offset int) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(offset))
}

// uploadReader is the body of a request, which arrives in pieces.
type uploadReader struct {
	offset int
	length int
	leaves bool // the caller leaves instead of ending the body
}

// errCallerLeft ends a body that its caller does not send to its end.
var errCallerLeft = errors.New("the caller leaves")

// Read implements io.Reader.
func (u *uploadReader) Read(target []byte) (int, error) {
	if u.offset == u.length {
		if u.leaves {
			return 0, errCallerLeft
		}
		return 0, io.EOF
	}
	time.Sleep(uploadPause)
	n := 0
	for n+8 <= min(len(target), uploadPiece) && u.offset < u.length {
		n += copy(target[n:], uploadWord(u.offset))
		u.offset += 8
	}
	return n, nil
}

// sendUpload sends a request with a long body, with a declared length or in chunks.
func (c *callers) sendUpload(target *process, chunked, leaves bool) {
	id := c.nextID()
	path := uploadPath + id
	body := &uploadReader{length: uploadBytes, leaves: leaves}
	if leaves {
		body.length = uploadBrokenOff
	}
	request, err := newRequest(target, http.MethodPost, id, path, io.NopCloser(body))
	if err != nil {
		return
	}
	if !chunked {
		request.ContentLength = uploadBytes
	}
	c.fleet.report.recordSent(id, target.incarnationName(), true)
	// net/http's server does not discard the body on a connection that is closed after the request.
	response, responseBody, err := do(c.keepAliveClient, request)
	switch {
	case response == nil:
		c.fleet.report.count("upload without a response")
	case err != nil:
		c.fleet.report.count("upload whose response broke off")
	default:
		c.fleet.report.recordResponse(id, path, response, responseBody)
	}
}

// receiveUpload responds to a request with a long body, and then reads the body.
func (w *worker) receiveUpload(rw http.ResponseWriter, r *http.Request, id, answer string) {
	control := http.NewResponseController(rw)
	if control.EnableFullDuplex() != nil {
		return
	}
	if _, err := io.WriteString(rw, answer); err != nil || control.Flush() != nil {
		return
	}
	received, wrongAt, err := checkUpload(r.Body)
	w.report.recordUpload(w.id, id, received, wrongAt, err)
}

// checkUpload reads a body to its end, and returns its length and the offset of the first wrong byte; -1: there is none.
func checkUpload(body io.Reader) (received, wrongAt int, err error) {
	wrongAt = -1
	buffer := make([]byte, 4096)
	for {
		n, err := body.Read(buffer)
		for _, char := range buffer[:n] {
			if wrongAt < 0 && char != uploadWord(received &^ 7)[received&7] {
				wrongAt = received
			}
			received++
		}
		if err == io.EOF {
			return received, wrongAt, nil
		}
		if err != nil {
			return received, wrongAt, err
		}
	}
}

// recordUpload records what a back end received of a long body; err is nil if the body was ended as a whole one.
func (r *report) recordUpload(worker, id string, received, wrongAt int, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case wrongAt >= 0:
		r.addViolation("BODY: %s got other bytes of %s from offset %d on, %d received", worker, id, wrongAt, received)
	case err == nil && received != uploadBytes:
		r.addViolation("BODY: %s got a body of %s that ended as a whole one after %d of %d bytes", worker, id, received, uploadBytes)
	case err == nil:
		r.counts["whole upload"]++
	default:
		r.counts["upload that broke off"]++
	}
}

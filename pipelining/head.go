package pipelining

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// headScanner finds where the heads of requests end in a stream that comes in pieces.
// As net/http does, it takes a line feed with or without a carriage return before it
// for the end of a line. The zero value stands inside a line.
type headScanner struct {
	line lineState
}

// lineState is what has been seen of the present line.
type lineState int

const (
	someText       lineState = iota // more than a carriage return
	nothing                         // the line has just begun
	carriageReturn                  // only that
)

// end returns the length of data up to the end of the first empty line, or -1. What it
// was given up to there is taken as passed.
func (s *headScanner) end(data []byte) int {
	passed := 0
	for {
		rest := data[passed:]
		length := bytes.IndexByte(rest, '\n')
		if length < 0 {
			s.pass(rest)
			return -1
		}
		s.pass(rest[:length])
		passed += length + 1
		empty := s.line != someText
		s.line = nothing
		if empty {
			s.line = someText // the next head may not begin with an empty line
			return passed
		}
	}
}

// pass takes in a part of a line.
func (s *headScanner) pass(part []byte) {
	switch {
	case len(part) == 0:
	case s.line == nothing && len(part) == 1 && part[0] == '\r':
		s.line = carriageReturn
	default:
		s.line = someText
	}
}

// parse reads the head of a request. It returns nil for all that may not be started
// early whatever it asks for: what net/http refuses or closes the connection for, and
// what has a body or changes the protocol.
func parse(head []byte) *http.Request {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || request.ProtoMajor != 1 || request.ProtoMinor != 1 || !bodyless(request) {
		return nil
	}
	if !strings.HasPrefix(request.RequestURI, "/") || request.Host == "" || !httpguts.ValidHostHeader(request.Host) {
		return nil
	}
	for name, values := range request.Header {
		if changesConnection[name] || !validField(name, values) {
			return nil
		}
	}
	request.Body = http.NoBody
	return request
}

// changesConnection are the headers that ask for more than an answer.
var changesConnection = map[string]bool{"Upgrade": true, "Expect": true, "Trailer": true, "Http2-Settings": true}

// validField checks what net/http's server checks beyond http.ReadRequest.
func validField(name string, values []string) bool {
	if !httpguts.ValidHeaderFieldName(name) {
		return false
	}
	return !slices.ContainsFunc(values, func(value string) bool { return !httpguts.ValidHeaderFieldValue(value) })
}

// bodyless says whether nothing of a request follows its head.
func bodyless(request *http.Request) bool {
	return request.ContentLength == 0 && len(request.TransferEncoding) == 0
}

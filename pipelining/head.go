package pipelining

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// headScanner finds the ends of request heads in a stream that is read in pieces. Like
// net/http, it accepts a line feed with or without a preceding carriage return as the end
// of a line. The zero value is positioned inside a line.
type headScanner struct {
	line lineState
}

// lineState is what the current line consists of so far.
type lineState int

const (
	lineText  lineState = iota // more than a carriage return
	lineEmpty                  // nothing
	lineCR                     // a carriage return
)

// end returns the length of data up to the end of the first empty line, or -1 if there is
// none. It consumes data up to there.
func (s *headScanner) end(data []byte) int {
	consumed := 0
	for {
		rest := data[consumed:]
		length := bytes.IndexByte(rest, '\n')
		if length < 0 {
			s.advance(rest)
			return -1
		}
		s.advance(rest[:length])
		consumed += length + 1
		empty := s.line != lineText
		s.line = lineEmpty
		if empty {
			s.line = lineText // the next head may not begin with an empty line
			return consumed
		}
	}
}

// advance consumes a part of a line.
func (s *headScanner) advance(part []byte) {
	switch {
	case len(part) == 0:
	case s.line == lineEmpty && len(part) == 1 && part[0] == '\r':
		s.line = lineCR
	default:
		s.line = lineText
	}
}

// parseHead parses the head of a request. It returns nil for each request that may not be
// started early whatever its method and target are: one that net/http rejects or closes the
// connection for, or that has a body or changes the protocol.
func parseHead(head []byte) *http.Request {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || request.ProtoMajor != 1 || request.ProtoMinor != 1 || !hasNoBody(request) {
		return nil
	}
	if !strings.HasPrefix(request.RequestURI, "/") || request.Host == "" || !httpguts.ValidHostHeader(request.Host) {
		return nil
	}
	for name, values := range request.Header {
		if unsupportedHeaders[name] || !validField(name, values) {
			return nil
		}
	}
	request.Body = http.NoBody
	return request
}

// unsupportedHeaders are the headers that ask for more than a response.
var unsupportedHeaders = map[string]bool{"Upgrade": true, "Expect": true, "Trailer": true, "Http2-Settings": true}

// validField checks what net/http's server checks beyond http.ReadRequest.
func validField(name string, values []string) bool {
	if !httpguts.ValidHeaderFieldName(name) {
		return false
	}
	return !slices.ContainsFunc(values, func(value string) bool { return !httpguts.ValidHeaderFieldValue(value) })
}

// hasNoBody reports whether the request ends with its head.
func hasNoBody(request *http.Request) bool {
	return request.ContentLength == 0 && len(request.TransferEncoding) == 0
}

// Package framing rejects heads of HTTP/1 messages that another server might parse
// differently from net/http.
//
// net/http accepts several things that RFC 9112 lets a recipient reject: lines that end
// with a line feed alone, headers that are continued on the next line, messages with
// both a Content-Length and a Transfer-Encoding, and in responses names of headers that hold
// spaces and statuses below 100. A proxy in front of the load balancer or a
// back end behind it may determine another end of such a message and take the bytes that
// follow for a separate request (request smuggling). This package does not parse messages:
// net/http does. It rejects messages that would otherwise be served, and tells which responses have an end that
// cannot be verified.
package framing

import (
	"bytes"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// The reasons for rejecting a head.
const (
	ErrBareLF                    = errors.ConstError("a line of the head ends with a line feed alone")
	ErrBareCR                    = errors.ConstError("a carriage return stands within a line of the head")
	ErrLineFolding               = errors.ConstError("a header is continued on the next line")
	ErrLengthAndTransferEncoding = errors.ConstError("the message has both a Content-Length and a Transfer-Encoding")
	ErrTransferEncodingVersion   = errors.ConstError("the message has a Transfer-Encoding, and is not of HTTP/1.1")
	ErrSpaceBeforeColon          = errors.ConstError("a header's name ends with a space")
	ErrVersion                   = errors.ConstError("the version of the response is not HTTP/1.x")
	ErrStatus                    = errors.ConstError("the status is not a number from 100 to 999")
	ErrFieldName                 = errors.ConstError("the name of a header is not a token")
	ErrFoldedField               = errors.ConstError("a line that begins with a space or tab holds a colon, and may be a header")
)

// Names of the headers that determine the end of a message, in lower case.
const (
	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
)

// CheckRequest returns why a request must be rejected because of its head; nil: it may be
// served. The head begins with the request line and ends with an empty line.
func CheckRequest(head []byte) error {
	var requestLine []byte
	var delimiters bodyDelimiters
	for rest := head; len(rest) > 0; {
		line, after, ended := bytes.Cut(rest, []byte{'\n'})
		rest = after
		switch {
		case !ended || len(line) == 0 || line[len(line)-1] != '\r':
			return ErrBareLF
		case bytes.IndexByte(line[:len(line)-1], '\r') >= 0:
			return ErrBareCR
		case requestLine == nil:
			requestLine = line
			continue
		case line[0] == ' ' || line[0] == '\t':
			return ErrLineFolding
		}
		name, _, _ := bytes.Cut(line, []byte{':'})
		if trimmed := bytes.TrimRight(name, " \t"); len(trimmed) < len(name) {
			return ErrSpaceBeforeColon
		}
		delimiters.add(name)
	}
	return delimiters.check(bytes.HasSuffix(requestLine, []byte(" HTTP/1.1\r")))
}

// bodyDelimiters tells which headers of a message determine the end of its body.
type bodyDelimiters struct {
	length, transferEncoding bool
}

// add notes the name of a header.
func (d *bodyDelimiters) add(name []byte) {
	d.length = d.length || nameEquals(name, contentLength)
	d.transferEncoding = d.transferEncoding || nameEquals(name, transferEncoding)
}

// check returns why the end of the body is ambiguous; nil: it is not. hasChunks tells that the version of the message has a
// Transfer-Encoding.
func (d bodyDelimiters) check(hasChunks bool) error {
	switch {
	case d.length && d.transferEncoding:
		return ErrLengthAndTransferEncoding
	case d.transferEncoding && !hasChunks:
		return ErrTransferEncodingVersion
	}
	return nil
}

// CheckResponse returns why a response must not be forwarded; nil: it may be. data is what was
// read of it: it may begin with heads of interim responses and end with a part of the body.
//
// Lines that end with a line feed alone, and headers that are continued on the next line, are
// accepted: old servers send both, RFC 9112 lets a recipient accept them, and net/http forwards
// them in the usual form.
func CheckResponse(data []byte) error {
	for {
		head, after, _ := cutHead(data)
		if err := checkResponseHead(head); err != nil {
			return err
		}
		if !isInterim(head) {
			return nil
		}
		data = after
	}
}

func checkResponseHead(head []byte) error {
	statusLine, fields, _ := bytes.Cut(head, []byte{'\n'})
	if err := checkStatusLine(bytes.TrimSuffix(statusLine, []byte{'\r'})); err != nil {
		return err
	}
	var delimiters bodyDelimiters
	for line := range bytes.Lines(fields) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
		name, _, hasColon := bytes.Cut(line, []byte{':'})
		switch {
		case bytes.IndexByte(line, '\r') >= 0:
			return ErrBareCR
		case hasColon && (line[0] == ' ' || line[0] == '\t'):
			return ErrFoldedField
		case !hasColon: // net/http rejects it unless it continues the line before
			continue
		case !httpguts.ValidHeaderFieldName(string(name)):
			return ErrFieldName
		}
		delimiters.add(name)
	}
	return delimiters.check(!bytes.HasPrefix(statusLine, []byte("HTTP/1.0 ")))
}

// checkStatusLine is stricter than net/http, which accepts other versions, numbers below 100 and signs.
func checkStatusLine(line []byte) error {
	version, _, _ := bytes.Cut(line, []byte{' '})
	minor, isHTTP1 := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !isHTTP1 || len(minor) != 1 || len(leadingDigits(minor)) != 1 {
		return ErrVersion
	}
	status := statusOf(line)
	if len(status) != 3 || status[0] == '0' {
		return ErrStatus
	}
	return nil
}

// statusOf returns the status that a status line begins with, after the version. Like net/http, it skips spaces.
func statusOf(line []byte) []byte {
	_, rest, _ := bytes.Cut(line, []byte{' '})
	return leadingDigits(bytes.TrimLeft(rest, " "))
}

func leadingDigits(text []byte) []byte {
	return text[:len(text)-len(bytes.TrimLeft(text, "0123456789"))]
}

// HeadLength returns the length of the head of a response, including the heads of interim
// responses before it, and false if the head is incomplete. data is what was read of the
// response.
func HeadLength(data []byte) (int, bool) {
	for rest := data; ; {
		head, after, ended := cutHead(rest)
		if !ended {
			return 0, false
		}
		rest = after
		if !isInterim(head) {
			return len(data) - len(after), true
		}
	}
}

// cutHead splits data at its first empty line; ended reports whether there is one.
func cutHead(data []byte) (head, after []byte, ended bool) {
	for offset := 0; ; {
		length := bytes.IndexByte(data[offset:], '\n')
		if length < 0 {
			return data, nil, false
		}
		if line := bytes.TrimRight(data[offset:offset+length], "\r"); len(line) == 0 {
			return data[:offset], data[offset+length+1:], true
		}
		offset += length + 1
	}
}

// isInterim reports whether the head is that of an interim response (1xx). Another response follows, but not after 101.
func isInterim(head []byte) bool {
	status := statusOf(head)
	return len(status) == 3 && status[0] == '1' && !bytes.Equal(status, []byte("101"))
}

// nameEquals reports whether a header name equals want, which is in lower case, ignoring case.
func nameEquals(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

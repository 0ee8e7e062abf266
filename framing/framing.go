// Package framing refuses heads of HTTP/1 messages that another server might read
// otherwise than net/http does.
//
// net/http accepts several things that RFC 9112 lets a recipient refuse: lines that end
// with a line feed alone, headers that are continued on the next line, and a message with
// both a Content-Length and a Transfer-Encoding. Whoever stands before or behind the load
// balancer may take such a message for one that ends elsewhere, and what follows for a
// request of its own (request smuggling). Nothing is parsed here: net/http does that. What
// is refused would else be served.
package framing

import (
	"bytes"

	"github.com/juju/errors"
)

// The reasons for which a head is refused.
const (
	ErrBareLF                    = errors.ConstError("a line of the head ends with a line feed alone")
	ErrBareCR                    = errors.ConstError("a carriage return stands within a line of the head")
	ErrLineFolding               = errors.ConstError("a header is continued on the next line")
	ErrLengthAndTransferEncoding = errors.ConstError("the message has both a Content-Length and a Transfer-Encoding")
	ErrTransferEncodingVersion   = errors.ConstError("the message has a Transfer-Encoding, and is not of HTTP/1.1")
	ErrSpaceBeforeColon          = errors.ConstError("a header's name ends with a space")
)

// Names of the headers that say where a message ends.
const (
	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
)

// CheckRequest says why the head of a request must not be served; nil: it may be. The head
// begins with its first line and ends with an empty one.
func CheckRequest(head []byte) error {
	var first []byte
	lengths, transfers := false, false
	for rest := head; len(rest) > 0; {
		line, after, ended := bytes.Cut(rest, []byte{'\n'})
		rest = after
		switch {
		case !ended || len(line) == 0 || line[len(line)-1] != '\r':
			return ErrBareLF
		case bytes.IndexByte(line[:len(line)-1], '\r') >= 0:
			return ErrBareCR
		case first == nil:
			first = line
			continue
		case line[0] == ' ' || line[0] == '\t':
			return ErrLineFolding
		}
		name, _, _ := bytes.Cut(line, []byte{':'})
		if trimmed := bytes.TrimRight(name, " \t"); len(trimmed) < len(name) {
			return ErrSpaceBeforeColon
		}
		lengths = lengths || is(name, contentLength)
		transfers = transfers || is(name, transferEncoding)
	}
	switch {
	case lengths && transfers:
		return ErrLengthAndTransferEncoding
	case transfers && !bytes.HasSuffix(first, []byte(" HTTP/1.1\r")):
		return ErrTransferEncodingVersion
	}
	return nil
}

// CheckResponse says why an answer must not be passed on; nil: it may be. What was read of it
// may hold heads of interim answers before its own, and a part of its body.
func CheckResponse(read []byte) error {
	for {
		head, after, ended := cutHead(read)
		if ended && isInterim(head) {
			read = after
			continue
		}
		if hasHeader(head, contentLength) && hasHeader(head, transferEncoding) {
			return ErrLengthAndTransferEncoding
		}
		return nil
	}
}

// HeadLength returns how many bytes of what was read of an answer belong to its head and to
// those of interim answers before it, and false while the head is not whole.
func HeadLength(read []byte) (int, bool) {
	for rest := read; ; {
		head, after, ended := cutHead(rest)
		if !ended {
			return 0, false
		}
		rest = after
		if !isInterim(head) {
			return len(read) - len(after), true
		}
	}
}

// cutHead cuts what was read after its first empty line.
func cutHead(read []byte) (head, after []byte, ended bool) {
	for at := 0; ; {
		length := bytes.IndexByte(read[at:], '\n')
		if length < 0 {
			return read, nil, false
		}
		if line := bytes.TrimRight(read[at:at+length], "\r"); len(line) == 0 {
			return read[:at], read[at+length+1:], true
		}
		at += length + 1
	}
}

// isInterim says whether the head is one of the answers (1xx) that come before the answer.
func isInterim(head []byte) bool {
	_, status, found := bytes.Cut(head, []byte{' '})
	return found && len(status) > 0 && status[0] == '1'
}

func hasHeader(head []byte, wanted string) bool {
	for line := range bytes.Lines(head) {
		if name, _, found := bytes.Cut(line, []byte{':'}); found && is(name, wanted) {
			return true
		}
	}
	return false
}

// is says whether a header's name is the wanted one, which is in lower case.
func is(name []byte, wanted string) bool {
	return len(name) == len(wanted) && bytes.EqualFold(name, []byte(wanted))
}

package abuse

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tuliphall/tuliphall/wait"
)

// Sizes of what clients send.
const (
	// bufferedBody is the size of the largest body that a daemon holds to send it again.
	bufferedBody = 64 << 10
	largeBody    = 8 << 20
	hugeBody     = 1 << 30
	// headBytes is the size of a head just inside the limit on heads.
	headBytes     = maxHeaderBytes - 100
	slowInterval  = 200 * time.Millisecond
	pieceInterval = 20 * time.Millisecond
	pieceBytes    = 600
	// longResponse is larger than what a daemon holds of a response.
	longResponse = 540_000
)

var filler = []byte(strings.Repeat("x", largeBody))

func contentLength(size int) string {
	return "Content-Length: " + strconv.Itoa(size)
}

const chunkedEncoding = "Transfer-Encoding: chunked"

// manyFields returns header lines of very short fields with different names that make a head this long.
func manyFields(bytes int) string {
	var text strings.Builder
	for number := 0; text.Len() < bytes; number++ {
		fmt.Fprintf(&text, "%s:\r\n", strconv.FormatInt(int64(36*36*10+number), 36))
	}
	return text.String()
}

// Kinds are the kinds of client that speak HTTP/1.1. Where a client opens a new connection late, its requests are ordinary ones,
// and stay below the capacity of the back ends.
var Kinds = []Kind{
	{Name: "bodies in one piece", Connections: 400, play: func(c *client) error { return c.sendBodies(bufferedBody, bufferedBody, 0) }},
	{Name: "large bodies in one piece", Connections: 64, play: func(c *client) error { return c.sendBodies(largeBody, largeBody, 0) }},
	{Name: "bodies in small pieces", Connections: 1500, play: func(c *client) error { return c.sendBodies(60_000, pieceBytes, pieceInterval) }},
	{Name: "bodies in chunks", Connections: 300, play: func(c *client) error { return c.sendChunks(largeBody/4, 1024) }},
	{Name: "bodies in chunks of a byte", Connections: 100, play: func(c *client) error { return c.sendChunks(1<<20, 1) }},
	{Name: "declared body over the limit", Connections: 200, play: func(c *client) error { return c.sendBodies(hugeBody, len(filler), 0) }},
	{Name: "chunked body over the limit", Connections: 16, play: func(c *client) error { return c.sendChunks(hugeBody, 64<<10) }},
	{Name: "half of a body", Connections: 3000, play: func(c *client) error { return c.sendHalf(60_000, 30_000) }},
	{Name: "half of a large body", Connections: 200, play: func(c *client) error { return c.sendHalf(largeBody, largeBody/4) }},
	{Name: "half of a body in chunks", Connections: 400, play: (*client).sendHalfChunked},
	{Name: "body announced but not sent", Connections: 3000, play: func(c *client) error { return c.sendHalf(bufferedBody, 0, "Expect: 100-continue") }},
	{Name: "many short fields", Connections: 1000, play: (*client).sendManyFields},
	{Name: "many short fields unfinished", Connections: 3000, play: (*client).sendUnfinishedHead},
	{Name: "many short fields after an upgrade", Connections: 100, reconnectDelay: time.Second, play: (*client).sendManyFieldsAfterUpgrade},
	{Name: "requests ahead", Connections: 300, play: (*client).sendAhead},
	{Name: "requests ahead with many fields", Connections: 300, play: (*client).sendAheadManyFields},
	{Name: "slow heads", Connections: 3000, play: (*client).sendSlowHead},
	{Name: "silent connections", Connections: 6000, play: (*client).hold},
	{Name: "idle connections", Connections: 6000, connectInterval: time.Millisecond, reconnectDelay: 2 * time.Second, play: (*client).sendOnceAndHold},
	{Name: "idle connections after a large head", Connections: 3000, play: (*client).sendManyFieldsAndHold},
	{Name: "responses not read", Connections: 400, play: func(c *client) error { return c.ignoreResponse(longResponse) }},
	{Name: "responses read slowly", Connections: 400, play: (*client).readSlowly},
}

// LongResponseKinds are the kinds of client that occupy back ends with responses of which a daemon holds only a part.
var LongResponseKinds = []Kind{
	{Name: "long responses not read", Connections: 400, play: func(c *client) error { return c.ignoreResponse(largeBody) }},
	{Name: "http2 long responses not taken", Connections: 100, play: func(c *client) error {
		return c.playHTTP2(noWindow, func(c *http2Client) error { return c.ignoreResponses(largeBody) })
	}},
}

// OperatorKinds are the kinds of client that send commands to the operators' address.
var OperatorKinds = []Kind{
	{Name: "large commands", Connections: 400, play: (*client).sendLargeCommand},
}

// commandBytes is the size of the largest command, and sentBytes what is sent of it: just more than half of it, so that the
// decoder provides a buffer for all of it.
const (
	commandBytes = 4 << 20
	sentBytes    = commandBytes/2 + 100_000
)

// sendLargeCommand sends a command that is held until its end, which does not come.
func (c *client) sendLargeCommand() error {
	const begin = `{"edit":{"id":"`
	head, id := c.head(http.MethodPost, "", contentLength(commandBytes))
	if err := c.send([]byte(head + "\r\n" + begin)); err != nil {
		return err
	}
	if err := c.send(filler[:sentBytes]); err != nil {
		return err
	}
	return c.holdUntilClosed(http.MethodPost, id)
}

// sendBodies sends requests with bodies of a size in pieces, and reads the responses.
func (c *client) sendBodies(size, piece int, pause time.Duration) error {
	for {
		head, id := c.head(http.MethodPost, "", contentLength(size))
		if err := c.send([]byte(head + "\r\n")); err != nil {
			return err
		}
		for sent := 0; sent < size; sent += piece {
			if err := c.send(filler[:min(piece, size-sent)]); err != nil {
				return c.readResponse(http.MethodPost, id)
			}
			if !wait.Sleep(c.ctx, pause) {
				return c.ctx.Err()
			}
		}
		if err := c.readResponse(http.MethodPost, id); err != nil {
			return err
		}
	}
}

// sendChunks sends requests with bodies in chunks, and reads the responses.
func (c *client) sendChunks(size, chunk int) error {
	const batchBytes = 64 << 10
	framed := fmt.Sprintf("%x\r\n%s\r\n", chunk, filler[:chunk])
	batch := []byte(strings.Repeat(framed, max(1, batchBytes/len(framed))))
	for {
		head, id := c.head(http.MethodPost, "", chunkedEncoding)
		if err := c.send([]byte(head + "\r\n")); err != nil {
			return err
		}
		for sent := 0; sent < size; sent += len(batch) / len(framed) * chunk {
			if err := c.send(batch); err != nil {
				return c.readResponse(http.MethodPost, id)
			}
		}
		if err := c.send([]byte("0\r\n\r\n")); err != nil {
			return err
		}
		if err := c.readResponse(http.MethodPost, id); err != nil {
			return err
		}
	}
}

// sendHalf sends a part of a body, and waits.
func (c *client) sendHalf(size, part int, lines ...string) error {
	head, id := c.head(http.MethodPost, "", append(lines, contentLength(size))...)
	if err := c.send([]byte(head + "\r\n")); err != nil {
		return err
	}
	for sent := 0; sent < part; sent += len(filler) {
		if err := c.send(filler[:min(len(filler), part-sent)]); err != nil {
			return err
		}
	}
	return c.holdUntilClosed(http.MethodPost, id)
}

func (c *client) sendHalfChunked() error {
	const size = 900_000
	head, id := c.head(http.MethodPost, "", chunkedEncoding)
	if err := c.send([]byte(head + "\r\n" + fmt.Sprintf("%x\r\n", size))); err != nil {
		return err
	}
	if err := c.send(filler[:size]); err != nil {
		return err
	}
	return c.holdUntilClosed(http.MethodPost, id)
}

var fields = manyFields(headBytes - 200)

func (c *client) sendManyFields() error {
	for {
		head, id := c.head(http.MethodGet, "")
		if err := c.send([]byte(head + fields + "\r\n")); err != nil {
			return err
		}
		if err := c.readResponse(http.MethodGet, id); err != nil {
			return err
		}
	}
}

func (c *client) sendUnfinishedHead() error {
	head, id := c.head(http.MethodGet, "")
	if err := c.send([]byte(head + fields)); err != nil {
		return err
	}
	return c.holdUntilClosed(http.MethodGet, id)
}

// hugeFields are more than any limit on heads that may be declared.
var hugeFields = manyFields(1 << 20)

// sendManyFieldsAfterUpgrade asks for another protocol with a body, and then sends a head above the limit.
func (c *client) sendManyFieldsAfterUpgrade() error {
	head, id := c.head(http.MethodPost, "", "Upgrade: other", contentLength(1))
	if err := c.send([]byte(head + "\r\nx")); err != nil {
		return err
	}
	if err := c.readResponse(http.MethodPost, id); err != nil {
		return err
	}
	head, id = c.head(http.MethodGet, "")
	if err := c.send([]byte(head + hugeFields)); err != nil {
		return err
	}
	return c.holdUntilClosed(http.MethodGet, id)
}

// sendAhead sends requests without an end and reads no response.
func (c *client) sendAhead() error { return c.repeat(50, "") }

func (c *client) sendAheadManyFields() error { return c.repeat(1, fields) }

// repeat sends the same requests again and again. They are built once, so that clients leave processor time to ordinary callers.
func (c *client) repeat(requests int, lines string) error {
	var batch bytes.Buffer
	for range requests {
		head, _ := c.head(http.MethodGet, "")
		batch.WriteString(head + lines + "\r\n")
	}
	for {
		if err := c.send(batch.Bytes()); err != nil {
			return err
		}
	}
}

func (c *client) sendSlowHead() error {
	head, id := c.head(http.MethodGet, "")
	for _, char := range []byte(head) {
		if err := c.send([]byte{char}); err != nil {
			return err
		}
		if !wait.Sleep(c.ctx, slowInterval) {
			return c.ctx.Err()
		}
	}
	return c.holdUntilClosed(http.MethodGet, id)
}

func (c *client) sendOnceAndHold() error {
	head, id := c.head(http.MethodGet, "")
	if err := c.send([]byte(head + "\r\n")); err != nil {
		return err
	}
	return c.holdUntilClosed(http.MethodGet, id)
}

func (c *client) sendManyFieldsAndHold() error {
	head, id := c.head(http.MethodGet, "")
	if err := c.send([]byte(head + fields + "\r\n")); err != nil {
		return err
	}
	return c.holdUntilClosed(http.MethodGet, id)
}

func (c *client) askForResponse(bytes int) error {
	head, _ := c.head(http.MethodGet, "?"+paramBytes+"="+strconv.Itoa(bytes))
	return c.send([]byte(head + "\r\n"))
}

func (c *client) ignoreResponse(bytes int) error {
	if err := c.askForResponse(bytes); err != nil {
		return err
	}
	return c.hold()
}

// readSlowly reads responses at 5 KB a second.
func (c *client) readSlowly() error {
	if err := c.askForResponse(longResponse); err != nil {
		return err
	}
	buffer := make([]byte, 1000)
	for {
		if _, err := c.Read(buffer); err != nil {
			return err
		}
		if !wait.Sleep(c.ctx, slowInterval) {
			return c.ctx.Err()
		}
	}
}

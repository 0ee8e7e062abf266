package abuse

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// HTTP2Kinds are the kinds of client that speak HTTP/2.
var HTTP2Kinds = []Kind{
	{Name: "http2 many short fields", Connections: 100, play: func(c *client) error { return c.playHTTP2(nil, (*http2Client).sendManyFields) }},
	{Name: "http2 unfinished heads", Connections: 100, play: func(c *client) error { return c.playHTTP2(nil, (*http2Client).sendUnfinishedHead) }},
	{Name: "http2 half of a body", Connections: 400, play: func(c *client) error { return c.playHTTP2(nil, (*http2Client).sendHalf) }},
	{Name: "http2 responses not taken", Connections: 100, play: func(c *client) error {
		return c.playHTTP2(noWindow, func(c *http2Client) error { return c.ignoreResponses(longResponse) })
	}},
	{Name: "http2 streams opened and reset", Connections: 100, play: func(c *client) error { return c.playHTTP2(nil, (*http2Client).reset) }},
	{Name: "http2 pings not read", Connections: 100, play: func(c *client) error { return c.playHTTP2(nil, (*http2Client).ping) }},
	{Name: "http2 settings not read", Connections: 100, play: func(c *client) error { return c.playHTTP2(nil, (*http2Client).changeSettings) }},
}

// HTTP2CrowdKinds are the kinds of client that open as many connections of HTTP/2 as they can, with a request each.
var HTTP2CrowdKinds = []Kind{
	{Name: "http2 one response not taken", Connections: 3000, connectInterval: time.Millisecond, reconnectDelay: 2 * time.Second, play: func(c *client) error {
		return c.playHTTP2(noWindow, (*http2Client).ignoreResponse)
	}},
	{Name: "http2 idle connections", Connections: 3000, connectInterval: time.Millisecond, reconnectDelay: 2 * time.Second, play: func(c *client) error {
		return c.playHTTP2(nil, (*http2Client).sendOnceAndHold)
	}},
}

// noWindow are the settings of a client that takes nothing of its responses.
var noWindow = []http2.Setting{{ID: http2.SettingInitialWindowSize, Val: 0}}

// maxStreams is how many streams a client has open at the same time.
const maxStreams = 100

// http2Client is a client on a connection of HTTP/2.
type http2Client struct {
	*client
	framer  *http2.Framer
	written *bufio.Writer // of the framer: a write for each frame would take the processor from ordinary callers
	encoded bytes.Buffer
	encoder *hpack.Encoder
	ended   chan struct{} // a stream has ended
}

// Write sends frames. It keeps the bounds of the crowd.
func (c *http2Client) Write(data []byte) (int, error) {
	return len(data), c.send(data)
}

// playHTTP2 begins a connection of HTTP/2, reads what the daemon sends and plays a client.
func (c *client) playHTTP2(settings []http2.Setting, play func(*http2Client) error) error {
	h := &http2Client{client: c, ended: make(chan struct{}, maxStreams)}
	h.encoder = hpack.NewEncoder(&h.encoded)
	h.written = bufio.NewWriter(h)
	h.framer = http2.NewFramer(h.written, c.Conn)
	if err := c.send([]byte(http2.ClientPreface)); err != nil {
		return err
	}
	if err := h.framer.WriteSettings(settings...); err != nil {
		return err
	}
	return play(h)
}

// readFrames reads until the connection ends, and notes each stream that ended.
func (c *http2Client) readFrames() {
	reader := http2.NewFramer(io.Discard, c.Conn)
	for {
		frame, err := reader.ReadFrame()
		if err != nil {
			c.Close()
			return
		}
		_, isReset := frame.(*http2.RSTStreamFrame)
		if isReset || frame.Header().Flags.Has(http2.FlagDataEndStream) && frame.Header().Type != http2.FrameSettings {
			select {
			case c.ended <- struct{}{}:
			default:
			}
		}
	}
}

// head returns the encoded head of a request with some more fields.
func (c *http2Client) head(method, query string, more []hpack.HeaderField) []byte {
	return c.encode(append(c.fields(method, query), more...))
}

// fields returns the fields of a new request.
func (c *http2Client) fields(method, query string) []hpack.HeaderField {
	id := c.crowd.journal.nextID(true)
	return []hpack.HeaderField{
		{Name: ":method", Value: method}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: host}, {Name: ":path", Value: c.crowd.path + id + query},
		{Name: "request-id", Value: id},
	}
}

func (c *http2Client) encode(fields []hpack.HeaderField) []byte {
	c.encoded.Reset()
	for _, field := range fields {
		// Writing to memory does not fail.
		_ = c.encoder.WriteField(field)
	}
	return bytes.Clone(c.encoded.Bytes())
}

// maxFrame is the size of the largest frame that a peer must accept.
const maxFrame = 16 << 10

// writeHead sends a head in as many frames as it takes.
func (c *http2Client) writeHead(stream uint32, block []byte, endStream, endHeaders bool) error {
	part := block[:min(len(block), maxFrame)]
	block = block[len(part):]
	if err := c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: part, EndStream: endStream, EndHeaders: endHeaders && len(block) == 0}); err != nil {
		return err
	}
	for len(block) > 0 {
		part, block = block[:min(len(block), maxFrame)], block[min(len(block), maxFrame):]
		if err := c.framer.WriteContinuation(stream, endHeaders && len(block) == 0, part); err != nil {
			return err
		}
	}
	return nil
}

// repeatedFields are fields that take a byte each once they are in the table of the connection.
func repeatedFields(bytes int) []hpack.HeaderField {
	const fieldOverhead = 32
	fields := make([]hpack.HeaderField, 0, bytes)
	for number := 0; bytes > 0; number++ {
		name := "x-" + strconv.Itoa(number%50)
		fields = append(fields, hpack.HeaderField{Name: name})
		bytes -= len(name) + fieldOverhead
	}
	return fields
}

// sendManyFields keeps maxStreams requests with as many fields as the limit on heads allows in progress. All have the same head.
func (c *http2Client) sendManyFields() error {
	go c.readFrames()
	fields := append(c.fields(http.MethodGet, ""), repeatedFields(maxHeaderBytes-500)...)
	head := c.encode(fields)
	for stream, open := uint32(1), 0; ; stream += 2 {
		for ; open == maxStreams; open-- {
			if err := c.written.Flush(); err != nil {
				return err
			}
			select {
			case <-c.ended:
			case <-c.ctx.Done():
				return c.ctx.Err()
			}
		}
		if err := c.writeHead(stream, head, true, true); err != nil {
			return err
		}
		if open++; stream == 1 {
			head = c.encode(fields)
		}
	}
}

// sendUnfinishedHead sends a head without an end.
func (c *http2Client) sendUnfinishedHead() error {
	go c.readFrames()
	const field = "x-field"
	block := c.head(http.MethodGet, "", []hpack.HeaderField{{Name: field}})
	if err := c.writeHead(1, block, true, false); err != nil {
		return err
	}
	// The field is in the table of the connection now, so that it takes one byte.
	again := c.head(http.MethodGet, "", []hpack.HeaderField{{Name: field}})
	fields := bytes.Repeat(again[len(again)-1:], maxFrame)
	for {
		if err := c.framer.WriteContinuation(1, false, fields); err != nil {
			return err
		}
	}
}

// sendHalf sends as much of bodies as the windows allow, and waits.
func (c *http2Client) sendHalf() error {
	go c.readFrames()
	for stream := uint32(1); stream < 2*maxStreams; stream += 2 {
		length := []hpack.HeaderField{{Name: "content-length", Value: strconv.Itoa(largeBody)}}
		if err := c.writeHead(stream, c.head(http.MethodPost, "", length), false, true); err != nil {
			return err
		}
		if stream < 2*6 { // the window of a connection is one of 64 KiB, and is raised by a server
			for range 4 {
				if err := c.framer.WriteData(stream, false, filler[:maxFrame-1]); err != nil {
					return err
				}
			}
		}
	}
	return c.flushAndHold()
}

// flushAndHold keeps the connection open once all frames are sent.
func (c *http2Client) flushAndHold() error {
	if err := c.written.Flush(); err != nil {
		return err
	}
	return c.hold()
}

// sendOnceAndHold sends a request, and keeps the connection.
func (c *http2Client) sendOnceAndHold() error {
	go c.readFrames()
	if err := c.writeHead(1, c.head(http.MethodGet, "", nil), true, true); err != nil {
		return err
	}
	return c.flushAndHold()
}

// ignoreResponse asks for one response and takes nothing of it.
func (c *http2Client) ignoreResponse() error {
	go c.readFrames()
	if err := c.writeHead(1, c.head(http.MethodGet, "?"+paramBytes+"="+strconv.Itoa(longResponse), nil), true, true); err != nil {
		return err
	}
	return c.flushAndHold()
}

// ignoreResponses asks for responses and takes nothing of them.
func (c *http2Client) ignoreResponses(bytes int) error {
	go c.readFrames()
	for stream := uint32(1); stream < 2*maxStreams; stream += 2 {
		if err := c.writeHead(stream, c.head(http.MethodGet, "?"+paramBytes+"="+strconv.Itoa(bytes), nil), true, true); err != nil {
			return err
		}
	}
	return c.flushAndHold()
}

// reset opens streams and resets them at once. All have the same head, which takes a few bytes once it is in the table of the
// connection.
func (c *http2Client) reset() error {
	go c.readFrames()
	fields := c.fields(http.MethodGet, "")
	head := c.encode(fields)
	for stream := uint32(1); ; stream += 2 {
		if err := c.writeHead(stream, head, true, true); err != nil {
			return err
		}
		if err := c.framer.WriteRSTStream(stream, http2.ErrCodeCancel); err != nil {
			return err
		}
		if stream == 1 {
			head = c.encode(fields)
		}
	}
}

// ping sends pings and does not read the responses.
func (c *http2Client) ping() error {
	for {
		if err := c.framer.WritePing(false, [8]byte{1}); err != nil {
			return err
		}
	}
}

// changeSettings sends settings and does not read that they are acknowledged.
func (c *http2Client) changeSettings() error {
	for number := uint32(0); ; number++ {
		if err := c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1<<16 + number%1000}); err != nil {
			return err
		}
	}
}

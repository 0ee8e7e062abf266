package requestlimits

import "time"

// Tracker follows the requests of one HTTP/1.1 connection, from the bytes that the server takes of them. The zero value
// is positioned at the beginning of a connection.
type Tracker struct {
	position  position
	headBytes int // taken of the head
	// started is when the first byte of the head was taken; zero: none was.
	started time.Time
	// waiting is since when the server waits for a head; zero: it does not.
	waiting  time.Time
	requests bool // a request was begun on the connection
	body     bodyScanner
}

// position is what the next byte of a connection belongs to.
type position int

const (
	inHead position = iota
	afterHead
	inBody
)

// InHead reports whether a head is awaited that has not ended yet, or whether the connection is idle.
func (t *Tracker) InHead() bool {
	return t.position == inHead
}

// AtHead reports whether the next byte belongs to a head.
func (t *Tracker) AtHead() bool {
	return t.position != inBody
}

// Idle reports whether no byte of a head has been taken since the last request.
func (t *Tracker) Idle() bool {
	return t.position == inHead && t.headBytes == 0
}

// Await notes that the server waits for bytes of a head from now on.
func (t *Tracker) Await(now time.Time) {
	if t.position == afterHead {
		// The server has answered the request without a handler.
		t.nextHead()
	}
	if t.waiting.IsZero() {
		t.waiting = now
	}
}

// Take counts bytes that the server takes. They contain the end of one head at most; endsHead says that they end with
// it. Take returns HeadTooLarge if the bytes of the head exceed the limit.
func (t *Tracker) Take(data []byte, endsHead bool, limits Limits, now time.Time) Verdict {
	if t.position == afterHead {
		t.nextHead()
	}
	if t.position == inBody {
		data = data[t.body.skip(data):]
		if !t.body.done() {
			return Wait
		}
		t.nextHead()
	}
	if len(data) == 0 {
		return Wait
	}
	if t.headBytes == 0 {
		t.started = now
	}
	t.headBytes += len(data)
	if !limits.HeadFits(t.headBytes) {
		return HeadTooLarge
	}
	if endsHead {
		t.position = afterHead
	}
	return Wait
}

// BodyEnd returns how many bytes of data, which the server takes next, belong to the body of the request that it has come
// to; all of them if it reads none.
func (t *Tracker) BodyEnd(data []byte) int {
	if t.position != inBody {
		return len(data)
	}
	body := t.body
	return body.skip(data)
}

// Begin notes that the server has come to a request with a body of this length; negative: chunked.
func (t *Tracker) Begin(contentLength int64) {
	t.requests = true
	t.nextHead()
	if contentLength != 0 {
		t.position, t.body = inBody, newBodyScanner(contentLength)
	}
}

func (t *Tracker) nextHead() {
	t.position, t.headBytes, t.started, t.waiting = inHead, 0, time.Time{}, time.Time{}
}

// Deadline returns when Expired returns another verdict than Wait; zero: at no time.
func (t *Tracker) Deadline(limits Limits) time.Time {
	switch {
	case t.position != inHead:
		return time.Time{}
	case t.headBytes > 0 && limits.HeadTimeout == 0 && !t.requests:
		// Without a declared limit, the time for the first head begins with the connection, as it does in net/http.
		return t.waiting.Add(DefaultHeadTimeout)
	case t.headBytes > 0:
		// Its first bytes may have been taken while the request before it was being served.
		began := t.started
		if t.waiting.After(began) {
			began = t.waiting
		}
		return began.Add(limits.EffectiveHeadTimeout())
	case limits.IdleTimeout > 0:
		return t.waiting.Add(limits.IdleTimeout)
	case !t.requests:
		return t.waiting.Add(limits.EffectiveHeadTimeout())
	}
	return time.Time{}
}

// Expired returns what happens to a connection on which the server waits for bytes.
func (t *Tracker) Expired(limits Limits, now time.Time) Verdict {
	deadline := t.Deadline(limits)
	switch {
	case deadline.IsZero() || now.Before(deadline):
		return Wait
	case t.headBytes > 0 && limits.HeadTimeout > 0:
		return HeadTooSlow
	}
	return Close
}

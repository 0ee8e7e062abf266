package pipelining

import (
	"context"
	"maps"
	"net/http"
	"sync"
)

// answer is the answer to a request that was started early. Its handler writes to it;
// until its turn comes, it is kept. It implements http.ResponseWriter.
type answer struct {
	limit int // bytes of the body that are kept; the handler waits beyond

	mutex   sync.Mutex
	room    sync.Cond   // tells that the turn has come, or that the caller left
	header  http.Header // the handler's, who may add trailers after the body
	written http.Header // as it was when the handler wrote it
	status  int         // 0: no header written yet
	body    []byte
	target  http.ResponseWriter // nil: its turn has not come
	gone    bool                // the caller left
	flushed bool                // the handler wants what it wrote to be sent at once
}

func newAnswer(limit int) *answer {
	a := &answer{limit: limit, header: make(http.Header)}
	a.room.L = &a.mutex
	return a
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header {
	return a.header
}

// WriteHeader implements http.ResponseWriter. Provisional answers are left out: they
// are of no use to a caller that waits for another answer.
func (a *answer) WriteHeader(status int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if status >= http.StatusOK {
		a.writeHeader(status)
	}
}

func (a *answer) writeHeader(status int) {
	if a.status != 0 {
		return
	}
	a.status, a.written = status, a.header.Clone()
	if a.target != nil {
		a.sendHeader()
	}
}

func (a *answer) sendHeader() {
	maps.Copy(a.target.Header(), a.written)
	a.target.WriteHeader(a.status)
}

// Write implements http.ResponseWriter. It blocks while as much as may be kept waits
// for its turn.
func (a *answer) Write(piece []byte) (int, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.writeHeader(http.StatusOK)
	for a.target == nil && !a.gone && len(a.body) > 0 && len(a.body)+len(piece) > a.limit {
		a.room.Wait()
	}
	if a.gone {
		return 0, context.Canceled
	}
	if a.target != nil {
		return a.target.Write(piece)
	}
	a.body = append(a.body, piece...)
	return len(piece), nil
}

// FlushError lets http.ResponseController flush. Before its turn there is nothing to.
func (a *answer) FlushError() error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.target == nil {
		a.flushed = true
		return nil
	}
	return http.NewResponseController(a.target).Flush()
}

// turn sends what was kept to the caller; what the handler writes from now on goes
// there directly.
func (a *answer) turn(target http.ResponseWriter) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.target = target
	a.room.Broadcast()
	if a.status == 0 {
		return nil
	}
	a.sendHeader()
	if len(a.body) == 0 {
		return nil
	}
	_, err := target.Write(a.body)
	a.body = nil
	if err != nil || !a.flushed {
		return err
	}
	return http.NewResponseController(target).Flush()
}

// complete adds what the header got after the body: trailers. The handler has returned.
func (a *answer) complete() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	maps.Copy(a.target.Header(), a.header)
}

// abandon lets a handler that waits for room go: the caller left.
func (a *answer) abandon() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.gone = true
	a.room.Broadcast()
}

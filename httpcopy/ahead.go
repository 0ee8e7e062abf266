package httpcopy

import (
	"io"
	"sync"
	"time"
)

// Memory is the memory from which a body may be read ahead of a caller that takes it slowly.
type Memory interface {
	// Reserve reports whether a number of bytes may be held in addition, and Release gives them back. They must not block.
	Reserve(bytes int64) bool
	Release(bytes int64)
}

// maxAhead is how much of a body is held for a caller that takes it slowly.
const maxAhead = 1 << 20

// aheadReader reads a body, from start on ahead of its reader, as far as there is memory: the server is then free before a
// slow caller has taken the whole body.
type aheadReader struct {
	source   io.Reader
	memory   Memory
	buffered bool   // the source is in memory
	written  bool   // the caller has taken a part; used by the reader, and while it writes
	ended    func() // called once the source has been read to its end ahead of the reader; it must not block

	mutex   sync.Mutex
	changed sync.Cond
	reading bool // by the reader itself
	started bool
	closed  bool
	whole   bool     // the source was read to its end ahead of the reader
	chunks  [][]byte // read ahead, each of copyBytes at most
	held    int64    // reserved for chunks
	err     error    // of the source
}

func newAheadReader(source io.Reader, options Options) *aheadReader {
	a := &aheadReader{source: source, memory: options.Memory, buffered: options.Buffered, ended: options.Ended}
	a.changed.L = &a.mutex
	return a
}

// start begins to read ahead. It does nothing while the reader itself reads: then the server is the slower side.
func (a *aheadReader) start() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case a.reading || a.started || a.whole || a.closed || a.err != nil:
	case a.buffered:
		a.whole = true
		a.ended()
	default:
		a.started = true
		go a.readAhead()
	}
}

func (a *aheadReader) readAhead() {
	for a.awaitMemory() {
		chunk := make([]byte, copyBytes)
		n, err := a.source.Read(chunk)
		if !a.add(chunk[:n], err) {
			return
		}
	}
}

// awaitMemory reserves memory for a chunk, and waits for it while the reader has some that it will give back. It reports
// whether there is more to read ahead.
func (a *aheadReader) awaitMemory() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for !a.closed {
		if a.held < maxAhead && a.memory.Reserve(copyBytes) {
			a.held += copyBytes
			return true
		}
		if len(a.chunks) == 0 {
			// Without memory, the reader reads itself again.
			a.started = false
			a.changed.Broadcast()
			return false
		}
		a.changed.Wait()
	}
	return false
}

// add adds a chunk, and reports whether there is more to read.
func (a *aheadReader) add(chunk []byte, err error) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.chunks = append(a.chunks, chunk)
	a.err = err
	a.changed.Broadcast()
	if err == io.EOF && !a.closed {
		a.whole = true
		a.ended()
	}
	return err == nil && !a.closed
}

// Read implements io.Reader.
func (a *aheadReader) Read(target []byte) (int, error) {
	a.mutex.Lock()
	for a.started && len(a.chunks) == 0 && a.err == nil {
		a.changed.Wait()
	}
	if len(a.chunks) > 0 || a.err != nil {
		defer a.mutex.Unlock()
		return a.take(target)
	}
	a.reading = true
	a.mutex.Unlock()
	n, err := a.source.Read(target)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.reading = false
	return n, err
}

// take moves a chunk, or a part of it, to target. The mutex must be held.
func (a *aheadReader) take(target []byte) (int, error) {
	if len(a.chunks) == 0 {
		return 0, a.err
	}
	n := copy(target, a.chunks[0])
	a.chunks[0] = a.chunks[0][n:]
	if len(a.chunks[0]) > 0 {
		return n, nil
	}
	a.chunks = a.chunks[1:]
	a.memory.Release(copyBytes)
	a.held -= copyBytes
	a.changed.Broadcast()
	return n, nil
}

// isWhole reports whether the source has been read to its end.
func (a *aheadReader) isWhole() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.whole
}

// close ends reading ahead. A read of the source that is in progress ends when the source is closed.
func (a *aheadReader) close() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.closed = true
	a.memory.Release(a.held)
	a.held = 0
	a.changed.Broadcast()
}

const (
	// slowWriteTime is how long a write to a caller may be blocked before the body is read ahead.
	slowWriteTime = 20 * time.Millisecond
	// slowCallerTime is how long it may be blocked, if the caller has taken a part of the response, before the caller counts as
	// slow. One that has taken nothing counts as slow after another slowWriteTime.
	slowCallerTime = 300 * time.Millisecond
	// stallTimeout is how long it may be blocked while the server is occupied by what cannot be held.
	stallTimeout = 10 * time.Second
)

// SlowWrite is a write that its caller has not taken for a while.
type SlowWrite struct {
	ahead *aheadReader
	abort func()
}

// OccupiesServer reports whether the server has not sent the whole body yet because of the write. It does not block.
func (w *SlowWrite) OccupiesServer() bool {
	w.ahead.mutex.Lock()
	defer w.ahead.mutex.Unlock()
	return !w.ahead.whole && !w.ahead.closed
}

// Abort makes the write fail. It does not block.
func (w *SlowWrite) Abort() { w.abort() }

// writeWatch observes one write to a caller.
type writeWatch struct {
	write  SlowWrite
	onSlow func(*SlowWrite) (end func()) // nil: it is not called
	end    func()                        // returned by onSlow; nil: it has not been called

	mutex   sync.Mutex
	timer   *time.Timer
	slow    bool
	stopped bool
}

// watchWrite observes the write that is about to begin, until stop is called.
func (a *aheadReader) watchWrite(abort func(), onSlow func(*SlowWrite) (end func())) *writeWatch {
	w := &writeWatch{write: SlowWrite{ahead: a, abort: abort}, onSlow: onSlow}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = time.AfterFunc(slowWriteTime, w.expire)
	return w
}

// expire is called when the write has been blocked for slowWriteTime, when the caller counts as slow, and at the stall timeout.
func (w *writeWatch) expire() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.stopped:
	case !w.slow:
		w.slow = true
		w.write.ahead.start()
		if w.write.ahead.written {
			w.timer.Reset(slowCallerTime)
		} else {
			w.timer.Reset(slowWriteTime)
		}
	case !w.write.OccupiesServer():
	case w.end == nil:
		w.end = func() {}
		if w.onSlow != nil {
			w.end = w.onSlow(&w.write)
		}
		w.timer.Reset(stallTimeout)
	default:
		w.write.Abort()
	}
}

func (w *writeWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
	if w.end != nil {
		w.end()
	}
}

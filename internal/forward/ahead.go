package forward

import (
	"errors"
	"io"
	"sync"
	"time"

	"rhubarbrudder/internal/memory"
)

const (
	// blockedAfter is how long a write to the caller takes until the endpoint's answer is read ahead. It is shorter than the
	// time limit between events, which would otherwise take a slow caller for a silent endpoint.
	blockedAfter = 200 * time.Millisecond
	// maxAheadBytes is how much of one answer is read ahead.
	maxAheadBytes = 8 << 20
	// aheadChunkBytes is the size of the parts in which memory for it is reserved, aheadReadBytes the most read at once.
	aheadChunkBytes = 16 << 10
	aheadReadBytes  = 4 << 10
	// aheadRetry is the time until memory is asked for again after it was refused.
	aheadRetry = 100 * time.Millisecond
)

// readAhead is the body of an endpoint's answer. While the caller takes the answer at once, Read reads directly from the body.
// As soon as a write to the caller has been blocked for a while, the body is read by a goroutine into a buffer, until the caller has
// taken all of it.
type readAhead struct {
	body     io.Reader
	account  *memory.Account
	watchdog *Watchdog
	// limit returns how long the endpoint may send nothing while its answer is read ahead.
	limit func() time.Duration
	// complete is called, under the lock and not after close, if the endpoint's answer has been read to its end while the caller
	// has yet to take the rest.
	complete func()
	timer    *time.Timer

	mu      sync.Mutex
	changed *sync.Cond
	// writing means that a write to the caller is in progress, started that the body is read by the goroutine.
	writing bool
	started bool
	closed  bool
	// waiting means that Read waits for data, fetching that the goroutine reads from the body. run numbers the goroutines.
	waiting  bool
	fetching bool
	run      int
	// chunks holds what was read ahead, the first of them without what Read has returned; err ends it.
	chunks []*chunk
	err    error
	// spare is the memory of the chunk released last, or nil.
	spare []byte
	// ended means that Read itself has read the body to its end.
	ended bool
}

// chunk is a part of the buffer. What lies before start has been returned.
type chunk struct {
	data     []byte
	start    int
	reserved bool
}

// isEmpty reports whether all of a chunk has been returned.
func (c *chunk) isEmpty() bool {
	return c.start == len(c.data)
}

// hasRoom reports whether all that is read at once can be appended to a chunk.
func (c *chunk) hasRoom() bool {
	return cap(c.data)-len(c.data) >= aheadReadBytes
}

func newReadAhead(body io.Reader, account *memory.Account, watchdog *Watchdog, limit func() time.Duration, complete func()) *readAhead {
	a := &readAhead{
		body:     body,
		account:  account,
		watchdog: watchdog,
		limit:    limit,
		complete: complete,
	}
	a.changed = sync.NewCond(&a.mu)
	return a
}

// Read reads the answer, from the buffer if it is read ahead. It must not be called during a write.
func (a *readAhead) Read(data []byte) (int, error) {
	if n, buffered, err := a.readBuffer(data); buffered {
		return n, err
	}
	n, err := a.body.Read(data)
	if errors.Is(err, io.EOF) {
		a.mu.Lock()
		a.ended = true
		a.mu.Unlock()
	}
	return n, err
}

// readBuffer reads what was read ahead, and reports whether the answer is read ahead still.
func (a *readAhead) readBuffer(data []byte) (n int, buffered bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.started && a.isEmpty() && a.err == nil {
		a.waiting = true
		a.changed.Wait()
		a.waiting = false
		defer a.changed.Broadcast()
	}
	if !a.started {
		return 0, false, nil
	}
	if a.isEmpty() {
		return 0, true, a.err
	}
	first := a.chunks[0]
	n = copy(data, first.data[first.start:])
	first.start += n
	// The goroutine may be about to append to a chunk that has room.
	if first.isEmpty() && (len(a.chunks) > 1 || !first.hasRoom()) {
		a.release(first)
		a.chunks[0] = nil
		a.chunks = a.chunks[1:]
		a.changed.Broadcast()
	}
	if a.isEmpty() && !a.fetching && a.err == nil {
		a.stop()
	}
	return n, true, nil
}

// isEmpty reports whether all that was read ahead has been returned.
func (a *readAhead) isEmpty() bool {
	return len(a.chunks) == 0 || a.chunks[0].isEmpty()
}

// release returns the memory of a chunk, which serves again if another one is needed soon.
func (a *readAhead) release(c *chunk) {
	if c.reserved {
		a.account.ReleaseAhead(aheadChunkBytes)
	}
	a.spare = c.data[:0]
}

// feed records progress of the endpoint. Once its answer is read ahead, the goroutine does so.
func (a *readAhead) feed(next time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.started {
		a.watchdog.Feed(next)
	}
}

// beginWrite must be called before a write to the caller, endWrite after it.
func (a *readAhead) beginWrite() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = true
	switch {
	case a.started:
	case a.timer == nil:
		a.timer = time.AfterFunc(blockedAfter, a.blocked)
	default:
		a.timer.Reset(blockedAfter)
	}
}

func (a *readAhead) endWrite() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = false
	a.timer.Stop()
}

// blocked begins to read ahead if a write is still in progress.
func (a *readAhead) blocked() {
	run, ok := a.start()
	if !ok {
		return
	}
	data := make([]byte, aheadReadBytes)
	for a.awaitRoom(run) {
		a.watchdog.Feed(a.limit())
		n, err := a.body.Read(data)
		a.watchdog.Pause()
		a.append(data[:n], err)
		if err != nil {
			return
		}
	}
}

// start reports whether the body is to be read ahead from now on, by the goroutine with the number.
func (a *readAhead) start() (run int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.writing || a.started || a.closed {
		return 0, false
	}
	if a.ended {
		a.complete()
		return 0, false
	}
	a.started = true
	a.run++
	return a.run, true
}

// awaitRoom waits until there is room for the next part of the answer, and reports false if no more is needed. One chunk is
// always permitted, as the answer would not continue otherwise.
func (a *readAhead) awaitRoom(run int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.closed && a.started && a.run == run {
		if a.waiting && !a.isEmpty() {
			// Read is about to take what was read, and to read directly from then on.
			a.changed.Wait()
			continue
		}
		count := len(a.chunks)
		if count > 0 && a.chunks[count-1].hasRoom() {
			a.fetching = true
			return true
		}
		reserved := count < maxAheadBytes/aheadChunkBytes && a.account.ReserveAhead(aheadChunkBytes)
		if reserved || count == 0 {
			a.addChunk(reserved)
			a.fetching = true
			return true
		}
		retry := time.AfterFunc(aheadRetry, a.changed.Broadcast)
		a.changed.Wait()
		retry.Stop()
	}
	return false
}

// addChunk adds an empty chunk to the buffer.
func (a *readAhead) addChunk(reserved bool) {
	if a.spare == nil {
		a.spare = make([]byte, 0, aheadChunkBytes)
	}
	a.chunks = append(a.chunks, &chunk{
		data:     a.spare,
		reserved: reserved,
	})
	a.spare = nil
}

// stop returns to direct reading, because the caller has taken all that was read ahead.
func (a *readAhead) stop() {
	a.started = false
	a.releaseAll()
	a.watchdog.Feed(a.limit())
	a.changed.Broadcast()
}

func (a *readAhead) releaseAll() {
	for _, c := range a.chunks {
		a.release(c)
	}
	a.chunks = nil
	a.spare = nil
}

// append adds data to the buffer, for which there is room, and its end if err is not nil.
func (a *readAhead) append(data []byte, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fetching = false
	if a.closed {
		return
	}
	last := a.chunks[len(a.chunks)-1]
	last.data = append(last.data, data...)
	a.err = err
	if errors.Is(err, io.EOF) {
		a.complete()
	}
	a.changed.Broadcast()
}

// close ends the reading ahead and returns the memory. The body must be closed as well.
func (a *readAhead) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.timer != nil {
		a.timer.Stop()
	}
	a.releaseAll()
	a.changed.Broadcast()
}

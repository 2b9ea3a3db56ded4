package endpoint

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxWholeBytes bounds the body of an answer that is not streamed.
	maxWholeBytes = 64 << 20
	// ownBytes is how much each body may take. What all of them take beyond that is bounded by maxSharedBytes.
	ownBytes       = 256 << 10
	maxSharedBytes = maxWholeBytes
	// bodyStepBytes is how much of a body is read at once.
	bodyStepBytes = 64 << 10
)

// sharedBytes counts the memory that bodies take together.
type sharedBytes struct {
	used atomic.Int64
}

// add changes the number of bytes in use and reports whether they are within the bound.
func (s *sharedBytes) add(bytes int64) bool {
	return s.used.Add(bytes) <= maxSharedBytes
}

// ReadBody returns the body of an answer that is not streamed, and ErrBroken if it did not arrive completely. It returns ErrTooLarge
// if the body is too long, or if it is long and those of other answers take the memory for such bodies. That memory is in use until
// the answer is closed.
func (a *Answer) ReadBody() ([]byte, error) {
	// A buffer that grows would need several times the memory of the body.
	var chunks [][]byte
	for total := 0; total <= maxWholeBytes; {
		chunk, err := a.readChunk()
		chunks = append(chunks, chunk)
		total += len(chunk)
		if errors.Is(err, io.EOF) {
			return bytes.Join(chunks, nil), nil
		}
		if err != nil {
			return nil, errors.Join(ErrBroken, err)
		}
		if total > ownBytes && !a.reserve(int64(len(chunk))) {
			return nil, ErrTooLarge
		}
	}
	return nil, ErrTooLarge
}

// reserve takes a part of the shared memory, and reports whether there was room.
func (a *Answer) reserve(bytes int64) bool {
	a.reserved += bytes
	return a.shared.add(bytes)
}

// readChunk reads the next bodyStepBytes of the body, or what is left of it and io.EOF.
func (a *Answer) readChunk() ([]byte, error) {
	chunk := make([]byte, bodyStepBytes)
	for n := 0; n < len(chunk); {
		read, err := a.body.Read(chunk[n:])
		n += read
		if err != nil {
			return chunk[:n], err
		}
	}
	return chunk, nil
}

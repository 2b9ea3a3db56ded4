package vm

import (
	"bytes"
	"errors"
	"io"

	"rhubarbrudder/internal/memory"
)

// errNoMemory means that there is not enough memory for a body.
var errNoMemory = errors.New("vm: not enough memory for a body")

// readAll reads a body up to the limit and one byte more, which shows that it is too long. The memory is counted in the account
// before it is allocated. The announced length, or -1, saves copies; the buffer grows as the body arrives, because a caller can
// announce a large length at no cost.
func readAll(source io.Reader, announced, limit int64, account *memory.Account) ([]byte, error) {
	most := limit + bytes.MinRead
	if announced >= 0 {
		most = min(most, announced+bytes.MinRead)
	}
	size := min(max(announced, 0)+bytes.MinRead, initialBodyBytes)
	if !account.Reserve(memory.Bytes(size)) {
		return nil, errNoMemory
	}
	body := make([]byte, 0, size)
	for {
		if int64(len(body)) > limit {
			return body, nil
		}
		if len(body) == cap(body) {
			// A body may be longer than announced only by a fault of the reader, which most must not turn into a loop.
			next := max(min(2*int64(cap(body)), most), int64(cap(body))+bytes.MinRead)
			if !account.Reserve(memory.Bytes(next)) {
				return nil, errNoMemory
			}
			grown := make([]byte, len(body), next)
			copy(grown, body)
			account.Release(memory.Bytes(cap(body)))
			body = grown
		}
		n, err := source.Read(body[len(body):min(int64(cap(body)), limit+1)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

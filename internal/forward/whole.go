package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"rhubarbrudder/internal/memory"
)

const (
	// maxHeldBytes is how much of an answer that is not a stream is held back, so that the request can be sent again if
	// the answer breaks off. A VM serves hundreds of requests with less than 200 MB of memory.
	maxHeldBytes = 128 << 10
	// maxWholeBytes is the maximum size of such an answer. A longer one is broken off.
	maxWholeBytes = 32 << 20
	// unknownLength stands for the length of an answer that ends with the stream.
	unknownLength = -1
	// slowWrite is how long a write takes at which the caller counts as slow.
	slowWrite = 10 * time.Millisecond
)

var (
	// errTooLong means that an answer is longer than maxWholeBytes.
	errTooLong = errors.New("forward: answer too long")
	// errCut means that an answer that is not a stream broke off after the caller received its beginning, so that no other
	// endpoint can complete it.
	errCut = errors.New("forward: answer broke off after its beginning was forwarded")
)

// forwardWhole forwards an answer that is not a stream. It returns ErrBroken for an answer that can't continue a stream,
// and ErrServerFailed for a server error if the request may be sent again. An answer that breaks off after its
// beginning was forwarded is broken off at the caller, too.
func (s *serving) forwardWhole(ctx context.Context, response *http.Response) error {
	if s.started {
		return ErrBroken
	}
	if response.StatusCode >= http.StatusInternalServerError && s.route.Repeatable() && s.possibleRuns < s.route.Attempts {
		return ErrServerFailed
	}
	if response.ContentLength > maxWholeBytes {
		return errors.Join(ErrBroken, errTooLong)
	}
	var held bytes.Buffer
	n, err := s.hold(&held)
	if err != nil {
		return brokenError(ctx, err)
	}
	if n < maxHeldBytes {
		s.begin(response, n)
		return s.writeBody(held.Bytes())
	}
	s.begin(response, response.ContentLength)
	if err := s.writeBody(held.Bytes()); err != nil {
		return err
	}
	if err := s.copyRest(ctx, s.source); err != nil {
		return errors.Join(errCut, err)
	}
	return nil
}

// heldStepBytes is how much of an answer is held back until its memory is counted.
const heldStepBytes = 8 << 10

// hold reads up to maxHeldBytes of an answer into a buffer, whose memory is counted, and returns how much it has read.
func (s *serving) hold(held *bytes.Buffer) (int64, error) {
	for held.Len() < maxHeldBytes {
		before := held.Cap()
		n, err := held.ReadFrom(io.LimitReader(s.source, int64(min(heldStepBytes, maxHeldBytes-held.Len()))))
		s.account.Add(memory.Bytes(held.Cap() - before))
		if err != nil {
			return int64(held.Len()), err
		}
		if n < heldStepBytes {
			break
		}
	}
	return int64(held.Len()), nil
}

// copyRest forwards the rest of an answer of which maxHeldBytes have been forwarded.
func (s *serving) copyRest(ctx context.Context, body io.Reader) error {
	buffer := make([]byte, connBufferBytes)
	// One byte more than allowed is read to tell a longer answer from one of that length.
	rest := io.LimitReader(body, maxWholeBytes-maxHeldBytes+1)
	for total := maxHeldBytes; ; {
		n, err := rest.Read(buffer)
		total += n
		if total > maxWholeBytes {
			return errors.Join(ErrBroken, errTooLong)
		}
		begun := time.Now()
		if err := s.writeBody(buffer[:n]); err != nil {
			return err
		}
		if time.Since(begun) > slowWrite {
			// The time of the attempt, which can't be repeated any more, must not end because of the caller.
			s.source.feed(s.nextTimeout())
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return brokenError(ctx, err)
		}
	}
}

func (s *serving) writeBody(data []byte) error {
	s.source.beginWrite()
	defer s.source.endWrite()
	if _, err := s.w.Write(data); err != nil {
		return errCaller
	}
	return nil
}

package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
)

const (
	// maxHeldBytes is how much of an answer that is not a stream is held back, so that the request can be sent again if
	// the answer breaks off. A VM serves hundreds of requests with less than 200 MB of memory.
	maxHeldBytes = 128 << 10
	// maxWholeBytes is the maximum size of such an answer. A longer one is broken off.
	maxWholeBytes = 32 << 20
	// unknownLength stands for the length of an answer that ends with the stream.
	unknownLength = -1
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
	n, err := io.Copy(&held, io.LimitReader(response.Body, maxHeldBytes))
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
	if err := s.copyRest(ctx, response.Body); err != nil {
		return errors.Join(errCut, err)
	}
	return nil
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
		if err := s.writeBody(buffer[:n]); err != nil {
			return err
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
	if _, err := s.w.Write(data); err != nil {
		return errCaller
	}
	return nil
}

package gateway

import (
	"context"
	"net/http"
	"strconv"

	"rhubarbrudder/internal/call"
	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/request"
)

// Calls runs calls that may not be repeated at most once.
type Calls interface {
	Begin(ctx context.Context, name call.Name, hash document.Hash, attempt request.ID) (*call.Claim, *call.Answer, error)
}

const (
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// headerReplayed marks the answer of an earlier request with the same key.
	headerReplayed = "Rhubarbrudder-Replayed"
)

// callOnce runs a call at most once under the caller's key. It goes on if the caller leaves, so that a resend
// finds the answer.
func (g *Gateway) callOnce(c *caller, req request.Request) error {
	key := c.r.Header.Get(headerIdempotencyKey)
	if key == "" || len(key) > maxKeyBytes {
		return request.Invalid("idempotency_key_required", "the call may not be repeated: it needs an Idempotency-Key of up to "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	name := call.Name{
		Organisation: req.Organisation,
		Service:      req.Service,
		Key:          key,
	}
	ctx := context.WithoutCancel(c.r.Context())
	claim, earlier, err := g.calls.Begin(ctx, name, hashOf(req), req.ID)
	if err != nil {
		return err
	}
	if earlier != nil {
		c.w.Header().Set(headerReplayed, "true")
		return writeAnswer(c, *earlier)
	}
	taken := &capture{}
	if err := g.router.Do(ctx, req, c.ticket, taken); err != nil {
		return g.endBroken(ctx, c, claim, err)
	}
	claim.Finish(ctx, taken.answer)
	return writeAnswer(c, taken.answer)
}

// endBroken ends a call that has no answer; the ticket knows whether it may have run.
func (g *Gateway) endBroken(ctx context.Context, c *caller, claim *call.Claim, err error) error {
	if !c.ticket.Dispatched() {
		claim.Release(ctx)
		return err
	}
	claim.Abandon()
	g.log.Warn("call broken", "request", c.id, "organisation", c.organisation, "err", err)
	return request.Unknown(http.StatusBadGateway, "outcome_unknown", "the call may have run; its answer is lost, and it is not run again", 0)
}

func hashOf(req request.Request) document.Hash {
	return document.HashOf(req.Method + "\x00" + req.Path + "\x00" + string(req.Body))
}

func writeAnswer(c *caller, answer call.Answer) error {
	out := newSink(c)
	if err := out.Whole(answer.Status, answer.Header, answer.Body); err != nil {
		return errBegun
	}
	return nil
}

// capture keeps a whole answer.
type capture struct {
	answer call.Answer
}

// Whole keeps the answer.
func (c *capture) Whole(status int, header http.Header, body []byte) error {
	kept := http.Header{}
	copyHeader(kept, header)
	c.answer = call.Answer{
		Status: status,
		Header: kept,
		Body:   body,
	}
	return nil
}

// Begin is for streams, which calls of plain services do not have.
func (c *capture) Begin(http.Header) error {
	return errStreamedCall
}

// Event is for streams, which calls of plain services do not have.
func (c *capture) Event([]byte) error {
	return errStreamedCall
}

// End is for streams, which calls of plain services do not have.
func (c *capture) End() error {
	return errStreamedCall
}

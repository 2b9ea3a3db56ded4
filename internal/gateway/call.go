package gateway

import (
	"context"
	"net/http"
	"strconv"

	"rhubarbrudder/internal/call"
	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/request"
)

// Calls ensures that a non-idempotent request to a plain service runs at most once per idempotency key. Such a request
// is a call.
type Calls interface {
	// Begin returns a claim to run the call, or the stored answer of an earlier request with the same name. The id is
	// that of the caller's request.
	Begin(ctx context.Context, name call.Name, hash document.Hash, id request.ID) (*call.Claim, *call.Answer, error)
}

const (
	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 255
	// headerReplayed marks the answer of an earlier request with the same key.
	headerReplayed = "Rhubarbrudder-Replayed"
)

// callAtMostOnce runs a non-idempotent request to a plain service at most once for the caller's idempotency key. The
// call continues if the caller disconnects, so that a retry with the same key finds the answer.
func (g *Gateway) callAtMostOnce(c *caller, req request.Request) error {
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
	captured := &capture{}
	if err := g.router.Do(ctx, req, c.ticket, captured); err != nil {
		return g.endFailedCall(ctx, c, claim, err)
	}
	claim.Finish(ctx, captured.answer)
	return writeAnswer(c, captured.answer)
}

// endFailedCall ends a call that got no answer. It releases the claim if the call was not sent to an endpoint;
// otherwise the call may have run, and its outcome stays unknown.
func (g *Gateway) endFailedCall(ctx context.Context, c *caller, claim *call.Claim, err error) error {
	if !c.ticket.Dispatched() {
		claim.Release(ctx)
		return err
	}
	claim.Abandon()
	g.log.Warn("call failed, outcome unknown", "request", c.id, "organisation", c.organisation, "err", err)
	return request.Unknown(http.StatusBadGateway, "outcome_unknown", "the call may have run; its answer is lost, and it is not run again", 0)
}

func hashOf(req request.Request) document.Hash {
	return document.HashOf(req.Method + "\x00" + req.Path + "\x00" + string(req.Body))
}

func writeAnswer(c *caller, answer call.Answer) error {
	out := newSink(c)
	if err := out.Whole(answer.Status, answer.Header, answer.Body); err != nil {
		return errAnswerInterrupted
	}
	return nil
}

// capture is a router.Sink that stores an answer that is not streamed.
type capture struct {
	answer call.Answer
}

// Whole stores an answer that is not streamed.
func (c *capture) Whole(status int, header http.Header, body []byte) error {
	copied := http.Header{}
	copyHeader(copied, header)
	c.answer = call.Answer{
		Status: status,
		Header: copied,
		Body:   body,
	}
	return nil
}

// Begin fails: calls to plain services are not streamed.
func (c *capture) Begin(http.Header) error {
	return errStreamedCall
}

// Event fails: calls to plain services are not streamed.
func (c *capture) Event([]byte) error {
	return errStreamedCall
}

// End fails: calls to plain services are not streamed.
func (c *capture) End() error {
	return errStreamedCall
}

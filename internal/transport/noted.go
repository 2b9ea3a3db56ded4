package transport

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"rhubarbrudder/internal/progress"
)

const (
	// maxTransfers is the number of large bodies that are carried at once in each direction. The others wait for their turn: of many
	// that share a link evenly, none may arrive in time.
	maxTransfers = 2
	// untimedBytes is how much of each body is carried without waiting for a turn.
	untimedBytes = 32 << 10
	// waitNote is the time between the notes of progress of a call that waits for its turn.
	waitNote = 100 * time.Millisecond
)

// BoundTransfers makes large bodies of calls that end when they stall wait for their turn. It must be called before the first call, and
// returns the transport.
func (t *Transport) BoundTransfers() *Transport {
	t.sending = make(chan struct{}, maxTransfers)
	t.receiving = make(chan struct{}, maxTransfers)
	return t
}

// noteRequest returns the request with a body that notes progress as it is sent, if the request's context ends when the call stalls.
func (t *Transport) noteRequest(r *http.Request) *http.Request {
	ctx := r.Context()
	if !progress.IsLimited(ctx) || r.Body == nil || r.Body == http.NoBody {
		return r
	}
	noted := r.WithContext(ctx)
	noted.Body = newNotedBody(ctx, r.Body, t.sending)
	if r.GetBody != nil {
		noted.GetBody = func() (io.ReadCloser, error) {
			body, err := r.GetBody()
			if err != nil {
				return nil, err
			}
			return newNotedBody(ctx, body, t.sending), nil
		}
	}
	return noted
}

// noteResponse notes the arrival of a response, and makes its body note progress as it arrives.
func (t *Transport) noteResponse(ctx context.Context, response *http.Response) {
	if !progress.IsLimited(ctx) {
		return
	}
	progress.Note(ctx)
	response.Body = newNotedBody(ctx, response.Body, t.receiving)
}

// notedBody is a body whose reads are noted as progress of a call.
type notedBody struct {
	io.ReadCloser
	ctx context.Context
	// turns holds a token for each large body that is carried at present; nil means that their number is not bounded.
	turns chan struct{}
	// untimed is how many bytes may still be read without a turn. Only Read uses it.
	untimed int

	mu      sync.Mutex
	hasTurn bool
	closed  bool
}

func newNotedBody(ctx context.Context, body io.ReadCloser, turns chan struct{}) *notedBody {
	return &notedBody{
		ReadCloser: body,
		ctx:        ctx,
		turns:      turns,
		untimed:    untimedBytes,
	}
}

// Read reads from the body, when it is its turn.
func (b *notedBody) Read(data []byte) (int, error) {
	if b.untimed <= 0 {
		if err := b.awaitTurn(); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(data)
	b.untimed -= n
	if n > 0 {
		progress.Note(b.ctx)
	}
	if err != nil {
		b.endTurn(false)
	}
	return n, err
}

// awaitTurn waits until the body may be read on. Waiting counts as progress.
func (b *notedBody) awaitTurn() error {
	b.mu.Lock()
	ready := b.turns == nil || b.hasTurn
	b.mu.Unlock()
	for !ready {
		select {
		case b.turns <- struct{}{}:
			ready = true
			b.beginTurn()
		case <-b.ctx.Done():
			return context.Cause(b.ctx)
		case <-time.After(waitNote):
			progress.Note(b.ctx)
		}
	}
	return nil
}

// beginTurn records the turn, or gives it back if the body was closed meanwhile.
func (b *notedBody) beginTurn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		<-b.turns
		return
	}
	b.hasTurn = true
}

// endTurn gives the turn back, if the body has one. A body that is closed gets no other.
func (b *notedBody) endTurn(closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = b.closed || closed
	if b.hasTurn {
		b.hasTurn = false
		<-b.turns
	}
}

// Close closes the body.
func (b *notedBody) Close() error {
	b.endTurn(true)
	return b.ReadCloser.Close()
}

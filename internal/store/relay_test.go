package store

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"
)

// failing is a store whose calls end with an error, or succeed if it is nil.
type failing struct {
	Store
	err   error
	calls int
}

func (f *failing) Commit(context.Context, Transaction) (Commit, error) {
	f.calls++
	return Commit{Revision: 7}, f.err
}

func (f *failing) Read(context.Context, Range) (Page, error) {
	f.calls++
	return Page{Revision: 7}, f.err
}

// peerStore relays to another store.
type peerStore struct {
	to    Store
	err   error
	calls int
}

func (p *peerStore) Relay(ctx context.Context, args RelayArgs) (RelayReply, error) {
	p.calls++
	if p.err != nil {
		return RelayReply{}, p.err
	}
	return args.Serve(ctx, p.to), nil
}

func TestRelay(t *testing.T) {
	tests := map[string]struct {
		direct    error
		peer      error
		unreached error
		commit    bool
		want      error
		peerCalls int
	}{
		"the store answers": {},
		"a refused commit goes through a peer": {
			direct:    ErrUnavailable,
			commit:    true,
			peerCalls: 1,
		},
		"a commit of unknown outcome is not made again": {
			direct: ErrUnknown,
			commit: true,
			want:   ErrUnknown,
		},
		"a conflict is an answer": {
			direct: ErrConflict,
			commit: true,
			want:   ErrConflict,
		},
		"a conflict seen by a peer is one": {
			direct:    ErrUnavailable,
			peer:      ErrConflict,
			commit:    true,
			want:      ErrConflict,
			peerCalls: 1,
		},
		"a read goes through a peer whatever happened": {
			direct:    fmt.Errorf("wrapped: %w", ErrUnknown),
			peerCalls: 1,
		},
		"a peer that may have made the commit leaves it unknown": {
			direct:    ErrUnavailable,
			unreached: ErrUnknown,
			commit:    true,
			want:      ErrUnknown,
			peerCalls: 1,
		},
		"nobody reaches the store": {
			direct:    ErrUnavailable,
			unreached: ErrUnavailable,
			commit:    true,
			want:      ErrUnavailable,
			peerCalls: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			peer := &peerStore{
				to: &failing{
					err: test.peer,
				},
				err: test.unreached,
			}
			r := NewRelay(&failing{err: test.direct}, peer, slog.New(slog.DiscardHandler))
			var err error
			if test.commit {
				_, err = r.Commit(context.Background(), Transaction{})
			} else {
				_, err = r.Read(context.Background(), Range{})
			}
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
			assert.Equal(t, peer.calls, test.peerCalls)
		})
	}
}

// TestRelayRests checks that a store that did not answer is asked through peers first for a while.
func TestRelayRests(t *testing.T) {
	direct := &failing{
		err: ErrUnavailable,
	}
	peer := &peerStore{
		to: &failing{},
	}
	r := NewRelay(direct, peer, slog.New(slog.DiscardHandler))
	for range 3 {
		_, err := r.Commit(context.Background(), Transaction{})
		assert.NilError(t, err)
	}
	assert.Equal(t, direct.calls, 1)
	assert.Equal(t, peer.calls, 3)
}

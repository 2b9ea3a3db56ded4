package store

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"
)

// failingStore is a store whose calls fail with an error, or succeed if it is nil.
type failingStore struct {
	Store
	err   error
	calls int
}

func (f *failingStore) Commit(context.Context, Transaction) (Commit, error) {
	f.calls++
	return Commit{Revision: 7}, f.err
}

func (f *failingStore) Read(context.Context, Range) (Page, error) {
	f.calls++
	return Page{Revision: 7}, f.err
}

// fakePeer is a peer that serves relayed calls from a store, or fails with an error.
type fakePeer struct {
	store Store
	err   error
	calls int
}

func (p *fakePeer) Relay(ctx context.Context, args RelayArgs) (RelayReply, error) {
	p.calls++
	if p.err != nil {
		return RelayReply{}, p.err
	}
	return args.Serve(ctx, p.store), nil
}

func TestRelay(t *testing.T) {
	tests := map[string]struct {
		// directErr is the error of the VM's own call to the store, peerStoreErr that of the peer's call, and relayErr that
		// of the call to the peer.
		directErr    error
		peerStoreErr error
		relayErr     error
		commit       bool
		want         error
		peerCalls    int
	}{
		"the store answers": {},
		"a rejected commit goes through a peer": {
			directErr: ErrUnavailable,
			commit:    true,
			peerCalls: 1,
		},
		"a commit of unknown outcome is not repeated": {
			directErr: ErrUnknown,
			commit:    true,
			want:      ErrUnknown,
		},
		"a conflict is an answer": {
			directErr: ErrConflict,
			commit:    true,
			want:      ErrConflict,
		},
		"a conflict reported by a peer is returned": {
			directErr:    ErrUnavailable,
			peerStoreErr: ErrConflict,
			commit:       true,
			want:         ErrConflict,
			peerCalls:    1,
		},
		"a read of unknown outcome goes through a peer": {
			directErr: fmt.Errorf("wrapped: %w", ErrUnknown),
			peerCalls: 1,
		},
		"a peer that may have made the commit leaves it unknown": {
			directErr: ErrUnavailable,
			relayErr:  ErrUnknown,
			commit:    true,
			want:      ErrUnknown,
			peerCalls: 1,
		},
		"no VM reaches the store": {
			directErr: ErrUnavailable,
			relayErr:  ErrUnavailable,
			commit:    true,
			want:      ErrUnavailable,
			peerCalls: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			peer := &fakePeer{
				store: &failingStore{
					err: test.peerStoreErr,
				},
				err: test.relayErr,
			}
			r := NewRelay(&failingStore{err: test.directErr}, peer, slog.New(slog.DiscardHandler))
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

// TestRelayAvoidsDirectCalls checks that calls go through peers first for a while after the store failed to answer.
func TestRelayAvoidsDirectCalls(t *testing.T) {
	direct := &failingStore{
		err: ErrUnavailable,
	}
	peer := &fakePeer{
		store: &failingStore{},
	}
	r := NewRelay(direct, peer, slog.New(slog.DiscardHandler))
	for range 3 {
		_, err := r.Commit(context.Background(), Transaction{})
		assert.NilError(t, err)
	}
	assert.Equal(t, direct.calls, 1)
	assert.Equal(t, peer.calls, 3)
}

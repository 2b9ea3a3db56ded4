package document

import (
	"context"
	"time"
)

// Sweep removes every change before the latest snapshot, however young.
func (s *Store) Sweep(ctx context.Context) error {
	at, _, err := s.snapshotAt(ctx)
	if err != nil {
		return err
	}
	return s.sweep(ctx, at.Revision, time.Now().Add(time.Hour))
}
